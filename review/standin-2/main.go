// Command standin-2 plays the scripts of the second review: it is the platform, the servers and the callers, and starts the
// entry processes of the project.
//
//	standin-2 SCENARIO PROGRAM RECORD
//
// With TROUBLE=0 in the environment, it does the same without the disruption. It exits with 1 if the rule was broken, with 0
// if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is how long a script may take.
const timeLimit = 110 * time.Second

// Exit codes of a scenario.
const (
	held   = 0
	broken = 1
	unable = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 SCENARIO PROGRAM RECORD")
		os.Exit(unable)
	}
	scenarios := map[string]func(w *world) int{"restored": playRestored}
	play, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", os.Args[1])
		os.Exit(unable)
	}
	os.Exit(playIn(play))
}

// playIn plays a scenario in a new world and ends what it started.
func playIn(play func(w *world) int) int {
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer w.close()
	outcome := make(chan int, 1)
	go func() { outcome <- play(w) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-outcome:
		return code
	case <-signals:
	case <-time.After(timeLimit):
		w.log.say("the script took too long")
	}
	return unable
}

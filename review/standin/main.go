// Standin plays the cases of the review: it is the platform's store, the backend servers, the clients and the operator in
// one process, and starts the entry processes with the command of the deploy file.
//
// Usage: standin CASE ROOT RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario is one case.
type scenario struct {
	rule string
	play func(f *fleet, trouble bool) error
}

var scenarios = map[string]scenario{
	"late-refusal":  {"TWICE", playLateRefusal},
	"late-release":  {"OWNER", playLateRelease},
	"endless-body":  {"Fault", playEndlessBody},
	"old-entry":     {"OWNER", playOldEntry},
	"quick-restart": {"OWNER", playQuickRestart},
}

func main() {
	os.Exit(playCase())
}

func playCase() int {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin CASE ROOT RECORD")
		return 2
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Println("no such case:", os.Args[1])
		return 2
	}
	f, err := newFleet(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- s.play(f, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-done:
	case <-signals:
		return 2
	case <-time.After(115 * time.Second):
		fmt.Println("the case took too long")
		return 2
	}
	if err != nil {
		fmt.Println(err)
		return 2
	}
	f.judge()
	return f.verdict(s.rule)
}

// configFormat is the operator's configuration: one service whose servers hold keys, and one route to it.
const configFormat = `{"version":"00000007","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
"baseVersion":"00000005","listeners":[{"host":"yard.example","rules":[{"name":"r-1","kind":%q,"targetLatencyS":%g,"priority":0,
"match":{"pathPrefix":"/book/"},"action":{"service":"ledger","timeoutS":%g,"maxAttempts":2}}]}],
"clusters":[{"name":"ledger","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false,"partitioned":true,"warmS":5.0,"grants":"rpc"}]}`

// workTimes returns run times around a mean, a few of them several times as long.
func workTimes(mean time.Duration) func() time.Duration {
	return func() time.Duration {
		t := float64(mean) * (0.5 + rand.Float64())
		if rand.Float64() < 0.03 {
			t *= 7
		}
		return time.Duration(t)
	}
}

// setUp writes the configuration and starts the servers and the entry processes. It waits until the keys have owners.
func (f *fleet) setUp(kind string, objective, timeout time.Duration, entries int, servers []serverOptions) error {
	f.idempotent = kind == "idempotent"
	f.store.put("config", "main", fmt.Sprintf(configFormat, kind, objective.Seconds(), timeout.Seconds()))
	for i, o := range servers {
		s, err := f.startServer(o, fmt.Sprintf("%s%d:0", f.prefix, 101+i))
		if err != nil {
			return err
		}
		go s.beat()
	}
	if err := f.startEntries(entries); err != nil {
		return err
	}
	end := time.Now().Add(20 * time.Second)
	for !f.allOwned() {
		if time.Now().After(end) {
			return fmt.Errorf("the keys got no owners")
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	return nil
}

// allOwned reports whether a server holds each key.
func (f *fleet) allOwned() bool {
	var owned [keys]bool
	now := time.Now()
	for _, s := range f.allServers() {
		s.mu.Lock()
		for k := range owned {
			owned[k] = owned[k] || !s.ended && now.Before(s.until[k])
		}
		s.mu.Unlock()
	}
	for _, o := range owned {
		if !o {
			return false
		}
	}
	return true
}

// serverList returns the options of n servers in three failure domains.
func serverList(n, slots, queue int, work func() time.Duration) []serverOptions {
	var list []serverOptions
	for i := range n {
		list = append(list, serverOptions{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), service: "ledger", zone: []string{"north", "south", "west"}[i%3],
			slots: slots, queue: queue, work: work,
		})
	}
	return list
}

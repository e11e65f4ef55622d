package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is memoryMb of the settings.
	memoryLimit = 284 << 20
	// memoryPoll is the time between two looks at a process's memory, and restartDelay the time until a process that was
	// killed is started again.
	memoryPoll   = 10 * time.Millisecond
	restartDelay = time.Second
)

// memory returns the resident memory of a process in bytes.
func memory(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	kib := 0
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			fmt.Sscan(rest, &kib)
		}
	}
	return kib << 10
}

// limitMemory kills an entry process whose memory exceeds the limit, and starts it again, as the platform does.
func (f *fleet) limitMemory(e *entry, stop <-chan struct{}) (kills int) {
	most := 0
	for {
		select {
		case <-stop:
			f.record.say("%s used %d MiB at most and was killed %d times", e.name, most>>20, kills)
			return kills
		case <-time.After(memoryPoll):
		}
		used := memory(e.command.Process.Pid)
		most = max(most, used)
		if used <= memoryLimit {
			continue
		}
		e.command.Process.Kill()
		<-e.exited
		kills++
		f.record.say("%s (pid %d) is killed: it uses %d MiB of %d", e.name, e.command.Process.Pid, used>>20, memoryLimit>>20)
		time.Sleep(restartDelay)
		if err := f.startEntry(e); err != nil {
			f.record.say("%v", err)
			return kills
		}
	}
}

// playEndlessBody: servers send bodies without an end in place of some answers, until the caller closes the connection. A
// process whose memory exceeds its limit is killed.
func playEndlessBody(f *fleet, trouble bool) error {
	work := workTimes(50 * time.Millisecond)
	if err := f.setUp("non_idempotent", 500*time.Millisecond, 1500*time.Millisecond, 3, serverList(5, 6, 24, work)); err != nil {
		return err
	}
	stop := make(chan struct{})
	kills := make([]int, len(f.entries))
	var group sync.WaitGroup
	for i, e := range f.entries {
		group.Go(func() { kills[i] = f.limitMemory(e, stop) })
	}
	if trouble {
		go f.garble(58*time.Second, func(s *server, share float64) { s.setFaults(faults{endless: share}) })
	}
	newClients(f).run(traffic{
		method: "PUT", host: "yard.example", path: "/book/1", perSecond: 400, deadline: 1500 * time.Millisecond,
		body: "one crate of clips", key: func() int { return rand.IntN(keys) },
	}, 60*time.Second)
	close(stop)
	group.Wait()
	machines := 0
	for _, n := range kills {
		if n >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		f.breach("Fault", "the processes of %d of %d machines exceeded their memory 3 times or more", machines, len(kills))
	}
	f.sayUnanswered()
	return nil
}

// sayUnanswered reports the requests that ran and got no answer.
func (f *fleet) sayUnanswered() {
	f.mu.Lock()
	lost := 0
	for id, a := range f.answers {
		if a.status == 0 && len(f.runs[id]) > 0 {
			lost++
			f.record.line("unanswered id=%s ran at %v, error=%v", id, f.runs[id], a.err)
		}
	}
	f.mu.Unlock()
	f.record.say("%d requests ran and got no answer", lost)
}

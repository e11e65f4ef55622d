// Package demo runs the complete deployment of a user on the loopback address, sends calls through it
// while some of its processes and servers fail, and checks the recorded history against the promises.
//
// # Usage
//
//	summary, err := demo.Run(ctx, demo.Options{User: "khangai", Seed: 1, Out: os.Stdout})
//	if err != nil || len(summary.Faults) > 0 {
//		os.Exit(1)
//	}
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/examples"
	"github.com/samphiredrum/samphiredrum/internal/audit"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// Timeouts and delays of the demo. Their sum stays below 15 s.
const (
	startTimeout = 8 * time.Second
	stepInterval = time.Second
	settleDelay  = 1500 * time.Millisecond
	// recoveryTarget is the target for the time from a loss until each key is served again.
	recoveryTarget = 4 * time.Second
)

// Options configures a run. Zero values select the defaults.
type Options struct {
	// User names the example deployment, "khangai" by default.
	User string
	// Seed determines the calls. Failures affect the same processes and servers for the same seed and
	// decider.
	Seed uint64
	// Callers is the number of concurrent callers, 24 by default.
	Callers int
	// Out receives the events and the summary as key=value lines; nil discards them.
	Out io.Writer
	// Log receives the events of the entry processes; the zero value discards them.
	Log zerolog.Logger
}

// Summary is the result of a run.
type Summary struct {
	Calls   int
	Ran     int
	NotRun  int
	Unknown int
	// Faults are the violations of promises.
	Faults []audit.Fault
}

// Run runs the demo. It returns an error if the fleet cannot be loaded or started.
func Run(ctx context.Context, o Options) (Summary, error) {
	o = o.withDefaults()
	plan, err := fleet.Load(examples.Files, o.User)
	if err != nil {
		return Summary{}, err
	}
	f := fleet.New(plan, fleet.WithLog(o.Log))
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	started := time.Now()
	defer f.Stop()
	if err := f.Start(starting); err != nil {
		return Summary{}, err
	}
	r := &run{options: o, fleet: f}
	r.print("event=started user=%s entry-processes=%d servers=%d took=%s seed=%d",
		o.User, len(plan.Processes), len(f.Servers()), rounded(time.Since(started)), o.Seed)
	return r.execute(ctx), nil
}

func (o Options) withDefaults() Options {
	if o.User == "" {
		o.User = "khangai"
	}
	if o.Callers <= 0 {
		o.Callers = 24
	}
	if o.Out == nil {
		o.Out = io.Discard
	}
	return o
}

// run holds the state of one run of the demo.
type run struct {
	options Options
	fleet   *fleet.Fleet
	drained drainedServer
	// lateRuns are the runs that the draining server started after drainBound.
	lateRuns []audit.Fault
}

func (r *run) print(format string, args ...any) {
	_, _ = fmt.Fprintf(r.options.Out, format+"\n", args...)
}

// execute sends calls, causes the failures one after the other, and checks the recorded history.
func (r *run) execute(ctx context.Context) Summary {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group conc.WaitGroup
	workers := make([]*worker, r.options.Callers)
	for i := range workers {
		workers[i] = newWorker(ctx, r.fleet, r.options.Seed, i)
		group.Go(workers[i].run)
	}
	pause(ctx, stepInterval)
	r.killEntry()
	pause(ctx, stepInterval)
	r.killOwner()
	pause(ctx, stepInterval)
	r.killDecider()
	pause(ctx, stepInterval)
	r.drainServer(ctx)
	pause(ctx, settleDelay)
	r.checkDrained()
	cancel()
	group.Wait()
	return r.summarize(workers)
}

func (r *run) killEntry() {
	for _, name := range r.fleet.Names() {
		if name != r.fleet.Decider() {
			r.fleet.Kill(name)
			r.print("event=killed entry-process=%s", name)
			return
		}
	}
}

// killOwner kills a server that owns keys, and waits until other servers serve all of its keys.
func (r *run) killOwner() {
	id := r.fleet.Owners()[0]
	spans := r.fleet.Spans(id)
	lost := len(spans)
	started := time.Now()
	r.fleet.Backend(id).Kill()
	for len(spans) > 0 && time.Since(started) < 2*recoveryTarget {
		time.Sleep(pollInterval)
		r.fleet.DropServed(spans, id)
	}
	r.print("event=killed server=%s spans=%d spans-left=%d served-again-after=%s", id, lost, len(spans), rounded(time.Since(started)))
}

func (r *run) killDecider() {
	name := r.fleet.Decider()
	if name == "" {
		return
	}
	r.fleet.Kill(name)
	started := time.Now()
	for r.fleet.Decider() == "" && time.Since(started) < recoveryTarget {
		time.Sleep(pollInterval)
	}
	r.print("event=killed decider=%s next=%s after=%s", name, r.fleet.Decider(), rounded(time.Since(started)))
}

// awaitDrained waits until no process routes keys to the server any more and every span is open, at most
// twice recoveryTarget, and returns the time waited.
func (r *run) awaitDrained(id assign.ServerID) time.Duration {
	started := time.Now()
	for !r.fleet.Drained(id) && time.Since(started) < 2*recoveryTarget {
		time.Sleep(pollInterval)
	}
	return time.Since(started)
}

// pollInterval is the time between two reads of the state of the fleet.
const pollInterval = 5 * time.Millisecond

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func rounded(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}

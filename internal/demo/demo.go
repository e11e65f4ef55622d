// Package demo runs a whole user on loopback, sends calls through it while parts of it fail, and
// checks the promises on what was recorded.
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

// Times of the demo. Their sum stays under 15 s.
const (
	startTime  = 8 * time.Second
	stepTime   = time.Second
	settleTime = 1500 * time.Millisecond
	// recoveryTime is the target for a key to be served again after a loss.
	recoveryTime = 4 * time.Second
)

// Options configure a run. Zero values take the defaults.
type Options struct {
	// User is the deployment, "khangai" by default.
	User string
	// Seed determines the calls; failures hit the same processes and servers for the same seed and
	// decider.
	Seed uint64
	// Callers is the number of concurrent callers, 24 by default.
	Callers int
	// Out gets the summary in key=value lines.
	Out io.Writer
	// Log gets the events of the entry processes; the zero value drops them.
	Log zerolog.Logger
}

// Summary is the result of a run.
type Summary struct {
	Calls   int
	Ran     int
	NotRun  int
	Unknown int
	// Faults are the broken promises.
	Faults []audit.Fault
}

// Run runs the demo. The error tells that the fleet could not be started.
func Run(ctx context.Context, o Options) (Summary, error) {
	o = o.withDefaults()
	plan, err := fleet.Load(examples.Files, o.User)
	if err != nil {
		return Summary{}, err
	}
	f := fleet.New(plan, fleet.WithLog(o.Log))
	starting, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	started := time.Now()
	defer f.Stop()
	if err := f.Start(starting); err != nil {
		return Summary{}, err
	}
	r := &run{options: o, fleet: f}
	r.print("event=started user=%s entry-processes=%d servers=%d took=%s seed=%d",
		o.User, len(plan.Processes), len(f.Servers()), rounded(time.Since(started)), o.Seed)
	return r.play(ctx), nil
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

// run is one run of the demo.
type run struct {
	options Options
	fleet   *fleet.Fleet
	leaving drained
	// late are the runs that the leaving server started after the bound.
	late []audit.Fault
}

func (r *run) print(format string, args ...any) {
	_, _ = fmt.Fprintf(r.options.Out, format+"\n", args...)
}

// play sends calls, causes the failures one after the other, and checks what was recorded.
func (r *run) play(ctx context.Context) Summary {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group conc.WaitGroup
	members := make([]*member, r.options.Callers)
	for i := range members {
		members[i] = newMember(ctx, r.fleet, r.options.Seed, i)
		group.Go(members[i].run)
	}
	pause(ctx, stepTime)
	r.killEntry()
	pause(ctx, stepTime)
	r.killOwner()
	pause(ctx, stepTime)
	r.killDecider()
	pause(ctx, stepTime)
	r.drainServer(ctx)
	pause(ctx, settleTime)
	r.checkDrained()
	cancel()
	group.Wait()
	return r.summarize(members)
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

// killOwner ends a server that owns keys, and waits until each of its keys is served by another.
func (r *run) killOwner() {
	id := r.fleet.Owners()[0]
	spans := r.fleet.Spans(id)
	lost := len(spans)
	started := time.Now()
	r.fleet.Backend(id).Kill()
	for len(spans) > 0 && time.Since(started) < 2*recoveryTime {
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
	for r.fleet.Decider() == "" && time.Since(started) < recoveryTime {
		time.Sleep(pollInterval)
	}
	r.print("event=killed decider=%s next=%s after=%s", name, r.fleet.Decider(), rounded(time.Since(started)))
}

// awaitMoved waits until no process sends keys to the server any more and every key is open.
func (r *run) awaitMoved(id assign.ServerID) time.Duration {
	started := time.Now()
	for !r.fleet.Drained(id) && time.Since(started) < 2*recoveryTime {
		time.Sleep(pollInterval)
	}
	return time.Since(started)
}

// pollInterval is the time between two looks at the state of the fleet.
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

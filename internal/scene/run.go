package scene

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/audit"
	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// longest bounds a scenario.
	longest = 3 * time.Minute
	// lateWork is the time after the last fault in which servers may still start what they had
	// queued.
	lateWork = 500 * time.Millisecond
	// shownFaults bounds the broken promises that are reported of each scenario.
	shownFaults = 10
)

// Options configure a run.
type Options struct {
	// Programs are the built programs.
	Programs Programs
	// Folder gets the settings, the logs of the processes and the history files of the servers.
	Folder string
	// Seed determines what the callers choose.
	Seed uint64
	// Out gets one key=value line for each event; nil drops them.
	Out io.Writer
}

// Result is what a scenario has shown.
type Result struct {
	// Failures are the broken promises and the statements that failed, each with the file and line
	// of the statement.
	Failures []string
	// Attempts is the number of calls, Runs that of the runs at servers.
	Attempts, Runs int
}

// Run plays a scenario and checks what it expects. Every process that it starts has ended when it
// returns. Its error is of type ErrRun and says that the deployment did not get ready.
func Run(ctx context.Context, s Scenario, o Options) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	if o.Out == nil {
		o.Out = io.Discard
	}
	if err := os.MkdirAll(o.Folder, 0o755); err != nil {
		return Result{}, ErrRun.Wrap(err, "name a folder that can be written")
	}
	r := &runner{
		scenario: s,
		options:  o,
		begun:    time.Now(),
		balancer: &balancer{},
		killed:   make(map[assign.ProcessID]bool),
		drained:  make(map[string]time.Time),
		changes:  make(map[string]*operator),
	}
	r.crew = newCrew(ctx, o.Seed, r.balancer)
	err := r.play(ctx)
	return r.result, err
}

// runner plays one scenario. It belongs to one goroutine.
type runner struct {
	scenario Scenario
	options  Options
	result   Result
	begun    time.Time

	deployment *deployment
	balancer   *balancer
	crew       *crew
	timed      conc.WaitGroup

	// loss is the time of the last fault, from which WaitServed counts.
	loss    time.Time
	killed  map[assign.ProcessID]bool
	drained map[string]time.Time
	// changes are the last changes of each team's configuration.
	changes map[string]*operator
	// probes counts the calls of the runner itself.
	probes int
	// checks are the expectations that are checked after the end of all processes.
	checks []Statement
}

func (r *runner) print(at int, format string, args ...any) {
	_, _ = fmt.Fprintf(r.options.Out, "scenario=%s line=%d at=%s %s\n",
		r.scenario.Name, at, since(r.begun), fmt.Sprintf(format, args...))
}

func (r *runner) fail(s Statement, format string, args ...any) {
	text := fmt.Sprintf("%s:%d: %s", r.scenario.File, s.at(), fmt.Sprintf(format, args...))
	r.result.Failures = append(r.result.Failures, text)
	r.print(s.at(), "event=failed %s", text)
}

// play plays the statements up to the first one that can't be played, and checks the record. The
// processes are ended in any case, also when a statement panics.
func (r *runner) play(ctx context.Context) error {
	defer r.end()
	for _, s := range r.scenario.Statements {
		err := r.step(ctx, s)
		if _, starts := s.(Start); starts && err != nil {
			return err
		}
		if err != nil {
			r.fail(s, "%s", err)
			break
		}
	}
	r.timed.Wait()
	r.crew.stop()
	// The error says that the scenario took too long, which a statement has reported.
	_ = sleep(ctx, lateWork)
	r.recheck(ctx)
	r.deployment.close()
	r.check()
	return nil
}

// end ends every goroutine and process.
func (r *runner) end() {
	r.crew.stop()
	if r.deployment != nil {
		r.deployment.close()
	}
}

// recheck looks once more at the configurations that were accepted: no process may have gone back.
func (r *runner) recheck(ctx context.Context) {
	for team, c := range r.changes {
		if c.verdict != accepted || time.Since(c.at) < configBound {
			continue
		}
		for _, e := range r.deployment.reachable() {
			if version, stale := e.stale(ctx, team, c.version); stale {
				r.fail(r.scenario.Statements[0], "%s serves with version %d of %s, and version %d was accepted", e.settings.Name, version, team, c.version)
			}
		}
	}
}

// configBound is the time after which an accepted configuration is in force, promise P8.
const configBound = 3 * time.Second

// check checks the record of callers and servers.
func (r *runner) check() {
	attempts := make([]audit.Attempt, 0, r.result.Attempts)
	for _, a := range r.crew.record.all() {
		attempts = append(attempts, a.Attempt)
	}
	runs, err := r.deployment.history()
	if err != nil {
		r.fail(r.scenario.Statements[0], "%s", err)
	}
	r.result.Attempts, r.result.Runs = len(attempts), len(runs)
	r.summarize(attempts)
	faults := audit.Check(runs, attempts)
	for _, s := range r.checks {
		switch s := s.(type) {
		case ExpectPromise:
			r.report(s, matching(faults, s.Name))
		case ExpectNoRun:
			r.report(s, audit.Leaving(runs, assign.ServerID(s.Server), r.drained[s.Server], s.Bound))
		case ExpectNoCut:
			r.report(s, audit.Cuts(attempts, r.killed))
		}
	}
}

func (r *runner) report(s Statement, faults []audit.Fault) {
	for i, f := range faults {
		if i == shownFaults {
			r.fail(s, "and %d more faults", len(faults)-i)
			return
		}
		r.fail(s, "%s", f)
	}
}

// matching returns the faults of a promise, or of all.
func matching(faults []audit.Fault, name string) []audit.Fault {
	var found []audit.Fault
	for _, f := range faults {
		if name == "all" || f.Promise.String() == name {
			found = append(found, f)
		}
	}
	return found
}

// summarize prints how often each outcome was told.
func (r *runner) summarize(attempts []audit.Attempt) {
	counts := make(map[string]int)
	reasons := make(map[string]int)
	bookings := make(map[string]bool)
	for _, a := range attempts {
		counts[a.Outcome]++
		if a.Outcome != caller.Ran {
			reasons[a.Outcome+": "+a.Reason]++
		}
		if a.Booking != "" {
			bookings[a.Booking] = true
		}
	}
	r.print(0, "event=ended calls=%d ran=%d not-run=%d unknown=%d bookings=%d runs=%d",
		len(attempts), counts[caller.Ran], counts[caller.NotRun], counts[caller.Unknown], len(bookings), r.result.Runs)
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		r.print(0, "event=told calls=%d outcome-and-reason=%q", reasons[reason], reason)
	}
}

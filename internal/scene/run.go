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
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// maxScenarioTime is the timeout of a scenario.
	maxScenarioTime = 3 * time.Minute
	// queuedWorkTime is the time after the callers have stopped in which servers may still start queued calls.
	queuedWorkTime = 500 * time.Millisecond
	// maxReportedFaults is the maximum number of faults reported for each check.
	maxReportedFaults = 10
)

// Options configures a run.
type Options struct {
	// Programs are the built programs.
	Programs Programs
	// Folder receives the settings, the logs of the processes and the history files of the servers.
	Folder string
	// Seed seeds the random choices of the callers.
	Seed uint64
	// Out receives one key=value line for each event; nil discards them.
	Out io.Writer
}

// Result is the result of a scenario.
type Result struct {
	// Failures are the broken promises and the statements that failed, each with the file and line
	// of the statement.
	Failures []string
	// Attempts is the number of recorded calls, Runs the number of runs at servers.
	Attempts, Runs int
}

// Run runs a scenario and checks its expectations. When it returns, every process that it started has ended. Its
// error is of type ErrRun and means that the deployment did not become ready.
func Run(ctx context.Context, s Scenario, o Options) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, maxScenarioTime)
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
		started:  time.Now(),
		balancer: &balancer{},
		killed:   make(map[assign.ProcessID]bool),
		drained:  make(map[string]time.Time),
		changes:  make(map[string]*operator),
	}
	r.callers = newCallerPool(ctx, o.Seed, r.balancer)
	err := r.run(ctx)
	return r.result, err
}

// runner runs one scenario. It is used by one goroutine only.
type runner struct {
	scenario Scenario
	options  Options
	result   Result
	started  time.Time

	deployment  *deployment
	balancer    *balancer
	callers     *callerPool
	timedFaults conc.WaitGroup

	// lastFault is the time of the last fault, from which WaitServed measures.
	lastFault time.Time
	killed    map[assign.ProcessID]bool
	drained   map[string]time.Time
	// changes holds the last change of each team's configuration.
	changes map[string]*operator
	// probes is the number of calls made by the runner itself.
	probes int
	// checks are run on the recorded calls and runs after all processes have ended.
	checks []check
}

func (r *runner) print(at int, format string, args ...any) {
	_, _ = fmt.Fprintf(r.options.Out, "scenario=%s line=%d at=%s %s\n",
		r.scenario.Name, at, since(r.started), fmt.Sprintf(format, args...))
}

func (r *runner) fail(s Statement, format string, args ...any) {
	text := fmt.Sprintf("%s:%d: %s", r.scenario.File, s.at(), fmt.Sprintf(format, args...))
	r.result.Failures = append(r.result.Failures, text)
	r.print(s.at(), "event=failed %s", text)
}

// run runs the statements up to the first one that fails, and then checks the recorded calls and runs. It always
// ends the processes, even if a statement panics.
func (r *runner) run(ctx context.Context) error {
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
	r.timedFaults.Wait()
	r.callers.stop()
	// The error means that the scenario took too long, which a statement has already reported.
	_ = sleep(ctx, queuedWorkTime)
	r.checkFinalConfigs(ctx)
	r.deployment.close()
	r.check()
	return nil
}

// end stops the callers and the processes of the deployment.
func (r *runner) end() {
	r.callers.stop()
	if r.deployment != nil {
		r.deployment.close()
	}
}

// checkFinalConfigs checks the accepted configurations again: no process may have reverted to an older
// version.
func (r *runner) checkFinalConfigs(ctx context.Context) {
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

// configBound is the time within which an accepted configuration must be in force at every process that serves
// (promise P8).
const configBound = 3 * time.Second

// check runs the audit and the checks of the scenario on the recorded calls and runs.
func (r *runner) check() {
	attempts := make([]audit.Attempt, 0, r.result.Attempts)
	for _, a := range r.callers.attempts.all() {
		attempts = append(attempts, a.Attempt)
	}
	runs, err := r.deployment.history()
	if err != nil {
		r.fail(r.scenario.Statements[0], "%s", err)
	}
	r.result.Attempts, r.result.Runs = len(attempts), len(runs)
	r.summarize(attempts)
	rec := auditRecord{runs: runs, attempts: attempts, faults: audit.Check(runs, attempts)}
	for _, c := range r.checks {
		r.report(c.statement, c.faults(rec))
	}
}

// check is an expectation on the recorded calls and runs.
type check struct {
	statement Statement
	faults    func(auditRecord) []audit.Fault
}

// auditRecord holds the calls of the callers and the runs of the servers, with the faults that audit.Check found.
type auditRecord struct {
	runs     []stand.Run
	attempts []audit.Attempt
	faults   []audit.Fault
}

func (r *runner) addCheck(s Statement, faults func(auditRecord) []audit.Fault) {
	r.checks = append(r.checks, check{s, faults})
}

func (r *runner) report(s Statement, faults []audit.Fault) {
	for i, f := range faults {
		if i == maxReportedFaults {
			r.fail(s, "and %d more faults", len(faults)-i)
			return
		}
		r.fail(s, "%s", f)
	}
}

// faultsOf returns the faults of the named promise, or all faults if the name is "all".
func faultsOf(faults []audit.Fault, name string) []audit.Fault {
	var found []audit.Fault
	for _, f := range faults {
		if name == "all" || f.Promise.String() == name {
			found = append(found, f)
		}
	}
	return found
}

// summarize prints the number of calls for each outcome and reason.
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

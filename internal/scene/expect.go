package scene

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/audit"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// staleWatchTime is how long processes are checked after the bound: a process that resumes after a pause must not
// serve with the configuration that it had before.
const staleWatchTime = 500 * time.Millisecond

// extraCallTime is how long calls continue after the time from which a leaving server must get none.
const extraCallTime = time.Second

// expectInForce waits for the bound and then checks that no process serves with an older version.
func (r *runner) expectInForce(ctx context.Context, s ExpectInForce) error {
	c := r.changes[s.Team]
	if c == nil || c.verdict != accepted {
		r.fail(s, "no change of %s was accepted; put \"config set\" and \"expect config %s accepted\" before", s.Team, s.Team)
		return nil
	}
	everywhere := false
	for time.Since(c.at) < s.Bound {
		if !everywhere && r.inForceEverywhere(ctx, c) {
			everywhere = true
			r.print(s.at(), "event=in-force team=%s version=%d measured=%s bound=%s", s.Team, c.version, since(c.at), s.Bound)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	if !everywhere {
		r.print(s.at(), "event=not-in-force team=%s version=%d bound=%s at some process", s.Team, c.version, s.Bound)
	}
	for until := time.Now().Add(staleWatchTime); time.Now().Before(until); {
		for _, e := range r.deployment.running() {
			if version, stale := e.stale(ctx, s.Team, c.version); stale {
				r.fail(s, "%s serves with version %d of %s %s after version %d was accepted",
					e.settings.Name, version, s.Team, since(c.at), c.version)
				return nil
			}
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// inForceEverywhere reports whether the change is in force at every running process.
func (r *runner) inForceEverywhere(ctx context.Context, c *operator) bool {
	for _, e := range r.deployment.running() {
		if version, ok := e.inForce(ctx, c.team); !ok || version < c.version {
			return false
		}
	}
	return true
}

func (r *runner) expectConfig(s ExpectConfig) {
	c := r.changes[s.Team]
	switch {
	case c == nil:
		r.fail(s, "no statement changes %s; put \"config set\" before", s.Team)
	case s.Accepted && c.verdict != accepted:
		r.fail(s, "the change of %s ended as %s (%s); want accepted", s.Team, c.verdict, c.detail)
	case !s.Accepted && c.verdict == accepted:
		r.fail(s, "the change of %s was accepted (%s); want it not accepted", s.Team, c.detail)
	}
}

// expectRunning waits until a call of each kind has run that was started after this statement.
func (r *runner) expectRunning(ctx context.Context, s ExpectRunning) error {
	from := time.Now()
	err := await(ctx, func() (bool, error) { return len(r.callers.missingCalls(from)) == 0, nil })
	if err != nil {
		return ErrRun.New("no call ran of %s since the statement; look at the logs in %s",
			strings.Join(r.callers.missingCalls(from), ", "), r.options.Folder)
	}
	r.print(s.at(), "event=running measured=%s", since(from))
	return nil
}

// expectNoRun lets calls continue past the bound. The runs are checked at the end of the scenario.
func (r *runner) expectNoRun(ctx context.Context, s ExpectNoRun) error {
	from, ok := r.drained[s.Server]
	if !ok {
		return ErrRun.New("%s was not drained; put \"drain server %s\" before", s.Server, s.Server)
	}
	r.addCheck(s, func(a auditRecord) []audit.Fault {
		return audit.Leaving(a.runs, assign.ServerID(s.Server), from, s.Bound)
	})
	return sleep(ctx, time.Until(from.Add(s.Bound+extraCallTime)))
}

// history returns the runs of all servers. All servers must have ended.
func (d *deployment) history() ([]stand.Run, error) {
	var runs []stand.Run
	for _, id := range slices.Sorted(maps.Keys(d.servers)) {
		list, err := readHistory(d.historyFile(id), d.servers[id].killed)
		if err != nil {
			return runs, err
		}
		runs = append(runs, list...)
	}
	return runs, nil
}

// shortLookup returns the first short operation of a service, or its first operation if it has no short one.
func shortLookup(service *conf.Service) conf.Operation {
	for _, o := range service.Operations {
		if o.Class == conf.Short {
			return o
		}
	}
	return service.Operations[0]
}

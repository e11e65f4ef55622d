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

// resumeLook is how long a process is watched after a bound: one that returns from a pause must not
// serve with what it had before.
const resumeLook = 500 * time.Millisecond

// pastBound is how long calls go on after the time from which a leaving server gets none.
const pastBound = time.Second

// expectInForce waits for the bound and then looks whether any process serves with an older version.
func (r *runner) expectInForce(ctx context.Context, s ExpectInForce) error {
	c := r.changes[s.Team]
	if c == nil || c.verdict != accepted {
		r.fail(s, "no change of %s was accepted; put \"config set\" and \"expect config %s accepted\" before", s.Team, s.Team)
		return nil
	}
	everywhere := false
	for time.Since(c.at) < s.Bound {
		if !everywhere && r.everywhere(ctx, c) {
			everywhere = true
			r.print(s.at(), "event=in-force team=%s version=%d measured=%s bound=%s", s.Team, c.version, since(c.at), s.Bound)
		}
		if err := sleep(ctx, lookInterval); err != nil {
			return err
		}
	}
	if !everywhere {
		r.print(s.at(), "event=not-in-force team=%s version=%d bound=%s at some process", s.Team, c.version, s.Bound)
	}
	for until := time.Now().Add(resumeLook); time.Now().Before(until); {
		for _, e := range r.deployment.running() {
			if version, stale := e.stale(ctx, s.Team, c.version); stale {
				r.fail(s, "%s serves with version %d of %s %s after version %d was accepted",
					e.settings.Name, version, s.Team, since(c.at), c.version)
				return nil
			}
		}
		if err := sleep(ctx, lookInterval); err != nil {
			return err
		}
	}
	return nil
}

// everywhere reports whether every running process has the change in force.
func (r *runner) everywhere(ctx context.Context, c *operator) bool {
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

// expectRunning waits until calls run that were started after this statement.
func (r *runner) expectRunning(ctx context.Context, s ExpectRunning) error {
	from := time.Now()
	err := await(ctx, func() (bool, error) { return len(r.crew.missing(from)) == 0, nil })
	if err != nil {
		return ErrRun.New("no call ran of %s since the statement; look at the logs in %s",
			strings.Join(r.crew.missing(from), ", "), r.options.Folder)
	}
	r.print(s.at(), "event=running measured=%s", since(from))
	return nil
}

// expectNoRun lets the calls go on past the bound. The record is checked at the end.
func (r *runner) expectNoRun(ctx context.Context, s ExpectNoRun) error {
	from, ok := r.drained[s.Server]
	if !ok {
		return ErrRun.New("%s was not drained; put \"drain server %s\" before", s.Server, s.Server)
	}
	r.later(s, func(a audited) []audit.Fault {
		return audit.Leaving(a.runs, assign.ServerID(s.Server), from, s.Bound)
	})
	return sleep(ctx, time.Until(from.Add(s.Bound+pastBound)))
}

// history returns the runs of all servers, which have ended.
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

// shortLookup returns a lookup of a service.
func shortLookup(service *conf.Service) conf.Operation {
	for _, o := range service.Operations {
		if o.Class == conf.Short {
			return o
		}
	}
	return service.Operations[0]
}

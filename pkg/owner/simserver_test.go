package owner_test

import (
	"fmt"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// simServer is a backend server that checks only what its fencing kind requires.
type simServer struct {
	sim       *simulation
	id        assign.ServerID
	clock     clock
	runNumber int
	up        bool
	gone      bool
	frozen    bool
	// frozenAt is when the server froze. Nothing takes effect while it is frozen.
	frozenAt time.Duration
	backlog  []func()
	draining bool
	grants   map[uint64]simGrant
	// minFences are the lowest accepted fences by key.
	minFences map[uint64]lease.Fence
	running   map[*simRun]bool
}

type simGrant struct {
	fence    lease.Fence
	notAfter time.Time
}

// simRun is one call that a server is running.
type simRun struct {
	key      uint64
	fence    lease.Fence
	server   *simServer
	notAfter time.Time
	endsAt   time.Duration
	// superseded is set if a run under a newer fence started while this server was frozen.
	superseded bool
	answer     func(ran bool)
}

func (v *simServer) incarnation() string { return fmt.Sprintf("%s.%d", v.id, v.runNumber) }

func (v *simServer) read() time.Time { return v.clock.read(v.sim.now) }

// receive handles a request now, or when the server resumes. A request that was sent to an earlier
// process of the server is lost with its connection.
func (v *simServer) receive(number int, handle, refused func()) {
	switch {
	case !v.up || number != v.runNumber:
		refused()
	case v.frozen:
		v.backlog = append(v.backlog, func() { v.receive(number, handle, refused) })
	default:
		handle()
	}
}

// call starts a run if the server's kind allows it.
func (v *simServer) call(key uint64, fence lease.Fence, notAfter time.Time, length time.Duration, answer func(bool)) {
	if !v.accepts(key, fence, notAfter) {
		answer(false)
		return
	}
	r := &simRun{key: key, fence: fence, server: v, notAfter: notAfter, answer: answer}
	r.endsAt = v.sim.now + length
	v.running[r] = true
	v.sim.checker.runStarted(r)
	v.sim.after(length, func() { v.end(r) })
	v.scheduleStop(r)
}

func (v *simServer) accepts(key uint64, fence lease.Fence, notAfter time.Time) bool {
	switch v.sim.fencing {
	case assign.Grants:
		g, ok := v.grants[key]
		return ok && g.fence == fence && v.read().Before(g.notAfter)
	case assign.Deadlines:
		return v.read().Before(notAfter)
	default:
		return true
	}
}

// stopTime returns the time at which the server stops the run, and whether there is one. For kind
// grants, it first updates the run's limit from the current grant.
func (v *simServer) stopTime(r *simRun) (time.Time, bool) {
	switch v.sim.fencing {
	case assign.Grants:
		if g := v.grants[r.key]; g.fence == r.fence {
			r.notAfter = g.notAfter
		}
		return r.notAfter, true
	case assign.Deadlines:
		return r.notAfter, true
	default:
		return time.Time{}, false
	}
}

// scheduleStop stops the run when its stop time is reached.
func (v *simServer) scheduleStop(r *simRun) {
	limit, ok := v.stopTime(r)
	if !ok || !v.running[r] {
		return
	}
	wait := v.clock.simTimeAt(limit) - v.sim.now
	if wait <= 0 {
		if !v.frozen {
			v.stop(r)
		}
		return
	}
	if v.sim.now+wait < r.endsAt {
		v.sim.after(wait+1, func() { v.scheduleStop(r) })
	}
}

func (v *simServer) end(r *simRun) {
	if v.running[r] && !v.frozen {
		v.stop(r)
		r.answer(true)
	}
}

func (v *simServer) stop(r *simRun) { delete(v.running, r) }

// grant replaces the granted spans. It refuses a grant for another incarnation or with a fence
// below the minimum of a key.
func (v *simServer) grant(incarnation string, spans []owner.Grant, notAfter time.Time) bool {
	if incarnation != v.incarnation() {
		return false
	}
	next := make(map[uint64]simGrant)
	for _, key := range v.sim.keys {
		for _, g := range spans {
			if !g.Span.Contains(key) {
				continue
			}
			if g.Fence < v.minFences[key] {
				return false
			}
			next[key] = simGrant{fence: g.Fence, notAfter: notAfter}
		}
	}
	v.replaceGrants(next)
	return true
}

// replaceGrants replaces the grants. It first updates the limits of the runs, because their spans
// may no longer be granted. A grant that arrives after a later one does not shorten it.
func (v *simServer) replaceGrants(next map[uint64]simGrant) {
	for r := range v.running {
		v.stopTime(r)
	}
	for key, g := range next {
		if old := v.grants[key]; old.fence == g.fence && old.notAfter.After(g.notAfter) {
			next[key] = old
		}
		v.minFences[key] = max(v.minFences[key], g.fence)
	}
	v.grants = next
}

// revoke stops the spans, and answers once they have no runs left.
func (v *simServer) revoke(spans []owner.Grant, answer func()) {
	for _, key := range v.sim.keys {
		for _, g := range spans {
			if !g.Span.Contains(key) {
				continue
			}
			v.minFences[key] = max(v.minFences[key], g.Fence+1)
			if old, ok := v.grants[key]; ok && old.fence <= g.Fence {
				for r := range v.running {
					v.stopTime(r)
				}
				delete(v.grants, key)
			}
		}
	}
	v.awaitRevoked(v.runNumber, spans, answer)
}

func (v *simServer) awaitRevoked(number int, spans []owner.Grant, answer func()) {
	if number != v.runNumber || !v.up {
		return
	}
	busy := v.frozen
	for r := range v.running {
		for _, g := range spans {
			busy = busy || g.Span.Contains(r.key) && r.fence <= g.Fence
		}
	}
	if !busy {
		answer()
		return
	}
	v.sim.after(5*time.Millisecond, func() { v.awaitRevoked(number, spans, answer) })
}

func (v *simServer) freeze(length time.Duration) {
	if v.frozen || !v.up {
		return
	}
	v.sim.log("%s freezes for %v", v.id, length)
	v.frozen = true
	v.frozenAt = v.sim.now
	number := v.runNumber
	v.sim.after(length, func() {
		if number == v.runNumber && v.up {
			v.unfreeze()
		}
	})
}

// unfreeze resumes the runs and then handles the requests that waited, in random order.
func (v *simServer) unfreeze() {
	if !v.frozen {
		return
	}
	v.sim.log("%s resumes", v.id)
	v.frozen = false
	for _, r := range v.sortedRunning() {
		limit, ok := v.stopTime(r)
		if ok && !v.read().Before(limit) {
			v.stop(r)
			continue
		}
		if r.superseded {
			v.sim.checker.fail("run of key %x under fence %d goes on at %s after a newer run started", r.key, r.fence, v.id)
		}
		v.sim.after(max(0, r.endsAt-v.sim.now), func() { v.end(r) })
		v.scheduleStop(r)
	}
	waiting := v.backlog
	v.backlog = nil
	v.sim.rng.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
	for _, handle := range waiting {
		handle()
	}
}

// sortedRunning returns the runs in an order that does not depend on addresses.
func (v *simServer) sortedRunning() []*simRun {
	var runs []*simRun
	for _, r := range v.sim.checker.runs {
		if v.running[r] {
			runs = append(runs, r)
		}
	}
	return runs
}

// kill ends the server's process and its runs.
func (v *simServer) kill(gone bool) {
	v.sim.log("%s ends, gone %v", v.id, gone)
	v.up = false
	v.gone = gone
	v.frozen = false
	ended := v.sortedRunning()
	v.running = make(map[*simRun]bool)
	for _, r := range ended {
		r.answer(false)
	}
	waiting := v.backlog
	v.backlog = nil
	for _, handle := range waiting {
		handle()
	}
}

func (v *simServer) restart() {
	if v.up || v.gone {
		return
	}
	v.runNumber++
	v.sim.log("%s starts as %s", v.id, v.incarnation())
	v.up = true
	v.grants = make(map[uint64]simGrant)
	v.minFences = make(map[uint64]lease.Fence)
}

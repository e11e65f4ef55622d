package owner_test

import (
	"fmt"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// simServer is a backend server. It checks what its fencing kind says and nothing else.
type simServer struct {
	sim    *simulation
	id     assign.ServerID
	clock  clock
	number int
	up     bool
	gone   bool
	frozen bool
	// frozenAt is the start of the freeze; nothing takes effect from then to its end.
	frozenAt time.Duration
	backlog  []func()
	draining bool
	granted  map[uint64]simGrant
	// floor holds for each key the lowest fence that is accepted.
	floor  map[uint64]lease.Fence
	active map[*simRun]bool
}

type simGrant struct {
	fence    lease.Fence
	notAfter time.Time
}

// simRun is one call that a server works on.
type simRun struct {
	key      uint64
	fence    lease.Fence
	server   *simServer
	notAfter time.Time
	finish   time.Duration
	// superseded is set where a run under a newer fence started while this server was frozen.
	superseded bool
	answer     func(ran bool)
}

func (v *simServer) incarnation() string { return fmt.Sprintf("%s.%d", v.id, v.number) }

func (v *simServer) read() time.Time { return v.clock.read(v.sim.now) }

// receive handles a request now, or when the server thaws. A request that was addressed to an
// earlier process of the server is lost with its connection.
func (v *simServer) receive(number int, handle, refused func()) {
	switch {
	case !v.up || number != v.number:
		refused()
	case v.frozen:
		v.backlog = append(v.backlog, func() { v.receive(number, handle, refused) })
	default:
		handle()
	}
}

// call starts a run where the server's kind allows it.
func (v *simServer) call(key uint64, fence lease.Fence, notAfter time.Time, length time.Duration, answer func(bool)) {
	if !v.accepts(key, fence, notAfter) {
		answer(false)
		return
	}
	r := &simRun{key: key, fence: fence, server: v, notAfter: notAfter, answer: answer}
	r.finish = v.sim.now + length
	v.active[r] = true
	v.sim.history.started(r)
	v.sim.after(length, func() { v.end(r) })
	v.watch(r)
}

func (v *simServer) accepts(key uint64, fence lease.Fence, notAfter time.Time) bool {
	switch v.sim.kind {
	case assign.Grants:
		g, ok := v.granted[key]
		return ok && g.fence == fence && v.read().Before(g.notAfter)
	case assign.Deadlines:
		return v.read().Before(notAfter)
	default:
		return true
	}
}

// limit returns the time at which the server stops the run, and whether it has one.
func (v *simServer) limit(r *simRun) (time.Time, bool) {
	switch v.sim.kind {
	case assign.Grants:
		if g := v.granted[r.key]; g.fence == r.fence {
			r.notAfter = g.notAfter
		}
		return r.notAfter, true
	case assign.Deadlines:
		return r.notAfter, true
	default:
		return time.Time{}, false
	}
}

// watch stops the run at its limit.
func (v *simServer) watch(r *simRun) {
	limit, ok := v.limit(r)
	if !ok || !v.active[r] {
		return
	}
	wait := v.clock.until(limit) - v.sim.now
	if wait <= 0 {
		if !v.frozen {
			v.stop(r)
		}
		return
	}
	if v.sim.now+wait < r.finish {
		v.sim.after(wait+1, func() { v.watch(r) })
	}
}

func (v *simServer) end(r *simRun) {
	if v.active[r] && !v.frozen {
		v.stop(r)
		r.answer(true)
	}
}

func (v *simServer) stop(r *simRun) { delete(v.active, r) }

// grant takes over the spans of a grant, as far as their fences are not too low.
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
			if g.Fence < v.floor[key] {
				return false
			}
			next[key] = simGrant{fence: g.Fence, notAfter: notAfter}
		}
	}
	v.replace(next)
	return true
}

// replace keeps the limits of runs whose span is no longer granted. A grant that was overtaken by
// a later one does not shorten it.
func (v *simServer) replace(next map[uint64]simGrant) {
	for r := range v.active {
		v.limit(r)
	}
	for key, g := range next {
		if old := v.granted[key]; old.fence == g.fence && old.notAfter.After(g.notAfter) {
			next[key] = old
		}
		v.floor[key] = max(v.floor[key], g.fence)
	}
	v.granted = next
}

// revoke stops the spans, and answers once no run of them is left.
func (v *simServer) revoke(spans []owner.Grant, answer func()) {
	for _, key := range v.sim.keys {
		for _, g := range spans {
			if !g.Span.Contains(key) {
				continue
			}
			v.floor[key] = max(v.floor[key], g.Fence+1)
			if old, ok := v.granted[key]; ok && old.fence <= g.Fence {
				for r := range v.active {
					v.limit(r)
				}
				delete(v.granted, key)
			}
		}
	}
	v.awaitRevoked(v.number, spans, answer)
}

func (v *simServer) awaitRevoked(number int, spans []owner.Grant, answer func()) {
	if number != v.number || !v.up {
		return
	}
	busy := v.frozen
	for r := range v.active {
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
	number := v.number
	v.sim.after(length, func() {
		if number == v.number && v.up {
			v.thaw()
		}
	})
}

// thaw goes on with the runs and the requests that waited, the latter in any order.
func (v *simServer) thaw() {
	if !v.frozen {
		return
	}
	v.sim.log("%s thaws", v.id)
	v.frozen = false
	for _, r := range v.sortedActive() {
		limit, ok := v.limit(r)
		if ok && !v.read().Before(limit) {
			v.stop(r)
			continue
		}
		if r.superseded {
			v.sim.history.fail("run of key %x under fence %d goes on at %s after a newer run started", r.key, r.fence, v.id)
		}
		v.sim.after(max(0, r.finish-v.sim.now), func() { v.end(r) })
		v.watch(r)
	}
	waiting := v.backlog
	v.backlog = nil
	v.sim.rng.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
	for _, handle := range waiting {
		handle()
	}
}

// sortedActive returns the runs in an order that does not depend on addresses.
func (v *simServer) sortedActive() []*simRun {
	var runs []*simRun
	for _, r := range v.sim.history.runs {
		if v.active[r] {
			runs = append(runs, r)
		}
	}
	return runs
}

// kill ends the server's process; its runs end with it.
func (v *simServer) kill(gone bool) {
	v.sim.log("%s ends, gone %v", v.id, gone)
	v.up = false
	v.gone = gone
	v.frozen = false
	ended := v.sortedActive()
	v.active = make(map[*simRun]bool)
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
	v.number++
	v.sim.log("%s starts as %s", v.id, v.incarnation())
	v.up = true
	v.granted = make(map[uint64]simGrant)
	v.floor = make(map[uint64]lease.Fence)
}

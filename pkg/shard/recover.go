package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

const (
	// sweepTimeout is how long a recovery waits for the releases of a server.
	sweepTimeout = 600 * time.Millisecond
	// reportTime is how long a recovery waits for Reported.
	reportTime = time.Second
)

// recovery finds out who holds the keys of a service if the tables may lack the last changes of an earlier leader,
// because the store came back from an older copy. The owners in the tables are only believed: each of them keeps its keys,
// and each server is asked to release all others. When all have done so, or their grants have certainly expired, no key can
// be held by another server than its believed owner. A server that does not answer becomes an earlier owner of the keys that
// it has not released.
//
// The load pattern is an outage of the store after which each key still has an owner that serves requests. Waiting for
// all grants to expire would leave all keys without owners for seconds.
type recovery struct {
	// fence is the fencing number of the releases. It is above all that earlier leaders used, and below those of the rows.
	fence lease.Fence
	// write is the number of the Write that makes the fencing numbers durable.
	write uint64
	// listedFrom is when the list of servers is complete.
	listedFrom time.Time
	// listed reports that a complete list has been read.
	listed bool
	// reportsUntil is when other processes have reported the servers that only they know.
	reportsUntil time.Time
	// until is when all grants of earlier leaders have expired.
	until  time.Time
	sweeps map[Run]*sweep
	// ownerless reports that the tables have no owners. Then all servers have to answer, or their grants to expire.
	ownerless bool
}

// sweep is the release of all keys that a server may hold without being their believed owner.
type sweep struct {
	holder Holder
	// ranges are the ranges that the server has not confirmed.
	ranges   []Range
	inFlight map[Range]bool
	// askedAt is when the first release was sent.
	askedAt time.Time
	// nextOrder is the earliest time of the next release.
	nextOrder time.Time
	// failed reports that a release got no answer.
	failed bool
	// leaving reports that the server very likely holds no keys but those that the tables show, see Started.Leaving.
	leaving bool
}

// open reports whether the recovery still waits for the server. It does not if the server has probably ended.
func (w *sweep) open(now time.Time) bool {
	if len(w.ranges) == 0 || w.leaving && w.failed {
		return false
	}
	return w.askedAt.IsZero() || now.Sub(w.askedAt) < sweepTimeout
}

func runOf(h Holder) Run { return Run{Server: h.Server, Born: h.Born} }

// startRecovery begins the recovery of a service with believed rows. Their fencing numbers are replaced by new ones.
func (d *Decider) startRecovery(s *service, e Started, until time.Time) {
	older := e.Older[s.id]
	s.nextFence = max(s.nextFence, older.NextFence, e.FirstFence)
	s.recovery = &recovery{
		fence: s.allocateFence(), write: d.lastWrite + 1, listedFrom: e.ListedFrom, until: until, sweeps: map[Run]*sweep{},
		ownerless: len(s.rows) == 0, reportsUntil: d.startedAt.Add(reportTime),
	}
	d.dirty = true
	for _, r := range s.rows {
		for _, p := range r.priorOwners {
			s.addSweep(p.Holder)
		}
		s.addSweep(r.Owner)
		r.Fence = s.allocateFence()
		d.scheduleWrite(r)
	}
	for _, r := range older.Rows {
		s.addSweep(r.Owner)
		s.addSweeps(r.Prior)
	}
	s.addSweeps(older.Holders)
	for run, w := range s.recovery.sweeps {
		w.leaving = e.Leaving[run] && len(s.rows) > 0
	}
}

// knownService returns the state of a service. If the tables may lack the service, its recovery begins first.
func (d *Decider) knownService(now time.Time, id assign.ServiceID) *service {
	if d.services[id] == nil && d.started.Unknown && now.Before(d.latestEnd) {
		d.startRecovery(d.service(id), d.started, d.latestEnd)
	}
	return d.service(id)
}

// handleReported makes a recovery ask also servers that only other processes know.
func (d *Decider) handleReported(now time.Time, e Reported) {
	if !d.started.Unknown {
		return
	}
	for id, holders := range e.Holders {
		if s := d.knownService(now, id); s.recovery != nil {
			s.addSweeps(holders)
		}
	}
}

func (s *service) addSweeps(list []Holder) {
	for _, h := range list {
		s.addSweep(h)
	}
}

// unconfirmed returns the servers that have not confirmed all releases. The next leader has to ask them if this one is
// lost.
func (c *recovery) unconfirmed() []Holder {
	var list []Holder
	for _, w := range c.sorted() {
		if len(w.ranges) > 0 && !w.leaving {
			list = append(list, w.holder)
		}
	}
	return list
}

// addSweep adds a server that may hold keys.
func (s *service) addSweep(h Holder) {
	if s.recovery.sweeps[runOf(h)] != nil {
		return
	}
	rest := []Row{{Range: Range{First: 0, Last: LastKey}}}
	for _, r := range s.rows {
		if r.Owner.sameRun(h) {
			last := rest[len(rest)-1]
			rest = append(rest[:len(rest)-1], last.withoutRange(r.Range)...)
		}
		if len(rest) == 0 {
			break
		}
	}
	w := &sweep{holder: h, inFlight: map[Range]bool{}}
	for _, r := range rest {
		w.ranges = append(w.ranges, r.Range)
	}
	s.recovery.sweeps[runOf(h)] = w
}

// updateSweeps adds the listed servers.
func (s *service) updateSweeps(readAt time.Time) {
	s.recovery.listed = s.recovery.listed || !readAt.Before(s.recovery.listedFrom)
	for _, a := range s.servers {
		s.addSweep(HolderOf(a))
	}
}

// handleRestored makes a recovery that is not complete wait for the list again.
func (d *Decider) handleRestored(e Restored) {
	d.started.ListedFrom = e.ListedFrom
	for _, s := range d.services {
		if s.recovery != nil {
			s.recovery.listedFrom, s.recovery.listed = e.ListedFrom, false
		}
	}
}

// recover returns the releases that are due, and ends the recovery when it is complete.
func (d *Decider) recover(now time.Time, s *service) []Action {
	c := s.recovery
	if d.lastStored < c.write {
		return nil
	}
	if c.complete(now) {
		d.endRecovery(now, s)
		// The stored tables say that they are confirmed from now on.
		d.dirty = true
		return nil
	}
	var actions []Action
	for _, w := range c.sorted() {
		if now.Before(w.nextOrder) {
			continue
		}
		for _, keys := range w.ranges {
			if w.inFlight[keys] {
				continue
			}
			w.inFlight[keys] = true
			if w.askedAt.IsZero() {
				w.askedAt = now
			}
			actions = append(actions, Release{Service: s.id, Range: keys, Holder: w.holder, Fence: c.fence, Recovery: true})
		}
	}
	return actions
}

// complete reports whether all servers have answered or had the time to do so.
func (c *recovery) complete(now time.Time) bool {
	if !now.Before(c.until) {
		return true
	}
	for _, w := range c.sweeps {
		if w.open(now) || len(w.ranges) > 0 && c.ownerless {
			return false
		}
	}
	return c.listed && !now.Before(c.reportsUntil)
}

// endRecovery ends the recovery. The servers that have not released all keys become earlier owners of them, so that each
// key waits only for the servers that may hold it.
func (d *Decider) endRecovery(now time.Time, s *service) {
	c := s.recovery
	s.recovery = nil
	if !now.Before(c.until) {
		return
	}
	for _, w := range c.sorted() {
		if len(w.ranges) == 0 || w.leaving {
			continue
		}
		s.silent = append(s.silent, w.holder)
		// A single release shows whether the server answers again.
		s.unresponsive[runOf(w.holder)] = now
		for _, r := range s.rows {
			if r.addPrior(w, c.until) {
				d.bumpVersion(r)
			}
		}
	}
}

// Silent returns the servers that did not answer the last recoveries, sorted by service.
func (d *Decider) Silent() []Holder {
	var list []Holder
	for _, id := range slices.Sorted(maps.Keys(d.services)) {
		list = append(list, d.services[id].silent...)
	}
	return list
}

// addPrior makes the server of a sweep an earlier owner of the row if it has not released all of the row's keys. It reports
// whether the row changed.
func (r *row) addPrior(w *sweep, until time.Time) bool {
	known := slices.ContainsFunc(r.priorOwners, func(p *priorOwner) bool { return p.sameRun(w.holder) })
	held := slices.ContainsFunc(w.ranges, func(keys Range) bool { return keys.First <= r.Last && r.First <= keys.Last })
	if !held || known {
		return false
	}
	r.priorOwners = append(r.priorOwners, &priorOwner{Holder: w.holder, heldUntil: until})
	return true
}

// sorted returns the sweeps in a fixed order.
func (c *recovery) sorted() []*sweep {
	list := make([]*sweep, 0, len(c.sweeps))
	for _, w := range c.sweeps {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *sweep) int {
		return cmp.Or(cmp.Compare(a.holder.Server, b.holder.Server), cmp.Compare(a.holder.Born, b.holder.Born))
	})
	return list
}

// released handles the outcome of a release of the recovery.
func (c *recovery) released(now time.Time, e Released) {
	w := c.sweeps[runOf(e.Release.Holder)]
	if w == nil {
		return
	}
	delete(w.inFlight, e.Release.Range)
	switch e.Outcome {
	case Done:
		w.ranges = slices.DeleteFunc(w.ranges, func(r Range) bool { return r == e.Release.Range })
	case Ended:
		w.ranges = nil
	case Lost, Fenced:
		w.failed = true
		w.nextOrder = now.Add(retryInterval)
	}
}

// Recovering reports whether the owners in the tables are not confirmed yet, see Started.Unknown.
func (d *Decider) Recovering() bool {
	if d.started.Unknown && len(d.services) == 0 {
		return true
	}
	for _, s := range d.services {
		if s.recovery != nil {
			return true
		}
	}
	return false
}

package owner

import (
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// span is a holding with the state that decides when it may open.
type span struct {
	assign.Holding
	service assign.ServiceID
	// closedVersion is the first table version in which the span is closed at its rank, 0 before it
	// is published.
	closedVersion uint64
	// granted is the active owner's grant as counted by the decider.
	granted lease.Granted
	// mayRun is set if the active owner may run calls, because a grant was sent or calls were
	// forwarded.
	mayRun bool
	// awaitsGrant is set while the span is closed and may be granted to its owner.
	awaitsGrant bool
	// firstGrant is the version of the first grant that names the span at this rank, 0 before.
	firstGrant   uint64
	formerOwners []*formerOwner
}

// formerOwner is a server that may still run calls for a span under an earlier fence.
type formerOwner struct {
	server  assign.ServerID
	fence   lease.Fence
	granted lease.Granted
	// closedVersion is the first table version in which the span is closed, 0 before it is published.
	closedVersion uint64
	// revokeSent is set once a revoke was sent.
	revokeSent bool
	// stopped is set once the server confirmed the revoke or its run has ended.
	stopped bool
}

func (s *span) grant() Grant {
	return Grant{Service: s.service, Span: s.Span, Fence: s.Fence()}
}

// moveSpans closes the spans of lost and draining servers, and opens closed spans whose former
// owners have stopped.
func (d *Decider) moveSpans(now time.Time) {
	d.checkSpans = false
	d.closedSpans = 0
	for _, id := range d.serviceIDs() {
		for _, s := range d.spans[id] {
			d.replaceOwner(s)
			if !s.Open {
				d.tryOpen(now, s)
			}
			if !s.Open {
				d.closedSpans++
			}
		}
	}
	if d.closedSpans > 0 {
		d.sendNewGrants(now)
	}
}

// replaceOwner moves a span whose owner cannot keep it to the next usable server in its stored
// order of succession. If there is none, the span stays at its rank, so that an owner that returns
// is granted it again without a write to the store. A draining owner that is already being granted
// the span receives it first.
func (d *Decider) replaceOwner(s *span) {
	owner := d.servers[s.Owner()]
	if owner.usable() {
		return
	}
	lost := owner == nil || owner.lost
	if !lost && !s.Open && s.mayRun {
		return
	}
	if next, ok := d.successor(s); ok {
		d.moveToRank(s, next)
	}
}

// successor returns the rank of the next usable server, preferably one that has answered in this
// term.
func (d *Decider) successor(s *span) (int, bool) {
	first := 0
	for rank := s.Rank + 1; rank < len(s.Owners); rank++ {
		next := d.servers[s.Owners[rank]]
		if next.usable() && next.incarnation != "" {
			return rank, true
		}
		if next.usable() && first == 0 {
			first = rank
		}
	}
	return first, first > 0
}

// moveToRank closes the span and moves it to a higher rank. If the active owner may run calls, it
// becomes a former owner that has to stop first.
func (d *Decider) moveToRank(s *span, rank int) {
	if s.Open || s.mayRun {
		s.formerOwners = append(s.formerOwners, d.newFormerOwner(s))
	}
	s.Rank = rank
	s.Open = false
	s.closedVersion = 0
	s.granted = lease.Granted{}
	s.mayRun = false
	s.awaitsGrant = false
	s.firstGrant = 0
	d.tableDirty = true
	d.emit(Note{Kind: NoteClosed, Service: s.service, Span: s.Span, Server: s.Owner(), Fence: s.Fence()})
}

func (d *Decider) newFormerOwner(s *span) *formerOwner {
	owner := d.servers[s.Owner()]
	return &formerOwner{
		server:  s.Owner(),
		fence:   s.Fence(),
		granted: s.granted,
		stopped: owner != nil && owner.ended && owner.Fencing == assign.Grants,
	}
}

// tryOpen opens a closed span or allows its grant, once every former owner has stopped and a
// majority has acknowledged that the span is closed.
func (d *Decider) tryOpen(now time.Time, s *span) {
	s.formerOwners = slices.DeleteFunc(s.formerOwners, func(former *formerOwner) bool { return d.hasStopped(now, former) })
	if len(s.formerOwners) > 0 || !d.mayOpenCold(now, s) || !d.Committed(s.closedVersion) {
		return
	}
	owner := d.servers[s.Owner()]
	if !owner.ready() {
		return
	}
	if owner.Fencing == assign.Grants {
		s.awaitsGrant = true
		return
	}
	d.open(now, s)
}

// mayOpenCold reports whether a span may open whose earlier owners are unknown. All leases of
// earlier deciders must have lapsed, and servers of kind none must all have been idle after that.
func (d *Decider) mayOpenCold(now time.Time, s *span) bool {
	if !s.Cold {
		return true
	}
	lapsed := d.allLapsedAt()
	if now.Before(lapsed) {
		return false
	}
	for _, o := range d.servers {
		if o.Service == s.service && o.Fencing == assign.None && !o.gone && o.idleAt.Before(lapsed) {
			return false
		}
	}
	return true
}

// open marks the span as open from the next table on.
func (d *Decider) open(now time.Time, s *span) {
	d.rebalancing.openedAt = now
	s.Open = true
	s.Cold = false
	s.mayRun = true
	s.awaitsGrant = false
	s.closedVersion = 0
	d.tableDirty = true
	d.record.dirty = d.record.dirty || s.Rank > 0
	d.emit(Note{Kind: NoteOpened, Service: s.service, Span: s.Span, Server: s.Owner(), Fence: s.Fence()})
}

// sendNewGrants sends the first grants of spans at once, without waiting for the next tick.
func (d *Decider) sendNewGrants(now time.Time) {
	waiting := make(map[assign.ServerID]bool)
	for _, spans := range d.spans {
		for _, s := range spans {
			if s.awaitsGrant && s.firstGrant == 0 {
				waiting[s.Owner()] = true
			}
		}
	}
	if len(waiting) == 0 {
		return
	}
	grantable := d.grantableSpans()
	for _, id := range d.serverIDs() {
		if waiting[id] {
			d.sendGrant(now, id, grantable[id])
		}
	}
}

// hasStopped reports whether the former owner can no longer run calls for the span under its fence.
// The fencing kind of the server determines what proves this.
func (d *Decider) hasStopped(now time.Time, former *formerOwner) bool {
	s := d.servers[former.server]
	if former.stopped || s != nil && s.gone {
		return true
	}
	switch d.fencingOf(former.server) {
	case assign.Grants:
		return former.granted.Lapsed(now)
	case assign.Deadlines:
		return d.everyRun(func(r *run) bool {
			return !r.ended && r.drained(former.server, former.closedVersion) || r.lease.Lapsed(now)
		})
	default:
		return d.everyRun(func(r *run) bool {
			return r.ended && r.idleServers[former.server] || !r.ended && r.drained(former.server, former.closedVersion)
		})
	}
}

func (d *Decider) everyRun(done func(*run) bool) bool {
	for _, r := range d.runs {
		if !done(r) {
			return false
		}
	}
	return true
}

// markStopped marks a server of kind grants as stopped when its run has ended. Grants are addressed
// to an incarnation, so a late one has no effect on the next run. Calls are not addressed so: with
// the other kinds, a process that was paused before it sent a call may still reach the next run of
// the server.
func (d *Decider) markStopped(id assign.ServerID) {
	if d.fencingOf(id) != assign.Grants {
		return
	}
	for _, spans := range d.spans {
		for _, s := range spans {
			for _, former := range s.formerOwners {
				former.stopped = former.stopped || former.server == id
			}
		}
	}
}

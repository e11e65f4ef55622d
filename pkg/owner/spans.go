package owner

import (
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// span is a holding with the conditions under which it may open.
type span struct {
	assign.Holding
	service assign.ServiceID
	// closed is the first version that has the span closed at its rank, 0 before it is published.
	closed uint64
	// granted counts the active owner's grant.
	granted lease.Granted
	// used is set where the active owner may run calls: a grant was sent, or calls were forwarded.
	used bool
	// granting is set while the span is closed and its owner may be granted it.
	granting bool
	// asked is the first grant that names the span at this rank, 0 before.
	asked  uint64
	leaves []*leave
}

// leave is a server that may still run calls for a span under an earlier fence.
type leave struct {
	server assign.ServerID
	fence  lease.Fence
	given  lease.Granted
	// version is the first table that has the span closed, 0 before it is published.
	version uint64
	// revoked is set once a revoke was sent.
	revoked bool
	// done is set where the server confirmed the revoke or its process has ended.
	done bool
}

func (s *span) grant() Grant {
	return Grant{Service: s.service, Span: s.Span, Fence: s.Fence()}
}

// moveSpans closes the spans of lost and draining servers and opens those whose gate is open.
func (d *Decider) moveSpans(now time.Time) {
	d.look = false
	d.closedSpans = 0
	for _, id := range d.serviceIDs() {
		for _, s := range d.spans[id] {
			d.handOver(s)
			if !s.Open {
				d.tryGrant(now, s)
			}
			if !s.Open {
				d.closedSpans++
			}
		}
	}
	if d.closedSpans > 0 {
		d.sendFirstGrants(now)
	}
}

// handOver raises the rank of a span whose owner cannot keep it, where a written successor is
// usable. Otherwise the span stays at its rank: if the owner returns, it is granted again without
// a write to the store. A draining owner that is being granted the span gets it first.
func (d *Decider) handOver(s *span) {
	owner := d.servers[s.Owner()]
	if owner.usable() {
		return
	}
	lost := owner == nil || owner.lost
	if !lost && !s.Open && s.used {
		return
	}
	if next, ok := d.successor(s); ok {
		d.raise(s, next)
	}
}

// successor returns the rank of the next usable server. Servers that have answered in this term
// come first.
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

// raise closes the span at a higher rank. The active owner has to leave where it may run calls.
func (d *Decider) raise(s *span, rank int) {
	if s.Open || s.used {
		s.leaves = append(s.leaves, d.leaveOf(s))
	}
	s.Rank = rank
	s.Open = false
	s.closed = 0
	s.granted = lease.Granted{}
	s.used = false
	s.granting = false
	s.asked = 0
	d.dirty = true
	d.act(Note{Kind: NoteClosed, Service: s.service, Span: s.Span, Server: s.Owner(), Fence: s.Fence()})
}

func (d *Decider) leaveOf(s *span) *leave {
	owner := d.servers[s.Owner()]
	return &leave{
		server: s.Owner(),
		fence:  s.Fence(),
		given:  s.granted,
		done:   owner != nil && owner.ended && owner.Fencing == assign.Grants,
	}
}

// tryGrant moves a closed span on where its gate is open and a majority holds it closed.
func (d *Decider) tryGrant(now time.Time, s *span) {
	s.leaves = slices.DeleteFunc(s.leaves, func(l *leave) bool { return d.gateOpen(now, l) })
	if len(s.leaves) > 0 || !d.coldGate(now, s) || !d.Committed(s.closed) {
		return
	}
	owner := d.servers[s.Owner()]
	if !owner.ready() {
		return
	}
	if owner.Fencing == assign.Grants {
		s.granting = true
		return
	}
	d.open(now, s)
}

// coldGate reports whether a span whose earlier owners are not known may be granted. Servers that
// check nothing must all have been idle after the last lease of an earlier decider had lapsed.
func (d *Decider) coldGate(now time.Time, s *span) bool {
	if !s.Cold {
		return true
	}
	lapsed := d.allLapsed()
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

// open publishes the span as open with the next table.
func (d *Decider) open(now time.Time, s *span) {
	d.voluntary.opened = now
	s.Open = true
	s.Cold = false
	s.used = true
	s.granting = false
	s.closed = 0
	d.dirty = true
	d.record.dirty = d.record.dirty || s.Rank > 0
	d.act(Note{Kind: NoteOpened, Service: s.service, Span: s.Span, Server: s.Owner(), Fence: s.Fence()})
}

// sendFirstGrants grants spans at once instead of with the next beat.
func (d *Decider) sendFirstGrants(now time.Time) {
	fresh := make(map[assign.ServerID]bool)
	for _, spans := range d.spans {
		for _, s := range spans {
			if s.granting && s.asked == 0 {
				fresh[s.Owner()] = true
			}
		}
	}
	if len(fresh) == 0 {
		return
	}
	work := d.grantable()
	for _, id := range d.serverIDs() {
		if fresh[id] {
			d.sendGrant(now, id, work[id])
		}
	}
}

// gateOpen reports whether the server can no longer run calls for the span under the fence of the
// leave: the gate of its fencing kind.
func (d *Decider) gateOpen(now time.Time, l *leave) bool {
	s := d.servers[l.server]
	if l.done || s != nil && s.gone {
		return true
	}
	switch d.kind(l.server) {
	case assign.Grants:
		return l.given.Lapsed(now)
	case assign.Deadlines:
		return d.everyRun(func(r *run) bool {
			return !r.ended && r.quiet(l.server, l.version) || r.given.Lapsed(now)
		})
	default:
		return d.everyRun(func(r *run) bool {
			return r.ended && r.clear[l.server] || !r.ended && r.quiet(l.server, l.version)
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

// endLeaves opens the gates of a server of kind grants whose process has ended. Its grants are
// addressed to an incarnation, so a late one cannot revive them. Calls are not: for other kinds, a
// process that was paused before sending may still reach the next run of the server.
func (d *Decider) endLeaves(id assign.ServerID) {
	if d.kind(id) != assign.Grants {
		return
	}
	for _, spans := range d.spans {
		for _, s := range spans {
			for _, l := range s.leaves {
				l.done = l.done || l.server == id
			}
		}
	}
}

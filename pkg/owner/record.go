package owner

import (
	"fmt"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// recordInterval is the least time between two writes of the record. The object API takes several
// hundred writes a second for all cells together.
const recordInterval = time.Second

// stored is what the decider knows of the stored record.
type stored struct {
	// known is set once the object was read in this term; version is then its version.
	known   bool
	version uint64
	next    lease.Fence
	// dirty is set where the record differs from what is in force.
	dirty   bool
	pending *pending
	writes  uint64
	wroteAt time.Time
	readAt  time.Time
}

// pending is a write without answer yet.
type pending struct {
	record    assign.Record
	ifVersion uint64
	sentAt    time.Time
	// doubtful is set where the write may or may not have taken effect.
	doubtful bool
	// initial is set where the record starts the term; own where this term creates it.
	initial bool
	own     bool
	// before holds the holdings that the places were planned from.
	before map[assign.ServiceID][]assign.Holding
	moves  map[assign.ServiceID][]int
}

// plan reads or writes the record where that is due.
func (d *Decider) plan(now time.Time) {
	p := d.record.pending
	if p != nil && now.Sub(p.sentAt) >= 2*d.config.StoreTimeout {
		p.doubtful = true
	}
	switch {
	case !d.record.known || p != nil && p.doubtful:
		d.readRecord(now)
	case p == nil && d.spans != nil:
		d.writePlans(now)
	}
}

func (d *Decider) readRecord(now time.Time) {
	if !d.record.readAt.IsZero() && now.Sub(d.record.readAt) < d.config.StoreTimeout {
		return
	}
	d.record.readAt = now
	d.act(ReadRecord{})
}

// writePlans stores what is in force, and the voluntary moves that are due.
func (d *Decider) writePlans(now time.Time) {
	if !d.record.wroteAt.IsZero() && now.Sub(d.record.wroteAt) < recordInterval {
		return
	}
	if !d.record.dirty && now.Sub(d.voluntary.planned) < planInterval {
		return
	}
	d.reshape(now)
	plans, moved := d.plans(now)
	d.voluntary.planned = now
	if !moved && !d.record.dirty {
		return
	}
	p := &pending{
		record: assign.Record{Services: make(map[assign.ServiceID][]assign.Place), Buckets: slices.Clone(d.buckets)},
		before: make(map[assign.ServiceID][]assign.Holding),
		moves:  make(map[assign.ServiceID][]int),
	}
	for id, plan := range plans {
		p.record.Services[id] = plan.Places
		p.before[id] = d.holdings(id)
		p.moves[id] = plan.Moves
	}
	d.write(now, p)
}

// plans returns the plan of every service, and whether one of them has moves.
func (d *Decider) plans(now time.Time) (plans map[assign.ServiceID]assign.Plan, moved bool) {
	plans = make(map[assign.ServiceID]assign.Plan)
	ids := slices.Concat(d.serviceIDs(), d.listedServices())
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		if len(d.spans[id]) == 0 {
			places := assign.Initial(d.listedServers(id), 1)
			plans[id] = assign.Plan{Places: places}
			moved = moved || len(places) > 0
			continue
		}
		plans[id] = d.planService(now, id)
		moved = moved || len(plans[id].Moves) > 0
	}
	return plans, moved
}

// write sends a record. Its token is unique, because a term belongs to one process.
func (d *Decider) write(now time.Time, p *pending) {
	d.record.writes++
	p.record.Cell = d.config.Cell
	p.record.Term = d.term
	p.record.Decider = d.config.Self
	p.record.Token = fmt.Sprintf("%s/%d/%d", d.config.Self, d.term, d.record.writes)
	p.record.Electors = slices.Clone(d.electors)
	p.record.NextFence = nextFence(p.record.Services, max(1, d.record.next))
	p.ifVersion = d.record.version
	p.sentAt = now
	d.record.pending = p
	d.record.dirty = false
	d.record.wroteAt = now
	d.act(WriteRecord{Record: p.record, IfVersion: p.ifVersion})
}

func (d *Decider) recordWritten(e RecordWritten) {
	if p := d.record.pending; p != nil && p.record.Token == e.Token {
		d.confirm(e.Version)
	}
}

func (d *Decider) recordFailed(now time.Time, e RecordFailed) {
	p := d.record.pending
	if p == nil || p.record.Token != e.Token {
		return
	}
	p.doubtful = true
	if e.Conflict {
		d.record.readAt = time.Time{}
	}
	d.readRecord(now)
}

// recordRead takes over the stored record. It settles a doubtful write: its own token means that
// the write took effect; the version it was conditional on means that it may still take effect, so
// the same record is sent again; any other version means that it no longer can.
func (d *Decider) recordRead(now time.Time, e RecordRead) {
	if e.Record != nil && e.Record.Term > d.term {
		d.stepDown(HigherTerm, e.Record.Term)
		return
	}
	p := d.record.pending
	if p != nil && e.Record != nil && p.record.Token == e.Record.Token {
		d.confirm(e.Version)
		return
	}
	if e.Record != nil && d.record.known && e.Version < d.record.version {
		return
	}
	d.takeRecord(e)
	if !slices.Contains(d.electors, d.config.Self) {
		d.stepDown(NotElector, d.term)
		return
	}
	switch {
	case p != nil && p.doubtful && p.ifVersion == e.Version:
		p.doubtful = false
		p.sentAt = now
		d.act(WriteRecord{Record: p.record, IfVersion: p.ifVersion})
	case p != nil && p.ifVersion != e.Version:
		d.record.pending = nil
		d.record.dirty = true
	}
	if d.spans == nil && d.record.pending == nil {
		d.writeInitial(now, e.Record)
	}
}

func (d *Decider) takeRecord(e RecordRead) {
	d.record.known = true
	d.record.version = e.Version
	if e.Record == nil {
		d.record.dirty = true
		return
	}
	d.record.next = max(d.record.next, e.Record.NextFence)
	d.record.dirty = d.record.dirty || e.Record.Term != d.term
	if !slices.Equal(d.electors, e.Record.Electors) {
		d.electors = slices.Clone(e.Record.Electors)
		d.dirty = true
	}
}

func (d *Decider) stepDown(r Reason, term uint64) {
	d.act(StepDown{Reason: r, Term: term})
	d.state = state{}
}

// writeInitial stores the record that a term without tables starts from.
func (d *Decider) writeInitial(now time.Time, r *assign.Record) {
	if r == nil {
		d.write(now, &pending{record: d.firstRecord(), initial: true, own: true})
		return
	}
	d.write(now, &pending{record: rebased(*r), initial: true})
}

// confirm takes the pending record in force. A place is skipped where its span has changed since
// it was planned; the table remains right, and the record follows with the next write.
func (d *Decider) confirm(version uint64) {
	p := d.record.pending
	d.record.pending = nil
	d.record.known = true
	d.record.version = version
	d.record.next = p.record.NextFence
	d.look = true
	d.act(Note{Kind: NoteRecord, Version: version})
	if p.initial {
		d.adoptRecord(p.record, p.own)
		return
	}
	for _, id := range d.servicesOf(p.record) {
		if len(p.before[id]) == 0 {
			d.addService(id, p.record.Services[id])
			continue
		}
		for i, place := range p.record.Services[id] {
			d.applyPlace(id, p.before[id][i], place, slices.Contains(p.moves[id], i))
		}
	}
}

func (d *Decider) servicesOf(r assign.Record) []assign.ServiceID {
	ids := make([]assign.ServiceID, 0, len(r.Services))
	for id := range r.Services {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (d *Decider) addService(id assign.ServiceID, places []assign.Place) {
	if len(d.spans[id]) > 0 {
		return
	}
	for _, p := range places {
		d.spans[id] = append(d.spans[id], &span{Holding: assign.Holding{Place: p}, service: id})
		d.dirty = true
	}
}

func (d *Decider) applyPlace(id assign.ServiceID, before assign.Holding, place assign.Place, move bool) {
	s := d.find(id, before.Span)
	if s == nil || !sameHolding(s.Holding, before) {
		d.record.dirty = true
		return
	}
	if !slices.Equal(s.Owners, place.Owners) || s.Base != place.Base {
		s.Rank = int(before.Fence() - place.Base)
		s.Place = place
		if !s.Open {
			s.closed = 0
		}
		d.dirty = true
	}
	next := s.Rank + 1
	if move && s.Open && next < len(s.Owners) && d.servers[s.Owners[next]].usable() {
		d.raise(s, next)
	}
}

func sameHolding(a, b assign.Holding) bool {
	return a.Span == b.Span && a.Rank == b.Rank && a.Open == b.Open &&
		a.Base == b.Base && slices.Equal(a.Owners, b.Owners)
}

// find returns the span with exactly these bounds, nil where there is none.
func (d *Decider) find(id assign.ServiceID, bounds assign.Span) *span {
	for _, s := range d.spans[id] {
		if s.Span == bounds {
			return s
		}
	}
	return nil
}

// holdings returns a copy of the holdings of a service.
func (d *Decider) holdings(id assign.ServiceID) []assign.Holding {
	var holdings []assign.Holding
	for _, s := range d.spans[id] {
		holdings = append(holdings, s.Holding)
	}
	return holdings
}

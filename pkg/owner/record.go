package owner

import (
	"fmt"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// recordInterval is the minimum time between two writes of the record. The object API handles only
// several hundred writes per second for all cells together.
const recordInterval = time.Second

// recordState is the decider's knowledge of the stored record.
type recordState struct {
	// known is set once the object was read in this term. version is its version then.
	known     bool
	version   uint64
	nextFence lease.Fence
	// dirty is set if the record differs from the assignment in force.
	dirty      bool
	pending    *pendingWrite
	writeCount uint64
	wroteAt    time.Time
	readAt     time.Time
}

// pendingWrite is a write that has not been answered.
type pendingWrite struct {
	record    assign.Record
	ifVersion uint64
	sentAt    time.Time
	// uncertain is set if the write may or may not have taken effect.
	uncertain bool
	// initial is set if the term starts from this record, and created if the record did not exist
	// before this term.
	initial bool
	created bool
	// plannedFrom are the holdings that the places were planned from.
	plannedFrom map[assign.ServiceID][]assign.Holding
	moves       map[assign.ServiceID][]int
}

// syncRecord reads or writes the record if either is due.
func (d *Decider) syncRecord(now time.Time) {
	p := d.record.pending
	if p != nil && now.Sub(p.sentAt) >= 2*d.config.StoreTimeout {
		p.uncertain = true
	}
	switch {
	case !d.record.known || p != nil && p.uncertain:
		d.readRecord(now)
	case p == nil && d.spans != nil:
		d.planRecord(now)
	}
}

func (d *Decider) readRecord(now time.Time) {
	if !d.record.readAt.IsZero() && now.Sub(d.record.readAt) < d.config.StoreTimeout {
		return
	}
	d.record.readAt = now
	d.emit(ReadRecord{})
}

// planRecord stores the assignment in force and the rebalancing moves that are due.
func (d *Decider) planRecord(now time.Time) {
	if !d.record.wroteAt.IsZero() && now.Sub(d.record.wroteAt) < recordInterval {
		return
	}
	if !d.record.dirty && now.Sub(d.rebalancing.plannedAt) < rebalanceInterval {
		return
	}
	d.splitAndMerge(now)
	plans, moved := d.planServices(now)
	d.rebalancing.plannedAt = now
	if !moved && !d.record.dirty {
		return
	}
	p := &pendingWrite{
		record:      assign.Record{Services: make(map[assign.ServiceID][]assign.Place), Buckets: slices.Clone(d.buckets)},
		plannedFrom: make(map[assign.ServiceID][]assign.Holding),
		moves:       make(map[assign.ServiceID][]int),
	}
	for id, plan := range plans {
		p.record.Services[id] = plan.Places
		p.plannedFrom[id] = d.holdings(id)
		p.moves[id] = plan.Moves
	}
	d.write(now, p)
}

// planServices returns the plan of every service, and whether any plan has moves.
func (d *Decider) planServices(now time.Time) (plans map[assign.ServiceID]assign.Plan, moved bool) {
	plans = make(map[assign.ServiceID]assign.Plan)
	ids := slices.Concat(d.serviceIDs(), d.listedServices())
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		if len(d.spans[id]) == 0 {
			places := assign.Initial(d.usableServers(id), 1)
			plans[id] = assign.Plan{Places: places}
			moved = moved || len(places) > 0
			continue
		}
		plans[id] = d.planService(now, id)
		moved = moved || len(plans[id].Moves) > 0
	}
	return plans, moved
}

// write sends a record. Its token is unique because each term belongs to one process.
func (d *Decider) write(now time.Time, p *pendingWrite) {
	d.record.writeCount++
	p.record.Cell = d.config.Cell
	p.record.Term = d.term
	p.record.Decider = d.config.Self
	p.record.Token = fmt.Sprintf("%s/%d/%d", d.config.Self, d.term, d.record.writeCount)
	p.record.Electors = slices.Clone(d.electors)
	p.record.NextFence = fenceAbove(p.record.Services, max(1, d.record.nextFence))
	p.ifVersion = d.record.version
	p.sentAt = now
	d.record.pending = p
	d.record.dirty = false
	d.record.wroteAt = now
	d.emit(WriteRecord{Record: p.record, IfVersion: p.ifVersion})
}

func (d *Decider) recordWritten(e RecordWritten) {
	if p := d.record.pending; p != nil && p.record.Token == e.Token {
		d.applyPending(e.Version)
	}
}

func (d *Decider) recordFailed(now time.Time, e RecordFailed) {
	p := d.record.pending
	if p == nil || p.record.Token != e.Token {
		return
	}
	p.uncertain = true
	if e.Conflict {
		d.record.readAt = time.Time{}
	}
	d.readRecord(now)
}

// recordRead handles the stored record and resolves an uncertain write. If the record has the token
// of the write, the write took effect. If it has the version that the write requires, the write may
// still take effect, so the same record is sent again. With any other version it can no longer take
// effect.
func (d *Decider) recordRead(now time.Time, e RecordRead) {
	if e.Record != nil && e.Record.Term > d.term {
		d.stepDown(HigherTerm, e.Record.Term)
		return
	}
	p := d.record.pending
	if p != nil && e.Record != nil && p.record.Token == e.Record.Token {
		d.applyPending(e.Version)
		return
	}
	if e.Record != nil && d.record.known && e.Version < d.record.version {
		return
	}
	d.updateFromRecord(e)
	if !slices.Contains(d.electors, d.config.Self) {
		d.stepDown(NotElector, d.term)
		return
	}
	switch {
	case p != nil && p.uncertain && p.ifVersion == e.Version:
		p.uncertain = false
		p.sentAt = now
		d.emit(WriteRecord{Record: p.record, IfVersion: p.ifVersion})
	case p != nil && p.ifVersion != e.Version:
		d.record.pending = nil
		d.record.dirty = true
	}
	if d.spans == nil && d.record.pending == nil {
		d.writeInitial(now, e.Record)
	}
}

func (d *Decider) updateFromRecord(e RecordRead) {
	d.record.known = true
	d.record.version = e.Version
	if e.Record == nil {
		d.record.dirty = true
		return
	}
	d.record.nextFence = max(d.record.nextFence, e.Record.NextFence)
	d.record.dirty = d.record.dirty || e.Record.Term != d.term
	if !slices.Equal(d.electors, e.Record.Electors) {
		d.electors = slices.Clone(e.Record.Electors)
		d.tableDirty = true
	}
}

func (d *Decider) stepDown(r Reason, term uint64) {
	d.emit(StepDown{Reason: r, Term: term})
	d.state = state{}
}

// writeInitial writes the record that the term starts from when no elector had a table.
func (d *Decider) writeInitial(now time.Time, r *assign.Record) {
	if r == nil {
		d.write(now, &pendingWrite{record: d.initialRecord(), initial: true, created: true})
		return
	}
	d.write(now, &pendingWrite{record: withNewFences(*r), initial: true})
}

// applyPending puts the pending record in force. It skips a place whose span has changed since it
// was planned: the table stays correct, and the next write updates the record.
func (d *Decider) applyPending(version uint64) {
	p := d.record.pending
	d.record.pending = nil
	d.record.known = true
	d.record.version = version
	d.record.nextFence = p.record.NextFence
	d.checkSpans = true
	d.emit(Note{Kind: NoteRecord, Version: version})
	if p.initial {
		d.adoptRecord(p.record, p.created)
		return
	}
	for _, id := range d.servicesOf(p.record) {
		if len(p.plannedFrom[id]) == 0 {
			d.addService(id, p.record.Services[id])
			continue
		}
		for i, place := range p.record.Services[id] {
			d.applyPlace(id, p.plannedFrom[id][i], place, slices.Contains(p.moves[id], i))
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
		d.tableDirty = true
	}
}

func (d *Decider) applyPlace(id assign.ServiceID, before assign.Holding, place assign.Place, move bool) {
	s := d.findSpan(id, before.Span)
	if s == nil || !sameHolding(s.Holding, before) {
		d.record.dirty = true
		return
	}
	if !slices.Equal(s.Owners, place.Owners) || s.Base != place.Base {
		s.Rank = int(before.Fence() - place.Base)
		s.Place = place
		if !s.Open {
			s.closedVersion = 0
		}
		d.tableDirty = true
	}
	next := s.Rank + 1
	if move && s.Open && next < len(s.Owners) && d.servers[s.Owners[next]].usable() {
		d.moveToRank(s, next)
	}
}

func sameHolding(a, b assign.Holding) bool {
	return a.Span == b.Span && a.Rank == b.Rank && a.Open == b.Open &&
		a.Base == b.Base && slices.Equal(a.Owners, b.Owners)
}

// findSpan returns the span with exactly these bounds, or nil.
func (d *Decider) findSpan(id assign.ServiceID, bounds assign.Span) *span {
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

package shard

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// balanceEvery is the time between moves that only balance the load.
	balanceEvery = 500 * time.Millisecond
	// imbalance is how far the busiest server is above the mean before keys move.
	imbalance = 1.3
	// leastExcess is the load in requests a second above the mean below which no keys move.
	leastExcess = 4.0
	// leastMoves is the number of moves of one balancing, or one for every serversPerMove servers.
	leastMoves     = 4
	serversPerMove = 8
	// settleTime is how long the list of servers must be the same before keys get their first owners.
	settleTime = 1500 * time.Millisecond
	// firstRows is about the number of first ranges, at most firstParts a server. Busy keys are close
	// to one another, so one range a server would put them all on a few of few servers.
	firstRows  = 100
	firstParts = 4
	// evacuationParts is the number of parts that a row of a leaving server is moved in. Each part
	// waits only for the work on its own keys.
	evacuationParts = 4
	// rowsPerServer and moreRows bound the rows of a service, each of which is renewed on its own.
	rowsPerServer = 2
	moreRows      = 100
)

// maxRows returns the number of rows up to which rows are split.
func maxRows(servers int) int { return rowsPerServer*servers + moreRows }

// candidate is a server that may get keys.
type candidate struct {
	Holder
	// power is how many requests it can run compared with others: its slots over its pace.
	power float64
	// load is the requests a second for its keys.
	load float64
	rows int
}

// share is the load for the server's power.
func (c *candidate) share() float64 { return c.load / c.power }

// plan changes the rows: first owners for keys without one, then moves from owners that cannot be
// used, then moves that balance the load.
func (d *Decider) plan(now time.Time, s *service) {
	candidates := s.candidates(now)
	if len(candidates) == 0 {
		return
	}
	if len(s.rows) == 0 {
		if now.Sub(s.settled) >= settleTime {
			d.initial(s, candidates)
		}
		return
	}
	d.merge(s)
	loads := s.use.prefix(now)
	s.loadOf(candidates, loads)
	d.evacuate(now, s, candidates, loads)
	if now.Sub(s.balanced) >= balanceEvery {
		s.balanced = now
		d.balance(now, s, candidates, loads)
	}
	d.shed(s, candidates)
}

// candidates returns the usable servers in order of their names.
func (s *service) candidates(now time.Time) []*candidate {
	var list []*candidate
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		a := s.servers[id]
		if h := HolderOf(a); s.usable(now, h) {
			list = append(list, &candidate{Holder: h, power: float64(max(1, a.Slots)) / s.pace.of(id)})
		}
	}
	return list
}

// initial gives every server ranges of the keys, as wide as its power.
func (d *Decider) initial(s *service, candidates []*candidate) {
	parts := max(1, min(firstParts, firstRows/len(candidates)))
	total := 0.0
	for _, c := range candidates {
		total += c.power * float64(parts)
	}
	first, sum := 0, 0.0
	for i := range parts * len(candidates) {
		c := candidates[i%len(candidates)]
		sum += c.power
		last := int(sum / total * (LastKey + 1))
		if i == parts*len(candidates)-1 {
			last = LastKey + 1
		}
		if last <= first {
			continue
		}
		r := &row{Row: Row{
			Range: Range{First: uint16(first), Last: uint16(last - 1)}, Owner: c.Holder, Fence: s.take(),
		}}
		s.rows = append(s.rows, r)
		d.stage(r)
		first = last
	}
}

// merge joins neighbouring rows of one owner, which are then renewed as one. The higher of their
// fencing numbers is above all that other servers had for the keys of both, since every row gets a
// number above all earlier ones.
func (d *Decider) merge(s *service) {
	kept := s.rows[:0]
	for _, r := range s.rows {
		if n := len(kept); n > 0 && d.stable(kept[n-1]) && d.stable(r) && kept[n-1].Owner.same(r.Owner) &&
			int(kept[n-1].Last)+1 == int(r.First) {
			before := kept[n-1]
			before.Last = r.Last
			before.Fence = max(before.Fence, r.Fence)
			before.until = later(before.until, r.until)
			if r.next.Before(before.next) {
				before.next = r.next
			}
			d.touch(before)
			continue
		}
		kept = append(kept, r)
	}
	clear(s.rows[len(kept):])
	s.rows = kept
}

// stable reports whether nothing is under way for a row.
func (d *Decider) stable(r *row) bool {
	return r.Open && !r.sending && r.failures == 0 && len(r.prior) == 0 && !d.staged(r)
}

func (s *service) loadOf(candidates []*candidate, loads prefix) {
	byServer := map[assign.ServerID]*candidate{}
	for _, c := range candidates {
		byServer[c.Server] = c
	}
	for _, r := range s.rows {
		if c := byServer[r.Owner.Server]; c != nil {
			c.load += loads.of(r.Range)
			c.rows++
		}
	}
}

// evacuate moves the rows whose owner cannot be used.
func (d *Decider) evacuate(now time.Time, s *service, candidates []*candidate, loads prefix) {
	for _, r := range slices.Clone(s.rows) {
		if s.usable(now, r.Owner) {
			continue
		}
		parts := evacuationParts
		if len(s.rows) >= maxRows(len(candidates)) {
			parts = 1
		}
		for _, k := range loads.split(r.Range, parts) {
			to := least(candidates)
			d.move(now, s, k, to.Holder)
			to.load += loads.of(k) + 0.01
			to.rows++
		}
	}
}

// least returns the candidate with the lowest load for each slot, warm ones first where that is
// equal.
func least(candidates []*candidate) *candidate {
	return slices.MinFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.share(), b.share()), cmp.Compare(a.rows, b.rows))
	})
}

// balance moves keys from the busiest server to the least busy one, or to one without keys.
func (d *Decider) balance(now time.Time, s *service, candidates []*candidate, loads prefix) {
	if len(candidates) < 2 {
		return
	}
	sum, power := 0.0, 0.0
	for _, c := range candidates {
		sum += c.load
		power += c.power
	}
	mean := sum / power
	givers := slices.Clone(candidates)
	moves := max(leastMoves, len(candidates)/serversPerMove)
	for moves > 0 && len(givers) > 0 && len(s.rows) < maxRows(len(candidates)) {
		to := least(candidates)
		from := slices.MaxFunc(givers, func(a, b *candidate) int { return cmp.Compare(a.share(), b.share()) })
		excess := (from.share() - mean) * from.power
		room := (mean - to.share()) * to.power
		if to.rows > 0 && (from.share() < imbalance*mean || excess < leastExcess) {
			return
		}
		r, ok := s.portion(from, loads, min(excess, room))
		if !ok {
			// The load of a single key cannot be divided. The other servers can still be balanced.
			givers = slices.DeleteFunc(givers, func(c *candidate) bool { return c == from })
			continue
		}
		moves--
		load := loads.of(r)
		d.move(now, s, r, to.Holder)
		from.load -= load
		to.load += load
		to.rows++
	}
}

// portion returns a part of a row of the server whose load comes closest to the wanted one.
func (s *service) portion(from *candidate, loads prefix, wanted float64) (Range, bool) {
	var best Range
	found, distance := false, 0.0
	for _, r := range s.rows {
		if !r.Owner.same(from.Holder) || !r.Open {
			continue
		}
		k := loads.closest(r.Range, wanted)
		if off := math.Abs(loads.of(k) - wanted); !found || off < distance {
			best, found, distance = k, true, off
		}
	}
	// A part that carries less than half of what should move, or nearly all of the server's load,
	// would move the same keys to and fro.
	load := loads.of(best)
	return best, found && load < from.load*0.9 && (load >= wanted/2 || from.load == 0)
}

// move gives the keys of the range, which lie in one row, to another server.
func (d *Decider) move(now time.Time, s *service, k Range, to Holder) {
	i := slices.IndexFunc(s.rows, func(r *row) bool { return r.Contains(k.First) })
	old := s.rows[i]
	moved := &row{Row: Row{Range: k, Owner: to, Fence: s.take()}}
	for _, p := range old.prior {
		moved.prior = append(moved.prior, p.copy())
	}
	if until := later(old.until, old.pending); now.Before(until) {
		moved.prior = append(moved.prior, &prior{Holder: old.Owner, fence: old.Fence, until: until, next: old.next})
	}
	if current := old.inForce(); current != nil {
		current.Range = k
		moved.current = current
	}
	next := []*row{moved}
	if old.First < k.First {
		next = append([]*row{old.part(Range{First: old.First, Last: k.First - 1})}, next...)
	}
	if k.Last < old.Last {
		next = append(next, old.part(Range{First: k.Last + 1, Last: old.Last}))
	}
	s.rows = slices.Replace(s.rows, i, i+1, next...)
	for _, r := range next {
		d.touch(r)
	}
	d.stage(moved)
}

// inForce returns a copy of the row that requests follow at present, nil where there is none.
func (r *row) inForce() *Row {
	var c Row
	switch {
	case r.Open:
		c = r.Row
	case r.current != nil:
		c = *r.current
	default:
		return nil
	}
	return &c
}

// copy returns the holder for a part of its keys, without the order that is under way.
func (p *prior) copy() *prior {
	return &prior{Holder: p.Holder, fence: p.fence, until: later(p.until, p.pending), next: p.next}
}

// part returns the row for a part of its keys.
func (r *row) part(k Range) *row {
	c := *r
	c.Range = k
	c.sending = false
	c.until, c.pending = later(r.until, r.pending), time.Time{}
	c.prior = nil
	for _, p := range r.prior {
		c.prior = append(c.prior, p.copy())
	}
	if r.current != nil {
		current := *r.current
		current.Range = k
		c.current = &current
	}
	return &c
}

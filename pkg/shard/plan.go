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
	// balanceInterval is the time between two balancing passes over all servers. Overloaded ones give up keys in each
	// planning pass.
	balanceInterval = 500 * time.Millisecond
	// imbalanceRatio is the ratio of the busiest server's utilization to the mean below which no keys move.
	imbalanceRatio = 1.3
	// minExcess is the load of the busiest server above the mean, in requests per second, below which no keys move.
	minExcess = 4.0
	// minMoves and serversPerMove limit the moves of one balancing pass: one move for every serversPerMove servers,
	// but at least minMoves.
	minMoves       = 4
	serversPerMove = 8
	// settleTime is how long the set of listed servers must be unchanged before keys get their first owners.
	settleTime = 1500 * time.Millisecond
	// initialRanges is the approximate number of ranges at the start, with at most maxInitialPerServer for each
	// server. Busy keys are close to one another, so with few servers and one range for each, a few servers would
	// get all of them.
	initialRanges       = 100
	maxInitialPerServer = 4
	// evacuationParts is the number of parts in which a row of an ineligible owner is moved. Each part waits only
	// for the running requests for its own keys.
	evacuationParts = 4
	// rowsPerServer and baseRows limit the number of rows of a service, since each row is renewed on its own.
	rowsPerServer = 2
	baseRows      = 100
	// maxMovedLoad is the share of a server's load that a single balancing move must stay below.
	maxMovedLoad = 0.9
	// evacuatedRangeLoad is the load in requests per second that each evacuated range adds to its new owner, so that
	// ranges without requests do not all go to the same server.
	evacuatedRangeLoad = 0.01
)

// splitLimit returns the number of rows of a service at which balancing and evacuation move rows whole, so that no more
// rows are split. The last split may exceed it by a few rows.
func splitLimit(servers int) int { return rowsPerServer*servers + baseRows }

// candidate is a server that may get keys.
type candidate struct {
	Holder
	// capacity is what the server can run relative to others: its slots divided by its slowdown.
	capacity float64
	// load is the rate of requests for its keys, in requests per second.
	load float64
	rows int
	// limited reports that the server takes only rate requests per second.
	limited bool
	rate    float64
	// cold reports that the server is cold. It is limited then too.
	cold bool
}

// utilization returns the load relative to the capacity.
func (c *candidate) utilization() float64 { return c.load / c.capacity }

// plan updates the rows of a service. Without rows, it assigns all keys to their first owners. Otherwise it merges rows,
// moves keys away from ineligible owners, balances the load and updates the shares of requests to refuse.
func (d *Decider) plan(now time.Time, s *service) {
	candidates := d.candidates(now, s)
	if len(candidates) == 0 {
		return
	}
	if len(s.rows) == 0 {
		if now.Sub(s.serversChanged) >= settleTime {
			d.assignInitial(s, warm(candidates))
		}
		return
	}
	d.merge(s)
	loads := s.usage.prefixSums(now)
	s.addLoads(candidates, loads)
	d.moveIneligible(now, s, candidates, loads)
	d.relieve(now, s, candidates, loads)
	targets := unlimited(candidates)
	sources := s.overloaded(targets)
	if now.Sub(s.lastBalance) >= balanceInterval {
		s.lastBalance = now
		sources = targets
		d.joinColdRows(now, s, loads)
	}
	d.balance(now, s, targets, sources, loads)
	d.updateShed(s, candidates)
}

// candidates returns the eligible servers sorted by ID.
func (d *Decider) candidates(now time.Time, s *service) []*candidate {
	var list []*candidate
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		a := s.servers[id]
		h := HolderOf(a)
		if !s.eligible(now, h) {
			continue
		}
		c := &candidate{Holder: h, capacity: float64(max(1, a.Slots)) / s.requestTimes.slowdown(id)}
		if c.rate, c.limited = d.limits[Run{Server: h.Server, Born: h.Born}]; c.limited {
			c.capacity = min(c.capacity, s.limitedCapacity(c.rate))
		}
		if r, ok := d.coldRun(now, h); ok {
			c.markCold(r.PerSecond)
		}
		list = append(list, c)
	}
	return list
}

// assignInitial assigns ranges of all keys to the servers, with widths proportional to their capacities.
func (d *Decider) assignInitial(s *service, candidates []*candidate) {
	perServer := max(1, min(maxInitialPerServer, initialRanges/len(candidates)))
	total := 0.0
	for _, c := range candidates {
		total += c.capacity * float64(perServer)
	}
	first, sum := 0, 0.0
	for i := range perServer * len(candidates) {
		c := candidates[i%len(candidates)]
		sum += c.capacity
		end := int(sum / total * (LastKey + 1))
		if i == perServer*len(candidates)-1 {
			end = LastKey + 1
		}
		if end <= first {
			continue
		}
		r := &row{Row: Row{
			Range: Range{First: uint16(first), Last: uint16(end - 1)}, Owner: c.Holder, Fence: s.allocateFence(),
		}}
		s.rows = append(s.rows, r)
		d.scheduleWrite(r)
		first = end
	}
}

// merge joins adjacent rows of the same owner, so that they are renewed together. The merged row keeps the higher of
// their fencing numbers. It is above all fencing numbers that other servers had for the keys of either row, since every
// row gets a number above all earlier ones. The stored rows have that number first: with the lower one, the next leader
// would renew a grant that a later run of the owner takes, although an earlier run had the keys with the higher number.
func (d *Decider) merge(s *service) {
	merged := s.rows[:0]
	for _, r := range s.rows {
		if n := len(merged); n > 0 && d.mayMerge(merged[n-1], r) && d.storeFence(merged[n-1], r) {
			previous := merged[n-1]
			previous.Last = r.Last
			previous.Fence = max(previous.Fence, r.Fence)
			previous.heldUntil = later(previous.heldUntil, r.heldUntil)
			if r.nextOrder.Before(previous.nextOrder) {
				previous.nextOrder = r.nextOrder
			}
			d.bumpVersion(previous)
			continue
		}
		merged = append(merged, r)
	}
	clear(s.rows[len(merged):])
	s.rows = merged
}

// mayMerge reports whether two rows can be joined.
func (d *Decider) mayMerge(previous, r *row) bool {
	return d.stable(previous) && d.stable(r) && previous.Owner.sameRun(r.Owner) && int(previous.Last)+1 == int(r.First)
}

// storeFence reports whether both rows are stored with the higher of their fencing numbers or an even higher one. If they
// are not, it has that number stored.
func (d *Decider) storeFence(previous, r *row) bool {
	fence := max(previous.Fence, r.Fence)
	stored := true
	for _, each := range []*row{previous, r} {
		if max(each.Fence, each.storedFence) < fence {
			each.storedFence, each.fenceWrite = fence, d.lastWrite+1
			d.dirty = true
		}
		stored = stored && each.fenceWrite <= d.lastStored
	}
	return stored
}

// stable reports whether the row is open and neither an order, a retry, a move nor a write is outstanding for it.
func (d *Decider) stable(r *row) bool {
	return r.Open && !r.inFlight && r.failures == 0 && len(r.priorOwners) == 0 && !d.writePending(r)
}

// addLoads adds the load and the number of the rows that each candidate owns.
func (s *service) addLoads(candidates []*candidate, loads prefixSums) {
	byServer := map[assign.ServerID]*candidate{}
	for _, c := range candidates {
		byServer[c.Server] = c
	}
	for _, r := range s.rows {
		if c := byServer[r.Owner.Server]; c != nil {
			c.load += loads.sum(r.Range)
			c.rows++
		}
	}
}

// moveIneligible moves the rows whose owner is not eligible.
func (d *Decider) moveIneligible(now time.Time, s *service, candidates []*candidate, loads prefixSums) {
	for _, r := range slices.Clone(s.rows) {
		if s.eligible(now, r.Owner) {
			continue
		}
		parts := evacuationParts
		if len(s.rows) >= splitLimit(len(candidates)) {
			parts = 1
		}
		for _, keys := range loads.split(r.Range, parts) {
			to := leastLoaded(unlimited(candidates))
			d.move(now, s, keys, to.Holder)
			to.load += loads.sum(keys) + evacuatedRangeLoad
			to.rows++
		}
	}
}

// leastLoaded returns the candidate with the lowest utilization, and among equal ones the one with the fewest rows.
func leastLoaded(candidates []*candidate) *candidate {
	return slices.MinFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.utilization(), b.utilization()), cmp.Compare(a.rows, b.rows))
	})
}

// balance moves keys from the sources with the highest utilization to the candidates with the lowest. A server without keys
// gets some even if the load is balanced.
func (d *Decider) balance(now time.Time, s *service, candidates, sources []*candidate, loads prefixSums) {
	if len(candidates) < 2 {
		return
	}
	sum, capacity := 0.0, 0.0
	for _, c := range candidates {
		sum += c.load
		capacity += c.capacity
	}
	mean := sum / capacity
	sources = slices.Clone(sources)
	moves := max(minMoves, len(candidates)/serversPerMove)
	for moves > 0 && len(sources) > 0 {
		maySplit := len(s.rows) < splitLimit(len(s.servers))
		to := leastLoaded(candidates)
		from := slices.MaxFunc(sources, func(a, b *candidate) int { return cmp.Compare(a.utilization(), b.utilization()) })
		excess := (from.utilization() - mean) * from.capacity
		headroom := (mean - to.utilization()) * to.capacity
		if to.rows > 0 && (from.utilization() < imbalanceRatio*mean || excess < minExcess) {
			return
		}
		target := min(excess, headroom)
		keys, ok := s.pickRange(from, loads, target, maySplit)
		if !ok {
			// The load of a single key, or of the rows as they are, cannot be split. The other servers can still be balanced.
			if maySplit {
				moves -= d.isolate(now, s, from, candidates, loads, moves)
			} else if _, splits := s.pickRange(from, loads, target, true); splits {
				moves -= d.compact(now, s, loads)
			}
			sources = slices.DeleteFunc(sources, func(c *candidate) bool { return c == from })
			continue
		}
		moves--
		d.moveLoad(now, s, from, to, keys, loads.sum(keys))
	}
}

// pickRange chooses a part of one of the server's rows, namely the part with the load closest to the target. Unless it may
// split rows, it chooses a whole one. It also reports whether moving that part helps.
func (s *service) pickRange(from *candidate, loads prefixSums, target float64, maySplit bool) (Range, bool) {
	var best Range
	found, bestDiff := false, 0.0
	for _, r := range s.rows {
		if !r.Owner.sameRun(from.Holder) || !r.Open {
			continue
		}
		keys := r.Range
		if maySplit {
			keys = loads.suffix(keys, target)
		}
		if diff := math.Abs(loads.sum(keys) - target); !found || diff < bestDiff {
			best, found, bestDiff = keys, true, diff
		}
	}
	// Moving a range with less than half of the target load, or with nearly all of the server's load, would make
	// the same keys move back and forth.
	load := loads.sum(best)
	return best, found && load < from.load*maxMovedLoad && (load >= target/2 || from.load == 0)
}

// move assigns a range of keys within a single row to another server.
func (d *Decider) move(now time.Time, s *service, keys Range, to Holder) {
	i := slices.IndexFunc(s.rows, func(r *row) bool { return r.Contains(keys.First) })
	old := s.rows[i]
	moved := &row{Row: Row{Range: keys, Owner: to, Fence: s.allocateFence()}}
	for _, p := range old.priorOwners {
		moved.priorOwners = append(moved.priorOwners, p.withoutOrder())
	}
	if until := later(old.heldUntil, old.pendingUntil); now.Before(until) {
		moved.priorOwners = append(moved.priorOwners, &priorOwner{Holder: old.Owner, fence: old.Fence, heldUntil: until, nextOrder: old.nextOrder})
	}
	if current := old.inForce(); current != nil {
		current.Range = keys
		moved.current = current
	}
	rows := []*row{moved}
	if old.First < keys.First {
		rows = append([]*row{old.withRange(Range{First: old.First, Last: keys.First - 1})}, rows...)
	}
	if keys.Last < old.Last {
		rows = append(rows, old.withRange(Range{First: keys.Last + 1, Last: old.Last}))
	}
	s.rows = slices.Replace(s.rows, i, i+1, rows...)
	for _, r := range rows {
		d.bumpVersion(r)
	}
	d.scheduleWrite(moved)
}

// inForce returns a copy of the Row by which requests are currently sent, nil if there is none.
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

// withoutOrder returns a copy for another row, without the order in flight. It assumes that the order is
// carried out.
func (p *priorOwner) withoutOrder() *priorOwner {
	return &priorOwner{Holder: p.Holder, fence: p.fence, heldUntil: later(p.heldUntil, p.pendingUntil), nextOrder: p.nextOrder}
}

// withRange returns a copy of the row for a part of its keys, without the orders in flight. It assumes that
// they are carried out.
func (r *row) withRange(keys Range) *row {
	c := *r
	c.Range = keys
	c.inFlight = false
	c.heldUntil, c.pendingUntil = later(r.heldUntil, r.pendingUntil), time.Time{}
	c.priorOwners = nil
	for _, p := range r.priorOwners {
		c.priorOwners = append(c.priorOwners, p.withoutOrder())
	}
	if r.current != nil {
		current := *r.current
		current.Range = keys
		c.current = &current
	}
	return &c
}

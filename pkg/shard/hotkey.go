package shard

import (
	"slices"
	"time"
)

const (
	// isolationRatio is the load, relative to what a server can run, above which a hot key gets a server to itself.
	isolationRatio = 0.75
	// hotKeyShare is the share of a busy server's load above which a single key counts as the cause.
	hotKeyShare = 0.5
	// minSpeedUp is the least ratio of the capacity of another server to that of the owner of a hot key at which the key
	// moves to the other server.
	minSpeedUp = 1.25
	// hotKeyHorizon is how long a key is expected to stay hot after it has moved.
	hotKeyHorizon = 2 * time.Second
	// releaseFactor is how long a busy server is expected to take to release keys, as a multiple of its time per request.
	releaseFactor = 3
	// maxPeakRatio is the highest utilization of two servers after a busy key has moved between them, relative to that of the
	// busier one before, at which the key moves.
	maxPeakRatio = 0.8
	// minIsolatedLoad is the load in requests per second below which a range stays with the owner of a hot key.
	minIsolatedLoad = 0.5
)

// isolate relieves a busy server most of whose load comes from a single key, which cannot be split. The key moves
// to a much faster server if there is one. Otherwise up to the given number of ranges move away from the server, so that
// the key has it to itself. isolate returns the number of moves.
//
// The load pattern is one key with more requests than its owner can run, for seconds or minutes.
func (d *Decider) isolate(now time.Time, s *service, from *candidate, candidates []*candidate, loads prefixSums, moves int) int {
	if maxRate, ok := s.maxRate(from); !ok || from.load < isolationRatio*maxRate {
		return 0
	}
	key, load := s.busiestKey(from, loads)
	if load < hotKeyShare*from.load {
		return d.separate(now, s, from, candidates, loads)
	}
	hot := Range{First: key, Last: key}
	if to := fastest(candidates); s.paysToMove(from, to) && to.load+load < to.capacity*from.utilization() {
		d.moveLoad(now, s, from, to, hot, load)
		return 1
	}
	moved := 0
	for _, keys := range s.rangesBeside(from, key) {
		to := leastLoaded(candidates)
		if load := loads.sum(keys); moved < moves && load >= minIsolatedLoad && to != from {
			d.moveLoad(now, s, from, to, keys, load)
			moved++
		}
	}
	return moved
}

// separate moves one of several busy keys of a server to the server with the lowest utilization, namely the key after whose
// move the busier of both has the lowest utilization. It returns the number of moves.
//
// The load pattern is a server with several keys that have more requests each than the mean of all servers, for example after
// a fault. None of them fits into the room that another server has below the mean, so that balancing moves none, although
// other servers are idle.
func (d *Decider) separate(now time.Time, s *service, from *candidate, candidates []*candidate, loads prefixSums) int {
	to := leastLoaded(candidates)
	var best Range
	found, lowest := false, maxPeakRatio*from.utilization()
	for _, r := range s.openRows(from) {
		for k := int(r.First); k <= int(r.Last); k++ {
			load := loads[k+1] - loads[k]
			peak := max((from.load-load)/from.capacity, (to.load+load)/to.capacity)
			if load > 0 && peak < lowest {
				best, found, lowest = Range{First: uint16(k), Last: uint16(k)}, true, peak
			}
		}
	}
	if !found {
		return 0
	}
	d.moveLoad(now, s, from, to, best, loads.sum(best))
	return 1
}

// paysToMove reports whether a hot key should move to a faster server: what that server runs more within hotKeyHorizon
// has to exceed what is lost while the key has no owner, because its running requests have to end first.
func (s *service) paysToMove(from, to *candidate) bool {
	speedUp := to.capacity / from.capacity
	releaseTime := releaseFactor * s.requestTimes.byServer[from.Server]
	return speedUp >= minSpeedUp && (speedUp-1)*hotKeyHorizon.Seconds() > releaseTime
}

// moveLoad moves keys and accounts for their load.
func (d *Decider) moveLoad(now time.Time, s *service, from, to *candidate, keys Range, load float64) {
	d.move(now, s, keys, to.Holder)
	from.load -= load
	to.load += load
	to.rows++
}

// busiestKey returns the key with the highest load of the server's open rows, and that load.
func (s *service) busiestKey(c *candidate, loads prefixSums) (uint16, float64) {
	var key uint16
	highest := 0.0
	for _, r := range s.openRows(c) {
		for k := int(r.First); k <= int(r.Last); k++ {
			if load := loads[k+1] - loads[k]; load > highest {
				key, highest = uint16(k), load
			}
		}
	}
	return key, highest
}

// rangesBeside returns the ranges of the server's open rows without the given key.
func (s *service) rangesBeside(c *candidate, key uint16) []Range {
	var ranges []Range
	for _, r := range s.openRows(c) {
		for _, part := range r.withoutRange(Range{First: key, Last: key}) {
			ranges = append(ranges, part.Range)
		}
	}
	return ranges
}

// openRows returns the open rows that the server owns.
func (s *service) openRows(c *candidate) []*row {
	return slices.DeleteFunc(slices.Clone(s.rows), func(r *row) bool { return !r.Open || !r.Owner.sameRun(c.Holder) })
}

// fastest returns the candidate with the highest capacity.
func fastest(candidates []*candidate) *candidate {
	best := candidates[0]
	for _, c := range candidates {
		if c.capacity > best.capacity {
			best = c
		}
	}
	return best
}

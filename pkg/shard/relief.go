package shard

import (
	"math"
	"slices"
	"time"
)

const (
	// limitUse is the fraction of a server's limit that its keys should need. Requests come unevenly.
	limitUse = 0.8
	// minLimitedRate is the limit in requests per second below which a server counts as if it took as many.
	minLimitedRate = 0.25
)

// relieve moves keys away from servers that take fewer requests than their keys get. Only the keys beyond the limit
// move, so that requests for the others show when the limit ends.
//
// The load pattern is a server in need that names a fraction of its usual load, for seconds or minutes.
func (d *Decider) relieve(now time.Time, s *service, candidates []*candidate, loads prefixSums) {
	targets := unlimited(candidates)
	if targets[0].limited {
		return
	}
	for _, from := range candidates {
		if !from.limited || from.load <= from.rate {
			continue
		}
		if from.cold {
			d.relieveCold(now, s, from, targets, loads)
			continue
		}
		for moves := minMoves; moves > 0 && from.load > limitUse*from.rate; moves-- {
			maySplit := len(s.rows) < splitLimit(len(s.servers))
			keys, load := s.excessRange(from, loads, from.load-limitUse*from.rate, maySplit)
			if load <= 0 {
				break
			}
			d.moveLoad(now, s, from, leastLoaded(targets), keys, load)
		}
	}
}

// excessRange returns the part of one of the server's open rows whose load is the highest up to the excess, and that
// load. If there is none, it returns the busiest key, which cannot be split. Unless it may split rows, it returns whole
// rows only, at least the one with the lowest load.
func (s *service) excessRange(from *candidate, loads prefixSums, excess float64, maySplit bool) (Range, float64) {
	var best, lightest Range
	highest, lowest := 0.0, math.Inf(1)
	for _, r := range s.openRows(from) {
		keys := r.Range
		if load := loads.sum(keys); load > 0 && load < lowest {
			lightest, lowest = keys, load
		}
		if maySplit && loads.sum(keys) > excess {
			keys = loads.suffix(keys, excess)
		}
		if load := loads.sum(keys); load > highest && load <= excess {
			best, highest = keys, load
		}
	}
	switch {
	case highest > 0:
		return best, highest
	case maySplit:
		key, load := s.busiestKey(from, loads)
		return Range{First: key, Last: key}, load
	case math.IsInf(lowest, 1):
		return Range{}, 0
	}
	return lightest, lowest
}

// unlimited returns the candidates without a limit. If each has one, it returns the ones that are not cold, or else all.
func unlimited(candidates []*candidate) []*candidate {
	free := slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool { return c.limited })
	if len(free) == 0 {
		return warm(candidates)
	}
	return free
}

// limitedCapacity converts a limit into a capacity, in the unit of candidate.capacity.
func (s *service) limitedCapacity(perSecond float64) float64 {
	mean := s.requestTimes.mean
	if mean <= 0 {
		mean = 1
	}
	return max(minLimitedRate, perSecond) * mean
}

package shard

import (
	"math"
	"time"
)

const (
	// spareRowShare is the share of the largest number of rows of a service that is kept for splits of busy rows.
	spareRowShare = 0.25
	// coldRowShare is the load, relative to the mean of all rows, below which a row is joined with its neighbor in advance.
	coldRowShare = 0.5
	// maxJoins limits the rows that one balancing pass joins in advance.
	maxJoins = 8
)

// joinColdRows joins rows that get few requests with their neighbors, so that busy rows can be split when they need it.
//
// The load pattern is busy keys that change: each change leaves the rows behind into which the earlier busy keys were split.
func (d *Decider) joinColdRows(now time.Time, s *service, loads prefixSums) {
	limit := splitLimit(len(s.servers))
	excess := len(s.rows) - limit + int(spareRowShare*float64(limit))
	cold := coldRowShare * loads.sum(Range{First: 0, Last: LastKey}) / float64(len(s.rows))
	for range min(excess, maxJoins) {
		if d.joinRows(now, s, loads, cold) == 0 {
			return
		}
	}
}

// compact joins two adjacent rows, so that another row may be split, and returns the number of moves.
//
// The load pattern is a busy range of keys within one row, after the service has got its largest number of rows.
func (d *Decider) compact(now time.Time, s *service, loads prefixSums) int {
	return d.joinRows(now, s, loads, math.Inf(1))
}

// joinRows joins two adjacent rows: the one with the lower load moves to the owner of the other. It chooses the pair for
// which that load is the lowest, if it is below maxLoad, and returns the number of moves.
func (d *Decider) joinRows(now time.Time, s *service, loads prefixSums, maxLoad float64) int {
	var keys Range
	var to Holder
	lowest := maxLoad
	for i := 1; i < len(s.rows); i++ {
		light, heavy := s.rows[i-1], s.rows[i]
		if !d.stable(light) || !d.stable(heavy) || light.Owner.sameRun(heavy.Owner) {
			continue
		}
		if loads.sum(light.Range) > loads.sum(heavy.Range) {
			light, heavy = heavy, light
		}
		if load := loads.sum(light.Range); load < lowest && !d.takesFew(now, heavy.Owner) && s.eligible(now, heavy.Owner) {
			keys, to, lowest = light.Range, heavy.Owner, load
		}
	}
	if lowest == maxLoad {
		return 0
	}
	d.move(now, s, keys, to)
	return 1
}

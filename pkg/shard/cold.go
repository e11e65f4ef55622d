package shard

import (
	"slices"
	"time"
)

// coldRun returns what the run of a server tolerates if it is cold.
func (d *Decider) coldRun(now time.Time, h Holder) (ColdRun, bool) {
	r, ok := d.cold[runOf(h)]
	return r, ok && now.Before(r.Until)
}

// takesFew reports whether a server has a limit or is cold, so that it gets no further keys.
func (d *Decider) takesFew(now time.Time, h Holder) bool {
	_, limited := d.limits[runOf(h)]
	_, cold := d.coldRun(now, h)
	return limited || cold
}

// markCold marks a candidate as cold. Its capacity stays that of a warm server: if all candidates are cold, they get keys as if
// all were warm.
func (c *candidate) markCold(perSecond float64) {
	if !c.limited || perSecond < c.rate {
		c.rate = perSecond
	}
	c.cold, c.limited = true, true
}

// warm returns the candidates that are not cold, or all if each one is. All servers are cold when the whole system starts,
// before there are requests.
func warm(candidates []*candidate) []*candidate {
	list := slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool { return c.cold })
	if len(list) == 0 {
		return candidates
	}
	return list
}

// relieveCold moves keys away from a cold server that tolerates fewer requests than its keys get, as far as the warm
// servers can run them.
//
// The load pattern is a service of which most servers are cold. Without the check, the first warm one gets what all others
// do not tolerate.
func (d *Decider) relieveCold(now time.Time, s *service, from *candidate, targets []*candidate, loads prefixSums) {
	for moves := minMoves; moves > 0 && from.load > limitUse*from.rate; moves-- {
		maySplit := len(s.rows) < splitLimit(len(s.servers))
		keys, load := s.excessRange(from, loads, from.load-limitUse*from.rate, maySplit)
		to := leastLoaded(targets)
		if highest, known := s.maxRate(to); load <= 0 || known && to.load+load > highest {
			return
		}
		d.moveLoad(now, s, from, to, keys, load)
	}
}

package shard

import (
	"math"
	"slices"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// overloadRatio is the load, relative to what a server can run, above which some requests are refused at once.
	// The remaining ones then wait only briefly at the server instead of behind a full queue.
	overloadRatio = 1.05
	// shedHysteresis is the number of steps by which Row.Shed must change for an update of the row. A change to
	// zero always updates it.
	shedHysteresis = 2
)

// updateShed sets Row.Shed of each row to the share by which the load exceeds what the owner can run. Balancing cannot
// help if a single key has too many requests.
func (d *Decider) updateShed(s *service, candidates []*candidate) {
	steps := make(map[assign.ServerID]uint8, len(candidates))
	clear(s.shedding)
	for _, c := range candidates {
		if n := s.shedFor(c); n > 0 {
			steps[c.Server] = n
			s.shedding[c.Server] = true
		}
	}
	for _, r := range s.rows {
		n := steps[r.Owner.Server]
		if n == r.Shed || n > 0 && math.Abs(float64(n)-float64(r.Shed)) < shedHysteresis {
			continue
		}
		r.Shed = n
		d.bumpVersion(r)
	}
}

// overloaded returns the candidates some of whose requests are refused.
func (s *service) overloaded(candidates []*candidate) []*candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool { return !s.shedding[c.Server] })
}

// shedFor returns the value of Row.Shed for the rows of a server: the share of its requests to refuse, in units of
// 1/ShedSteps.
func (s *service) shedFor(c *candidate) uint8 {
	maxRate, ok := s.maxRate(c)
	if !ok || c.load <= overloadRatio*maxRate {
		return 0
	}
	return uint8(min(ShedSteps-1, math.Round(ShedSteps*(1-maxRate/c.load))))
}

// maxRate returns how many requests per second a server can run, and whether that is known.
func (s *service) maxRate(c *candidate) (float64, bool) {
	perRequest := s.requestTimes.byServer[c.Server]
	if perRequest <= 0 {
		return c.rate, c.limited
	}
	rate := float64(max(1, s.servers[c.Server].Slots)) / perRequest
	if c.limited {
		rate = min(rate, c.rate)
	}
	return rate, true
}

package shard

import (
	"math"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// fullLoad is the load, relative to what a server can run, above which requests are refused at
	// once. The rest of them then waits only briefly at the server instead of behind a full queue.
	fullLoad = 1.05
	// shedSlack is the number of steps that the part to refuse must change by to be told anew.
	shedSlack = 2
)

// shed sets the part of the requests to refuse for each row: as much as the owner's load exceeds what
// it can run. Balancing does not help where a single key is too busy.
func (d *Decider) shed(s *service, candidates []*candidate) {
	steps := make(map[assign.ServerID]uint8, len(candidates))
	clear(s.shedding)
	for _, c := range candidates {
		if n := s.shedSteps(c); n > 0 {
			steps[c.Server] = n
			s.shedding[c.Server] = true
		}
	}
	for _, r := range s.rows {
		n := steps[r.Owner.Server]
		if n == r.Shed || n > 0 && math.Abs(float64(n)-float64(r.Shed)) < shedSlack {
			continue
		}
		r.Shed = n
		d.touch(r)
	}
}

// shedSteps returns the part of a server's requests to refuse, out of ShedSteps.
func (s *service) shedSteps(c *candidate) uint8 {
	took := s.pace.server[c.Server]
	if took <= 0 {
		return 0
	}
	room := float64(max(1, s.servers[c.Server].Slots)) / took
	if c.load <= fullLoad*room {
		return 0
	}
	return uint8(min(ShedSteps-1, math.Round(ShedSteps*(1-room/c.load))))
}

package shard

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// paceRequests is the number of requests over which the time of a server's requests is averaged.
	paceRequests = 60
	// leastPace and mostPace bound how much slower or faster than the mean a server counts.
	leastPace = 0.4
	mostPace  = 2.5
)

// pace is how long the servers of a service take for a request, in seconds.
type pace struct {
	mean   float64
	server map[assign.ServerID]float64
}

// add takes over work. The time at a full server includes that in its queue, so that there only shorter
// times than the known one count.
func (p *pace) add(work map[assign.ServerID]Work, full map[assign.ServerID]bool) {
	if p.server == nil {
		p.server = map[assign.ServerID]float64{}
	}
	for id, w := range work {
		if w.Requests == 0 {
			continue
		}
		took := (w.Time / time.Duration(w.Requests)).Seconds()
		if p.mean == 0 {
			p.mean = took
		}
		if p.server[id] == 0 {
			p.server[id] = p.mean
		}
		if full[id] && took > p.server[id] {
			continue
		}
		share := min(1, float64(w.Requests)/paceRequests)
		p.server[id] += share * (took - p.server[id])
		// The mean follows each server's share of the requests more slowly.
		p.mean += share / float64(max(1, len(p.server))) * (took - p.mean)
	}
}

// of returns how much longer than the mean a server takes for a request.
func (p *pace) of(id assign.ServerID) float64 {
	took := p.server[id]
	if took == 0 || p.mean == 0 {
		return 1
	}
	return min(mostPace, max(leastPace, took/p.mean))
}

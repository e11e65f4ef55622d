package shard

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// averageWindow is the number of requests over which the time per request of a server is averaged.
	averageWindow = 60
	// fasterRatio is the time per request, relative to the average of an overloaded server, below which a report has at least
	// the weight fasterWeight: most requests are refused then, so that few show that the server is faster.
	fasterRatio  = 0.5
	fasterWeight = 0.25
	// minSlowdown and maxSlowdown bound the result of slowdown, and so how far measured times change the capacity
	// of a server.
	minSlowdown = 0.4
	maxSlowdown = 2.5
)

// requestTimes has moving averages of the time per request, in seconds, for each server of a service and for all of
// them together.
type requestTimes struct {
	mean     float64
	byServer map[assign.ServerID]float64
}

// add updates the averages with reported work. The times of an overloaded server include the wait in its queue, so
// that they count only if they are shorter than its average.
func (t *requestTimes) add(work map[assign.ServerID]Work, overloaded map[assign.ServerID]bool) {
	if t.byServer == nil {
		t.byServer = map[assign.ServerID]float64{}
	}
	for id, w := range work {
		if w.Requests == 0 {
			continue
		}
		perRequest := (w.Time / time.Duration(w.Requests)).Seconds()
		if t.mean == 0 {
			t.mean = perRequest
		}
		if t.byServer[id] == 0 {
			t.byServer[id] = t.mean
		}
		if overloaded[id] && perRequest > t.byServer[id] {
			continue
		}
		weight := min(1, float64(w.Requests)/averageWindow)
		if overloaded[id] && perRequest < fasterRatio*t.byServer[id] {
			weight = max(weight, fasterWeight)
		}
		t.byServer[id] += weight * (perRequest - t.byServer[id])
		// Each server moves the mean by only a fraction of the weight, since all servers contribute to it.
		t.mean += weight / float64(max(1, len(t.byServer))) * (perRequest - t.mean)
	}
}

// slowdown returns the time per request of a server relative to the mean of all servers, 1 if it is not known.
func (t *requestTimes) slowdown(id assign.ServerID) float64 {
	perRequest := t.byServer[id]
	if perRequest == 0 || t.mean == 0 {
		return 1
	}
	return min(maxSlowdown, max(minSlowdown, perRequest/t.mean))
}

package pick

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	defaultRamp    = 10 * time.Second
	defaultEject   = 5 * time.Second
	defaultPenalty = time.Second

	// defaultLocal allows one call in flight more at a server that is nearly idle, a factor of 2, to
	// go to another failure domain.
	defaultLocal = 1.5
	// evenFactor is the ratio of scores below which the reported load decides.
	evenFactor = 1.05
	// leastRamp is the share of a server that has just started. With none at all it would never be
	// observed.
	leastRamp = 0.05
	// latencyWeight and failureWeight are the weights of one call in the means.
	latencyWeight = 0.1
	failureWeight = 0.1
	// failureShare is the mean share of errors above which a server is ejected, after minCalls.
	failureShare = 0.5
	minCalls     = 5
	// forget is the time without calls in which a latency counts half, so that a server which was
	// slow or failed is tried again.
	forget = 5 * time.Second
	// ejectedShare is one over the largest share of the servers that is ejected.
	ejectedShare = 3
	// longestEject is the largest factor on Config.Eject.
	longestEject = 8
)

// server is one server as this process sees it.
type server struct {
	id             assign.ServerID
	failureDomain  string
	listedDraining bool
	report         Report
	inFlight       int
	// latency is the mean latency, 0 where none is known; observed is when it last changed.
	latency  float64
	observed time.Time
	calls    int
	failures float64
	// rampFrom is the start of the ramp, the zero time where there is none.
	rampFrom     time.Time
	ejectedUntil time.Time
	// ejections counts the ejections without a successful call between them.
	ejections int
}

func (x *server) draining() bool { return x.listedDraining || x.report.Draining }

func (x *server) ejected(now time.Time) bool { return now.Before(x.ejectedUntil) }

// ramped returns the share, above 0 and up to 1, that a server gets of what others get.
func (x *server) ramped(now time.Time, ramp time.Duration) float64 {
	if x.rampFrom.IsZero() {
		return 1
	}
	return min(1, max(leastRamp, float64(now.Sub(x.rampFrom))/float64(ramp)))
}

func (x *server) observe(now time.Time, latency time.Duration, failed bool) {
	x.calls++
	if x.latency == 0 {
		x.latency = float64(latency)
	}
	x.latency += latencyWeight * (float64(latency) - x.latency)
	x.observed = now
	failure := 0.0
	if failed {
		failure = 1
	} else {
		x.ejections = 0
	}
	x.failures += failureWeight * (failure - x.failures)
}

// failing reports whether the server should be ejected.
func (x *server) failing() bool { return x.calls >= minCalls && x.failures > failureShare }

// score is the expected time of one more call: lower is better. Where no latency is known it is
// that of the other servers.
func (s *Set) score(now time.Time, x *server) float64 {
	latency := x.latency
	if latency == 0 {
		latency = s.meanLatency()
	} else {
		latency *= math.Exp2(-float64(now.Sub(x.observed)) / float64(forget))
	}
	return float64(x.inFlight+1) * max(latency, 1)
}

func (s *Set) meanLatency() float64 {
	sum, known := 0.0, 0
	for _, x := range s.servers {
		if x.latency > 0 {
			sum += x.latency
			known++
		}
	}
	if known == 0 {
		return float64(time.Millisecond)
	}
	return sum / float64(known)
}

// eject takes a server out for a time, if that leaves two thirds of the servers. Afterwards it is
// ramped like a cold one.
func (s *Set) eject(now time.Time, x *server) {
	if x.ejected(now) || x.draining() {
		return
	}
	ejected, bound := s.ejections(now)
	if len(ejected) >= bound {
		return
	}
	length := s.config.Eject * time.Duration(min(longestEject, 1<<min(x.ejections, longestEject)))
	x.ejections++
	x.ejectedUntil = now.Add(length)
	x.rampFrom = x.ejectedUntil
	x.calls = 0
	x.failures = 0
}

// ejections returns the ejected servers, and the largest number of them. Draining servers count for
// neither.
func (s *Set) ejections(now time.Time) (ejected []*server, bound int) {
	usable := 0
	for _, x := range s.servers {
		if x.draining() {
			continue
		}
		usable++
		if x.ejected(now) {
			ejected = append(ejected, x)
		}
	}
	return ejected, usable / ejectedShare
}

// boundEjections takes servers back where there are now fewer servers, those first whose ejection
// ends first.
func (s *Set) boundEjections(now time.Time) {
	ejected, bound := s.ejections(now)
	slices.SortStableFunc(ejected, func(a, b *server) int { return cmp.Compare(a.ejectedUntil.UnixNano(), b.ejectedUntil.UnixNano()) })
	for i := 0; i < len(ejected)-bound; i++ {
		ejected[i].ejectedUntil = time.Time{}
		ejected[i].rampFrom = now
	}
}

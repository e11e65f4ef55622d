package pick

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	defaultRamp         = 10 * time.Second
	defaultEjectionTime = 5 * time.Second
	defaultErrorLatency = time.Second

	// defaultLocalFactor is less than 2, the ratio between the score of a server with one call in flight and
	// the score of an idle one. A call thus goes to an idle server of another failure domain.
	defaultLocalFactor = 1.5
	// tieRatio is the ratio of scores below which the reported load decides.
	tieRatio = 1.05
	// minRampShare is the share of calls that a server gets right after its start. Without any calls
	// its latency would never be measured.
	minRampShare = 0.05
	// latencyWeight and errorWeight are the weights of the latest call in the exponentially weighted
	// moving averages.
	latencyWeight = 0.1
	errorWeight   = 0.1
	// maxErrorRate is the average error rate above which a server is ejected, once it has had minCalls
	// calls.
	maxErrorRate = 0.5
	minCalls     = 5
	// latencyHalfLife is the time without calls after which the latency of a server counts half, so
	// that a server that was slow or failed is tried again.
	latencyHalfLife = 5 * time.Second
	// ejectionDivisor divides the number of servers to get the maximum number of ejected ones.
	ejectionDivisor = 3
	// maxEjectionFactor is the maximum multiple of Config.EjectionTime.
	maxEjectionFactor = 8
)

// server holds the state of one server and the statistics of this process's calls to it.
type server struct {
	id            assign.ServerID
	failureDomain string
	// listedDraining reports that the list of servers marks the server as draining.
	listedDraining bool
	// listedWarmUp is the warm-up time on the list, and coldUntil its end.
	listedWarmUp time.Duration
	coldUntil    time.Time
	slots        int
	report       Report
	reported     time.Time
	inFlight     int
	// counted is the number of calls in flight that the spill controller counts.
	counted int
	// latency is the average latency in ns, 0 if none was measured.
	latency float64
	// observed is the time of the latest measurement of latency.
	observed time.Time
	// calls is the number of calls since the last ejection.
	calls int
	// errorRate is the average error rate since the last ejection.
	errorRate float64
	// rampFrom is the start of the latest ramp, or the zero time if there was none.
	rampFrom     time.Time
	ejectedUntil time.Time
	// heldUntil is the time until which the server gets no calls because it takes none.
	heldUntil time.Time
	// ejections is the number of ejections since the last successful call.
	ejections int
}

// list takes over the entry of the server on the list. The warm-up time of an entry that is not recent does not count, since
// lists are not renewed when it runs down.
func (s *server) list(now time.Time, a assign.Server, recent bool) {
	s.failureDomain = a.FailureDomain
	s.listedDraining = a.Draining
	s.slots = max(1, a.Slots)
	if a.WarmUp != s.listedWarmUp {
		s.listedWarmUp = a.WarmUp
		if recent {
			s.coldUntil = now.Add(a.WarmUp)
		}
	}
}

func (s *server) draining() bool { return s.listedDraining || s.report.Draining }

func (s *server) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// rampShare returns the share of calls, above 0 and up to 1, that the server gets compared with a
// warm one.
func (s *server) rampShare(now time.Time, ramp time.Duration) float64 {
	if s.rampFrom.IsZero() {
		return 1
	}
	return min(1, max(minRampShare, float64(now.Sub(s.rampFrom))/float64(ramp)))
}

// observe adds a call to the statistics.
func (s *server) observe(now time.Time, latency time.Duration, failed bool) {
	s.calls++
	if s.latency == 0 {
		s.latency = float64(latency)
	}
	s.latency += latencyWeight * (float64(latency) - s.latency)
	s.observed = now
	failure := 0.0
	if failed {
		failure = 1
	} else {
		s.ejections = 0
	}
	s.errorRate += errorWeight * (failure - s.errorRate)
}

// failing reports whether the server should be ejected.
func (s *server) failing() bool { return s.calls >= minCalls && s.errorRate > maxErrorRate }

// score estimates the time of one more call; lower is better. It uses the average of the other servers
// for a server without a measured latency.
func (p *Picker) score(now time.Time, s *server) float64 {
	latency := s.latency
	if latency == 0 {
		latency = p.meanLatency()
	} else {
		latency *= math.Exp2(-float64(now.Sub(s.observed)) / float64(latencyHalfLife))
	}
	return float64(s.inFlight+1) * max(latency, 1) * s.reportFactor(now)
}

// meanLatency returns the mean of the measured latencies of all servers, 1 ms if there are none.
func (p *Picker) meanLatency() float64 {
	sum, count := 0.0, 0
	for _, s := range p.servers {
		if s.latency > 0 {
			sum += s.latency
			count++
		}
	}
	if count == 0 {
		return float64(time.Millisecond)
	}
	return sum / float64(count)
}

// eject ejects a server for a time, unless more than a third of the servers would then be ejected.
// Afterwards the server is ramped up like a cold one.
func (p *Picker) eject(now time.Time, s *server) {
	if s.ejected(now) || s.draining() {
		return
	}
	ejected, limit := p.ejectedServers(now)
	if len(ejected) >= limit {
		return
	}
	duration := p.config.EjectionTime * time.Duration(min(maxEjectionFactor, 1<<min(s.ejections, maxEjectionFactor)))
	s.ejections++
	s.ejectedUntil = now.Add(duration)
	s.rampFrom = s.ejectedUntil
	s.calls = 0
	s.errorRate = 0
}

// ejectedServers returns the ejected servers and the maximum number of them. Draining servers count
// for neither.
func (p *Picker) ejectedServers(now time.Time) (ejected []*server, limit int) {
	usable := 0
	for _, s := range p.servers {
		if s.draining() {
			continue
		}
		usable++
		if s.ejected(now) {
			ejected = append(ejected, s)
		}
	}
	return ejected, usable / ejectionDivisor
}

// trimEjections ends ejections that exceed the limit, for example because there are fewer servers now.
// It starts with those that expire first.
func (p *Picker) trimEjections(now time.Time) {
	ejected, limit := p.ejectedServers(now)
	slices.SortStableFunc(ejected, func(a, b *server) int { return cmp.Compare(a.ejectedUntil.UnixNano(), b.ejectedUntil.UnixNano()) })
	for i := 0; i < len(ejected)-limit; i++ {
		ejected[i].ejectedUntil = time.Time{}
		ejected[i].rampFrom = now
	}
}

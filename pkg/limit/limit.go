package limit

import "time"

const (
	// slowRatio is the mean latency, relative to the latency without congestion, above which the server
	// counts as congested. At 2 a call waits at the server about as long as it runs.
	slowRatio = 2
	// ratioWeight is the weight of one call in the moving average of the ratio. It is small, because run
	// times vary and single calls above slowRatio are common on an idle server.
	ratioWeight = 0.05
	// slowFactor and refusedFactor are the factors of a decrease on a slow mean and on a refusal or failed
	// call. A slow mean is the less certain sign of congestion, so it decreases the limit less.
	slowFactor    = 0.85
	refusedFactor = 0.7
)

// Bounds configures a Limit.
type Bounds struct {
	// Ceiling is the number of connections, at least 1.
	Ceiling int
	// Initial is the initial limit; 1 by default, so that the first run times are measured at a server
	// that this process does not congest.
	Initial int
}

// Sample is the result of one call, the input of a Limit.
type Sample struct {
	Outcome Outcome
	// Latency is the time from sending to the complete answer, for Ran.
	Latency time.Duration
	// BaseLatency is the latency of such a call at a server without congestion, 0 if unknown.
	BaseLatency time.Duration
	// InFlight is the number of calls in flight before this one ended.
	InFlight int
}

// Limit is an adaptive limit on the calls of this process in flight at one server (AIMD): it rises by
// about one per round of calls while it is fully used, and is multiplied by a factor below 1 on a
// refusal, on a failed call and on a slow mean latency.
type Limit struct {
	ceiling      int
	value        float64
	latencyRatio float64
	// sentBeforeDecrease is the number of coming results that do not decrease the limit, because their
	// calls were sent before the last decrease.
	sentBeforeDecrease int
}

// NewLimit returns a Limit at its initial value.
func NewLimit(c Bounds) *Limit {
	l := &Limit{latencyRatio: 1}
	l.SetCeiling(c.Ceiling)
	l.set(float64(c.Initial))
	return l
}

// Allowed returns the number of calls that may be in flight, from 1 to the ceiling.
func (l *Limit) Allowed() int { return int(l.value) }

// Ceiling returns the number of connections, at least 1.
func (l *Limit) Ceiling() int { return l.ceiling }

// SetCeiling changes the number of connections; less than 1 counts as 1.
func (l *Limit) SetCeiling(n int) {
	l.ceiling = max(n, 1)
	l.set(l.value)
}

// Observe updates the limit with the result of a call.
func (l *Limit) Observe(s Sample) {
	switch s.Outcome {
	case Unsent:
		return
	case Refused, Failed:
		l.decrease(refusedFactor, s.InFlight)
		return
	case Ran:
	}
	if s.BaseLatency > 0 {
		l.latencyRatio += ratioWeight * (float64(s.Latency)/float64(s.BaseLatency) - l.latencyRatio)
	}
	switch {
	case l.latencyRatio > slowRatio:
		l.decrease(slowFactor, s.InFlight)
	case s.InFlight >= l.Allowed():
		l.set(l.value + 1/l.value)
	}
	l.sentBeforeDecrease = max(0, l.sentBeforeDecrease-1)
}

// decrease multiplies the limit by factor, once for all calls that were in flight together.
func (l *Limit) decrease(factor float64, inFlight int) {
	if l.sentBeforeDecrease > 0 {
		l.sentBeforeDecrease--
		return
	}
	l.sentBeforeDecrease = inFlight
	l.set(l.value * factor)
}

func (l *Limit) set(v float64) {
	l.value = min(max(v, 1), float64(l.ceiling))
}

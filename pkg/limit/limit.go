package limit

import "time"

const (
	// slowRatio is the mean latency, relative to the usual one, above which the server is taken as
	// congested. At 2 a call waits at the server about as long as it runs.
	slowRatio = 2
	// ratioWeight is the weight of one call in the mean ratio. Run times vary, so that single calls
	// above slowRatio are common on an idle server.
	ratioWeight = 0.05
	// slowCut and refusedCut are the factors of a decrease. A refusal is certain, a slow mean less so.
	slowCut    = 0.85
	refusedCut = 0.7
)

// Bounds configures a Limit.
type Bounds struct {
	// Ceiling is the number of connections, at least 1.
	Ceiling int
	// Initial is the first limit; 1 by default, so that run times are first learned at a server that
	// is not congested by this process.
	Initial int
}

// Sample is one call that ended, as a Limit learns from it.
type Sample struct {
	Outcome Outcome
	// Latency is the time from sending to the complete answer, for Ran.
	Latency time.Duration
	// Usual is the latency of such a call at a server without congestion, 0 where it is not known.
	Usual time.Duration
	// InFlight is the number of calls in flight before this one ended.
	InFlight int
}

// Limit learns how many calls of this process may be in flight at one server: it rises by about one
// for each round of calls while the limit is in use, and falls by a factor on refusals and on a
// slow mean (AIMD).
type Limit struct {
	ceiling int
	value   float64
	ratio   float64
	// hold is the number of calls, sent before the last decrease, that do not count.
	hold int
}

// NewLimit returns a Limit at its initial value.
func NewLimit(c Bounds) *Limit {
	l := &Limit{ratio: 1}
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

// Observe learns from a call that ended.
func (l *Limit) Observe(s Sample) {
	switch s.Outcome {
	case Unsent:
		return
	case Refused, Failed:
		l.cut(refusedCut, s.InFlight)
		return
	case Ran:
	}
	if s.Usual > 0 {
		l.ratio += ratioWeight * (float64(s.Latency)/float64(s.Usual) - l.ratio)
	}
	switch {
	case l.ratio > slowRatio:
		l.cut(slowCut, s.InFlight)
	case s.InFlight >= l.Allowed():
		l.set(l.value + 1/l.value)
	}
	l.hold = max(0, l.hold-1)
}

// cut decreases the limit once for the calls that were in flight together.
func (l *Limit) cut(factor float64, inFlight int) {
	if l.hold > 0 {
		l.hold--
		return
	}
	l.hold = inFlight
	l.set(l.value * factor)
}

func (l *Limit) set(v float64) {
	l.value = min(max(v, 1), float64(l.ceiling))
}

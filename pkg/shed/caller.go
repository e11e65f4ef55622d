package shed

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// Repeated is the rank of the requests of callers that repeat them too often. It is less urgent than all others.
	Repeated = math.MaxInt
	// callerTime is the time after which a request has lost most of its weight for the rate of its caller.
	callerTime = 2 * time.Second
	// rateRatio is the ratio of the rate of a caller to the mean of the others above which its requests count as repeated.
	rateRatio = 4.0
	// minCallers is the number of callers below which rates are not compared, and minCallerWeight the number of recent
	// requests that each caller may have whatever the others do.
	minCallers      = 4
	minCallerWeight = 8.0
	// sharedConnections is the number of open connections from which an address counts as that of a proxy with many callers.
	sharedConnections = 8
	// earlyShare is the fraction of a Retry-After time before which a return is early. Timers of callers are not exact.
	earlyShare = 0.9
	// maxCallers bounds the number of callers that are kept. Others are not judged while there are so many.
	maxCallers = 512
	// maxTold bounds the number of Retry-After times that are kept for a caller.
	maxTold = 8
	// minCallerKept is the weight of a caller below which it is dropped, and pruneInterval the least time between two
	// passes that drop callers.
	minCallerKept = 0.05
	pruneInterval = time.Second
)

// Request is what a Policy knows of a request.
type Request struct {
	// Rank is the priority of the rule, 0 is the most urgent.
	Rank int
	// Caller is the address of the caller, the zero Addr if it is not known.
	Caller netip.Addr
	// Connections is the number of open connections of that address.
	Connections int
	// Target identifies what the request asks for, so that a retry can be told from another request of the same address.
	Target uint64
}

// callers finds the callers that cost others their share: whose rate is far above that of the others, or that return earlier
// than they were told. The load pattern is a caller that sends each rejected request again at once, so that the rejected
// requests of others become more.
type callers struct {
	random   *rand.Rand
	byAddr   map[netip.Addr]*caller
	total    weight
	lastScan time.Time
}

// caller is the recent behavior of one address.
type caller struct {
	requests weight
	told     []told
}

// told is until when a caller was told not to return.
type told struct {
	target uint64
	until  time.Time
}

// weight is a number of requests with exponential decay.
type weight struct {
	value   float64
	decayed time.Time
}

func (w *weight) at(now time.Time) float64 {
	if passed := now.Sub(w.decayed); passed > 0 {
		w.value *= math.Exp(-passed.Seconds() / callerTime.Seconds())
		w.decayed = now
	}
	return w.value
}

func (w *weight) add(now time.Time) { w.value = w.at(now) + 1 }

func newCallers(random *rand.Rand) callers {
	return callers{random: random, byAddr: map[netip.Addr]*caller{}}
}

// judge counts a request and returns its rank, or Repeated.
func (c *callers) judge(now time.Time, r Request) int {
	k := c.caller(now, r.Caller)
	if k == nil {
		return r.Rank
	}
	k.requests.add(now)
	c.total.add(now)
	if r.Connections >= sharedConnections {
		return r.Rank
	}
	if k.early(now, r.Target) || c.random.Float64() < c.surplus(now, k) {
		return Repeated
	}
	return r.Rank
}

// caller returns the state of a caller, nil if it is not known or too many others are kept.
func (c *callers) caller(now time.Time, a netip.Addr) *caller {
	k := c.byAddr[a]
	if k != nil || !a.IsValid() {
		return k
	}
	if len(c.byAddr) >= maxCallers {
		c.prune(now)
	}
	if len(c.byAddr) >= maxCallers {
		return nil
	}
	k = &caller{}
	c.byAddr[a] = k
	return k
}

// surplus returns the share of the requests of a caller by which its rate is above rateRatio times the mean of the others.
func (c *callers) surplus(now time.Time, k *caller) float64 {
	c.prune(now)
	if len(c.byAddr) < minCallers {
		return 0
	}
	own := k.requests.at(now)
	mean := (c.total.at(now) - own) / float64(len(c.byAddr)-1)
	return max(0, 1-max(minCallerWeight, rateRatio*mean)/own)
}

// tell records that a caller was told to return after the given time.
func (c *callers) tell(now time.Time, r Request, after time.Duration) {
	k := c.byAddr[r.Caller]
	if k == nil {
		return
	}
	entry := told{target: r.Target, until: now.Add(scale(after, earlyShare))}
	if len(k.told) < maxTold {
		k.told = append(k.told, entry)
		return
	}
	oldest := 0
	for i, t := range k.told {
		if t.until.Before(k.told[oldest].until) {
			oldest = i
		}
	}
	k.told[oldest] = entry
}

// early reports whether the caller was told not to return with such a request yet.
func (k *caller) early(now time.Time, target uint64) bool {
	for _, t := range k.told {
		if t.target == target && now.Before(t.until) {
			return true
		}
	}
	return false
}

// prune drops the callers without recent requests, at most once in pruneInterval.
func (c *callers) prune(now time.Time) {
	if now.Sub(c.lastScan) < pruneInterval {
		return
	}
	c.lastScan = now
	for a, k := range c.byAddr {
		if k.requests.at(now) < minCallerKept {
			delete(c.byAddr, a)
		}
	}
}

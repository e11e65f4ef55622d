// Package spill decides which requests of one service leave the failure domain of the process that routes them.
//
// Traffic between failure domains is slower and costs money, so requests normally stay in the own (home) domain. A
// Controller keeps the share of requests that leave. The load that it answers is a domain whose own servers are too few for
// a time: more demand than they can run, servers that are slow, draining, evacuated, cold or lost, or a burst of requests.
// One process has a few requests a second for a service, so a single server tells it little. It therefore judges whole
// domains, by several signals:
//
//   - No usable server at home, or a rejection at home: that request leaves at once, if another domain has room.
//   - More requests in flight at home than usable slots, and requests in flight for longer than their objective: these
//     are known before a response arrives.
//   - Rejections, failures and missed objectives in the responses, where a latency above half of the objective counts in part.
//
// The share rises while home is under pressure and the other domains, the way to them included, do better. It falls when
// home recovers, and when leaving brings nothing. Between two thresholds it stays. It changes at a bounded rate, and each
// process has its own thresholds and rate, drawn at random, so that many processes that see the same do not swing together.
// Requests are chosen at random. While home is not under pressure, the share is zero and nothing leaves. While it is, a
// small share probes the other domains; if they prove no better, the probes pause for a time that doubles.
//
// A Controller starts no goroutine and reads no clock. It is not safe for concurrent use. Its choice is advice about the
// domain only: retry budget, drain, evacuation and warm-up decide which servers are usable at all.
//
// # Usage
//
//	c := spill.New(spill.Config{Home: "fd-1"}, random)
//	c.SetCapacity(now, map[string]int{"fd-1": 12, "fd-2": 18})
//	choice := c.Choose(now, spill.Request{Objective: objective})
//	c.Start(now, choice.Domain, objective)
//	// send the request to a server of choice.Domain
//	c.Done(now, spill.Result{Domain: choice.Domain, Latency: latency, Objective: objective, Rejected: rejected})
package spill

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Config configures a Controller. Zero values mean the defaults.
type Config struct {
	// Home is the failure domain of this process.
	Home string
	// AddedLatency is the typical time that the way to another domain and back adds; 1.4 ms by default.
	AddedLatency time.Duration
}

// Request is a request whose failure domain is to be chosen.
type Request struct {
	// Objective is the latency objective of the request's rule.
	Objective time.Duration
	// Rejected reports that a server at home has rejected the request or could not be reached.
	Rejected bool
}

// Choice is the failure domain that a request goes to.
type Choice struct {
	Domain string
	// Away reports that Domain is not home.
	Away bool
}

// Result is the result of a request.
type Result struct {
	Domain  string
	Latency time.Duration
	// Objective is the latency objective of the request's rule.
	Objective time.Duration
	// Rejected reports that the server did not run the request.
	Rejected bool
	// Failed reports that the server failed to run the request, or that its response was lost.
	Failed bool
	// Ignore excludes the request from the statistics, for example because its caller left.
	Ignore bool
}

// Controller decides for one service in one process.
type Controller struct {
	config Config
	random *rand.Rand
	// riseAbove is the pressure at home above which the share rises, and pace the factor on the rates of change.
	riseAbove, pace float64
	// slots is the number of usable slots of each domain.
	slots    map[string]int
	accounts map[string]*account
	// others are the domains other than home with usable slots, in ascending order.
	others []string
	share  float64
	active bool
	// stepped is the time of the latest change of the share.
	stepped time.Time
	// gained is the latest time at which the other domains did better than home.
	gained time.Time
	// pausedUntil is the time before which the share stays zero, and pause the length of the latest fruitless pause.
	pausedUntil time.Time
	pause       time.Duration
}

// New returns a Controller that uses random as its source of random numbers.
func New(c Config, random *rand.Rand) *Controller {
	if c.AddedLatency <= 0 {
		c.AddedLatency = defaultAddedLatency
	}
	return &Controller{
		config:    c,
		random:    random,
		riseAbove: minRiseAbove + random.Float64()*(maxRiseAbove-minRiseAbove),
		pace:      minPace + random.Float64()*(maxPace-minPace),
		accounts:  map[string]*account{c.Home: {halfLife: homeHalfLife, prior: homePrior}},
	}
}

// SetCapacity replaces the number of usable slots of each domain. Servers that are draining, evacuated, cold or held back
// are not counted.
func (c *Controller) SetCapacity(now time.Time, slots map[string]int) {
	c.Advance(now)
	if maps.Equal(c.slots, slots) {
		return
	}
	c.slots = maps.Clone(slots)
	c.others = c.others[:0]
	for domain, n := range slots {
		if domain != c.config.Home && n > 0 {
			c.others = append(c.others, domain)
		}
	}
	slices.Sort(c.others)
}

// Choose returns the failure domain for a request. Without usable slots anywhere, it is home.
func (c *Controller) Choose(now time.Time, r Request) Choice {
	c.Advance(now)
	home := Choice{Domain: c.config.Home}
	away, ok := c.drawOther(now, r.Objective)
	if !ok {
		return home
	}
	switch {
	case c.slots[c.config.Home] == 0:
		return away
	case r.Rejected && c.account(away.Domain).pressure(now) < roomPressure:
		return away
	case c.active && c.random.Float64() < c.share:
		return away
	}
	return home
}

// drawOther draws a domain other than home, in proportion to its usable slots that are not under pressure. It reports
// false if there is none. While home has usable slots, it omits domains whose way would take up the objective.
func (c *Controller) drawOther(now time.Time, objective time.Duration) (Choice, bool) {
	total := 0.0
	weights := make([]float64, len(c.others))
	for i, domain := range c.others {
		weights[i] = c.weight(now, domain, objective)
		total += weights[i]
	}
	if total == 0 {
		return Choice{}, false
	}
	left := c.random.Float64() * total
	for i, domain := range c.others {
		left -= weights[i]
		if left < 0 {
			return Choice{Domain: domain, Away: true}, true
		}
	}
	return Choice{}, false
}

// weight returns the relative share that a domain gets of the leaving requests with an objective.
func (c *Controller) weight(now time.Time, domain string, objective time.Duration) float64 {
	if c.slots[c.config.Home] > 0 && !c.worthwhile(now, domain, objective) {
		return 0
	}
	return float64(c.slots[domain]) * max(minRoom, 1-c.account(domain).pressure(now))
}

// worthwhile reports whether the way to a domain leaves time for the request itself.
func (c *Controller) worthwhile(now time.Time, domain string, objective time.Duration) bool {
	if a := c.account(domain); a.known(now) {
		return a.fastest < objective
	}
	return c.config.AddedLatency.Seconds() < objective.Seconds()*lateFrom
}

// Start counts a request that is sent to a domain.
func (c *Controller) Start(now time.Time, domain string, objective time.Duration) {
	c.account(domain).start(now, objective)
}

// Done records the result of a request for which Start was called.
func (c *Controller) Done(now time.Time, r Result) {
	c.account(r.Domain).finish(now, r)
	c.Advance(now)
}

// Forget removes requests in flight to a domain whose results will not be recorded.
func (c *Controller) Forget(domain string, n int) {
	a := c.account(domain)
	a.inFlight = max(0, a.inFlight-n)
}

// Share returns the share of requests that leave the failure domain by choice.
func (c *Controller) Share() float64 { return c.share }

// Active reports whether requests leave the failure domain by choice.
func (c *Controller) Active() bool { return c.active }

// account returns the account of a domain.
func (c *Controller) account(domain string) *account {
	a := c.accounts[domain]
	if a == nil {
		a = &account{halfLife: awayHalfLife, prior: awayPrior}
		c.accounts[domain] = a
	}
	return a
}

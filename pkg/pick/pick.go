// Package pick balances the load of calls whose key no server owns.
//
// It uses the power of two random choices: a Picker draws two random servers and compares them by
// what this process itself observes, its own calls in flight and their latency. Load reports of the
// servers lag, and processes that follow the same report all send to the same server. A report
// therefore counts little: without Report.MaxAge it only breaks ties between servers with similar scores.
//
//   - Servers of the same failure domain are preferred unless they are busier than the others. With Config.Spill, the
//     domain of a call that has an objective is chosen first, by the results of all servers of a domain.
//   - A report with Report.MaxAge adjusts the score of its server by a factor of less than 2, which fades with the age of
//     the report. It never outweighs a call in flight or a latency that differs by more.
//   - A cold server gets a rising share of the calls during Config.Ramp.
//   - An error counts as a slow response, so that a server that fails fast does not attract calls.
//   - A server with a high error rate is ejected for a time, but at most a third of the servers are
//     ejected at once.
//   - A draining server is never picked, and a retry avoids the server that has just failed.
//
// A Picker starts no goroutine and reads no clock. It is not safe for concurrent use; SharedPicker is.
//
// # Usage
//
//	picker := pick.New(pick.Config{FailureDomain: "fd-1"}, rand.New(rand.NewPCG(seed, 0)))
//	picker.Update(now, servers)
//	server, ok := picker.Pick(now, "")
//	if ok {
//		picker.Start(server)
//		// send the call
//		picker.Done(now, server, pick.Result{Latency: latency, Failed: err != nil})
//	}
package pick

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/spill"
)

// Config configures a Picker. Zero values mean the defaults.
type Config struct {
	// FailureDomain is the failure domain of this process.
	FailureDomain string
	// Ramp is the time over which the share of a cold server rises to a full one; 10 s by default.
	Ramp time.Duration
	// EjectionTime is the duration of the first ejection of a server; 5 s by default. It doubles with
	// each ejection that follows without a successful call in between, up to 8 times its value.
	EjectionTime time.Duration
	// ErrorLatency is the minimum latency that a failed call counts with; 1 s by default.
	ErrorLatency time.Duration
	// LocalFactor is the ratio between the score of the best server in this failure domain and the score of
	// the best other server above which a call goes to the other one; 1.5 by default. A higher value
	// avoids traffic between failure domains where that is expensive.
	LocalFactor float64
	// Spill decides which calls with an objective leave the failure domain, in place of LocalFactor. Nil means that
	// LocalFactor decides for all calls. No other code may use it afterwards.
	Spill *spill.Controller
}

func (c Config) withDefaults() Config {
	if c.Ramp <= 0 {
		c.Ramp = defaultRamp
	}
	if c.EjectionTime <= 0 {
		c.EjectionTime = defaultEjectionTime
	}
	if c.ErrorLatency <= 0 {
		c.ErrorLatency = defaultErrorLatency
	}
	if c.LocalFactor <= 0 {
		c.LocalFactor = defaultLocalFactor
	}
	return c
}

// Call describes a call for which a server is to be picked.
type Call struct {
	// Avoid is the server at which the previous attempt of the call failed, "" for a first attempt.
	Avoid assign.ServerID
	// Objective is the latency objective of the call, 0 if it has none.
	Objective time.Duration
	// Rejected reports that a server of this failure domain rejected the previous attempt.
	Rejected bool
}

// Result is the result of a call.
type Result struct {
	// Latency is the time from sending the call to receiving the complete response.
	Latency time.Duration
	// Failed reports that the server returned an error or refused the call. For a call that the caller
	// cancelled, set Ignore instead.
	Failed bool
	// Rejected reports that the server did not run the call.
	Rejected bool
	// Objective is the latency objective of the call, as in its Call.
	Objective time.Duration
	// Ignore excludes the call from the statistics of the server.
	Ignore bool
}

// Report is what a server says about itself, in the response of its health endpoint or in those to calls. It lags and
// may be wrong.
type Report struct {
	// Load is the load of the server: 0 if it is idle, above 1 if it queues work.
	Load float64
	// Cold reports that the server has just started.
	Cold bool
	// Draining reports that the server accepts no new work.
	Draining bool
	// MaxAge is the time after which Load no longer counts. Zero means that it counts until the next report, and only
	// breaks ties.
	MaxAge time.Duration
}

// Picker picks servers of one service by the load and the latency that one process observes.
type Picker struct {
	config Config
	random *rand.Rand
	// servers is sorted by ID, so that a run with the same seed picks the same servers.
	servers []*server
	// started is set by the first Update.
	started bool
	// slots is reused for the usable slots of each failure domain.
	slots map[string]int
}

// New returns a Picker without servers that uses random as its source of random numbers.
func New(c Config, random *rand.Rand) *Picker {
	return &Picker{config: c.withDefaults(), random: random, slots: map[string]int{}}
}

// Update replaces the list of servers and keeps the statistics of servers that remain on it. Servers
// that are new on the list are treated as cold, except in the first Update.
func (p *Picker) Update(now time.Time, servers []assign.Server) {
	next := make([]*server, 0, len(servers))
	for _, a := range servers {
		s := p.find(a.ID)
		if s != nil && s.failureDomain != a.FailureDomain {
			p.forgetCounted(s)
		}
		if s == nil {
			s = &server{id: a.ID}
			if p.started {
				s.rampFrom = now
			}
		}
		s.list(now, a, p.started)
		next = append(next, s)
	}
	slices.SortFunc(next, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	next = slices.CompactFunc(next, func(a, b *server) bool { return a.id == b.id })
	p.forgetUnlisted(next)
	p.servers = next
	p.started = true
	p.trimEjections(now)
}

// Report records the health report of a server. It ignores servers that are not on the list.
func (p *Picker) Report(now time.Time, id assign.ServerID, r Report) {
	s := p.find(id)
	if s == nil {
		return
	}
	if r.Cold && !s.report.Cold {
		s.rampFrom = now
	}
	s.report, s.reported = r, now
	p.trimEjections(now)
}

// Pick returns a server for a call, or false if none is available. It never returns avoid, the server
// at which the previous attempt of the call failed, or "" for a first attempt.
func (p *Picker) Pick(now time.Time, avoid assign.ServerID) (assign.ServerID, bool) {
	return p.PickFor(now, Call{Avoid: avoid})
}

// PickFor returns a server for a call, or false if none is available. It never returns c.Avoid.
func (p *Picker) PickFor(now time.Time, c Call) (assign.ServerID, bool) {
	local, other := p.candidates(now, c.Avoid, false)
	if len(local)+len(other) == 0 {
		// If all other servers are ejected, an ejected one is better than none.
		local, other = p.candidates(now, c.Avoid, true)
	}
	var s *server
	if p.spills(c.Objective) {
		s = p.twoChoices(now, p.spillDomain(now, c, local, other))
	} else {
		s = p.pickDomain(now, local, other)
	}
	if s == nil {
		return "", false
	}
	return s.id, true
}

// candidates returns the servers that may be picked, divided into those in this failure domain and
// those in others. Ejected servers are included if includeEjected is set.
func (p *Picker) candidates(now time.Time, avoid assign.ServerID, includeEjected bool) (local, other []*server) {
	for _, s := range p.servers {
		switch {
		case s.draining() || now.Before(s.heldUntil) || s.id == avoid || !includeEjected && s.ejected(now):
		case s.failureDomain == p.config.FailureDomain:
			local = append(local, s)
		default:
			other = append(other, s)
		}
	}
	return local, other
}

// pickDomain picks a server from each group and returns the local one unless its score exceeds the
// other one's by a factor of more than Config.LocalFactor.
func (p *Picker) pickDomain(now time.Time, local, other []*server) *server {
	bestLocal, bestOther := p.twoChoices(now, local), p.twoChoices(now, other)
	if bestLocal == nil || bestOther == nil {
		return cmp.Or(bestLocal, bestOther)
	}
	if p.score(now, bestLocal) > p.config.LocalFactor*p.score(now, bestOther) {
		return bestOther
	}
	return bestLocal
}

// twoChoices returns the better of two random servers, or nil if the group is empty.
func (p *Picker) twoChoices(now time.Time, group []*server) *server {
	if len(group) == 0 {
		return nil
	}
	a := p.draw(now, group)
	b := p.draw(now, group)
	scoreA, scoreB := p.score(now, a), p.score(now, b)
	switch {
	case max(scoreA, scoreB) < tieRatio*min(scoreA, scoreB):
		if b.tieLoad() < a.tieLoad() {
			return b
		}
		return a
	case scoreB < scoreA:
		return b
	}
	return a
}

// draw returns a random server. It rejects a cold server with a probability that falls as the
// server's ramp progresses.
func (p *Picker) draw(now time.Time, group []*server) *server {
	s := group[p.random.IntN(len(group))]
	for range len(group) {
		if p.random.Float64() < s.rampShare(now, p.config.Ramp) {
			return s
		}
		s = group[p.random.IntN(len(group))]
	}
	return s
}

// Hold keeps a server from being picked until the given time, even if no other is available.
func (p *Picker) Hold(id assign.ServerID, until time.Time) {
	if s := p.find(id); s != nil {
		s.heldUntil = until
	}
}

// Start adds a call in flight to a server.
func (p *Picker) Start(id assign.ServerID) {
	if s := p.find(id); s != nil {
		s.inFlight++
	}
}

// Done removes a call in flight from a server and records its result.
func (p *Picker) Done(now time.Time, id assign.ServerID, r Result) {
	s := p.find(id)
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	p.finishSpill(now, s, r)
	if r.Ignore {
		return
	}
	latency := r.Latency
	if r.Failed {
		latency = max(latency, p.config.ErrorLatency)
	}
	s.observe(now, latency, r.Failed)
	if s.failing() {
		p.eject(now, s)
	}
}

// Ejected returns the IDs of the ejected servers in ascending order.
func (p *Picker) Ejected(now time.Time) []assign.ServerID {
	var ids []assign.ServerID
	for _, s := range p.servers {
		if s.ejected(now) {
			ids = append(ids, s.id)
		}
	}
	return ids
}

// find returns the server with the ID, or nil if it is not on the list.
func (p *Picker) find(id assign.ServerID) *server {
	i, ok := slices.BinarySearchFunc(p.servers, id, func(s *server, id assign.ServerID) int {
		return cmp.Compare(s.id, id)
	})
	if !ok {
		return nil
	}
	return p.servers[i]
}

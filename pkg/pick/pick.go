// Package pick chooses a server for a call whose key no server owns.
//
// It compares two random servers by what this process itself observes: its own calls in flight and
// their latency. The servers' load reports lag, and all processes that follow the same report send
// to the same server, so a report only decides between servers that are otherwise equal.
//
//   - Servers of the same failure domain come first unless they are busier than the others.
//   - A cold server gets a rising share of the calls for Config.Ramp.
//   - An error counts as a slow answer, so that fast errors attract no calls.
//   - A server with many errors is ejected for a time, but never more than a third of the servers.
//   - A draining server is never chosen, nor the server that a retry has just failed at.
//
// A Set starts no goroutine and reads no clock. It is not safe for concurrent use; Shared is.
//
// # Usage
//
//	set := pick.New(pick.Config{FailureDomain: "fd-1"}, rand.New(rand.NewPCG(seed, 0)))
//	set.Update(now, servers)
//	server, ok := set.Pick(now, "")
//	if ok {
//		set.Start(server)
//		// send the call
//		set.Done(now, server, pick.Result{Latency: latency, Failed: err != nil})
//	}
package pick

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// Config configures a Set. Zero values mean the defaults.
type Config struct {
	// FailureDomain is that of this process.
	FailureDomain string
	// Ramp is the time over which a cold server's share rises; 10 s by default.
	Ramp time.Duration
	// Eject is how long a server stays ejected at first; 5 s by default. It doubles with each
	// ejection in a row, up to eight times.
	Eject time.Duration
	// Penalty is the latency that an error counts as, at least; 1 s by default.
	Penalty time.Duration
	// LocalFactor is how much busier a server of this failure domain may be than the best of two others
	// before a call goes there; 1.5 by default. Where bytes between failure domains cost much it is
	// higher.
	LocalFactor float64
}

func (c Config) withDefaults() Config {
	if c.Ramp <= 0 {
		c.Ramp = defaultRamp
	}
	if c.Eject <= 0 {
		c.Eject = defaultEject
	}
	if c.Penalty <= 0 {
		c.Penalty = defaultPenalty
	}
	if c.LocalFactor <= 0 {
		c.LocalFactor = defaultLocal
	}
	return c
}

// Result is how a call ended.
type Result struct {
	// Latency is the time from sending to the complete answer.
	Latency time.Duration
	// Failed reports an error or refusal by the server. A call that the caller cancelled is not
	// one; set Ignore for it.
	Failed bool
	// Ignore reports that the call says nothing about the server.
	Ignore bool
}

// Report is what a server's health endpoint said. It lags and may mislead.
type Report struct {
	// Load is the reported load, from 0 for idle; above 1 for queued work.
	Load float64
	// Cold reports that the server has just started.
	Cold bool
	// Draining reports that the server takes no new work.
	Draining bool
}

// Set is the servers of one service as one process sees them.
type Set struct {
	config  Config
	random  *rand.Rand
	servers []*server // in order of their names, so that a seed reproduces a run
	started bool
}

// New returns a Set without servers that takes its random choices from random.
func New(c Config, random *rand.Rand) *Set {
	return &Set{config: c.withDefaults(), random: random}
}

// Update replaces the servers. What is known of a server that stays is kept. A server that was not
// in the last Update is treated as cold, except in the first Update.
func (s *Set) Update(now time.Time, servers []assign.Server) {
	next := make([]*server, 0, len(servers))
	for _, a := range servers {
		x := s.server(a.ID)
		if x == nil {
			x = &server{id: a.ID}
			if s.started {
				x.rampFrom = now
			}
		}
		x.failureDomain = a.FailureDomain
		x.listedDraining = a.Draining
		next = append(next, x)
	}
	slices.SortFunc(next, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	s.servers = slices.CompactFunc(next, func(a, b *server) bool { return a.id == b.id })
	s.started = true
	s.boundEjections(now)
}

// Report records a health report.
func (s *Set) Report(now time.Time, id assign.ServerID, r Report) {
	x := s.server(id)
	if x == nil {
		return
	}
	if r.Cold && !x.report.Cold {
		x.rampFrom = now
	}
	x.report = r
	s.boundEjections(now)
}

// Pick returns a server other than avoid, which is the server that a retry has just failed at, or
// "". It reports false where there is none.
func (s *Set) Pick(now time.Time, avoid assign.ServerID) (assign.ServerID, bool) {
	local, other := s.candidates(now, avoid, false)
	if len(local)+len(other) == 0 {
		// Ejected servers are better than none.
		local, other = s.candidates(now, avoid, true)
	}
	x := s.better(now, local, other)
	if x == nil {
		return "", false
	}
	return x.id, true
}

// candidates returns the servers that may be chosen, those of this failure domain first.
func (s *Set) candidates(now time.Time, avoid assign.ServerID, ejected bool) (local, other []*server) {
	for _, x := range s.servers {
		switch {
		case x.draining() || x.id == avoid || !ejected && x.ejected(now):
		case x.failureDomain == s.config.FailureDomain:
			local = append(local, x)
		default:
			other = append(other, x)
		}
	}
	return local, other
}

// better chooses between the best of two of each group: the local one, unless it is busier.
func (s *Set) better(now time.Time, local, other []*server) *server {
	near, far := s.twoChoices(now, local), s.twoChoices(now, other)
	if near == nil || far == nil {
		return cmp.Or(near, far)
	}
	if s.score(now, near) > s.config.LocalFactor*s.score(now, far) {
		return far
	}
	return near
}

// twoChoices returns the better of two random servers, nil where there are none.
func (s *Set) twoChoices(now time.Time, from []*server) *server {
	if len(from) == 0 {
		return nil
	}
	a := s.draw(now, from)
	b := s.draw(now, from)
	sa, sb := s.score(now, a), s.score(now, b)
	switch {
	case max(sa, sb) < evenFactor*min(sa, sb):
		if b.report.Load < a.report.Load {
			return b
		}
		return a
	case sb < sa:
		return b
	}
	return a
}

// draw returns a random server. One that is ramped is drawn as often as its ramp has progressed.
func (s *Set) draw(now time.Time, from []*server) *server {
	x := from[s.random.IntN(len(from))]
	for range len(from) {
		if s.random.Float64() < x.ramped(now, s.config.Ramp) {
			return x
		}
		x = from[s.random.IntN(len(from))]
	}
	return x
}

// Start counts a call in flight.
func (s *Set) Start(id assign.ServerID) {
	if x := s.server(id); x != nil {
		x.inFlight++
	}
}

// Done ends a call in flight.
func (s *Set) Done(now time.Time, id assign.ServerID, r Result) {
	x := s.server(id)
	if x == nil {
		return
	}
	x.inFlight = max(0, x.inFlight-1)
	if r.Ignore {
		return
	}
	latency := r.Latency
	if r.Failed {
		latency = max(latency, s.config.Penalty)
	}
	x.observe(now, latency, r.Failed)
	if x.failing() {
		s.eject(now, x)
	}
}

// Ejected returns the ejected servers in order of their names.
func (s *Set) Ejected(now time.Time) []assign.ServerID {
	var ids []assign.ServerID
	for _, x := range s.servers {
		if x.ejected(now) {
			ids = append(ids, x.id)
		}
	}
	return ids
}

func (s *Set) server(id assign.ServerID) *server {
	i, ok := slices.BinarySearchFunc(s.servers, id, func(x *server, id assign.ServerID) int {
		return cmp.Compare(x.id, id)
	})
	if !ok {
		return nil
	}
	return s.servers[i]
}

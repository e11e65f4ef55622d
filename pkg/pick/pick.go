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
	servers []*server
	updated bool
}

// server is what is known of one server.
type server struct {
	assign.Server
	inFlight int
	// latency is a moving average of the time of calls, 0 before the first.
	latency time.Duration
	report  Report
	warmAt  time.Time
	// failures is a moving share of failed calls, from 0 to 1.
	failures float64
	calls    int
	ejected  time.Time
	inARow   int
}

const (
	// smoothing is the weight of a new observation in the moving averages.
	smoothing = 0.2
	// ejectShare is the share of failed calls above which a server is ejected, after ejectCalls.
	ejectShare = 0.5
	ejectCalls = 5
	// ejectPart is the part of the servers that may be ejected: one in three.
	ejectPart = 3
	// maxDoublings bounds how often the time of an ejection doubles.
	maxDoublings = 3
	// coldFloor is the share of calls that a server gets at the start of its ramp.
	coldFloor = 0.1
	// busierFactor is how much more load the own failure domain may have before others are used.
	busierFactor = 1.5
	// tries is the number of random draws before a cold server is taken after all.
	tries = 8
)

// New returns a Set without servers that takes its random choices from random.
func New(c Config, random *rand.Rand) *Set {
	c.Ramp = cmp.Or(c.Ramp, 10*time.Second)
	c.Eject = cmp.Or(c.Eject, 5*time.Second)
	c.Penalty = cmp.Or(c.Penalty, time.Second)
	return &Set{config: c, random: random}
}

// Update replaces the servers. What is known of a server that stays is kept. A server that was not
// in the last Update is treated as cold, except in the first Update.
func (s *Set) Update(now time.Time, servers []assign.Server) {
	next := make([]*server, 0, len(servers))
	for _, listed := range servers {
		known := s.find(listed.ID)
		if known == nil {
			known = &server{}
			if s.updated {
				known.warmAt = now.Add(s.config.Ramp)
			}
		}
		known.Server = listed
		next = append(next, known)
	}
	slices.SortFunc(next, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	s.servers = next
	s.updated = true
}

func (s *Set) find(id assign.ServerID) *server {
	for _, known := range s.servers {
		if known.ID == id {
			return known
		}
	}
	return nil
}

// Report records a health report.
func (s *Set) Report(now time.Time, id assign.ServerID, r Report) {
	known := s.find(id)
	if known == nil {
		return
	}
	if r.Cold && !known.report.Cold {
		known.warmAt = now.Add(s.config.Ramp)
	}
	known.report = r
}

// Pick returns a server other than avoid, which is the server that a retry has just failed at, or
// "". It reports false where there is none.
func (s *Set) Pick(now time.Time, avoid assign.ServerID) (assign.ServerID, bool) {
	usable := s.usable(now, avoid)
	if len(usable) == 0 {
		return "", false
	}
	local, remote := s.split(usable)
	pool := usable
	if len(local) > 0 && (len(remote) == 0 || load(local) <= busierFactor*load(remote)) {
		pool = local
	}
	a, b := s.draw(now, pool), s.draw(now, pool)
	if b.cost(s.config.Penalty) < a.cost(s.config.Penalty) {
		a = b
	}
	return a.ID, true
}

// usable returns the servers that may get a call. Where all are ejected, none is: an ejection must
// not make a service fail.
func (s *Set) usable(now time.Time, avoid assign.ServerID) []*server {
	var live, all []*server
	for _, known := range s.servers {
		if known.Draining || known.report.Draining || known.ID == avoid {
			continue
		}
		all = append(all, known)
		if !now.Before(known.ejected) {
			live = append(live, known)
		}
	}
	if len(live) == 0 {
		return all
	}
	return live
}

func (s *Set) split(servers []*server) (local, remote []*server) {
	for _, known := range servers {
		if known.FailureDomain == s.config.FailureDomain {
			local = append(local, known)
			continue
		}
		remote = append(remote, known)
	}
	return local, remote
}

// load returns the mean number of calls in flight, plus one so that idle groups compare equal.
func load(servers []*server) float64 {
	total := 0
	for _, known := range servers {
		total += known.inFlight
	}
	return 1 + float64(total)/float64(len(servers))
}

// draw returns a random server; a cold one is drawn less often.
func (s *Set) draw(now time.Time, servers []*server) *server {
	var drawn *server
	for range tries {
		drawn = servers[s.random.IntN(len(servers))]
		if s.random.Float64() < drawn.warmth(now, s.config.Ramp) {
			break
		}
	}
	return drawn
}

// warmth returns the share of calls that a server gets, rising to 1 over the ramp.
func (v *server) warmth(now time.Time, ramp time.Duration) float64 {
	left := v.warmAt.Sub(now)
	if left <= 0 {
		return 1
	}
	return max(coldFloor, 1-float64(left)/float64(ramp))
}

// cost returns the expected wait at a server. The reported load only decides between servers that
// are otherwise equal, as it lags.
func (v *server) cost(penalty time.Duration) float64 {
	latency := v.latency + time.Duration(v.failures*float64(penalty))
	return float64(1+v.inFlight)*(latency.Seconds()+time.Millisecond.Seconds()) + v.report.Load*1e-9
}

// Start counts a call in flight.
func (s *Set) Start(id assign.ServerID) {
	if known := s.find(id); known != nil {
		known.inFlight++
	}
}

// Done ends a call in flight.
func (s *Set) Done(now time.Time, id assign.ServerID, r Result) {
	known := s.find(id)
	if known == nil {
		return
	}
	known.inFlight = max(0, known.inFlight-1)
	if r.Ignore {
		return
	}
	known.calls++
	if r.Failed {
		known.failures += smoothing * (1 - known.failures)
		s.eject(now, known)
		return
	}
	known.inARow = 0
	known.failures -= smoothing * known.failures
	if known.latency == 0 {
		known.latency = r.Latency
	}
	known.latency += time.Duration(smoothing * float64(r.Latency-known.latency))
}

// eject takes a failing server out for a time, unless too many are out already.
func (s *Set) eject(now time.Time, failing *server) {
	if failing.failures < ejectShare || failing.calls < ejectCalls || now.Before(failing.ejected) {
		return
	}
	if (len(s.Ejected(now))+1)*ejectPart > len(s.servers) {
		return
	}
	failing.ejected = now.Add(s.config.Eject << min(failing.inARow, maxDoublings))
	failing.inARow++
	failing.calls = 0
}

// Ejected returns the ejected servers in order of their names.
func (s *Set) Ejected(now time.Time) []assign.ServerID {
	var ids []assign.ServerID
	for _, known := range s.servers {
		if now.Before(known.ejected) {
			ids = append(ids, known.ID)
		}
	}
	return ids
}

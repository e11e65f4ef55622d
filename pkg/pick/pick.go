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
	"math/rand/v2"
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
	config Config
	random *rand.Rand
}

// New returns a Set without servers that takes its random choices from random.
func New(c Config, random *rand.Rand) *Set { return &Set{config: c, random: random} }

// Update replaces the servers. What is known of a server that stays is kept. A server that was not
// in the last Update is treated as cold, except in the first Update.
func (s *Set) Update(now time.Time, servers []assign.Server) {}

// Report records a health report.
func (s *Set) Report(now time.Time, id assign.ServerID, r Report) {}

// Pick returns a server other than avoid, which is the server that a retry has just failed at, or
// "". It reports false where there is none.
func (s *Set) Pick(now time.Time, avoid assign.ServerID) (assign.ServerID, bool) { return "", false }

// Start counts a call in flight.
func (s *Set) Start(id assign.ServerID) {}

// Done ends a call in flight.
func (s *Set) Done(now time.Time, id assign.ServerID, r Result) {}

// Ejected returns the ejected servers in order of their names.
func (s *Set) Ejected(now time.Time) []assign.ServerID { return nil }

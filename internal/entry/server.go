package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
	"github.com/samphiredrum/samphiredrum/pkg/limit"
)

// Server is a backend server with its runtime state in this process.
type Server struct {
	assign.Server
	// Client sends requests to the server.
	Client back.Server
	// Gate limits and queues the calls to the server.
	Gate *limit.Gate

	// refreshing is held while Refresh reads the server's clock.
	refreshing sync.Mutex
	// failedUntil is the time before which Refresh does not try again after a failure. It is guarded by
	// refreshing.
	failedUntil time.Time

	mu    sync.Mutex
	clock *lease.ServerClock
	// observedAt is the time at which the last reading of the server's clock arrived.
	observedAt  time.Time
	incarnation string
	unresolved  []unresolved
}

// unresolved is a call without an answer that its server may still run.
type unresolved struct {
	counter     *callCounter
	incarnation string
	// request is the identifier that the call was sent with.
	request string
}

// NewServer returns the runtime state of a server.
func NewServer(server assign.Server, client back.Server, gate *limit.Gate, margin lease.Margin) *Server {
	return &Server{Server: server, Client: client, Gate: gate, clock: lease.NewServerClock(margin)}
}

// Observe updates the incarnation and the clock of the server from an answer. A new incarnation proves
// that calls to the earlier one have ended.
func (s *Server) Observe(receipt back.Receipt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if receipt.Incarnation != "" && receipt.Incarnation != s.incarnation {
		if s.incarnation != "" {
			s.clock = s.clock.Cleared()
		}
		s.incarnation = receipt.Incarnation
		s.observedAt = time.Time{}
		s.finishOtherRuns(receipt.Incarnation)
	}
	// Answers of concurrent calls arrive in any order, so a smaller reading shows that the server's clock
	// has gone back only if its request was sent after the last reading had arrived. Sent is a reading of
	// clock.Clock.Latest, which may be ahead. A reading that arrived out of order may then be compared
	// too, which at worst discards the known clock and is safe.
	if !receipt.ServerClock.IsZero() && !receipt.Trip.Sent.Before(s.observedAt) {
		s.clock.Observe(receipt.Trip.Answered, receipt.ServerClock)
		s.observedAt = receipt.Trip.Answered
	}
}

// maxClockAge is the age up to which a reading of the server's clock is used without a new one. An older
// reading makes the deadlines for the server earlier: by 1% of its age, which is 50 ms at this age.
const maxClockAge = 5 * time.Second

// refreshTimeout bounds a request for the server's clock, and is the time without a new one after a failure.
const refreshTimeout = 200 * time.Millisecond

// Refresh reads the server's clock if there is no recent reading, as before the first call after an idle
// time. Concurrent calls wait for the same reading.
func (s *Server) Refresh(ctx context.Context, now time.Time) {
	if s.hasFreshClock(now) {
		return
	}
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	// Calls that waited for a request that failed do not send another one.
	if s.hasFreshClock(now) || now.Before(s.failedUntil) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	health, err := s.Client.Health(ctx)
	if err != nil {
		s.failedUntil = now.Add(refreshTimeout)
		return
	}
	s.Observe(health.Receipt)
}

func (s *Server) hasFreshClock(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.clock.NotAfter(now)
	return known && now.Sub(s.observedAt) < maxClockAge
}

// MarkEnded finishes all unresolved calls, because the server's process is known to have ended.
func (s *Server) MarkEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishOtherRuns("")
}

// finishOtherRuns finishes the unresolved calls to all incarnations except the one that is alive.
func (s *Server) finishOtherRuns(alive string) {
	kept := s.unresolved[:0]
	for _, u := range s.unresolved {
		if u.incarnation == alive {
			kept = append(kept, u)
			continue
		}
		u.counter.finish()
	}
	s.unresolved = kept
}

// Incarnation returns the server's last known incarnation, or "".
func (s *Server) Incarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// callNotAfter maps the deadline of a call, a reading of clock.Clock.Latest, to the server's clock.
func (s *Server) callNotAfter(c clock.Clock, deadline time.Time) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return back.NotAfter(c, s.clock, deadline)
}

// NotAfter maps a deadline, a reading of clock.Clock.Now, to the server's clock.
func (s *Server) NotAfter(deadline time.Time) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.NotAfter(deadline)
}

// ResolvePending sends a cancel request for each unresolved call and finishes the calls that no longer run. It is
// called when the server answers requests: a server that was frozen when the calls got no answer may have
// run them since.
func (s *Server) ResolvePending(ctx context.Context) {
	for _, u := range s.unresolvedCalls() {
		if confirmEnded(ctx, s.Client, u.request) {
			s.finishUnresolved(u.request)
		}
	}
}

// Pending returns the number of calls without an answer that the server may still run.
func (s *Server) Pending() int {
	return len(s.unresolvedCalls())
}

// unresolvedCalls returns a copy of the unresolved calls.
func (s *Server) unresolvedCalls() []unresolved {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.unresolved)
}

// finishUnresolved finishes an unresolved call unless that was done in the meantime.
func (s *Server) finishUnresolved(request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, u := range s.unresolved {
		if u.request == request {
			s.unresolved = slices.Delete(s.unresolved, i, i+1)
			u.counter.finish()
			return
		}
	}
}

// confirmEnded sends a cancel request and reports whether the server confirms that the call no longer runs.
func confirmEnded(ctx context.Context, server back.Server, request string) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	outcome, err := server.Cancel(ctx, request)
	if err != nil {
		return false
	}
	switch outcome {
	case back.CancelUnknown, back.CancelNotRun, back.CancelCancelled, back.CancelFinished:
		return true
	case back.CancelRunning:
		return false
	}
	return false
}

// keepInFlight keeps a call without an answer in the counter until the server can no longer run it.
func (s *Server) keepInFlight(counter *callCounter, incarnation, request string, timeLeft time.Duration) {
	switch s.Fencing {
	case assign.Grants:
		// The server stops when its grant ends, which is before another owner starts.
		counter.finish()
	case assign.Deadlines:
		time.AfterFunc(lease.DefaultMargin.AddTo(2*timeLeft), counter.finish)
	case assign.None:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unresolved = append(s.unresolved, unresolved{counter: counter, incarnation: incarnation, request: request})
	}
}

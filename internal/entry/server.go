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

// Server is one backend server as this process uses it.
type Server struct {
	assign.Server
	// Client reaches the server.
	Client back.Server
	// Gate bounds and orders the calls to it.
	Gate *limit.Gate

	// looking is held during a look at the server's clock.
	looking sync.Mutex
	// failedAt is the time until which a failed look stands. It belongs to the holder of looking.
	failedAt time.Time

	mu    sync.Mutex
	clock *lease.ServerClock
	// observedAt is when the answer of the last reading arrived.
	observedAt  time.Time
	incarnation string
	unresolved  []unresolved
}

// unresolved is a call without an answer at a server that may still run it.
type unresolved struct {
	flight      *flight
	incarnation string
	// request is the identifier that the call was sent with.
	request string
}

// NewServer returns the runtime state of a server.
func NewServer(server assign.Server, client back.Server, gate *limit.Gate, margin lease.Margin) *Server {
	return &Server{Server: server, Client: client, Gate: gate, clock: lease.NewServerClock(margin)}
}

// Observe takes over what an answer of the server says about itself. A new incarnation proves
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
		s.resolve(receipt.Incarnation)
	}
	// Answers of concurrent calls arrive in any order. Only a request that was sent after the last
	// reading had arrived tells whether the server's clock has gone back. Sent is a reading of Latest,
	// which may be ahead; a reading is then compared that could have been skipped, which is safe.
	if !receipt.ServerClock.IsZero() && !receipt.Trip.Sent.Before(s.observedAt) {
		s.clock.Observe(receipt.Trip.Answered, receipt.ServerClock)
		s.observedAt = receipt.Trip.Answered
	}
}

// freshClock is the age below which a reading of the server's clock is used as it is. The mapping
// loses 1% of its age, here 50 ms.
const freshClock = 5 * time.Second

// lookTime bounds a look at the server's clock before a call.
const lookTime = 200 * time.Millisecond

// Refresh reads the server's clock where no fresh reading is known, as before the first call after
// a pause. Calls that arrive meanwhile wait for the same reading.
func (s *Server) Refresh(ctx context.Context, now time.Time) {
	if s.fresh(now) {
		return
	}
	s.looking.Lock()
	defer s.looking.Unlock()
	// Calls that waited for a look which failed do not wait for one of their own.
	if s.fresh(now) || now.Before(s.failedAt) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lookTime)
	defer cancel()
	health, err := s.Client.Health(ctx)
	if err != nil {
		s.failedAt = now.Add(lookTime)
		return
	}
	s.Observe(health.Receipt)
}

func (s *Server) fresh(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.clock.NotAfter(now)
	return known && now.Sub(s.observedAt) < freshClock
}

// MarkEnded takes over the proof that the server's process has ended.
func (s *Server) MarkEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resolve("")
}

// resolve ends the calls in flight at incarnations other than the one that is alive.
func (s *Server) resolve(alive string) {
	kept := s.unresolved[:0]
	for _, u := range s.unresolved {
		if u.incarnation == alive {
			kept = append(kept, u)
			continue
		}
		u.flight.leave()
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

// ResolvePending asks the server what became of the calls without an answer, and ends those that it runs no
// more. It is called while the server answers: one that was frozen when the calls got no answer has
// worked on them since.
func (s *Server) ResolvePending(ctx context.Context) {
	for _, u := range s.pending() {
		if ended(ctx, s.Client, u.request) {
			s.settled(u.request)
		}
	}
}

// Pending returns the number of calls without an answer that the server may still run.
func (s *Server) Pending() int {
	return len(s.pending())
}

// pending returns the calls without an answer.
func (s *Server) pending() []unresolved {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.unresolved)
}

// settled ends a call without an answer, unless that was done meanwhile.
func (s *Server) settled(request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, u := range s.unresolved {
		if u.request == request {
			s.unresolved = slices.Delete(s.unresolved, i, i+1)
			u.flight.leave()
			return
		}
	}
}

// ended reports whether the server confirms that it runs a call no more.
func ended(ctx context.Context, server back.Server, request string) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTime)
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

// hold keeps a call without an answer in flight until the server can no longer run it.
func (s *Server) hold(f *flight, incarnation, request string, notAfter time.Duration) {
	switch s.Fencing {
	case assign.Grants:
		// The server's own grant ends before another owner starts.
		f.leave()
	case assign.Deadlines:
		time.AfterFunc(lease.DefaultMargin.AddTo(2*notAfter), f.leave)
	case assign.None:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unresolved = append(s.unresolved, unresolved{flight: f, incarnation: incarnation, request: request})
	}
}

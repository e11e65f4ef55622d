package entry

import (
	"sync"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
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
			s.clock = s.clock.Reset()
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

// Ended takes over the proof that the server's process has ended.
func (s *Server) Ended() {
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

// NotAfter maps a deadline, a reading of clock.Clock.Now, to the server's clock.
func (s *Server) NotAfter(deadline time.Time) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.NotAfter(deadline)
}

// hold keeps a call without an answer in flight until the server can no longer run it.
func (s *Server) hold(f *flight, incarnation string, notAfter time.Duration) {
	switch s.Fencing {
	case assign.Grants:
		// The server's own grant ends before another owner starts.
		f.leave()
	case assign.Deadlines:
		time.AfterFunc(lease.DefaultMargin.Stretch(2*notAfter), f.leave)
	case assign.None:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unresolved = append(s.unresolved, unresolved{flight: f, incarnation: incarnation})
	}
}

package limit

import (
	"context"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
)

// GateConfig configures a Gate.
type GateConfig struct {
	// Server is named in errors.
	Server assign.ServerID
	// Ceiling is the number of connections to the server, at least 1.
	Ceiling int
	// Length is the largest number of waiting calls; 256 by default.
	Length int
	// LongSlots is the largest number of Long calls in flight from this process; 2 by default.
	LongSlots int
}

// Gate bounds and orders the calls of one process to one server. It is safe for concurrent use.
type Gate struct {
	config GateConfig
}

// NewGate returns an open Gate. Run times are learned in calls.
func NewGate(c GateConfig, calls *Calls, time clock.Clock) *Gate { return &Gate{config: c} }

// Acquire waits until the call may be sent. The error is a *RefusalError, after which the call was not
// run. Ticket.Done must be called exactly once after each success.
func (g *Gate) Acquire(ctx context.Context, q Request) (Ticket, error) {
	return Ticket{gate: g}, nil
}

// SetCeiling changes the number of connections, at least 1. Calls in flight are not affected.
func (g *Gate) SetCeiling(n int) {}

// Close refuses all waiting and later calls with KindClosed. Calls in flight are not affected.
func (g *Gate) Close() {}

// Load is a snapshot of a Gate.
type Load struct {
	InFlight int
	Long     int
	Queued   int
	Allowed  int
}

// Load returns a snapshot.
func (g *Gate) Load() Load { return Load{} }

// Ticket is the right to send one call.
type Ticket struct {
	gate *Gate
}

// Done ends the call. The latency is the time from sending to the complete answer; it is ignored
// for Unsent. A second Done is ignored.
func (t Ticket) Done(o Outcome, latency time.Duration) {}

package limit

import (
	"context"
	"sync"
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
	// QueueLength is the largest number of waiting calls; 256 by default.
	QueueLength int
	// LongSlots is the largest number of Long calls in flight from this process; 2 by default.
	LongSlots int
}

// Gate bounds and orders the calls of one process to one server. It is safe for concurrent use.
type Gate struct {
	server assign.ServerID
	calls  *Calls
	clock  clock.Clock

	mu      sync.Mutex
	admit   *Admission
	waiting map[uint64]chan Decision
	next    uint64
	closed  bool
}

// Load is a snapshot of a Gate.
type Load struct {
	// InFlight is the number of calls sent and not ended, Long of them are of class Long.
	InFlight int
	Long     int
	// Queued is the number of calls that wait.
	Queued int
	// Allowed is the present limit of InFlight.
	Allowed int
}

// NewGate returns an open Gate. Run times are learned in calls.
func NewGate(c GateConfig, calls *Calls, time clock.Clock) *Gate {
	return &Gate{
		server: c.Server,
		calls:  calls,
		clock:  time,
		admit: NewAdmission(AdmissionConfig{
			Limit:     Bounds{Ceiling: c.Ceiling},
			Queue:     QueueConfig{Length: c.QueueLength},
			LongSlots: c.LongSlots,
		}),
		waiting: map[uint64]chan Decision{},
	}
}

// Acquire waits until the call may be sent. The error is a *RefusalError, after which the call was
// not run. Ticket.Done must be called exactly once after each success.
func (g *Gate) Acquire(ctx context.Context, q Request) (Ticket, error) {
	if ctx.Err() != nil {
		return Ticket{}, g.refusal(Decision{Kind: KindCancelled})
	}
	it := Item{Class: q.Class, Deadline: q.Deadline}
	it.Mean, it.Estimate = g.calls.estimates(q.Operation)
	id, decided := g.enter(it)
	d, ok := g.await(ctx, q.Deadline, decided)
	if !ok {
		d = g.leaveQueue(ctx, id, decided)
	}
	switch {
	case d.Kind != KindNone:
		return Ticket{}, g.refusal(d)
	case ctx.Err() != nil:
		g.end(q.Class, Sample{Outcome: Unsent})
		return Ticket{}, g.refusal(Decision{Kind: KindCancelled})
	}
	return Ticket{slot: &slot{gate: g, request: q}}, nil
}

// enter gives the call to the Admission. The decision comes through the channel.
func (g *Gate) enter(it Item) (uint64, chan Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	it.ID = g.next
	decided := make(chan Decision, 1)
	if g.closed {
		decided <- Decision{ID: it.ID, Kind: KindClosed}
		return it.ID, decided
	}
	g.waiting[it.ID] = decided
	g.tell(g.admit.Arrive(g.clock.Now(), it))
	return it.ID, decided
}

// tell passes decisions on. It is called with the lock held; the channels have room.
func (g *Gate) tell(decisions []Decision) {
	for _, d := range decisions {
		g.waiting[d.ID] <- d
		delete(g.waiting, d.ID)
	}
}

// await returns the decision, or false where the context or the deadline ended first.
func (g *Gate) await(ctx context.Context, deadline time.Time, decided chan Decision) (Decision, bool) {
	select {
	case d := <-decided:
		return d, true
	default:
	}
	var late <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(deadline.Sub(g.clock.Now()))
		defer t.Stop()
		late = t.C
	}
	select {
	case d := <-decided:
		return d, true
	case <-ctx.Done():
	case <-late:
	}
	return Decision{}, false
}

// leaveQueue ends the wait of a call, unless it was decided meanwhile.
func (g *Gate) leaveQueue(ctx context.Context, id uint64, decided chan Decision) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.admit.Cancel(id) {
		return <-decided
	}
	delete(g.waiting, id)
	if ctx.Err() != nil {
		return Decision{ID: id, Kind: KindCancelled}
	}
	return Decision{ID: id, Kind: KindDeadline, Wait: g.admit.drainTime()}
}

func (g *Gate) end(c Class, s Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.admit.Leave(g.clock.Now(), c, s))
}

// SetCeiling changes the number of connections, at least 1. Calls in flight are not affected.
func (g *Gate) SetCeiling(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.admit.SetCeiling(g.clock.Now(), n))
}

// Close refuses all waiting and later calls with KindClosed. Calls in flight are not affected.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for id := range g.waiting {
		g.admit.Cancel(id)
		g.tell([]Decision{{ID: id, Kind: KindClosed}})
	}
}

// Load returns a snapshot.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admit.Load()
}

func (g *Gate) refusal(d Decision) error {
	return &RefusalError{Kind: d.Kind, Server: g.server, Wait: d.Wait}
}

// Ticket is the right to send one call.
type Ticket struct {
	slot *slot
}

type slot struct {
	gate    *Gate
	request Request
	once    sync.Once
}

// Done ends the call. The latency is the time from sending to the complete answer; it is used for
// Ran only. A second Done is ignored.
func (t Ticket) Done(o Outcome, latency time.Duration) {
	if t.slot == nil {
		return
	}
	t.slot.once.Do(func() { t.slot.done(o, latency) })
}

func (s *slot) done(o Outcome, latency time.Duration) {
	q := s.request
	usual := s.gate.calls.Usual(q.Operation)
	if o == Ran {
		s.gate.calls.Observe(q.Operation, latency)
	}
	s.gate.end(q.Class, Sample{Outcome: o, Latency: latency, Usual: usual})
}

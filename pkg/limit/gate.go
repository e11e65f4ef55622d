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
	// QueueLength is the largest number of queued calls; 256 by default.
	QueueLength int
	// LongSlots is the largest number of Long calls in flight from this process; 2 by default.
	LongSlots int
}

// Gate bounds and orders the calls of one process to one server. It is safe for concurrent use.
type Gate struct {
	server assign.ServerID
	calls  *Calls
	clock  clock.Clock

	mu        sync.Mutex
	admission *Admission
	waiting   map[uint64]chan Decision
	lastID    uint64
	closed    bool
}

// Load is a snapshot of the calls of a Gate.
type Load struct {
	// InFlight is the number of calls in flight, Long the number of them that are of class Long.
	InFlight int
	Long     int
	// Queued is the number of waiting calls.
	Queued int
	// Allowed is the present limit of the Limit, for calls in flight that are not of class Long.
	Allowed int
}

// NewGate returns an open Gate. It takes run times from calls and records them there.
func NewGate(c GateConfig, calls *Calls, clk clock.Clock) *Gate {
	return &Gate{
		server: c.Server,
		calls:  calls,
		clock:  clk,
		admission: NewAdmission(AdmissionConfig{
			Limit:     Bounds{Ceiling: c.Ceiling},
			Queue:     QueueConfig{Length: c.QueueLength},
			LongSlots: c.LongSlots,
		}),
		waiting: map[uint64]chan Decision{},
	}
}

// Acquire waits until the call may be sent. The error is a *RefusalError, after which the call was
// not run. Ticket.Done must be called exactly once after each success.
func (g *Gate) Acquire(ctx context.Context, r Request) (Ticket, error) {
	if ctx.Err() != nil {
		return Ticket{}, g.refusal(Decision{Kind: KindCancelled})
	}
	it := Item{Class: r.Class, Deadline: r.Deadline}
	it.Mean, it.Estimate = g.calls.estimates(r.Operation)
	id, decision := g.submit(it)
	d, ok := g.waitForDecision(ctx, r.Deadline, decision)
	if !ok {
		d = g.cancelWait(ctx, id, decision)
	}
	switch {
	case d.Kind != KindNone:
		return Ticket{}, g.refusal(d)
	case ctx.Err() != nil:
		g.finish(r.Class, Sample{Outcome: Unsent})
		return Ticket{}, g.refusal(Decision{Kind: KindCancelled})
	}
	return Ticket{state: &ticketState{gate: g, request: r}}, nil
}

// submit passes the call to the Admission. The decision arrives on the returned channel.
func (g *Gate) submit(it Item) (uint64, chan Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	it.ID = g.lastID
	decision := make(chan Decision, 1)
	if g.closed {
		decision <- Decision{ID: it.ID, Kind: KindClosed}
		return it.ID, decision
	}
	g.waiting[it.ID] = decision
	g.deliver(g.admission.Submit(g.clock.Now(), it))
	return it.ID, decision
}

// deliver sends decisions to the waiting calls. The caller holds the lock. It never blocks, because each
// channel has a buffer for its only decision.
func (g *Gate) deliver(decisions []Decision) {
	for _, d := range decisions {
		g.waiting[d.ID] <- d
		delete(g.waiting, d.ID)
	}
}

// waitForDecision returns the decision, or false if the context ended or the deadline passed first.
func (g *Gate) waitForDecision(ctx context.Context, deadline time.Time, decision chan Decision) (Decision, bool) {
	select {
	case d := <-decision:
		return d, true
	default:
	}
	var expired <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(deadline.Sub(g.clock.Now()))
		defer t.Stop()
		expired = t.C
	}
	select {
	case d := <-decision:
		return d, true
	case <-ctx.Done():
	case <-expired:
	}
	return Decision{}, false
}

// cancelWait removes a call from the queue. If the call was decided meanwhile, it returns that decision.
func (g *Gate) cancelWait(ctx context.Context, id uint64, decision chan Decision) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.admission.Cancel(id) {
		return <-decision
	}
	delete(g.waiting, id)
	if ctx.Err() != nil {
		return Decision{ID: id, Kind: KindCancelled}
	}
	return Decision{ID: id, Kind: KindDeadline, Wait: g.admission.drainTime()}
}

func (g *Gate) finish(c Class, s Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.admission.Finish(g.clock.Now(), c, s))
}

// SetCeiling changes the number of connections, at least 1. Calls in flight are not affected.
func (g *Gate) SetCeiling(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.admission.SetCeiling(g.clock.Now(), n))
}

// Close refuses all waiting and later calls with KindClosed. Calls in flight are not affected.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for id := range g.waiting {
		g.admission.Cancel(id)
		g.deliver([]Decision{{ID: id, Kind: KindClosed}})
	}
}

// Load returns the present load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Load()
}

func (g *Gate) refusal(d Decision) error {
	return &RefusalError{Kind: d.Kind, Server: g.server, Wait: d.Wait}
}

// Ticket is the permission to send one call.
type Ticket struct {
	state *ticketState
}

type ticketState struct {
	gate    *Gate
	request Request
	once    sync.Once
}

// Done ends the call. The latency is the time from sending to the complete answer; it is used for
// Ran only. A second Done is ignored.
func (t Ticket) Done(o Outcome, latency time.Duration) {
	if t.state == nil {
		return
	}
	t.state.once.Do(func() { t.state.done(o, latency) })
}

func (s *ticketState) done(o Outcome, latency time.Duration) {
	r := s.request
	base := s.gate.calls.BaseLatency(r.Operation)
	if o == Ran {
		s.gate.calls.Observe(r.Operation, latency)
	}
	s.gate.finish(r.Class, Sample{Outcome: o, Latency: latency, BaseLatency: base})
}

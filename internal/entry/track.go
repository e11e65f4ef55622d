package entry

import (
	"sync"
	"sync/atomic"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// grantKey names one ownership: a span under one fencing number.
type grantKey struct {
	service assign.ServiceID
	span    assign.Span
	fence   lease.Fence
}

// flight counts the calls in flight under one ownership.
type flight struct {
	server assign.ServerID
	calls  atomic.Int64
	total  atomic.Uint64
	hot    hotKey
}

// Tracker counts calls in flight for each ownership, so that a process acknowledges a table only
// with the calls that it still has at the former owners.
//
// The order of two steps makes the count exact: a call enters its flight before it looks at the
// table in force, and Apply publishes a table before it reads the counts. Whichever comes first,
// a call under a closed span is either counted or sees that the span is closed.
type Tracker struct {
	mu      sync.RWMutex
	flights map[grantKey]*flight
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{flights: make(map[grantKey]*flight)}
}

// enter counts a call in flight under the holding.
func (t *Tracker) enter(service assign.ServiceID, holding assign.Holding) *flight {
	key := grantKey{service: service, span: holding.Span, fence: holding.Fence()}
	t.mu.RLock()
	f := t.flights[key]
	if f != nil {
		f.calls.Add(1)
	}
	t.mu.RUnlock()
	if f != nil {
		return f
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f = t.flights[key]
	if f == nil {
		f = &flight{server: holding.Owner()}
		t.flights[key] = f
	}
	f.calls.Add(1)
	return f
}

func (f *flight) leave() {
	f.calls.Add(-1)
}

// InFlight counts, for each server, the calls in flight under ownerships that are not open in the
// table, and forgets the ownerships that have none.
func (t *Tracker) InFlight(table *assign.Table) map[assign.ServerID]int {
	open := make(map[grantKey]struct{})
	for service, holdings := range table.Services {
		for _, h := range holdings {
			if h.Open {
				open[grantKey{service: service, span: h.Span, fence: h.Fence()}] = struct{}{}
			}
		}
	}
	counts := make(map[assign.ServerID]int)
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, f := range t.flights {
		if _, ok := open[key]; ok {
			continue
		}
		if n := f.calls.Load(); n > 0 {
			counts[f.server] += int(n)
			continue
		}
		delete(t.flights, key)
	}
	return counts
}

// Load is the number of calls of one span since the last report.
type Load struct {
	Service  assign.ServiceID
	Span     assign.Span
	Calls    uint64
	HotHash  uint64
	HotCalls uint64
}

// TakeLoad returns the calls of each span since its last call.
func (t *Tracker) TakeLoad() []Load {
	t.mu.RLock()
	defer t.mu.RUnlock()
	loads := make([]Load, 0, len(t.flights))
	for key, f := range t.flights {
		calls := f.total.Swap(0)
		if calls == 0 {
			continue
		}
		hash, count := f.hot.take()
		loads = append(loads, Load{Service: key.service, Span: key.span, Calls: calls, HotHash: hash, HotCalls: count})
	}
	return loads
}

// hotKey finds a key that makes up the majority of a span's calls, by the Boyer-Moore vote. Its
// count is the votes left over, a lower bound of how far the key is ahead of all others.
type hotKey struct {
	mu    sync.Mutex
	hash  uint64
	votes uint64
}

func (h *hotKey) add(hash uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.votes == 0:
		h.hash = hash
		h.votes = 1
	case h.hash == hash:
		h.votes++
	default:
		h.votes--
	}
}

func (h *hotKey) take() (uint64, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hash, votes := h.hash, h.votes
	h.votes = 0
	return hash, votes
}

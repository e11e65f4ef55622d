package entry

import (
	"sync"
	"sync/atomic"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// ownership identifies the ownership of a span under one fencing number.
type ownership struct {
	service assign.ServiceID
	span    assign.Span
	fence   lease.Fence
}

// callCounter counts the calls under one ownership.
type callCounter struct {
	server   assign.ServerID
	inFlight atomic.Int64
	// sinceReport is the number of calls since the last TakeLoad.
	sinceReport atomic.Uint64
	hot         hotKey
}

// Tracker counts the calls in flight for each ownership, so that a process that acknowledges a table can
// report the calls that it still has in flight at former owners.
//
// No call is missed: a call is counted before it reads the current table, and the control goroutine
// publishes a table before it reads the counts. In any interleaving, a call under a closed span either is
// counted or finds the span closed.
type Tracker struct {
	mu       sync.RWMutex
	counters map[ownership]*callCounter
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{counters: make(map[ownership]*callCounter)}
}

// start counts a call in flight under the holding. The caller calls finish on the counter when the call
// has ended.
func (t *Tracker) start(service assign.ServiceID, holding assign.Holding) *callCounter {
	key := ownership{service: service, span: holding.Span, fence: holding.Fence()}
	t.mu.RLock()
	counter := t.counters[key]
	if counter != nil {
		counter.inFlight.Add(1)
	}
	t.mu.RUnlock()
	if counter != nil {
		return counter
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	counter = t.counters[key]
	if counter == nil {
		counter = &callCounter{server: holding.Owner()}
		t.counters[key] = counter
	}
	counter.inFlight.Add(1)
	return counter
}

func (c *callCounter) finish() {
	c.inFlight.Add(-1)
}

// InFlight returns, for each server, the number of calls in flight under ownerships that are not open in
// the table. It deletes the counters of those that have no calls in flight.
func (t *Tracker) InFlight(table *assign.Table) map[assign.ServerID]int {
	open := make(map[ownership]struct{})
	for service, holdings := range table.Services {
		for _, h := range holdings {
			if h.Open {
				open[ownership{service: service, span: h.Span, fence: h.Fence()}] = struct{}{}
			}
		}
	}
	counts := make(map[assign.ServerID]int)
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, counter := range t.counters {
		if _, ok := open[key]; ok {
			continue
		}
		if n := counter.inFlight.Load(); n > 0 {
			counts[counter.server] += int(n)
			continue
		}
		delete(t.counters, key)
	}
	return counts
}

// Load is the number of calls to one span since the last report. HotHash and HotCalls are the hash of its
// hottest key and a lower bound of the key's lead over all others, see hotKey.
type Load struct {
	Service  assign.ServiceID
	Span     assign.Span
	Calls    uint64
	HotHash  uint64
	HotCalls uint64
}

// TakeLoad returns the load of each span since the previous TakeLoad.
func (t *Tracker) TakeLoad() []Load {
	t.mu.RLock()
	defer t.mu.RUnlock()
	loads := make([]Load, 0, len(t.counters))
	for key, counter := range t.counters {
		calls := counter.sinceReport.Swap(0)
		if calls == 0 {
			continue
		}
		hash, count := counter.hot.take()
		loads = append(loads, Load{Service: key.service, Span: key.span, Calls: calls, HotHash: hash, HotCalls: count})
	}
	return loads
}

// hotKey finds the key that gets the majority of a span's calls, if there is one, by the Boyer-Moore
// majority vote. votes is a lower bound of the number of calls by which that key exceeds all others together.
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

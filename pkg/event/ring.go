package event

import (
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
)

const (
	// MaxDetailBytes is the maximum length of Event.Detail in bytes.
	MaxDetailBytes = 256
	// maxNameBytes is the maximum length of Event.Service and Event.Server in bytes. Names from
	// settings are shorter.
	maxNameBytes = 256
)

// Ring is a ring buffer of the last events of one process. It is safe for concurrent use. Its
// capacity bounds its memory, because the texts of an event are truncated and copied.
type Ring struct {
	process assign.ProcessID
	time    clock.Clock
	logical *Clock

	mu     sync.Mutex
	limit  int
	events []Event
	added  uint64
}

// NewRing returns an empty ring for the events of a process. The capacity is the maximum number of
// events; values below 1 mean 1. The logical clock is the one whose values the messages of the
// process carry.
func NewRing(process assign.ProcessID, capacity int, time clock.Clock, logical *Clock) *Ring {
	return &Ring{process: process, time: time, logical: logical, limit: max(capacity, 1)}
}

// Add sets the process and the timestamps of an event and stores it. It replaces the oldest event if
// the ring is full. It returns the event as stored. Logical times increase within a ring.
func (r *Ring) Add(e Event) Event {
	e.Process = r.process
	e.Service = assign.ServiceID(truncate(string(e.Service), maxNameBytes))
	e.Server = assign.ServerID(truncate(string(e.Server), maxNameBytes))
	e.Detail = truncate(e.Detail, MaxDetailBytes)
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.time.Now()
	e.Logical = r.logical.Tick()
	r.store(e)
	return e
}

func (r *Ring) store(e Event) {
	if len(r.events) < r.limit {
		r.events = append(r.events, e)
	} else {
		r.events[r.added%uint64(r.limit)] = e
	}
	r.added++
}

// Events returns a copy of the stored events, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.events))
	if len(r.events) < r.limit {
		return append(events, r.events...)
	}
	oldest := r.added % uint64(r.limit)
	events = append(events, r.events[oldest:]...)
	return append(events, r.events[:oldest]...)
}

// Dropped returns the number of events that newer events have replaced.
func (r *Ring) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.added - uint64(len(r.events))
}

// truncate returns a copy of at most limit bytes of text, cut between characters. The copy keeps the
// ring from holding a larger buffer in memory.
func truncate(text string, limit int) string {
	if len(text) > limit {
		for limit > 0 && !utf8.RuneStart(text[limit]) {
			limit--
		}
		text = text[:limit]
	}
	return strings.Clone(text)
}

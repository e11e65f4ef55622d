package event

import (
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
)

const (
	// MaxDetailBytes is the length limit of the detail of an event in bytes.
	MaxDetailBytes = 256
	// maxNameBytes is the length limit of the service and the server of an event in bytes. Names
	// from settings are shorter.
	maxNameBytes = 256
)

// Ring holds the last events of one process. It is safe for concurrent use. Its memory is bounded
// by its capacity, as the texts of an event are shortened and copied.
type Ring struct {
	process assign.ProcessID
	time    clock.Clock
	logical *Clock

	mu    sync.Mutex
	limit int
	slots []Event
	added uint64
}

// NewRing returns an empty ring for the events of a process. The capacity is a number of events, at
// least 1. The logical clock is the one whose values the process's messages carry.
func NewRing(process assign.ProcessID, capacity int, time clock.Clock, logical *Clock) *Ring {
	return &Ring{process: process, time: time, logical: logical, limit: max(capacity, 1)}
}

// Add stamps an event and stores it in place of the oldest one where the ring is full. It returns
// the event as stored. Events of one ring have rising logical times.
func (r *Ring) Add(e Event) Event {
	e.Process = r.process
	e.Service = assign.ServiceID(bounded(string(e.Service), maxNameBytes))
	e.Server = assign.ServerID(bounded(string(e.Server), maxNameBytes))
	e.Detail = bounded(e.Detail, MaxDetailBytes)
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.time.Now()
	e.Logical = r.logical.Tick()
	r.store(e)
	return e
}

func (r *Ring) store(e Event) {
	if len(r.slots) < r.limit {
		r.slots = append(r.slots, e)
	} else {
		r.slots[r.added%uint64(r.limit)] = e
	}
	r.added++
}

// Events returns a copy of the stored events, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.slots))
	if len(r.slots) < r.limit {
		return append(events, r.slots...)
	}
	oldest := r.added % uint64(r.limit)
	events = append(events, r.slots[oldest:]...)
	return append(events, r.slots[:oldest]...)
}

// Dropped returns the number of events that newer ones have replaced.
func (r *Ring) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.added - uint64(len(r.slots))
}

// bounded returns a copy of text of at most limit bytes, so that the ring does not keep a larger
// buffer in memory. It cuts between characters.
func bounded(text string, limit int) string {
	if len(text) > limit {
		for limit > 0 && !utf8.RuneStart(text[limit]) {
			limit--
		}
		text = text[:limit]
	}
	return strings.Clone(text)
}

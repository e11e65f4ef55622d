// Package event stores control events of entry processes and merges them into one timeline.
//
// A Ring holds the last events of one process in bounded memory. Each event has a timestamp of the
// process's own clock and one of its Lamport clock. Times of two processes are never compared; the
// Lamport timestamps order the events of several processes so that a cause comes before its effect.
// To that end, every message between processes carries the value of Clock.Tick, and its receiver
// calls Clock.Witness.
//
// # Usage
//
//	logical := new(event.Clock)
//	ring := event.NewRing("entry-1", 4096, clock.System(), logical)
//	ring.Add(event.Event{Kind: event.Move, Service: "yards/ledger", Server: "ledger-3"}.On(span))
//
//	message.Logical = logical.Tick()   // sender
//	logical.Witness(message.Logical)   // receiver
//
//	timeline := event.Merge(ring.Events(), fetchedFromEntry2)
//	moves := event.Select(timeline, event.ByKinds(event.Move), event.ByKey(assign.Hash("yard-17")))
//	err := event.WriteText(os.Stdout, moves)
//	err = event.Plot(moves, file, event.AsPNG())
//
// Rings and clocks are safe for concurrent use.
package event

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

//go:generate enumer -type=Kind -transform=kebab -text -output=kind_enumer.go

// Kind is the type of an event.
type Kind int

const (
	// Grant means that a server received or renewed the right to run work for spans.
	Grant Kind = iota
	// Lapse means that a lease or grant expired without renewal.
	Lapse
	// Move means that a span got another owner.
	Move
	// Close means that a span stopped accepting calls.
	Close
	// Open means that a span accepts calls.
	Open
	// TermWon means that a process became decider.
	TermWon
	// TermLost means that a process stopped being decider.
	TermLost
	// Drain means that a server or process takes no new work.
	Drain
	// Configuration means that a team configuration came into force.
	Configuration
	// RefusalBurst means that a number of calls were refused within a short time.
	RefusalBurst
	// Fault means that a server, a peer or the platform had an error.
	Fault
	// RecordWritten means that the object API acknowledged an assignment record.
	RecordWritten
	// LeaseLost means that a process lost its serving lease.
	LeaseLost
	// LeaseGained means that a process gained a serving lease after it had none.
	LeaseGained
	// Ready means that a process reports ready to the load balancer.
	Ready
	// Unready means that a process reports unready to the load balancer.
	Unready
)

// Event is one control event of one process. Ring.Add sets Process, Time and Logical; the other
// fields are zero if they do not apply.
type Event struct {
	Process assign.ProcessID `json:"process"`
	Kind    Kind             `json:"kind"`
	// Time is a time of the process's own clock, comparable with times of the same process only.
	Time time.Time `json:"time"`
	// Logical is the Lamport timestamp.
	Logical uint64           `json:"logical"`
	Service assign.ServiceID `json:"service,omitempty"`
	// Span is the span that the event concerns, valid if HasSpan is true. A single key is a span of
	// width one.
	Span    assign.Span `json:"span,omitzero"`
	HasSpan bool        `json:"has-span,omitempty"`
	// Server is the server that the event concerns.
	Server assign.ServerID `json:"server,omitempty"`
	// Version is the table, record or configuration version that the event concerns.
	Version uint64 `json:"version,omitempty"`
	// Fence is the fencing number that the event concerns.
	Fence lease.Fence `json:"fence,omitempty"`
	// Detail is free text, shortened to MaxDetailBytes.
	Detail string `json:"detail,omitempty"`
}

// On returns a copy of the event with a span.
func (e Event) On(span assign.Span) Event {
	e.Span, e.HasSpan = span, true
	return e
}

// OnKey returns a copy of the event whose span is the hash of a single key.
func (e Event) OnKey(hash uint64) Event {
	return e.On(assign.Span{From: hash, To: hash})
}

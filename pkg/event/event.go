// Package event keeps control events of entry processes and merges them into one timeline.
//
// A Ring holds the last events of one process in bounded memory. Each event is stamped with the
// process's own time and with a Lamport clock. Times of two processes are never compared; the
// Lamport clock orders events of several processes so that an event which caused another comes
// first. For that, every message between processes carries the value of Clock.Tick, and its
// receiver calls Clock.Witness.
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

// Kind says what happened.
type Kind int

const (
	// Grant is a server that received or renewed the right to run work for spans.
	Grant Kind = iota
	// Lapse is a lease or grant that ended without renewal.
	Lapse
	// Move is a span that got another owner.
	Move
	// Close is a span that stopped accepting calls.
	Close
	// Open is a span that accepts calls.
	Open
	// TermWon is a process that became decider.
	TermWon
	// TermLost is a process that stopped being decider.
	TermLost
	// Drain is a server or process that takes no new work.
	Drain
	// Configuration is a team configuration that came into force.
	Configuration
	// RefusalBurst is a number of calls refused within a short time.
	RefusalBurst
	// Fault is an error of a server, peer or the platform.
	Fault
	// RecordWritten is an assignment record that the object API acknowledged.
	RecordWritten
	// LeaseLost is a process that lost its serving lease.
	LeaseLost
	// LeaseGained is a process that gained a serving lease after it had none.
	LeaseGained
	// Ready is a process that reports ready to the balancer.
	Ready
	// Unready is a process that reports unready to the balancer.
	Unready
)

// Event is one control event of one process. The ring sets Process, Time and Logical; the other
// fields are zero where they do not apply.
type Event struct {
	Process assign.ProcessID `json:"process"`
	Kind    Kind             `json:"kind"`
	// Time is the process's own clock. It is comparable with other times of the same process only.
	Time time.Time `json:"time"`
	// Logical is the Lamport time.
	Logical uint64           `json:"logical"`
	Service assign.ServiceID `json:"service,omitempty"`
	// Span is the span concerned, valid where HasSpan is true. A single key is a span of width one.
	Span    assign.Span `json:"span,omitzero"`
	HasSpan bool        `json:"has-span,omitempty"`
	// Server is the server concerned.
	Server assign.ServerID `json:"server,omitempty"`
	// Version is the table, record or configuration version concerned.
	Version uint64 `json:"version,omitempty"`
	// Fence is the fencing number concerned.
	Fence lease.Fence `json:"fence,omitempty"`
	// Detail is free text, shortened to MaxDetailBytes.
	Detail string `json:"detail,omitempty"`
}

// On returns the event with a span.
func (e Event) On(span assign.Span) Event {
	e.Span, e.HasSpan = span, true
	return e
}

// OnKey returns the event with the hash of a single key.
func (e Event) OnKey(hash uint64) Event {
	return e.On(assign.Span{From: hash, To: hash})
}

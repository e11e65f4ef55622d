package peer

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/dedup"
	"github.com/samphiredrum/samphiredrum/pkg/event"
	"github.com/samphiredrum/samphiredrum/pkg/limit"
)

// Header is part of every message.
type Header struct {
	// From identifies the sender.
	From assign.ProcessID
	// Logical is the sender's Lamport clock, which orders the events of all processes.
	Logical uint64
}

// Team is the configuration of one team at one version of its object in the store.
type Team struct {
	Name    string
	Version uint64
	Text    []byte
}

// State is the assignment table and the configuration that a process holds.
type State struct {
	// Table is nil if the process has received none.
	Table *assign.Table
	Teams []Team
}

// ClaimRequest asks an elector to promise a term to the sender, a candidate for leader.
type ClaimRequest struct {
	Header
	Term            uint64
	ElectorsVersion uint64
	// Probe asks whether a claim would be granted, without claiming.
	Probe bool
}

// ClaimAnswer is the elector's answer. It contains the elector's state, from which a new leader starts.
type ClaimAnswer struct {
	Header
	Granted         bool
	HighestTerm     uint64
	ElectorsVersion uint64
	State           State
}

// BeatRequest is the leader's heartbeat. It renews the leader's term and the receiver's serving
// lease, and carries the table and configurations that the receiver has not acknowledged yet.
type BeatRequest struct {
	Header
	Term            uint64
	ElectorsVersion uint64
	// Incarnation is the incarnation of the receiver for which the lease is valid.
	Incarnation string
	// Echo is the Stamp of the receiver's last answer, or the zero time if there was none.
	Echo time.Time
	// Lease is the duration of the serving lease, starting at Echo. Zero grants no lease.
	Lease time.Duration
	// Table is nil if the receiver has acknowledged the current version.
	Table *assign.Table
	// Held is the highest table version that a majority of the electors holds.
	Held uint64
	// Teams are the configurations of which the receiver holds a lower version.
	Teams []Team
	// Versions maps each team to the version of its configuration that is in force.
	Versions map[string]uint64
	// Leaving are the servers that leave according to the list of VMs. Ordered are the servers that
	// operators drain.
	Leaving []assign.ServerID
	Ordered []assign.ServerID
}

// BeatAnswer is the receiver's answer to a heartbeat.
type BeatAnswer struct {
	Header
	// Accepted reports whether the receiver accepts the sender as the leader.
	Accepted bool
	// Promised reports whether the receiver renewed its promise to the leader as an elector.
	Promised        bool
	HighestTerm     uint64
	ElectorsVersion uint64
	// Stamp is the receiver's time, which the next heartbeat returns as Echo.
	Stamp time.Time
	// TableVersion is the table version that the receiver has applied.
	TableVersion uint64
	// InFlight is the number of calls in flight at each server, for spans that TableVersion closed.
	InFlight map[assign.ServerID]int
	// Versions maps each team to the version of its configuration that the receiver has in force.
	Versions map[string]uint64
	// Load is the load of each span since the last answer.
	Load []SpanLoad
	// Copied are the buckets, with their generations, that the receiver has copied as a recorder.
	Copied []CopiedBucket
	// Suspects are the servers that refused a connection since the last answer.
	Suspects []assign.ServerID
	// Draining reports that the receiver is stopping as planned.
	Draining bool
	// Incarnation identifies this run of the receiver's process. It changes with each restart.
	Incarnation string
}

// CopiedBucket identifies a bucket of booking identifiers at one generation.
type CopiedBucket struct {
	Bucket     int
	Generation uint64
}

// SpanLoad is the load of one span. Rates are in calls per second.
type SpanLoad struct {
	Service assign.ServiceID
	Span    assign.Span
	Rate    float64
	// HotHash is the most frequent key hash, and HotRate is a lower bound of its rate.
	HotHash uint64
	HotRate float64
}

// ReleaseRequest tells electors that a leader has given up its term.
type ReleaseRequest struct {
	Header
	Term uint64
	// Next asks the receiver to claim the next term without delay.
	Next bool
}

// ReleaseAnswer is the empty answer to a ReleaseRequest.
type ReleaseAnswer struct{ Header }

// StateRequest asks for the receiver's state.
type StateRequest struct{ Header }

// StateAnswer is the receiver's state.
type StateAnswer struct {
	Header
	State           State
	HighestTerm     uint64
	ElectorsVersion uint64
	// Learned reports whether the receiver has learned the state of the cell since its start. Only then
	// does its state count toward a majority.
	Learned bool
}

// EventsRequest asks for the receiver's control events after the given logical time.
type EventsRequest struct {
	Header
	After uint64
}

// EventsAnswer holds the receiver's control events.
type EventsAnswer struct {
	Header
	Events []event.Event
}

// ChangedRequest tells the leader that a team's object in the store was written, so that the
// leader does not have to wait for its watch to report the change.
type ChangedRequest struct {
	Header
	Team Team
}

// ChangedAnswer reports how many electors have the version in force.
type ChangedAnswer struct {
	Header
	InForce  int
	Electors int
}

// DrainRequest asks the leader to drain a server or, with Cancel, to use it again.
type DrainRequest struct {
	Header
	Server assign.ServerID
	Cancel bool
}

// DrainAnswer reports whether the receiver is the leader and knows the server.
type DrainAnswer struct {
	Header
	Accepted bool
}

// TokenRequest is sent to the process that keeps a server's tokens for long work, see limit.Keeper.
// Exactly one of Asked, Returned and Reported is set.
type TokenRequest struct {
	Header
	Server assign.ServerID
	// Asked asks for a token.
	Asked *limit.TokenAsked
	// Returned returns a token.
	Returned *limit.TokenReturned
	// Reported tells a new keeper which tokens are in use.
	Reported *limit.LongReported
}

// TokenAnswer is the keeper's answer to TokenRequest.Asked.
type TokenAnswer struct {
	Header
	Given bool
	// Wait is the time to wait before the next request if no token was given.
	Wait time.Duration
}

// ReserveRequest asks a recorder to reserve a booking identifier.
type ReserveRequest struct {
	Header
	Reserve dedup.Reserve
}

// ReserveAnswer is the recorder's answer to a ReserveRequest.
type ReserveAnswer struct {
	Header
	Reserved dedup.Reserved
}

// FinishRequest tells a recorder the outcome of an attempt.
type FinishRequest struct {
	Header
	Finish dedup.Finish
}

// FinishAnswer is the recorder's answer to a FinishRequest.
type FinishAnswer struct {
	Header
	Ended dedup.Ended
}

// ExportRequest asks a recorder for a chunk of a bucket.
type ExportRequest struct {
	Header
	Ask dedup.Ask
}

// ExportAnswer is the recorder's answer to an ExportRequest.
type ExportAnswer struct {
	Header
	Chunk dedup.Chunk
}

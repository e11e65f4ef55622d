package peer

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/dedup"
	"github.com/samphiredrum/samphiredrum/pkg/event"
	"github.com/samphiredrum/samphiredrum/pkg/limit"
)

// Header is carried by every message.
type Header struct {
	// From is the sender.
	From assign.ProcessID
	// Logical is the sender's Lamport clock, which orders events of all processes.
	Logical uint64
}

// Team is one team's configuration at one version of its object.
type Team struct {
	Name    string
	Version uint64
	Text    []byte
}

// State is what a process holds: its assignment table and configuration.
type State struct {
	// Table is nil where the process has received none.
	Table *assign.Table
	Teams []Team
}

// ClaimRequest asks an elector for its promise to a new decider.
type ClaimRequest struct {
	Header
	Term            uint64
	ElectorsVersion uint64
	// Probe asks only whether a claim would be granted.
	Probe bool
}

// ClaimAnswer is the elector's answer, with its state, from which a new decider starts.
type ClaimAnswer struct {
	Header
	Granted         bool
	HighestTerm     uint64
	ElectorsVersion uint64
	State           State
}

// BeatRequest is the decider's heartbeat. It renews the decider's term and the receiver's serving
// lease, and carries what the receiver has not acknowledged yet.
type BeatRequest struct {
	Header
	Term            uint64
	ElectorsVersion uint64
	// Incarnation is the run of the receiver that the lease is meant for.
	Incarnation string
	// Echo is the Stamp of the receiver's last answer, the zero time where there was none.
	Echo time.Time
	// Lease is the length of the serving lease, counted from Echo. Zero grants none.
	Lease time.Duration
	// Table is nil where the receiver has acknowledged the current version.
	Table *assign.Table
	// Held is the highest table version that a majority of the electors holds.
	Held uint64
	// Teams are the teams of which the receiver holds a lower version.
	Teams []Team
	// Versions are the versions in force of all teams.
	Versions map[string]uint64
	// Leaving are the servers that leave by the list of VMs, Ordered those that operators drain.
	Leaving []assign.ServerID
	Ordered []assign.ServerID
}

// BeatAnswer is a follower's answer to a heartbeat.
type BeatAnswer struct {
	Header
	// Accepted reports whether the receiver takes the sender for the decider.
	Accepted bool
	// Promised reports whether the receiver renewed its promise to the decider as an elector.
	Promised        bool
	HighestTerm     uint64
	ElectorsVersion uint64
	// Stamp is the receiver's time, to be echoed in the next heartbeat.
	Stamp time.Time
	// TableVersion is the version that the receiver has applied.
	TableVersion uint64
	// InFlight counts, for each server, the calls of spans closed by TableVersion that are still in
	// flight there.
	InFlight map[assign.ServerID]int
	// Versions are the versions of all teams that the receiver has in force.
	Versions map[string]uint64
	// Load is the calls of each span since the last answer.
	Load []SpanLoad
	// Copied are the buckets with their generations that the receiver has copied as a recorder.
	Copied []CopiedBucket
	// Suspects are servers that refused a connection since the last answer.
	Suspects []assign.ServerID
	// Draining reports that the receiver is at a planned stop.
	Draining bool
	// Incarnation tells a restarted process from its predecessor.
	Incarnation string
}

// CopiedBucket is a bucket of booking identifiers at one generation.
type CopiedBucket struct {
	Bucket     int
	Generation uint64
}

// SpanLoad is the calls of one span, in calls a second.
type SpanLoad struct {
	Service assign.ServiceID
	Span    assign.Span
	Rate    float64
	// HotHash is the most frequent key hash seen, and HotRate a lower bound of its rate.
	HotHash uint64
	HotRate float64
}

// ReleaseRequest tells electors that a decider has given up its term.
type ReleaseRequest struct {
	Header
	Term uint64
	// Next asks the receiver to claim without delay.
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
	// Learned reports whether the receiver itself holds a state that counts for a majority.
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

// ChangedRequest tells the decider that a team's object was written, so that it need not wait for
// its watch.
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

// DrainRequest asks the decider to drain a server, or with Cancel to use it again.
type DrainRequest struct {
	Header
	Server assign.ServerID
	Cancel bool
}

// DrainAnswer reports whether the receiver is the decider and knows the server.
type DrainAnswer struct {
	Header
	Accepted bool
}

// TokenRequest tells the keeper of a server about tokens for long work. One of its parts is set.
type TokenRequest struct {
	Header
	Server assign.ServerID
	// Asked asks for a token.
	Asked *limit.TokenAsked
	// Returned gives a token back.
	Returned *limit.TokenReturned
	// Reported tells a new keeper the tokens in use.
	Reported *limit.LongReported
}

// TokenAnswer is the keeper's answer to TokenRequest.Asked.
type TokenAnswer struct {
	Header
	Given bool
	// Wait is how long to wait before asking again where no token was given.
	Wait time.Duration
}

// ReserveRequest asks a recorder to reserve a booking identifier.
type ReserveRequest struct {
	Header
	Reserve dedup.Reserve
}

// ReserveAnswer is the recorder's answer.
type ReserveAnswer struct {
	Header
	Reserved dedup.Reserved
}

// FinishRequest tells a recorder how an attempt ended.
type FinishRequest struct {
	Header
	Finish dedup.Finish
}

// FinishAnswer is the recorder's answer.
type FinishAnswer struct {
	Header
	Ended dedup.Ended
}

// ExportRequest asks a recorder for a chunk of a bucket.
type ExportRequest struct {
	Header
	Ask dedup.Ask
}

// ExportAnswer is the chunk.
type ExportAnswer struct {
	Header
	Chunk dedup.Chunk
}

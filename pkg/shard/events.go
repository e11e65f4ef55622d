package shard

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// Event is an input of Decider.Step.
type Event interface{ event() }

// Started reports that this process has become the leader and decides from now on, starting from the stored tables.
type Started struct {
	Tables map[assign.ServiceID]Table
	// LastGrant is the latest time at which an earlier leader may have sent a grant, the zero time if unknown.
	LastGrant time.Time
	// Unknown reports that Tables may lack the last changes of an earlier leader, because the store came back from an
	// older copy. The other fields are used only then.
	Unknown bool
	// Older are further tables, whose owners may hold keys too.
	Older map[assign.ServiceID]Table
	// FirstFence is above all fencing numbers that earlier leaders used.
	FirstFence lease.Fence
	// ListedFrom is when the list of servers is complete again.
	ListedFrom time.Time
	// Leaving has the runs that drain or have left, as far as this process knows, if Tables are as late as that. Earlier
	// leaders gave them no keys any more, so that only the keys wait for them whose owner or earlier owner they are in Tables.
	Leaving map[Run]bool
}

// Listed contains the current servers of each partitioned service. A service that is missing keeps its table,
// but no orders are sent for it.
type Listed struct {
	Services map[assign.ServiceID][]assign.Server
	// ReadAt is when the list was read.
	ReadAt time.Time
	// Evacuated has the evacuated failure domains. Their servers get no keys, and keep those that they have until these
	// have moved.
	Evacuated map[string]bool
}

// Stored reports that the tables as of the Write with this number are stored.
type Stored struct{ Write uint64 }

// Granted reports the outcome of a Grant.
type Granted struct {
	Grant   Grant
	Outcome Outcome
}

// Released reports the outcome of a Release.
type Released struct {
	Release Release
	Outcome Outcome
	// Handover is opaque text from the server that helps the next owner to start warm, empty if it sent none.
	Handover string
}

// KeysRequested reports the keys of the requests that the entry processes received, one element per request.
type KeysRequested struct {
	Service assign.ServiceID
	Keys    []uint16
	// Over is the time in which the requests came, 0 if it is not known. It is long after a time without a leader.
	Over time.Duration
}

// Work is the number of requests that a server ran and their total time.
type Work struct {
	Requests int
	Time     time.Duration
}

// WorkDone reports the work of the servers of a service as the entry processes measured it.
type WorkDone struct {
	Service assign.ServiceID
	Work    map[assign.ServerID]Work
}

// Run identifies one run of a server.
type Run struct {
	Server assign.ServerID
	// Born is the start time of the run in Unix ms.
	Born int64
}

// Reported has servers that may hold keys, as processes report them whose tables are later than Started.Tables. It has no
// effect once the owners are known.
type Reported struct{ Holders map[assign.ServiceID][]Holder }

// Restored reports that the store has come back from an older copy while this process leads on.
type Restored struct {
	// ListedFrom is when the list of servers is complete again.
	ListedFrom time.Time
}

// Limited has the requests per second of all servers that take fewer than they could run. It replaces the rates of
// the previous one.
type Limited struct{ Rates map[Run]float64 }

// ColdRun is a run of a server that tolerates only PerSecond requests per second until a time.
type ColdRun struct {
	Until     time.Time
	PerSecond float64
}

// Cold has all cold runs of servers that tolerate only a low rate while they are cold. It replaces those of the previous one.
type Cold struct{ Runs map[Run]ColdRun }

// Tick is sent periodically so that timers make progress. While the store is down, keys are granted for
// Config.LongestHold.
type Tick struct {
	// StoreDown reports that the store does not answer.
	StoreDown bool
}

func (Started) event()       {}
func (Listed) event()        {}
func (Stored) event()        {}
func (Granted) event()       {}
func (Released) event()      {}
func (KeysRequested) event() {}
func (WorkDone) event()      {}
func (Limited) event()       {}
func (Cold) event()          {}
func (Restored) event()      {}
func (Reported) event()      {}
func (Tick) event()          {}

//go:generate enumer -type=Outcome -transform=kebab -output=outcome_enumer.go

// Outcome is the result of an order, that is of a Grant or a Release.
type Outcome int

const (
	// Done means that the server carried out the order.
	Done Outcome = iota
	// Fenced means that the server refused the order because it has seen a higher fencing number. The Decider
	// handles a release with this outcome like a Lost one.
	Fenced
	// Ended means that no run of the server is at the address: another server answered there.
	Ended
	// Lost means that there was no usable answer. The server may still carry out the order later.
	Lost
)

// Action is an output of Decider.Step that the caller carries out.
type Action interface{ action() }

// Write asks to store the result of Decider.Tables. Success is reported with Stored, failure is not reported.
type Write struct{ Number uint64 }

// Grant asks to grant keys to a server, or to renew its grant.
type Grant struct {
	Service assign.ServiceID
	Range   Range
	Owner   Holder
	Fence   lease.Fence
	// Hold is the time for which the server holds the keys, counted from the arrival of the grant.
	Hold time.Duration
	// Handover is the text that the earlier owner returned with its release.
	Handover string
	// Renewal reports that the owner has already confirmed a grant of these keys.
	Renewal bool
}

// Release asks a server to give up keys.
type Release struct {
	Service assign.ServiceID
	Range   Range
	Holder  Holder
	// Fence is the fencing number of the next owner's grant.
	Fence lease.Fence
	// Recovery reports that the server probably holds none of the keys, see Started.Unknown.
	Recovery bool
}

func (Write) action()   {}
func (Grant) action()   {}
func (Release) action() {}

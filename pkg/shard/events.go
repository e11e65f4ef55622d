package shard

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// Event is something that happened.
type Event interface{ event() }

// Started says that this process may decide from now on, starting from the stored tables.
type Started struct{ Tables map[assign.ServiceID]Table }

// Listed is the list of servers of the partitioned services. A service that is missing keeps its
// table but gets no orders.
type Listed struct {
	Services map[assign.ServiceID][]assign.Server
}

// Stored says that the tables as they were at the Write with this number are stored.
type Stored struct{ Write uint64 }

// Granted is the end of a Grant.
type Granted struct {
	Grant   Grant
	Outcome Outcome
}

// Released is the end of a Release.
type Released struct {
	Release Release
	Outcome Outcome
	// Handover is what the next owner needs to start warm, where the server said so.
	Handover string
}

// KeysRequested are the keys of requests, one entry a request, as the entry processes saw them.
type KeysRequested struct {
	Service assign.ServiceID
	Keys    []uint16
}

// Work is the requests that a server ran, with the time that they took in all.
type Work struct {
	Requests int
	Time     time.Duration
}

// WorkDone is the work of the servers of a service, as the entry processes saw it.
type WorkDone struct {
	Service assign.ServiceID
	Work    map[assign.ServerID]Work
}

// Tick lets time pass. The store's health decides for how long keys are granted.
type Tick struct {
	// StoreDown reports that the store does not answer at present.
	StoreDown bool
}

func (Started) event()       {}
func (Listed) event()        {}
func (Stored) event()        {}
func (Granted) event()       {}
func (Released) event()      {}
func (KeysRequested) event() {}
func (WorkDone) event()      {}
func (Tick) event()          {}

//go:generate enumer -type=Outcome -transform=kebab -output=outcome_enumer.go

// Outcome is how an order to a server ended.
type Outcome int

const (
	// Done is an order that the server carried out.
	Done Outcome = iota
	// Fenced is a grant that the server refused because it has seen a higher fencing number.
	Fenced
	// Ended is an order whose server has ended: another one has its address.
	Ended
	// Lost is an order without a usable answer. It may be carried out later.
	Lost
)

// Action is something to do.
type Action interface{ action() }

// Write asks to store Tables. Its end is reported with Stored, or never.
type Write struct{ Number uint64 }

// Grant asks to give keys to a server, or to renew them.
type Grant struct {
	Service assign.ServiceID
	Range   Range
	Owner   Holder
	Fence   lease.Fence
	// Hold is the time from the arrival of the grant for which the server holds the keys.
	Hold     time.Duration
	Handover string
	// Renewal reports that the owner has confirmed a grant of these keys before.
	Renewal bool
}

// Release asks a server to give keys up.
type Release struct {
	Service assign.ServiceID
	Range   Range
	Holder  Holder
	// Fence is that of the next owner.
	Fence lease.Fence
}

func (Write) action()   {}
func (Grant) action()   {}
func (Release) action() {}

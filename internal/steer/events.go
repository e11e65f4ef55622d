package steer

import (
	"net/netip"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/leader"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// event is the result of a call, or a call of a follower, for the control goroutine.
type event interface{ event() }

// recordRead is the end of a read of the record.
type recordRead struct {
	object store.Object
	err    error
}

// recordWritten is the end of a write of the record.
type recordWritten struct {
	record leader.Record
	// services are the tables of key owners that were written.
	services map[assign.ServiceID]shard.Table
	version  uint64
	// unconfirmed is the value of record.Unconfirmed.
	unconfirmed bool
	// deciderWrite is the number that the decider gave the written tables, 0 if they are not its own.
	deciderWrite uint64
	err          error
}

// serversRead is the end of a read of the server list.
type serversRead struct {
	sent    time.Time
	objects []store.Object
	err     error
}

// configRead is the end of a read or watch of the configuration.
type configRead struct {
	sent time.Time
	// found reports that object is the configuration. It is false for a watch that ended without a change.
	found    bool
	object   store.Object
	revision uint64
	watch    bool
	err      error
}

// evacuationsRead is the end of a read of the evacuations.
type evacuationsRead struct {
	sent    time.Time
	objects []store.Object
	version uint64
	err     error
}

// orderDone is the end of an order to a server.
type orderDone struct{ result shard.Event }

// followRequest is a call of a follower that waits for its answer.
type followRequest struct {
	ask      Ask
	answer   chan Answer
	received time.Time
}

// reserveRequest asks for the time of a request to a server with a limit.
type reserveRequest struct {
	ask    ReserveAsk
	answer chan ReserveAnswer
}

// followResult is the end of a call to the leader.
type followResult struct {
	sent time.Time
	// from is the address of the process that was called.
	from   netip.AddrPort
	answer Answer
	update update
	err    error
}

func (recordRead) event()      {}
func (recordWritten) event()   {}
func (serversRead) event()     {}
func (configRead) event()      {}
func (evacuationsRead) event() {}
func (orderDone) event()       {}
func (followRequest) event()   {}
func (reserveRequest) event()  {}
func (followResult) event()    {}

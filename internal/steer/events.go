package steer

import (
	"net/netip"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/leader"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// event is something that the control goroutine handles.
type event interface{ event() }

// recordRead is the end of a read of the record.
type recordRead struct {
	object store.Object
	err    error
}

// recordWritten is the end of a write of the record.
type recordWritten struct {
	record leader.Record
	// services are the tables that were written.
	services map[assign.ServiceID]shard.Table
	version  uint64
	// tables is the number of the decider's write that the record has.
	tables uint64
	err    error
}

// serversRead is the end of a list of the servers.
type serversRead struct {
	sent    time.Time
	objects []store.Object
	err     error
}

// configRead is the end of a read or watch of the configuration.
type configRead struct {
	sent time.Time
	// found reports that object is the configuration; a watch may end without a change.
	found    bool
	object   store.Object
	revision uint64
	watch    bool
	err      error
}

// ordered is the end of an order to a server.
type ordered struct{ result shard.Event }

// asked is a call of a follower that waits for its answer.
type asked struct {
	ask    Ask
	answer chan Answer
	since  time.Time
}

// followed is the end of a call to the leader.
type followed struct {
	sent time.Time
	// from is the process that was called.
	from   netip.AddrPort
	answer Answer
	news   news
	err    error
}

func (recordRead) event()    {}
func (recordWritten) event() {}
func (serversRead) event()   {}
func (configRead) event()    {}
func (ordered) event()       {}
func (asked) event()         {}
func (followed) event()      {}

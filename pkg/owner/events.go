package owner

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// DeciderEvent is an input of Decider.Step.
type DeciderEvent interface{ deciderEvent() }

// Started begins a term. The time of its Step is when the term was won, and leases and grants of
// earlier deciders are assumed to have been extended until then.
type Started struct {
	Term uint64
	// Record is the stored record, or nil if it does not exist or was not read.
	Record *assign.Record
	// RecordVersion is the version of the stored object, 0 if it does not exist.
	RecordVersion uint64
	// RecordUnread is set if the object API did not answer.
	RecordUnread bool
	// Tables are the tables of a majority of the electors, with nil for an elector that has none.
	// Each elector must have refused lower terms (TermPromised) before it returned its table.
	Tables []*assign.Table
	// Servers are the backend servers of the exclusive services.
	Servers []assign.Server
	// Processes are the entry processes of the cell.
	Processes []Process
	// Electors are the electors in the settings, for the first record of the cell.
	Electors []assign.ProcessID
}

// Stopped ends the term. The Decider discards its state.
type Stopped struct{}

// Tick triggers heartbeats and timeouts. It is due at least once per heartbeat interval.
type Tick struct{}

// ProcessAnswered is an Answer of a process, either to a heartbeat or sent on its own.
type ProcessAnswered struct {
	Process     assign.ProcessID
	Incarnation string
	// Term is the term of the Answer. An answer for another term is ignored.
	Term uint64
	// Sent is the process's own clock when it sent the answer. The next heartbeat echoes it.
	Sent time.Time
	// Version is the highest table version that the process has applied and counted the calls in
	// flight for.
	Version uint64
	// InFlight is the number of calls per server that were sent under a version before Version, for
	// spans that are not open at that server with the same fence in Version.
	InFlight map[assign.ServerID]int
}

// ProcessEnded reports proof that the run of a process has ended. Missing answers are no proof. An
// empty Incarnation means the runs that have not answered in this term.
type ProcessEnded struct {
	Process     assign.ProcessID
	Incarnation string
}

// ProcessesListed replaces the list of entry processes.
type ProcessesListed struct{ Processes []Process }

// ServersListed replaces the list of backend servers of the exclusive services. The spans of a
// server that is no longer listed move away as from a draining one.
type ServersListed struct {
	Servers []assign.Server
	// Budgets are the shares of each service's keys that rebalancing may move within
	// Config.ChurnPeriod. A service without an entry has Config.ChurnBudget.
	Budgets map[assign.ServiceID]float64
}

// ServerAnswered is the answer of a server to a probe. ProbedAt is when the probe was sent, by this
// process's clock.
type ServerAnswered struct {
	Server      assign.ServerID
	Incarnation string
	ProbedAt    time.Time
	// Idle is set if the server reported that it has no running or queued work.
	Idle bool
	// Draining is set if the server reported that it is draining.
	Draining bool
}

// ServerEnded reports proof that a run of a server has ended: the connection for a ProbeServer was
// refused, or the VM no longer exists.
type ServerEnded struct {
	Server assign.ServerID
	// Incarnation is the one in the ProbeServer. The report is ignored if the Decider knows a later
	// run by now.
	Incarnation string
	// Gone is set if the platform no longer lists the VM, so that no later run of the server can
	// receive calls that were meant for this one.
	Gone bool
}

// GrantAnswered is the answer to a SendGrant.
type GrantAnswered struct {
	Server      assign.ServerID
	Incarnation string
	Version     uint64
	// OK is set if the server accepted the grant.
	OK bool
}

// RevokeAnswered is the answer to a SendRevoke.
type RevokeAnswered struct {
	Server assign.ServerID
	// Version is the version in the SendRevoke.
	Version uint64
	// OK is set if no work for the revoked spans is running or will start.
	OK bool
}

// RecordWritten reports that the conditional write with Token took effect.
type RecordWritten struct {
	Version uint64
	Token   string
}

// RecordFailed reports that the write with Token was not answered, or that another version was
// stored.
type RecordFailed struct {
	Token string
	// Conflict is set if another version was stored, so that this attempt of the write took no
	// effect.
	Conflict bool
}

// RecordRead is the answer to ReadRecord.
type RecordRead struct {
	// Record is nil if the object does not exist.
	Record  *assign.Record
	Version uint64
}

// LoadReported is the rate of calls that one process forwarded for a service.
type LoadReported struct {
	Process assign.ProcessID
	Service assign.ServiceID
	// Spans are the calls per second by span.
	Spans map[assign.Span]float64
	// Keys are the calls per second of the busiest key hashes.
	Keys map[uint64]float64
}

// DrainServer starts moving all spans away from a server. Cancel ends the drain.
type DrainServer struct {
	Server assign.ServerID
	Cancel bool
}

// DrainProcess starts moving the recorder buckets away from a process. Cancel ends the drain.
type DrainProcess struct {
	Process assign.ProcessID
	Cancel  bool
}

// BucketCopied reports that a new recorder has finished copying the bucket in this generation.
type BucketCopied struct {
	Process    assign.ProcessID
	Bucket     int
	Generation uint64
}

func (Started) deciderEvent()         {}
func (Stopped) deciderEvent()         {}
func (Tick) deciderEvent()            {}
func (ProcessAnswered) deciderEvent() {}
func (ProcessEnded) deciderEvent()    {}
func (ProcessesListed) deciderEvent() {}
func (ServersListed) deciderEvent()   {}
func (ServerAnswered) deciderEvent()  {}
func (ServerEnded) deciderEvent()     {}
func (GrantAnswered) deciderEvent()   {}
func (RevokeAnswered) deciderEvent()  {}
func (RecordWritten) deciderEvent()   {}
func (RecordFailed) deciderEvent()    {}
func (RecordRead) deciderEvent()      {}
func (LoadReported) deciderEvent()    {}
func (DrainServer) deciderEvent()     {}
func (BucketCopied) deciderEvent()    {}
func (DrainProcess) deciderEvent()    {}

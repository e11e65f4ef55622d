package owner

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// DeciderEvent is an input of a Decider.
type DeciderEvent interface{ deciderEvent() }

// Started begins a term. Its time is when the term was won: leases and grants of earlier deciders
// are counted from it.
type Started struct {
	Term uint64
	// Record is the stored record, nil where it is absent or was not read.
	Record *assign.Record
	// RecordVersion is the object's version, 0 where the object is absent.
	RecordVersion uint64
	// RecordUnread is set where the object API did not answer.
	RecordUnread bool
	// Tables are the tables of a majority of electors, nil for an elector without a table. Each
	// elector must have refused lower terms (TermPromised) before it handed out its table.
	Tables []*assign.Table
	// Servers are the backend servers of the exclusive services.
	Servers []assign.Server
	// Processes are the entry processes of the cell.
	Processes []Process
	// Electors are those of the settings, for the cell's first record.
	Electors []assign.ProcessID
}

// Stopped ends the term. The Decider forgets its state.
type Stopped struct{}

// Tick drives heartbeats and timers. It is due every beat, or more often.
type Tick struct{}

// ProcessAnswered is a process's Answer to a heartbeat, or one it sent by itself.
type ProcessAnswered struct {
	Process     assign.ProcessID
	Incarnation string
	// Term is that of the Answer. An answer for another term is ignored.
	Term uint64
	// Sent is the process's reading of its own clock, to be echoed.
	Sent time.Time
	// Version is the highest table version that the process has applied and counted calls for.
	Version uint64
	// InFlight counts, for each server, the calls sent under a version before Version for spans
	// that are not open at that server with the same fence in Version.
	InFlight map[assign.ServerID]int
}

// ProcessEnded is the proof that the run of a process has ended; silence is none. An empty
// Incarnation stands for the runs that have not answered in this term.
type ProcessEnded struct {
	Process     assign.ProcessID
	Incarnation string
}

// ProcessesListed replaces the list of entry processes.
type ProcessesListed struct{ Processes []Process }

// ServersListed replaces the list of backend servers of exclusive services. A server that is no
// longer listed is emptied as a draining one is.
type ServersListed struct {
	Servers []assign.Server
	// Budgets are the shares of the keys of services that voluntary moves may move in
	// Config.ChurnPeriod. A service that is not named has Config.ChurnBudget.
	Budgets map[assign.ServiceID]float64
}

// ServerAnswered is an answer of a server to a probe that was sent at AskedAt, by this process's
// clock.
type ServerAnswered struct {
	Server      assign.ServerID
	Incarnation string
	ProbedAt    time.Time
	// Idle is set where the server reported that it neither runs nor queues work.
	Idle bool
	// Draining is set where the server reported that it is draining.
	Draining bool
}

// ServerEnded is the proof that a run of a server has ended: a connection attempt for a ProbeServer
// was refused, or the VM is gone.
type ServerEnded struct {
	Server assign.ServerID
	// Incarnation is that of the ProbeServer. A proof about an earlier run than the one that the
	// Decider knows by now is ignored.
	Incarnation string
	// Gone is set where the VM has left the platform's list, so that no other run of the server
	// can receive calls that were meant for this one.
	Gone bool
}

// GrantAnswered is the answer to a SendGrant.
type GrantAnswered struct {
	Server      assign.ServerID
	Incarnation string
	Version     uint64
	// OK is set where the server accepted the grant.
	OK bool
}

// RevokeAnswered is the answer to a SendRevoke.
type RevokeAnswered struct {
	Server assign.ServerID
	// Version is that of the SendRevoke.
	Version uint64
	// OK is set where no work for the revoked spans runs or will start.
	OK bool
}

// RecordWritten reports that the conditional write with Token took effect.
type RecordWritten struct {
	Version uint64
	Token   string
}

// RecordFailed reports that the write with Token did not answer, or met another version.
type RecordFailed struct {
	Token string
	// Conflict is set where another version was stored; this write did not take effect in this
	// attempt.
	Conflict bool
}

// RecordRead is the answer to ReadRecord.
type RecordRead struct {
	// Record is nil where the object is absent.
	Record  *assign.Record
	Version uint64
}

// LoadReported is the rate of calls that one process forwarded, for each span.
type LoadReported struct {
	Process assign.ProcessID
	Service assign.ServiceID
	// Spans holds calls a second by span.
	Spans map[assign.Span]float64
	// Keys holds calls a second of the hottest key hashes.
	Keys map[uint64]float64
}

// DrainServer asks to empty a server, or with Cancel to use it again.
type DrainServer struct {
	Server assign.ServerID
	Cancel bool
}

// DrainProcess asks to move the recorder buckets of a process, or with Cancel to use it again.
type DrainProcess struct {
	Process assign.ProcessID
	Cancel  bool
}

// BucketCopied reports that a new recorder has copied the bucket at the generation.
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

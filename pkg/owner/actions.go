package owner

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// DeciderAction is an output of a Decider.
type DeciderAction interface{ deciderAction() }

// SendHeartbeat is a heartbeat to a process. It reaches the process's Follower as BeatReceived.
type SendHeartbeat struct {
	Process assign.ProcessID
	Term    uint64
	// Incarnation is the run that the table and the lease are meant for, "" where none is known.
	Incarnation string
	// Echo is the process's last timestamp, the zero time where none is known.
	Echo time.Time
	// Lease is that of the serving lease, 0 where none is given.
	Lease time.Duration
	// Table is set where the run has not acknowledged its version.
	Table *assign.Table
}

// SendGrant gives a server the right to run work for its spans, and replaces its earlier spans.
type SendGrant struct {
	Server assign.ServerID
	// Incarnation is the run of the server that is meant; another must refuse the grant.
	Incarnation string
	// Version identifies this grant in GrantAnswered.
	Version uint64
	Spans   []Grant
	// Deadline is the end of the grant by this process's clock. The sender maps it to the server's
	// clock (lease.ServerClock.NotAfter), however late it sends.
	Deadline time.Time
}

// Grant is a span with the fence under which a server may run calls for it.
type Grant struct {
	Service assign.ServiceID
	Span    assign.Span
	Fence   lease.Fence
}

// SendRevoke tells a server to stop work for spans. The server must refuse fences up to those
// named from then on.
type SendRevoke struct {
	Server assign.ServerID
	// Version identifies the closing in RevokeAnswered.
	Version uint64
	Spans   []Grant
}

// ProbeServer asks for a server's health; the answer is ServerAnswered or ServerEnded.
type ProbeServer struct {
	Server assign.ServerID
	// Incarnation is the run of the server that the Decider knows, "" where it knows none.
	Incarnation string
}

// WriteRecord stores the record by conditional update, and by create-if-absent where IfVersion is
// 0. The answer is RecordWritten or RecordFailed.
type WriteRecord struct {
	Record    assign.Record
	IfVersion uint64
}

// ReadRecord reads the stored record; the answer is RecordRead. No answer is needed when the
// object API fails, the Decider asks again.
type ReadRecord struct{}

// StepDown ends this process's term.
type StepDown struct {
	Reason Reason
	// Term is that of the stored record.
	Term uint64
}

// Note is an entry for the event log.
type Note struct {
	Kind    NoteKind
	Service assign.ServiceID
	Span    assign.Span
	Server  assign.ServerID
	Process assign.ProcessID
	Fence   lease.Fence
	Version uint64
}

func (SendHeartbeat) deciderAction() {}
func (SendGrant) deciderAction()     {}
func (SendRevoke) deciderAction()    {}
func (ProbeServer) deciderAction()   {}
func (WriteRecord) deciderAction()   {}
func (ReadRecord) deciderAction()    {}
func (StepDown) deciderAction()      {}
func (Note) deciderAction()          {}

//go:generate enumer -type=Reason -transform=kebab -output=reason_enumer.go
//go:generate enumer -type=NoteKind -trimprefix=Note -transform=kebab -output=notekind_enumer.go

// Reason says why a Decider gives its term up.
type Reason int

const (
	// HigherTerm is a stored record of a higher term.
	HigherTerm Reason = iota
	// NotElector is a stored record that does not list this process as an elector.
	NotElector
)

// NoteKind is the kind of a Note.
type NoteKind int

const (
	// NoteTable is a published table version.
	NoteTable NoteKind = iota
	// NoteClosed is a span that was closed to move to Server.
	NoteClosed
	// NoteOpened is a span that was opened at Server.
	NoteOpened
	// NoteServerLost is a server that is silent or has ended.
	NoteServerLost
	// NoteServerBack is a lost server that answers again.
	NoteServerBack
	// NoteProcessLost is a run of a process that has ended or whose lease has lapsed.
	NoteProcessLost
	// NoteRecord is a record that was stored.
	NoteRecord
	// NoteRecorders is a bucket that got other recorders.
	NoteRecorders
	// NoteHorizon is a bucket both of whose recorders were lost.
	NoteHorizon
)

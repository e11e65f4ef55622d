package owner

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// DeciderAction is an output of Decider.Step, which the caller carries out.
type DeciderAction interface{ deciderAction() }

// SendHeartbeat sends a heartbeat to a process, whose Follower receives it as HeartbeatReceived.
type SendHeartbeat struct {
	Process assign.ProcessID
	Term    uint64
	// Incarnation is the run that the table and the lease are for, or "" if no run is known.
	Incarnation string
	// Echo is the last timestamp received from the process, or the zero time if there is none.
	Echo time.Time
	// Lease is how long the serving lease lasts, 0 if the heartbeat grants none.
	Lease time.Duration
	// Table is the latest table if the run has not acknowledged it yet, otherwise nil.
	Table *assign.Table
}

// SendGrant allows a server to run calls for Spans. It replaces the spans of earlier grants.
type SendGrant struct {
	Server assign.ServerID
	// Incarnation is the run of the server that the grant is for. Any other run must refuse it.
	Incarnation string
	// Version identifies this grant in GrantAnswered.
	Version uint64
	Spans   []Grant
	// Deadline is the end of the grant by this process's clock. However late the grant is sent, the
	// sender converts this time to the server's clock with lease.ServerClock.NotAfter.
	Deadline time.Time
}

// Grant is a span with the fence under which a server may run calls for it.
type Grant struct {
	Service assign.ServiceID
	Span    assign.Span
	Fence   lease.Fence
}

// SendRevoke tells a server to stop running calls for Spans. From then on the server must refuse
// the fences in Spans and all lower ones.
type SendRevoke struct {
	Server assign.ServerID
	// Version identifies this revoke in RevokeAnswered. It is the first table version in which the
	// spans are closed.
	Version uint64
	Spans   []Grant
}

// ProbeServer requests the health of a server, which is reported as ServerAnswered or ServerEnded.
type ProbeServer struct {
	Server assign.ServerID
	// Incarnation is the server's run as known to the Decider, or "" if none is known.
	Incarnation string
}

// WriteRecord stores the record if the stored one has the version IfVersion, or if there is none
// and IfVersion is 0. The result is reported as RecordWritten or RecordFailed.
type WriteRecord struct {
	Record    assign.Record
	IfVersion uint64
}

// ReadRecord reads the stored record. The result is reported as RecordRead. A failed read need not
// be reported, because the Decider retries it.
type ReadRecord struct{}

// StepDown ends the term of this process.
type StepDown struct {
	Reason Reason
	// Term is the term of the stored record.
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

// Reason is why a Decider steps down.
type Reason int

const (
	// HigherTerm means that the stored record has a higher term.
	HigherTerm Reason = iota
	// NotElector means that the stored record does not list this process as an elector.
	NotElector
)

// NoteKind is the kind of a Note.
type NoteKind int

const (
	// NoteTable reports that a table version was published.
	NoteTable NoteKind = iota
	// NoteClosed reports that a span was closed in order to move to Server.
	NoteClosed
	// NoteOpened reports that a span was opened at Server.
	NoteOpened
	// NoteServerLost reports that a server is silent or has ended.
	NoteServerLost
	// NoteServerBack reports that a lost server answers again.
	NoteServerBack
	// NoteProcessLost reports that a run of a process has ended.
	NoteProcessLost
	// NoteRecord reports that the record was stored.
	NoteRecord
	// NoteRecorders reports that the recorders of a bucket have changed.
	NoteRecorders
	// NoteHorizon reports that both recorders of a bucket were lost, and its identifiers with them.
	NoteHorizon
)

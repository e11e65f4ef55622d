package dedup

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

//go:generate enumer -type=Status -transform=kebab -text -output=status_enumer.go
//go:generate enumer -type=Outcome -transform=kebab -text -output=outcome_enumer.go
//go:generate enumer -type=Reason -trimprefix=Reason -transform=kebab -text -output=reason_enumer.go

// BodyLimit is the largest body in bytes that is kept with a finished booking.
const BodyLimit = 4 << 10

// IdentifierLimit is the largest length in bytes of a Key, scope and identifier together.
const IdentifierLimit = 256

// Key names one booking. Identifiers of different scopes are different bookings.
type Key struct {
	// Scope is the service, "team/service", so that teams cannot read each other's answers.
	Scope assign.ServiceID
	// Identifier is the caller's Idempotency-Key.
	Identifier string
}

// Attempt names one try of an entry process to run a booking. Number is unique within one
// incarnation of the process, which makes a repeated Reserve of the same attempt idempotent.
type Attempt struct {
	Process     assign.ProcessID
	Incarnation uint64
	Number      uint64
}

// Header is one header field of a stored answer.
type Header struct {
	Name  string
	Value string
}

// Answer is a server's answer to a booking as it is kept.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Headers are those needed to repeat the answer.
	Headers []Header
	// Body is at most BodyLimit bytes.
	Body []byte
	// Omitted reports that the body, and possibly headers, were too large to keep.
	Omitted bool
}

// Status is a recorder's answer to Reserve, Finish or Export.
type Status int

const (
	// New means that the identifier is now reserved for the asking attempt.
	New Status = iota
	// InProgress means that another attempt holds the reservation.
	InProgress
	// Finished means that the booking ran; its answer is included.
	Finished
	// Unresolved means that the booking was sent and its outcome is unknown.
	Unresolved
	// Doubtful means that the identifier may have been used at a time the recorder does not
	// remember. It is refused as unknown.
	Doubtful
	// Stale means that the recorder does not answer for this bucket and generation: its table
	// differs from the asker's, it is not listed, or it has not copied the bucket yet.
	Stale
	// Full means that the identifier is not in use and that the recorder has no room for it. It
	// is refused as not run.
	Full
	// Accepted means that a Finish or an Export was done.
	Accepted
)

// Reserve asks a recorder to reserve an identifier for an attempt.
type Reserve struct {
	Bucket     int
	Generation uint64
	Key        Key
	Attempt    Attempt
}

// Reserved answers Reserve.
type Reserved struct {
	Status     Status
	Generation uint64
	// Attempt repeats that of the request, so that a late answer is not taken for a newer one.
	Attempt Attempt
	// Version is the table version of the recorder.
	Version uint64
	// Answer is set for Finished.
	Answer Answer
}

// Finish tells a recorder how an attempt ended.
type Finish struct {
	Bucket     int
	Generation uint64
	Key        Key
	Attempt    Attempt
	// Outcome is Ran, NotRun, which frees the identifier, or Unknown, which keeps it reserved.
	Outcome Outcome
	// Answer is kept for Ran.
	Answer Answer
}

// Ended answers Finish.
type Ended struct {
	// Status is Accepted or Stale. Accepted is final; Stale may be repeated later.
	Status     Status
	Generation uint64
	Attempt    Attempt
	Version    uint64
}

// Outcome is what the caller of a booking is told.
type Outcome int

const (
	// Ran means that the booking ran.
	Ran Outcome = iota
	// NotRun means that the booking did not run and may be repeated.
	NotRun
	// Unknown means that the booking may have run. It may be repeated with the same identifier
	// only.
	Unknown
)

// Reason says why a Booking ended as it did.
type Reason int

const (
	// ReasonServer is the outcome that the server's answer gave.
	ReasonServer Reason = iota
	// ReasonRepeat is a booking that had finished before; the stored answer is returned.
	ReasonRepeat
	// ReasonInProgress is a booking that another attempt is running.
	ReasonInProgress
	// ReasonUnresolved is a booking that was sent before and whose outcome is unknown.
	ReasonUnresolved
	// ReasonDoubtful is an identifier that no recorder can vouch for.
	ReasonDoubtful
	// ReasonFull is a recorder without room.
	ReasonFull
	// ReasonRecorders is a bucket of which not all recorders answered in time.
	ReasonRecorders
	// ReasonDeadline is a recorder that answered only after the deadline.
	ReasonDeadline
	// ReasonIdentifier is an identifier that is empty or too long.
	ReasonIdentifier
	// ReasonAborted is a Booking that its owner stopped before the call was sent.
	ReasonAborted
)

// Ask requests a chunk of a bucket from another recorder.
type Ask struct {
	Bucket     int
	Generation uint64
	// From is the asking recorder with its incarnation.
	From        assign.ProcessID
	Incarnation uint64
	// After is the last Key received, the zero Key for the first chunk.
	After Key
}

// Chunk answers Ask with the entries after Ask.After in order of their keys.
type Chunk struct {
	// Status is Accepted or Stale.
	Status     Status
	Bucket     int
	Generation uint64
	// From is the recorder that exported the chunk, with its incarnation.
	From        assign.ProcessID
	Incarnation uint64
	After       Key
	Entries     []Entry
	// Floor is the highest table version at issue of the identifiers that were forgotten.
	Floor uint64
	// Doubt is how long identifiers chosen by callers remain doubtful.
	Doubt time.Duration
	// Last reports that no entries follow.
	Last bool
}

// Entry is one identifier in a Chunk.
type Entry struct {
	Key     Key
	Attempt Attempt
	// Status is InProgress, Finished or Unresolved.
	Status Status
	Answer Answer
	// Left is the time until the entry is forgotten. Clocks of two processes are not compared.
	Left time.Duration
}

// View is the part of a table that one booking needs.
type View struct {
	// Version is the table version.
	Version uint64
	// Index is the index of the bucket.
	Index int
	// Bucket is the bucket of the identifier.
	Bucket assign.Bucket
}

// ViewOf returns the View of an identifier. It reports false where the table has no buckets.
func ViewOf(t *assign.Table, identifier string) (View, bool) {
	b, i, ok := t.Bucket(identifier)
	return View{Version: t.Version, Index: i, Bucket: b}, ok
}

package dedup

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

//go:generate enumer -type=Status -transform=kebab -text -output=status_enumer.go
//go:generate enumer -type=Outcome -transform=kebab -text -output=outcome_enumer.go
//go:generate enumer -type=Reason -trimprefix=Reason -transform=kebab -text -output=reason_enumer.go

// BodyLimit is the largest body in bytes that is stored with a finished booking.
const BodyLimit = 4 << 10

// IdentifierLimit is the maximum length of a Key in bytes, scope and identifier together.
const IdentifierLimit = 256

// Key identifies one booking. Equal identifiers in different scopes are different bookings.
type Key struct {
	// Scope is the service, "team/service", so that teams cannot read each other's answers.
	Scope assign.ServiceID
	// Identifier is the caller's Idempotency-Key.
	Identifier string
}

// Attempt identifies one attempt of an entry process to run a booking. Number is unique within one
// incarnation of the process, which makes a repeated Reserve of the same attempt idempotent.
type Attempt struct {
	Process     assign.ProcessID
	Incarnation uint64
	Number      uint64
}

// Header is one HTTP header field of a stored answer.
type Header struct {
	Name  string
	Value string
}

// Answer is a server's answer to a booking as the recorders store it.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Headers are the header fields needed to repeat the answer.
	Headers []Header
	// Body is at most BodyLimit bytes.
	Body []byte
	// Omitted reports that the body, and possibly headers, were too large to store.
	Omitted bool
}

// Status is a recorder's answer to Reserve, Finish or Export.
type Status int

const (
	// New means that the identifier is now reserved for the attempt in the request.
	New Status = iota
	// InProgress means that another attempt holds the reservation.
	InProgress
	// Finished means that the booking ran; its answer is included.
	Finished
	// Unresolved means that the booking was sent and its outcome is unknown.
	Unresolved
	// Doubtful means that the identifier may have been used at a time for which the recorder has
	// no data. It is refused with the outcome Unknown.
	Doubtful
	// Stale means that the recorder does not answer for this bucket and generation: its table
	// differs from the sender's, it is not listed, or it has not copied the bucket yet.
	Stale
	// Full means that the identifier is not in use and that the recorder has no room for it. It
	// is refused with the outcome NotRun.
	Full
	// Accepted means that the recorder carried out a Finish or an Export.
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
	// Attempt is the attempt of the request, so that a late answer is not taken for an answer to a
	// newer request.
	Attempt Attempt
	// Version is the version of the recorder's table.
	Version uint64
	// Answer is set if Status is Finished.
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
	// Answer is stored if Outcome is Ran.
	Answer Answer
}

// Ended answers Finish.
type Ended struct {
	// Status is Accepted, which is final, or Stale, after which the Finish may be repeated.
	Status     Status
	Generation uint64
	Attempt    Attempt
	Version    uint64
}

// Outcome is the outcome of a booking that its caller receives.
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
	// ReasonServer means that the outcome follows from the call to the server.
	ReasonServer Reason = iota
	// ReasonRepeat means that the booking had finished before; the stored answer is returned.
	ReasonRepeat
	// ReasonInProgress means that another attempt is running the booking.
	ReasonInProgress
	// ReasonUnresolved means that the booking was sent before and its outcome is unknown.
	ReasonUnresolved
	// ReasonDoubtful means that no recorder can rule out an earlier use of the identifier.
	ReasonDoubtful
	// ReasonFull means that a recorder has no room for the identifier.
	ReasonFull
	// ReasonRecorders means that not all recorders of the bucket answered in time.
	ReasonRecorders
	// ReasonDeadline means that a recorder answered only after the deadline.
	ReasonDeadline
	// ReasonIdentifier means that the identifier is empty or too long.
	ReasonIdentifier
	// ReasonAborted means that Abort stopped the Booking before its call was sent.
	ReasonAborted
)

// Ask requests a chunk of a bucket from another recorder.
type Ask struct {
	Bucket     int
	Generation uint64
	// From is the recorder that sends the request, with its incarnation.
	From        assign.ProcessID
	Incarnation uint64
	// After is the last Key received, or the zero Key for the first chunk.
	After Key
}

// Chunk answers Ask with the entries after Ask.After, sorted by key.
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
	// Floor is the highest table version at which a deleted identifier was issued.
	Floor uint64
	// Doubt is how long unknown identifiers that callers chose are still refused as Doubtful.
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
	// Left is the time until the entry expires. It is a duration because clocks of two processes
	// are not comparable.
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

// ViewOf returns the View of an identifier. It reports false if the table has no buckets.
func ViewOf(t *assign.Table, identifier string) (View, bool) {
	b, i, ok := t.Bucket(identifier)
	return View{Version: t.Version, Index: i, Bucket: b}, ok
}

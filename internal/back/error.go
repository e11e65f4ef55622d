package back

import (
	"context"
	"errors"
	"io"
	"syscall"

	"github.com/joomcode/errorx"

	"github.com/samphiredrum/samphiredrum/internal/body"
	"github.com/samphiredrum/samphiredrum/internal/wire"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

//go:generate enumer -type=Kind -transform=kebab -output=kind_enumer.go
//go:generate enumer -type=Reason -transform=kebab -output=reason_enumer.go

// Kind tells whether the server may have run a call.
type Kind int

const (
	// NoError is a call that was answered.
	NoError Kind = iota
	// NotRun is a call that the server did not run and will not run.
	NotRun
	// Unknown is a call that may have run, may run now or may run later.
	Unknown
	// Stale is a grant that the server refused because it has seen a higher fencing number.
	Stale
)

// Reason is the reason for which a call failed.
type Reason int

const (
	// NoReason means that no reason is known.
	NoReason Reason = iota
	// Shedding means that the server refused the call because its queue is full.
	Shedding
	// Draining means that the server refused the call because it accepts no new work.
	Draining
	// StaleFence means that the server refused the call because it has seen a higher fencing number.
	StaleFence
	// NoGrant means that the server refused the call because it holds no valid grant for the key.
	NoGrant
	// Deadline means that the server refused the call because its deadline had passed.
	Deadline
	// Cold means that the server refused the call because it has just started.
	Cold
	// ConnectionRefused means that the server's machine refused the connection.
	ConnectionRefused
	// Unreachable means that no connection could be opened.
	Unreachable
	// NoConnection means that no connection became free in time.
	NoConnection
	// Rejected means that the call was invalid or that its Check failed.
	Rejected
	// Timeout means that the answer did not arrive in time, or that the context was cancelled.
	Timeout
	// Cut means that the connection was closed before the answer was complete.
	Cut
	// WrongAnswer means that an answer was malformed or belonged to another request.
	WrongAnswer
	// TooLarge means that an answer exceeded the size limit.
	TooLarge
)

// Errors is the errorx namespace of this package.
var Errors = errorx.NewNamespace("back")

// The errorx types of the kinds. They omit the stack trace, which would cost more than the refusal itself.
var (
	ErrNotRun  = newType("not-run")
	ErrUnknown = newType("unknown")
	ErrStale   = newType("stale")
)

func newType(name string) *errorx.Type {
	return Errors.NewType(name).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
}

// Error is an error of a call to a backend server.
type Error struct {
	Kind   Kind
	Reason Reason
	// Server is the name of the server.
	Server string
	// HighestFence is the highest fencing number that the server has seen. It is set for Stale.
	HighestFence lease.Fence
	// Receipt is complete if the server answered. Otherwise it holds only the times of the exchange.
	Receipt Receipt
	cause   error
}

// Error implements error.
func (e *Error) Error() string {
	text := "server " + e.Server + ": " + e.Kind.String() + " (" + e.Reason.String() + "): " + e.remedy()
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

func (e *Error) remedy() string {
	switch e.Kind {
	case NotRun:
		return "the call did not run, it is safe to retry it"
	case Stale:
		return "a later owner has been granted, read the assignment again"
	default:
		return "the call may have run, retry it only if it is idempotent"
	}
}

// Unwrap returns the cause, or nil if there is none.
func (e *Error) Unwrap() error {
	return e.cause
}

// Typed wraps the error in the errorx type of its kind, for logs and for callers outside hot paths.
func (e *Error) Typed() *errorx.Error {
	t := ErrUnknown
	switch e.Kind {
	case NotRun:
		t = ErrNotRun
	case Stale:
		t = ErrStale
	}
	return t.WrapWithNoMessage(e)
}

// KindOf returns the kind of err, or NoError for nil. It returns Unknown for an error of another
// package, because such an error does not tell whether the call ran.
func KindOf(err error) Kind {
	if err == nil {
		return NoError
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Unknown
}

// ReasonOf returns the reason of err, or NoReason if err has none.
func ReasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return NoReason
}

var (
	errWrongID   = errors.New("the answer carries the identifier of another request")
	errNotJSON   = errors.New("the answer is not the expected JSON")
	errBadStatus = errors.New("unexpected status")
	errRejected  = errors.New("the call was rejected before sending")
)

// transportError returns the Error for a failed exchange: NotRun if no byte was written, Unknown
// otherwise.
func (c *Client) transportError(trip wire.RoundTrip, cause error) *Error {
	e := &Error{Kind: Unknown, Server: c.name, Receipt: Receipt{Trip: trip}, cause: cause}
	if trip.Wrote {
		e.Reason = reasonAfterWrite(cause)
		return e
	}
	e.Kind = NotRun
	e.Reason = reasonBeforeWrite(cause)
	return e
}

func reasonBeforeWrite(cause error) Reason {
	switch {
	case errors.Is(cause, errRejected):
		return Rejected
	case errors.Is(cause, syscall.ECONNREFUSED):
		return ConnectionRefused
	case errors.Is(cause, context.DeadlineExceeded), errors.Is(cause, context.Canceled):
		return NoConnection
	}
	return Unreachable
}

func reasonAfterWrite(cause error) Reason {
	switch {
	case errors.Is(cause, errWrongID), errors.Is(cause, errNotJSON), errors.Is(cause, errBadStatus):
		return WrongAnswer
	case errors.Is(cause, body.ErrTooLarge):
		return TooLarge
	case errors.Is(cause, context.DeadlineExceeded), errors.Is(cause, context.Canceled):
		return Timeout
	case errors.Is(cause, io.EOF), errors.Is(cause, io.ErrUnexpectedEOF), errors.Is(cause, syscall.ECONNRESET),
		errors.Is(cause, syscall.EPIPE), errors.Is(cause, wire.ErrCloseDelimited):
		return Cut
	}
	return WrongAnswer
}

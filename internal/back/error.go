package back

import (
	"context"
	"errors"
	"io"
	"syscall"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/wire"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

//go:generate enumer -type=Kind -transform=kebab -output=kind_enumer.go
//go:generate enumer -type=Reason -transform=kebab -output=reason_enumer.go

// Kind says what may be assumed after a call.
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

// Reason says why a call failed.
type Reason int

const (
	// NoReason is an error without a known reason.
	NoReason Reason = iota
	// Shedding is a server's refusal because its queue is full.
	Shedding
	// Draining is a server's refusal because it takes no new work.
	Draining
	// StaleFence is a server's refusal because it has seen a higher fencing number.
	StaleFence
	// NoGrant is a server's refusal because it holds no valid grant for the key.
	NoGrant
	// Deadline is a server's refusal because the call's time was over.
	Deadline
	// Cold is a server's refusal because it has just started.
	Cold
	// ConnectionRefused means that the server's machine refused the connection.
	ConnectionRefused
	// Unreachable means that no connection could be opened.
	Unreachable
	// NoConnection means that no connection became free in time.
	NoConnection
	// Rejected means that the call was invalid or that its Check failed.
	Rejected
	// Timeout means that the answer did not arrive in time, or that the caller gave up.
	Timeout
	// Cut means that the connection ended before the answer was complete.
	Cut
	// WrongAnswer means that an answer was malformed or belonged to another request.
	WrongAnswer
	// TooLarge means that an answer was over the size limit.
	TooLarge
)

// Errors is the errorx namespace of this package.
var Errors = errorx.NewNamespace("back")

// The errorx types of the kinds. They carry no stack trace, whose cost would dominate a refusal.
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
	// HighestFence is the highest fencing number the server has seen, for Stale.
	HighestFence lease.Fence
	// Receipt is set where the server answered, and holds the times of the exchange otherwise.
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
		return "it is safe to send the call again"
	case Stale:
		return "read the assignment again, a later owner has been granted"
	default:
		return "the call may have run, repeat it only if it is repeatable"
	}
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error {
	return e.cause
}

// Typed returns the error as an errorx error with the type of its kind, for logs and for callers
// outside hot paths.
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

// KindOf returns the kind of err, NoError for nil, and Unknown for an error that is not of this
// package, because nothing may be assumed about it.
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

// ReasonOf returns the reason of err, or NoReason.
func ReasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return NoReason
}

var (
	errWrongID   = errors.New("the answer carries another request identifier")
	errNotJSON   = errors.New("the answer is not the expected JSON")
	errBadStatus = errors.New("unexpected status")
	errRejected  = errors.New("the check before sending failed")
)

// failed maps a transport error: before the first byte the call has not run, afterwards it may
// have.
func (c *Client) failed(trip wire.RoundTrip, cause error) *Error {
	e := &Error{Kind: Unknown, Server: c.name, Receipt: Receipt{Trip: trip}, cause: cause}
	if trip.Wrote {
		e.Reason = afterWrite(cause)
		return e
	}
	e.Kind = NotRun
	e.Reason = beforeWrite(cause)
	return e
}

func beforeWrite(cause error) Reason {
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

func afterWrite(cause error) Reason {
	switch {
	case errors.Is(cause, errWrongID), errors.Is(cause, errNotJSON), errors.Is(cause, errBadStatus):
		return WrongAnswer
	case errors.Is(cause, fasthttp.ErrBodyTooLarge):
		return TooLarge
	case errors.Is(cause, context.DeadlineExceeded), errors.Is(cause, context.Canceled):
		return Timeout
	case errors.Is(cause, io.EOF), errors.Is(cause, io.ErrUnexpectedEOF), errors.Is(cause, syscall.ECONNRESET),
		errors.Is(cause, syscall.EPIPE), errors.Is(cause, wire.ErrCloseDelimited):
		return Cut
	}
	return WrongAnswer
}

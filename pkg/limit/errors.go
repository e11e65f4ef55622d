package limit

import (
	"errors"
	"time"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("limit")

var (
	// FullError is returned where the queue of the server is full. The call was not run.
	FullError = Errors.NewType("full", errorx.Temporary())
	// DeadlineError is returned where the call cannot be answered by its deadline. The call was
	// not run.
	DeadlineError = Errors.NewType("deadline", errorx.Timeout())
	// CancelledError is returned where the context ended while the call waited. The call was not
	// run.
	CancelledError = Errors.NewType("cancelled")
	// ClosedError is returned where the Gate was closed. The call was not run.
	ClosedError = Errors.NewType("closed", errorx.Temporary())
)

// Kind is the cheap form of the error types, for hot paths.
type Kind int

const (
	// KindNone is no error.
	KindNone Kind = iota
	// KindFull is FullError.
	KindFull
	// KindDeadline is DeadlineError.
	KindDeadline
	// KindCancelled is CancelledError.
	KindCancelled
	// KindClosed is ClosedError.
	KindClosed
	// KindOther is an error of another package.
	KindOther
)

// RefusalError is the error of Gate.Acquire. Its errorx form, with a stack trace, is built only when
// Typed is called, because building one for each refusal would dominate the cost of shedding.
type RefusalError struct {
	// Kind is never KindNone.
	Kind Kind
	// Wait is how long the caller should wait before it repeats the call, 0 where it is not known.
	Wait    time.Duration
	message string
}

// Error returns the message, which names the remedy.
func (r *RefusalError) Error() string { return r.message }

// Typed returns the errorx form: FullError, DeadlineError, CancelledError or ClosedError.
func (r *RefusalError) Typed() *errorx.Error {
	switch r.Kind {
	case KindFull:
		return FullError.New("%s", r.message)
	case KindDeadline:
		return DeadlineError.New("%s", r.message)
	case KindCancelled:
		return CancelledError.New("%s", r.message)
	default:
		return ClosedError.New("%s", r.message)
	}
}

// KindOf returns the Kind of an error of this package.
func KindOf(err error) Kind {
	var r *RefusalError
	switch {
	case err == nil:
		return KindNone
	case errors.As(err, &r):
		return r.Kind
	case errorx.IsOfType(err, FullError):
		return KindFull
	case errorx.IsOfType(err, DeadlineError):
		return KindDeadline
	case errorx.IsOfType(err, CancelledError):
		return KindCancelled
	case errorx.IsOfType(err, ClosedError):
		return KindClosed
	}
	return KindOther
}

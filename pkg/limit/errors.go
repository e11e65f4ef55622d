package limit

import (
	"errors"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("limit")

var (
	// FullError is returned if the queue of the server is full. The call was not run.
	FullError = Errors.NewType("full", errorx.Temporary())
	// DeadlineError is returned if the call cannot be answered by its deadline. The call was
	// not run.
	DeadlineError = Errors.NewType("deadline", errorx.Timeout())
	// CancelledError is returned if the context ended while the call waited. The call was not run.
	CancelledError = Errors.NewType("cancelled")
	// ClosedError is returned if the Gate was closed. The call was not run.
	ClosedError = Errors.NewType("closed", errorx.Temporary())
)

// Kind identifies the error types without building an errorx error, for hot paths.
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

// RefusalError is the error of Gate.Acquire. Its message, and its errorx form with a stack trace,
// are built only on demand, because they would dominate the cost of shedding.
type RefusalError struct {
	// Kind is never KindNone.
	Kind Kind
	// Server is the server that was not called.
	Server assign.ServerID
	// Wait is how long the caller should wait before it repeats the call, 0 if unknown.
	Wait time.Duration
}

// Error returns the message, which names the remedy.
func (r *RefusalError) Error() string {
	switch r.Kind {
	case KindFull:
		return fmt.Sprintf("the queue of server %s is full; repeat the call in %s, or raise queue-length or add servers", r.Server, r.Wait)
	case KindDeadline:
		return fmt.Sprintf("server %s cannot answer by the deadline; repeat the call in %s, or give it more time", r.Server, r.Wait)
	case KindCancelled:
		return fmt.Sprintf("the call to server %s was cancelled while it waited; repeat it if it is still needed", r.Server)
	default:
		return fmt.Sprintf("server %s is no longer used; repeat the call to have another server chosen", r.Server)
	}
}

// Typed returns the errorx form: FullError, DeadlineError, CancelledError or ClosedError.
func (r *RefusalError) Typed() *errorx.Error {
	switch r.Kind {
	case KindFull:
		return FullError.New("%s", r.Error())
	case KindDeadline:
		return DeadlineError.New("%s", r.Error())
	case KindCancelled:
		return CancelledError.New("%s", r.Error())
	default:
		return ClosedError.New("%s", r.Error())
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

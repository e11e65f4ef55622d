package store

import (
	"errors"

	"github.com/joomcode/errorx"
)

//go:generate enumer -type=Kind -transform=kebab -output=kind_enumer.go

// Kind says what may be assumed after a call.
type Kind int

const (
	// NoError is a call that succeeded.
	NoError Kind = iota
	// NotFound is a call for an object that does not exist.
	NotFound
	// Conflict is a conditional write whose condition did not hold; nothing was written.
	Conflict
	// Limited is a call over the rate of the platform or of this client; nothing was done.
	Limited
	// TooOld is a watch from a revision that the store has forgotten; list and watch again.
	TooOld
	// Unknown is a write that may have taken effect, now or later; read the object back.
	Unknown
	// Down is a call that the store did not answer or refused; nothing was written.
	Down
)

// Errors is the errorx namespace of this package.
var Errors = errorx.NewNamespace("store")

// The errorx types of the kinds.
var (
	ErrNotFound = newType("not-found")
	ErrConflict = newType("conflict")
	ErrLimited  = newType("limited")
	ErrTooOld   = newType("too-old")
	ErrUnknown  = newType("unknown")
	ErrDown     = newType("down")
)

var types = map[Kind]*errorx.Type{
	NotFound: ErrNotFound,
	Conflict: ErrConflict,
	Limited:  ErrLimited,
	TooOld:   ErrTooOld,
	Unknown:  ErrUnknown,
	Down:     ErrDown,
}

var remedies = map[Kind]string{
	NotFound: "the object does not exist; create it first",
	Conflict: "another writer was first; read the current version and decide again",
	Limited:  "too many calls; wait before the next one",
	TooOld:   "the revision is too old; list the objects and watch from there",
	Unknown:  "the write may have taken effect; read the object back",
	Down:     "the store does not answer; try again later",
}

func newType(name string) *errorx.Type {
	return Errors.NewType(name).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
}

// Error is an error of a call to the platform.
type Error struct {
	// Kind says what may be assumed.
	Kind Kind
	// Current is the version of the object for Conflict, 0 where the object is absent.
	Current uint64
	cause   *errorx.Error
}

// NewError returns an error of kind for a call of operation on name. It serves implementations of
// API. The cause may be nil.
func NewError(kind Kind, operation Operation, name string, cause error) *Error {
	e := types[kind].New("%s %s: %s", operation, name, remedies[kind])
	if cause != nil {
		e = types[kind].Wrap(cause, "%s %s: %s", operation, name, remedies[kind])
	}
	return &Error{Kind: kind, cause: e}
}

// Error implements error.
func (e *Error) Error() string {
	return e.cause.Error()
}

// Unwrap returns the errorx error with the type of the kind.
func (e *Error) Unwrap() error {
	return e.cause
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

// CurrentVersion returns the object's version from an error of kind Conflict, 0 where the object
// is absent or err is of another kind.
func CurrentVersion(err error) uint64 {
	var e *Error
	if errors.As(err, &e) {
		return e.Current
	}
	return 0
}

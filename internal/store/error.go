package store

import (
	"errors"

	"github.com/joomcode/errorx"
)

//go:generate enumer -type=Kind -transform=kebab -output=kind_enumer.go

// Kind classifies the outcome of a call by what the caller may assume about its effect.
type Kind int

const (
	// NoError means that the call succeeded.
	NoError Kind = iota
	// NotFound means that the object does not exist.
	NotFound
	// Conflict means that the object's version did not match a conditional write; nothing was written.
	Conflict
	// Limited means that the call exceeded the rate limit of the platform or of this client; nothing was done.
	Limited
	// TooOld means that the store no longer holds the changes since the watched revision; list the
	// objects and watch again.
	TooOld
	// Unknown means that a write may have taken effect or may still do so; read the object back.
	Unknown
	// Down means that the store did not answer or refused the call; nothing was written.
	Down
)

// Errors is the errorx namespace of this package.
var Errors = errorx.NewNamespace("store")

// Each kind of error has its errorx type.
var (
	ErrNotFound = newType("not-found")
	ErrConflict = newType("conflict")
	ErrLimited  = newType("limited")
	ErrTooOld   = newType("too-old")
	ErrUnknown  = newType("unknown")
	ErrDown     = newType("down")
)

var errorTypes = map[Kind]*errorx.Type{
	NotFound: ErrNotFound,
	Conflict: ErrConflict,
	Limited:  ErrLimited,
	TooOld:   ErrTooOld,
	Unknown:  ErrUnknown,
	Down:     ErrDown,
}

var remedies = map[Kind]string{
	NotFound: "the object does not exist; create it first",
	Conflict: "the object's version does not match; read the current version before the next write",
	Limited:  "the rate limit is exceeded; wait before the next call",
	TooOld:   "the changes since this revision are gone; list the objects and watch from the list's revision",
	Unknown:  "the write may have taken effect; read the object back",
	Down:     "the store is unavailable; try again later",
}

func newType(name string) *errorx.Type {
	return Errors.NewType(name).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
}

// Error is a failed call to the platform.
type Error struct {
	// Kind tells the caller what it may assume about the effect of the call.
	Kind Kind
	// Current is the object's version if Kind is Conflict, 0 if the object does not exist.
	Current uint64
	err     *errorx.Error
}

// NewError returns an error of the given kind for an operation on the object or prefix name. It is
// exported for implementations of API. The cause may be nil.
func NewError(kind Kind, operation Operation, name string, cause error) *Error {
	e := errorTypes[kind].New("%s %s: %s", operation, name, remedies[kind])
	if cause != nil {
		e = errorTypes[kind].Wrap(cause, "%s %s: %s", operation, name, remedies[kind])
	}
	return &Error{Kind: kind, err: e}
}

// Error implements error.
func (e *Error) Error() string {
	return e.err.Error()
}

// Unwrap returns the underlying errorx error, whose type corresponds to the kind.
func (e *Error) Unwrap() error {
	return e.err
}

// KindOf returns the kind of err. It returns NoError for nil, and Unknown for an error that does not
// come from this package, because nothing may be assumed about its effect.
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

// CurrentVersion returns the object's version from an error of kind Conflict. It returns 0 if the
// object does not exist or err is of another kind.
func CurrentVersion(err error) uint64 {
	var e *Error
	if errors.As(err, &e) {
		return e.Current
	}
	return 0
}

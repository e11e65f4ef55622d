package limit

import (
	"time"
)

//go:generate enumer -type=Class -transform=kebab -text -output=class_enumer.go
//go:generate enumer -type=Outcome -transform=kebab -text -output=outcome_enumer.go
//go:generate enumer -type=Kind -trimprefix=Kind -transform=kebab -text -output=kind_enumer.go

// Class orders calls in a Queue. A lower value goes first.
type Class int

const (
	// Booking is a call that must not run twice.
	Booking Class = iota
	// Short is any other call that runs about as long as most.
	Short
	// Long is a call that runs many times longer than a Short one.
	Long
)

// Outcome is how a call that held a Ticket ended, as far as the load of the server is concerned.
type Outcome int

const (
	// Ran is a call that the server ran and answered.
	Ran Outcome = iota
	// Refused is a call that the server refused because of its load.
	Refused
	// Failed is a call that timed out or whose connection broke.
	Failed
	// Unsent is a call that says nothing about the server: it was not sent, was cancelled by its
	// caller, or was refused for a reason other than load.
	Unsent
)

// Request describes a call that wants to be sent to the server of a Gate.
type Request struct {
	// Operation is the name under which run times are learned.
	Operation string
	// Class is the result of Calls.Class.
	Class Class
	// Deadline is the time by which the answer must have arrived, in the Gate's clock. The zero
	// time means none.
	Deadline time.Time
}

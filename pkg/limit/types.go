package limit

import (
	"time"
)

//go:generate enumer -type=Class -transform=kebab -text -output=class_enumer.go
//go:generate enumer -type=Outcome -transform=kebab -text -output=outcome_enumer.go
//go:generate enumer -type=Kind -trimprefix=Kind -transform=kebab -text -output=kind_enumer.go

// Class is the priority of a call in a Queue. Lower values are sent first.
type Class int

const (
	// Booking is a call that must not run twice.
	Booking Class = iota
	// Short is any other call that runs about as long as most.
	Short
	// Long is a call that runs many times longer than a Short one.
	Long
)

// Outcome is how a call that held a Ticket ended, as a signal of the load of the server.
type Outcome int

const (
	// Ran is a call that the server ran and answered.
	Ran Outcome = iota
	// Refused is a call that the server refused because of its load.
	Refused
	// Failed is a call that timed out or whose connection broke.
	Failed
	// Unsent is a call that gives no information about the load: it was not sent, was cancelled by its
	// caller, or was refused for a reason other than load.
	Unsent
)

// Request describes a call to be sent to the server of a Gate.
type Request struct {
	// Operation is the name under which run times are recorded.
	Operation string
	// Class is the result of Calls.Class.
	Class Class
	// Deadline is the time by which the answer must have arrived, on the Gate's clock. The zero time
	// means no deadline.
	Deadline time.Time
}

package dedup

import (
	"time"
)

// BookingConfig configures a Booking. Zero durations mean the defaults.
type BookingConfig struct {
	Attempt Attempt
	Key     Key
	// Deadline is the latest time for SendCall. It is brought forward to HoldLimit after the start.
	Deadline time.Time
	// RetryWait is the time after which an unanswered or stale request is repeated; 100 ms by
	// default.
	RetryWait time.Duration
	// FinishTime is how long a Finish is repeated to recorders that do not answer; 10 s by default.
	FinishTime time.Duration
}

// HoldLimit is the longest time between the start of a Booking and SendCall. It is far below the
// booking window, so that no recorder forgets a reservation before its call is sent.
const HoldLimit = time.Minute

// Booking reserves one identifier at all recorders of its bucket before its call may be sent, and
// tells all of them how it ended.
type Booking struct {
	config BookingConfig
	view   View
}

// NewBooking returns a Booking that waits for Begin.
func NewBooking(now time.Time, c BookingConfig, v View) *Booking {
	return &Booking{config: c, view: v}
}

// Step handles an event.
func (b *Booking) Step(now time.Time, e BookingEvent) []BookingAction { return nil }

// Sent reports whether SendCall was returned.
func (b *Booking) Sent() bool { return false }

// Closed reports whether Close was returned.
func (b *Booking) Closed() bool { return false }

// Package lease counts leases and fencing numbers on both of their sides.
//
// A lease is counted by its holder from before its request was sent, and by its granter from
// after its answer was sent. With clocks whose rates differ by at most Margin.Rate, the holder
// therefore stops before the granter gives the same right to another. Wall clocks of two machines
// are never compared.
//
// # Usage
//
// The holder:
//
//	var held lease.Held
//	sent := c.Latest()
//	// request and receive a lease of 2 s
//	held.Extend(sent, 2*time.Second)
//	if held.Valid(c.Latest()) {
//		// act
//	}
//
// The granter:
//
//	var given lease.Given
//	given.Extend(c.Now(), 2*time.Second, lease.DefaultMargin) // after the answer was sent
//	if given.Lapsed(c.Now()) {
//		// the right may go to another holder
//	}
//
// A ServerClock translates a deadline of this process to the clock of one backend server, so that
// the server can refuse work that arrives too late.
package lease

import "time"

// Fence is a fencing number. A later owner of the same key has a higher one.
type Fence uint64

// Margin bounds the errors of two clocks that count the same lease.
type Margin struct {
	// Rate is the largest relative difference of the clock rates.
	Rate float64
	// Slack is added once to each lease by its granter.
	Slack time.Duration
}

// DefaultMargin allows clocks that differ in rate by 1%, far above the 500 ppm that time daemons
// correct, and 50 ms for scheduling between a reading and its use.
var DefaultMargin = Margin{Rate: 0.01, Slack: 50 * time.Millisecond}

// AddTo returns the time a granter waits for a lease of the given length.
func (m Margin) AddTo(length time.Duration) time.Duration {
	return length + time.Duration(float64(length)*m.Rate) + m.Slack
}

// Held is the holder's side of a lease. The zero value is a lease that is not held.
type Held struct {
	expires time.Time
}

// Extend makes the lease valid until length after sentAt, a reading of
// clock.Clock.Latest from before its request was sent. It never shortens the lease.
func (h *Held) Extend(sentAt time.Time, length time.Duration) {
	if e := sentAt.Add(length); e.After(h.expires) {
		h.expires = e
	}
}

// Valid reports whether the lease is held at latest, a reading of clock.Clock.Latest.
func (h *Held) Valid(latest time.Time) bool {
	return latest.Before(h.expires)
}

// Expires returns the time at which the lease ends, the zero time where none is held.
func (h *Held) Expires() time.Time {
	return h.expires
}

// Drop gives the lease up at once.
func (h *Held) Drop() {
	h.expires = time.Time{}
}

// Granted is the granter's side of a lease. The zero value is a lease that was never given and
// counts as lapsed.
type Granted struct {
	expires time.Time
}

// Extend records that an answer which gives the lease for length was sent before answeredAt.
func (g *Granted) Extend(answeredAt time.Time, length time.Duration, m Margin) {
	if e := answeredAt.Add(m.AddTo(length)); e.After(g.expires) {
		g.expires = e
	}
}

// Lapsed reports whether no holder can still use the lease at now, a reading of clock.Clock.Now.
func (g *Granted) Lapsed(now time.Time) bool {
	return !now.Before(g.expires)
}

// Expires returns the time at which the lease counts as lapsed.
func (g *Granted) Expires() time.Time {
	return g.expires
}

// Drop records that the holder has given the lease up.
func (g *Granted) Drop() {
	g.expires = time.Time{}
}

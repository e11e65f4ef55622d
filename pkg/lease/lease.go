// Package lease tracks when a lease expires, for its holder and for its granter.
//
// The holder counts a lease from before it sent the request, and the granter counts it from after it
// sent the answer. If the rates of their clocks differ by at most Margin.Rate, the holder therefore
// stops using the lease before the granter gives the same right to another holder. The wall clocks
// of two machines are never compared.
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
//		// use the lease
//	}
//
// The granter:
//
//	var granted lease.Granted
//	granted.Extend(c.Now(), 2*time.Second, lease.DefaultMargin) // after the answer was sent
//	if granted.Lapsed(c.Now()) {
//		// another holder may get the lease
//	}
//
// A ServerClock converts a deadline of this process to the clock of one backend server, so that the
// server can refuse requests that arrive too late.
package lease

import "time"

// Fence is a fencing number, also known as a fencing token. Each owner of a key has a higher one than
// the owners of the key before it.
type Fence uint64

// Margin bounds the difference between two clocks that measure the same lease.
type Margin struct {
	// Rate is the largest relative difference between the rates of the clocks.
	Rate float64
	// Slack is a fixed time that the granter adds to each lease.
	Slack time.Duration
}

// DefaultMargin allows clock rates that differ by 1%, far more than the 500 ppm that time daemons
// correct, and 50 ms of scheduling delay between reading a clock and using the result.
var DefaultMargin = Margin{Rate: 0.01, Slack: 50 * time.Millisecond}

// AddTo returns the length of a lease plus the margin, which is how long the granter waits before the
// lease counts as lapsed.
func (m Margin) AddTo(length time.Duration) time.Duration {
	return length + time.Duration(float64(length)*m.Rate) + m.Slack
}

// Held is the state of a lease at its holder. The zero value is a lease that is not held.
type Held struct {
	expires time.Time
}

// Extend makes the lease valid until length after sentAt, which is a reading of clock.Clock.Latest from
// before the request was sent. It never shortens the lease.
func (h *Held) Extend(sentAt time.Time, length time.Duration) {
	if e := sentAt.Add(length); e.After(h.expires) {
		h.expires = e
	}
}

// Valid reports whether the lease is still held at latest, which is a reading of clock.Clock.Latest.
func (h *Held) Valid(latest time.Time) bool {
	return latest.Before(h.expires)
}

// Expires returns the time at which the lease ends or ended, the zero time if there is none.
func (h *Held) Expires() time.Time {
	return h.expires
}

// Drop ends the lease at once.
func (h *Held) Drop() {
	h.expires = time.Time{}
}

// Granted is the state of a lease at its granter. The zero value is a lease that was never granted and
// counts as lapsed.
type Granted struct {
	expires time.Time
}

// Extend records that an answer which grants the lease for length was sent before answeredAt. It never
// shortens the lease.
func (g *Granted) Extend(answeredAt time.Time, length time.Duration, m Margin) {
	if e := answeredAt.Add(m.AddTo(length)); e.After(g.expires) {
		g.expires = e
	}
}

// Lapsed reports whether the holder can no longer use the lease at now, which is a reading of
// clock.Clock.Now.
func (g *Granted) Lapsed(now time.Time) bool {
	return !now.Before(g.expires)
}

// Expires returns the time at which the lease counts as lapsed.
func (g *Granted) Expires() time.Time {
	return g.expires
}

// Drop records that the holder has released the lease, so that it counts as lapsed.
func (g *Granted) Drop() {
	g.expires = time.Time{}
}

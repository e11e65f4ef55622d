package event

import "sync/atomic"

// Clock is a Lamport clock. The zero value is ready for use. It is safe for concurrent use.
//
// A restarted process counts from zero until its first call of Witness, so its events before that
// may sort too early.
type Clock struct {
	value atomic.Uint64
}

// Tick advances the clock by one and returns the new value, for an event or an outgoing message.
func (c *Clock) Tick() uint64 {
	return c.value.Add(1)
}

// Witness advances the clock to at least the value that an incoming message carries.
func (c *Clock) Witness(value uint64) {
	for {
		now := c.value.Load()
		if value <= now || c.value.CompareAndSwap(now, value) {
			return
		}
	}
}

// Now returns the current value without advancing the clock.
func (c *Clock) Now() uint64 {
	return c.value.Load()
}

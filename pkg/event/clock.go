package event

import "sync/atomic"

// Clock is a Lamport clock. The zero value is ready for use. It is safe for concurrent use.
//
// A restarted process starts again from zero until it witnesses a message, so events from before
// its first message may sort too early.
type Clock struct {
	value atomic.Uint64
}

// Tick advances the clock by one and returns its value, for an event or an outgoing message.
func (c *Clock) Tick() uint64 {
	return c.value.Add(1)
}

// Witness moves the clock to at least the value carried by an incoming message.
func (c *Clock) Witness(value uint64) {
	for {
		now := c.value.Load()
		if value <= now || c.value.CompareAndSwap(now, value) {
			return
		}
	}
}

// Now returns the value of the last tick or of a later message.
func (c *Clock) Now() uint64 {
	return c.value.Load()
}

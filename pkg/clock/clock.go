// Package clock reads time for leases and timers.
//
// Two readings are offered because a lease has two sides with opposite safe errors. A granter
// must never believe that a lease ended too early, so it reads Now, which follows CLOCK_BOOTTIME:
// it does not step and it goes on while the VM is suspended. A holder must never believe that its
// lease is still valid when it is not, so it reads Latest, which is Now plus the largest advance of
// the wall clock over Now seen so far. That covers a hypervisor that hides a suspension from
// CLOCK_BOOTTIME and sets the wall clock afterwards. A holder reads Latest both before it requests
// a lease and when it uses it, so that a past step does not shorten leases requested after it.
//
// Latest keeps an advance when the wall clock is set back. A lease requested while the wall clock
// was an hour ahead would otherwise stay valid for an hour too long. In exchange, a hidden
// suspension that is shorter than an earlier, corrected advance is not noticed.
//
// Go's own monotonic reading is not used: it follows CLOCK_MONOTONIC, which stops while a VM is
// suspended.
//
// # Usage
//
//	c := clock.System()
//	sent := c.Latest()
//	// ... request a lease, keep it in a lease.Held ...
//	if held.Valid(c.Latest()) {
//		// act
//	}
//
// Tests use a Manual clock, which moves only when told to.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the time of this process. Times of two processes are not comparable.
type Clock interface {
	// Now returns a time that neither stops nor steps, for timers and for granters of leases.
	Now() time.Time
	// Latest returns a time at or after Now that also follows forward steps of the wall clock,
	// for holders of leases. It never goes back.
	Latest() time.Time
}

// System returns the clock of the machine.
func System() Clock {
	return newSystem(wall, bootTime)
}

// system is safe for concurrent use.
type system struct {
	start    time.Time
	boot     time.Duration
	wall     func() time.Time
	bootTime func() time.Duration
	// advance is the largest distance in nanoseconds of the wall clock ahead of Now seen so far.
	advance atomic.Int64
}

func newSystem(wall func() time.Time, bootTime func() time.Duration) *system {
	return &system{start: wall(), boot: bootTime(), wall: wall, bootTime: bootTime}
}

// Now implements Clock.
func (s *system) Now() time.Time {
	return s.start.Add(s.bootTime() - s.boot)
}

// Latest implements Clock.
func (s *system) Latest() time.Time {
	// The wall clock is read first, so that a delay between the two readings is not taken for an
	// advance.
	w := s.wall()
	now := s.Now()
	advance := int64(w.Sub(now))
	for {
		seen := s.advance.Load()
		if advance <= seen {
			return now.Add(time.Duration(seen))
		}
		if s.advance.CompareAndSwap(seen, advance) {
			return now.Add(time.Duration(advance))
		}
	}
}

// wall returns the wall clock without Go's monotonic reading, so that Sub and After compare wall
// time.
func wall() time.Time {
	return time.Now().Round(0)
}

func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has CLOCK_BOOTTIME since 2.6.39; there is no safe way to go on without it.
		panic("clock: CLOCK_BOOTTIME is not available, run on Linux 2.6.39 or newer: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Manual is a Clock that moves only when told to. It is safe for concurrent use.
type Manual struct {
	mu   sync.Mutex
	now  time.Time
	skew time.Duration
}

// NewManual returns a Manual clock that reads start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Now implements Clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Latest implements Clock.
func (m *Manual) Latest() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now.Add(m.skew)
}

// Advance moves both readings forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}

// StepWall moves Latest ahead of Now by d, as a hidden suspension does.
func (m *Manual) StepWall(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.skew += d
}

// Package clock reads time for leases and timers.
//
// A Clock has two readings, because the granter and the holder of a lease are safe with opposite
// errors. A granter must not treat a lease as expired too early, so it reads Now, which follows
// CLOCK_BOOTTIME: Now does not step and continues while the VM is suspended. A holder must not treat
// its lease as valid after it expired, so it reads Latest, which is Now plus the largest lead of the
// wall clock over Now seen so far. This covers a hypervisor that hides a suspension from
// CLOCK_BOOTTIME and sets the wall clock afterwards. A holder reads Latest both before it requests
// a lease and when it uses the lease, so that an earlier step does not shorten later leases.
//
// Latest keeps the lead when the wall clock is set back. Otherwise a lease requested while the wall
// clock was an hour ahead would stay valid for an hour too long. The drawback is that Latest does not
// show a hidden suspension that is shorter than an earlier lead that was corrected.
//
// The monotonic clock reading of package time is not used: it follows CLOCK_MONOTONIC, which stops
// while a VM is suspended.
//
// # Usage
//
//	c := clock.System()
//	sent := c.Latest()
//	// ... request a lease, store it in a lease.Held ...
//	if held.Valid(c.Latest()) {
//		// act
//	}
//
// Tests use a Manual clock, which only moves when Advance or StepWall is called.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the time of this process. Times of two processes are not comparable.
type Clock interface {
	// Now returns a time that neither stops nor steps, for timers and granters of leases.
	Now() time.Time
	// Latest returns a time at or after Now that also follows forward steps of the wall clock,
	// for holders of leases. It never decreases.
	Latest() time.Time
}

// System returns the clock of the machine.
func System() Clock {
	return newSystem(wall, bootTime)
}

// system is safe for concurrent use.
type system struct {
	start     time.Time
	startBoot time.Duration
	wall      func() time.Time
	bootTime  func() time.Duration
	// maxLead is the largest lead in nanoseconds of the wall clock over Now seen so far.
	maxLead atomic.Int64
}

func newSystem(wall func() time.Time, bootTime func() time.Duration) *system {
	return &system{start: wall(), startBoot: bootTime(), wall: wall, bootTime: bootTime}
}

// Now implements Clock.
func (s *system) Now() time.Time {
	return s.start.Add(s.bootTime() - s.startBoot)
}

// Latest implements Clock.
func (s *system) Latest() time.Time {
	// The wall clock is read first, so that a delay between the two readings is not taken for an
	// advance.
	w := s.wall()
	now := s.Now()
	lead := int64(w.Sub(now))
	for {
		seen := s.maxLead.Load()
		if lead <= seen {
			return now.Add(time.Duration(seen))
		}
		if s.maxLead.CompareAndSwap(seen, lead) {
			return now.Add(time.Duration(lead))
		}
	}
}

// wall returns the wall clock time without the monotonic clock reading, so that Sub and After compare
// wall clock times.
func wall() time.Time {
	return time.Now().Round(0)
}

func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has CLOCK_BOOTTIME since 2.6.39. Leases are not safe without it.
		panic("clock: CLOCK_BOOTTIME is not available, run on Linux 2.6.39 or newer: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Manual is a Clock for tests that only moves when Advance or StepWall is called. It is safe for
// concurrent use.
type Manual struct {
	mu        sync.Mutex
	now       time.Time
	wallAhead time.Duration
}

// NewManual returns a Manual clock whose time is start.
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
	return m.now.Add(m.wallAhead)
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
	m.wallAhead += d
}

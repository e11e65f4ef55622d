package clock_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

func TestClock(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "clock")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sources are the wall clock and the boot clock of a simulated machine.
type sources struct {
	wall time.Time
	boot time.Duration
}

func (s *sources) pass(d time.Duration) {
	s.wall = s.wall.Add(d)
	s.boot += d
}

func (s *sources) clock() clock.Clock {
	return clock.NewSystem(func() time.Time { return s.wall }, func() time.Duration { return s.boot })
}

var _ = Describe("the system clock", func() {
	// Guards against a granter that lets a lease lapse early because the wall clock was set.
	It("does not step with the wall clock in Now", func() {
		s := &sources{wall: start, boot: time.Hour}
		c := s.clock()
		s.pass(time.Second)
		s.wall = s.wall.Add(time.Hour)
		Expect(c.Now()).To(Equal(start.Add(time.Second)))
		s.wall = s.wall.Add(-2 * time.Hour)
		Expect(c.Now()).To(Equal(start.Add(time.Second)))
	})

	// Guards against a holder that is unaware of a suspension hidden from CLOCK_BOOTTIME.
	It("follows a forward step of the wall clock in Latest", func() {
		s := &sources{wall: start}
		c := s.clock()
		s.wall = s.wall.Add(3 * time.Second)
		Expect(c.Latest()).To(Equal(start.Add(3 * time.Second)))
		Expect(c.Now()).To(Equal(start))
	})

	// Guards against a lease that was requested while the wall clock was ahead and stays valid for as
	// long as it was ahead once the wall clock is corrected.
	It("does not go back in Latest when the wall clock is set back", func() {
		s := &sources{wall: start}
		c := s.clock()
		s.wall = s.wall.Add(time.Hour)
		var held lease.Held
		held.Extend(c.Latest(), 2*time.Second)
		s.wall = s.wall.Add(-time.Hour)
		Expect(held.Valid(c.Latest())).To(BeTrue())
		s.pass(2 * time.Second)
		Expect(held.Valid(c.Latest())).To(BeFalse())
	})

	// Guards against Latest below Now, which would make a holder's lease too long.
	It("is at or after Now in Latest when the wall clock is behind", func() {
		s := &sources{wall: start}
		c := s.clock()
		s.pass(time.Second)
		s.wall = s.wall.Add(-time.Minute)
		Expect(c.Latest()).To(Equal(c.Now()))
	})

	It("moves forward on the machine, with Latest at or after Now", func() {
		c := clock.System()
		for range 1000 {
			now := c.Now()
			latest := c.Latest()
			Expect(latest).NotTo(BeTemporally("<", now))
			Expect(c.Now()).NotTo(BeTemporally("<", now))
		}
	})
})

var _ = Describe("a manual clock", func() {
	It("moves only when told to", func() {
		c := clock.NewManual(start)
		c.Advance(time.Second)
		Expect(c.Now()).To(Equal(start.Add(time.Second)))
		Expect(c.Latest()).To(Equal(c.Now()))
		c.StepWall(time.Minute)
		Expect(c.Now()).To(Equal(start.Add(time.Second)))
		Expect(c.Latest()).To(Equal(start.Add(time.Second + time.Minute)))
	})
})

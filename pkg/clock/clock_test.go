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

// fakeClocks holds the wall clock and the boot clock of a simulated machine.
type fakeClocks struct {
	wall time.Time
	boot time.Duration
}

func (f *fakeClocks) advance(d time.Duration) {
	f.wall = f.wall.Add(d)
	f.boot += d
}

func (f *fakeClocks) clock() clock.Clock {
	return clock.NewSystem(func() time.Time { return f.wall }, func() time.Duration { return f.boot })
}

var _ = Describe("the system clock", func() {
	// Guards against a granter that expires a lease early because the wall clock was set.
	It("does not step with the wall clock in Now", func() {
		clocks := &fakeClocks{wall: start, boot: time.Hour}
		c := clocks.clock()
		clocks.advance(time.Second)
		clocks.wall = clocks.wall.Add(time.Hour)
		Expect(c.Now()).To(Equal(start.Add(time.Second)))
		clocks.wall = clocks.wall.Add(-2 * time.Hour)
		Expect(c.Now()).To(Equal(start.Add(time.Second)))
	})

	// Guards against a holder that uses an expired lease after a suspension hidden from CLOCK_BOOTTIME.
	It("follows a forward step of the wall clock in Latest", func() {
		clocks := &fakeClocks{wall: start}
		c := clocks.clock()
		clocks.wall = clocks.wall.Add(3 * time.Second)
		Expect(c.Latest()).To(Equal(start.Add(3 * time.Second)))
		Expect(c.Now()).To(Equal(start))
	})

	// Guards against a lease that was requested while the wall clock was ahead and stays valid for too
	// long after the wall clock is corrected.
	It("does not go back in Latest when the wall clock is set back", func() {
		clocks := &fakeClocks{wall: start}
		c := clocks.clock()
		clocks.wall = clocks.wall.Add(time.Hour)
		var held lease.Held
		held.Extend(c.Latest(), 2*time.Second)
		clocks.wall = clocks.wall.Add(-time.Hour)
		Expect(held.Valid(c.Latest())).To(BeTrue())
		clocks.advance(2 * time.Second)
		Expect(held.Valid(c.Latest())).To(BeFalse())
	})

	// Guards against a Latest before Now, which would make a holder's lease too long.
	It("is at or after Now in Latest when the wall clock is behind", func() {
		clocks := &fakeClocks{wall: start}
		c := clocks.clock()
		clocks.advance(time.Second)
		clocks.wall = clocks.wall.Add(-time.Minute)
		Expect(c.Latest()).To(Equal(c.Now()))
	})

	It("never goes back on a real machine, with Latest at or after Now", func() {
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
	It("only moves when Advance or StepWall is called", func() {
		c := clock.NewManual(start)
		c.Advance(time.Second)
		Expect(c.Now()).To(Equal(start.Add(time.Second)))
		Expect(c.Latest()).To(Equal(c.Now()))
		c.StepWall(time.Minute)
		Expect(c.Now()).To(Equal(start.Add(time.Second)))
		Expect(c.Latest()).To(Equal(start.Add(time.Second + time.Minute)))
	})
})

package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var _ = Describe("a lease", func() {
	// Guards against a granter that counts the lease from the request instead of from its answer, which may
	// be late.
	It("expires at the holder before it lapses at the granter, for all clock rates within the margin", func() {
		margin := lease.DefaultMargin
		for _, rate := range []float64{1 - margin.Rate/2, 1, 1 + margin.Rate/2} {
			var held lease.Held
			var granted lease.Granted
			held.Extend(start, 2*time.Second)
			granted.Extend(start, 2*time.Second, margin)
			granterElapsed := time.Duration(float64(held.Expires().Sub(start)) * rate)
			Expect(granted.Lapsed(start.Add(granterElapsed))).To(BeFalse())
		}
	})

	// Guards against an older answer that arrives late and shortens a renewed lease.
	It("is never shortened by an older answer", func() {
		var held lease.Held
		held.Extend(start.Add(time.Second), 2*time.Second)
		held.Extend(start, 2*time.Second)
		Expect(held.Expires()).To(Equal(start.Add(3 * time.Second)))
	})

	// Guards against a granter that counts a renewed lease as lapsed after it recorded an older answer late.
	It("is never shortened at the granter by an older answer", func() {
		var granted lease.Granted
		granted.Extend(start.Add(time.Second), 2*time.Second, lease.DefaultMargin)
		expires := granted.Expires()
		granted.Extend(start, 2*time.Second, lease.DefaultMargin)
		Expect(granted.Expires()).To(Equal(expires))
	})

	// Guards against a released lease that still blocks the next holder or is still used.
	It("ends at once on both sides when it is dropped", func() {
		var held lease.Held
		var granted lease.Granted
		held.Extend(start, 2*time.Second)
		granted.Extend(start, 2*time.Second, lease.DefaultMargin)
		held.Drop()
		granted.Drop()
		Expect(held.Valid(start)).To(BeFalse())
		Expect(granted.Lapsed(start)).To(BeTrue())
	})

	It("counts as lapsed if it was never granted", func() {
		var granted lease.Granted
		Expect(granted.Lapsed(start)).To(BeTrue())
	})
})

var _ = Describe("a server clock", func() {
	// Guards against a Not-After time that a slow server clock reaches after the deadline of this process.
	It("converts a deadline to a time that the slowest allowed clock reaches no later than the deadline", func() {
		margin := lease.DefaultMargin
		serverClock := lease.NewServerClock(margin)
		reading := time.Date(1999, 5, 5, 0, 0, 0, 0, time.UTC)
		Expect(serverClock.Observe(start, reading)).To(BeTrue())
		deadline := start.Add(10 * time.Second)
		notAfter, ok := serverClock.NotAfter(deadline)
		Expect(ok).To(BeTrue())
		slowest := reading.Add(time.Duration(float64(10*time.Second) * (1 - margin.Rate)))
		Expect(notAfter).NotTo(BeTemporally(">", slowest))
	})

	// Guards against the use of an earlier reading after the server's clock was set back, which would let the
	// server run requests after their deadline.
	It("discards the readings of a clock that went back", func() {
		serverClock := lease.NewServerClock(lease.DefaultMargin)
		serverClock.Observe(start, start)
		Expect(serverClock.Observe(start.Add(time.Second), start.Add(-time.Second))).To(BeFalse())
		_, ok := serverClock.NotAfter(start)
		Expect(ok).To(BeFalse())
	})
})

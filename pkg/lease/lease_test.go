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
	// Guards against a granter that counts from its request: the answer may be late.
	It("ends at the holder before it lapses at the granter, for any clock within the margin", func() {
		margin := lease.DefaultMargin
		for _, rate := range []float64{1 - margin.Rate/2, 1, 1 + margin.Rate/2} {
			var held lease.Held
			var given lease.Granted
			held.Extend(start, 2*time.Second)
			given.Extend(start, 2*time.Second, margin)
			onGranter := time.Duration(float64(held.Expires().Sub(start)) * rate)
			Expect(given.Lapsed(start.Add(onGranter))).To(BeFalse())
		}
	})

	// Guards against an answer that arrives out of order and shortens a newer lease.
	It("is never shortened by an older answer", func() {
		var held lease.Held
		held.Extend(start.Add(time.Second), 2*time.Second)
		held.Extend(start, 2*time.Second)
		Expect(held.Expires()).To(Equal(start.Add(3 * time.Second)))
	})

	// Guards against a granter that counts a renewed lease as lapsed after a late, older record.
	It("is never shortened at the granter by an older answer", func() {
		var given lease.Granted
		given.Extend(start.Add(time.Second), 2*time.Second, lease.DefaultMargin)
		expires := given.Expires()
		given.Extend(start, 2*time.Second, lease.DefaultMargin)
		Expect(given.Expires()).To(Equal(expires))
	})

	// Guards against a released lease that still blocks the next holder, or is still used.
	It("ends at once on both sides when it is dropped", func() {
		var held lease.Held
		var given lease.Granted
		held.Extend(start, 2*time.Second)
		given.Extend(start, 2*time.Second, lease.DefaultMargin)
		held.Drop()
		given.Drop()
		Expect(held.Valid(start)).To(BeFalse())
		Expect(given.Lapsed(start)).To(BeTrue())
	})

	It("counts as lapsed where it was never given", func() {
		var given lease.Granted
		Expect(given.Lapsed(start)).To(BeTrue())
	})
})

var _ = Describe("a server clock", func() {
	// Guards against a Not-After that a slow server clock reaches after this process's deadline.
	It("maps a deadline to a reading that the slowest allowed clock reaches in time", func() {
		margin := lease.DefaultMargin
		mapping := lease.NewServerClock(margin)
		reading := time.Date(1999, 5, 5, 0, 0, 0, 0, time.UTC)
		Expect(mapping.Observe(start, reading)).To(BeTrue())
		deadline := start.Add(10 * time.Second)
		notAfter, ok := mapping.NotAfter(deadline)
		Expect(ok).To(BeTrue())
		slowest := reading.Add(time.Duration(float64(10*time.Second) * (1 - margin.Rate)))
		Expect(notAfter).NotTo(BeTemporally(">", slowest))
	})

	// Guards against trusting a server whose clock was set back.
	It("forgets a clock that went back", func() {
		mapping := lease.NewServerClock(lease.DefaultMargin)
		mapping.Observe(start, start)
		Expect(mapping.Observe(start.Add(time.Second), start.Add(-time.Second))).To(BeFalse())
		_, ok := mapping.NotAfter(start)
		Expect(ok).To(BeFalse())
	})
})

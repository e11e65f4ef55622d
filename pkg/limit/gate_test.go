package limit_test

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/limit"
)

// crowd is a number of goroutines that use one gate.
type crowd struct {
	gate     *limit.Gate
	inFlight atomic.Int32
	highest  atomic.Int32
	sent     atomic.Int32
	refused  atomic.Int32
}

func (c *crowd) run() {
	for n := range 200 {
		ctx, cancel := context.WithCancel(context.Background())
		if n%7 == 0 {
			cancel()
		}
		t, err := c.gate.Acquire(ctx, limit.Request{Operation: "balance", Class: limit.Class(n % 3)})
		if err != nil {
			c.refused.Add(1)
			cancel()
			continue
		}
		c.sent.Add(1)
		c.highest.Store(max(c.highest.Load(), c.inFlight.Add(1)))
		c.inFlight.Add(-1)
		t.Done(limit.Outcome(n%4), time.Millisecond)
		t.Done(limit.Ran, time.Millisecond)
		cancel()
	}
}

var _ = Describe("a gate", func() {
	var gate *limit.Gate
	acquire := func(q limit.Request) (limit.Ticket, error) { return gate.Acquire(context.Background(), q) }

	BeforeEach(func() {
		config := limit.GateConfig{Server: "ledger-3", Ceiling: 1, QueueLength: 1}
		gate = limit.NewGate(config, limit.NewCalls(limit.CallsConfig{}), clock.NewManual(start))
	})

	// Guards against lost wake-ups, tickets given twice and counts that drift under concurrency.
	It("keeps its counts with many goroutines", func() {
		config := limit.GateConfig{Server: "ledger-3", Ceiling: 4, QueueLength: 64}
		c := &crowd{gate: limit.NewGate(config, limit.NewCalls(limit.CallsConfig{}), clock.System())}
		var group conc.WaitGroup
		for range 16 {
			group.Go(c.run)
		}
		group.Wait()
		Expect(c.sent.Load() + c.refused.Load()).To(Equal(int32(16 * 200)))
		Expect(c.sent.Load()).To(BeNumerically(">", 0))
		Expect(c.highest.Load()).To(BeNumerically("<=", 4))
		Expect(c.gate.Load().InFlight).To(BeZero())
		Expect(c.gate.Load().Queued).To(BeZero())
	})

	It("refuses with a kind, a message with the remedy, and a typed form", func() {
		_, err := acquire(limit.Request{Operation: "balance"})
		Expect(err).NotTo(HaveOccurred())

		_, err = acquire(limit.Request{Operation: "balance", Deadline: start.Add(-time.Second)})
		Expect(limit.KindOf(err)).To(Equal(limit.KindDeadline))
		Expect(err).To(MatchError(ContainSubstring("ledger-3")))
		Expect(err).To(MatchError(ContainSubstring("repeat the call in")))
		var refusal *limit.RefusalError
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(limit.KindOf(refusal.Typed())).To(Equal(limit.KindDeadline))

		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = gate.Acquire(ctx, limit.Request{Operation: "balance"})
		Expect(limit.KindOf(err)).To(Equal(limit.KindCancelled))
		Expect(limit.KindOf(context.Canceled)).To(Equal(limit.KindOther))
		Expect(limit.KindOf(nil)).To(Equal(limit.KindNone))
	})

	// Guards against bookings refused because lookups or long work fill the queue.
	It("refuses a waiting call of a lower class to make room for a booking", func() {
		first, err := acquire(limit.Request{Class: limit.Short})
		Expect(err).NotTo(HaveOccurred())
		var group conc.WaitGroup
		short, booking := make(chan error, 1), make(chan error, 1)
		group.Go(func() {
			_, err := acquire(limit.Request{Class: limit.Short})
			short <- err
		})
		Eventually(func() int { return gate.Load().Queued }).Should(Equal(1))
		_, err = acquire(limit.Request{Class: limit.Short})
		Expect(limit.KindOf(err)).To(Equal(limit.KindFull))
		group.Go(func() {
			_, err := acquire(limit.Request{Class: limit.Booking})
			booking <- err
		})
		Eventually(short).Should(Receive(WithTransform(limit.KindOf, Equal(limit.KindFull))))
		first.Done(limit.Ran, time.Millisecond)
		Eventually(booking).Should(Receive(BeNil()))
		group.Wait()
	})

	// Guards against goroutines that wait for ever on a server that is gone.
	It("refuses waiting and later calls when it is closed", func() {
		_, err := acquire(limit.Request{})
		Expect(err).NotTo(HaveOccurred())
		var group conc.WaitGroup
		var waiting error
		group.Go(func() { _, waiting = acquire(limit.Request{}) })
		Eventually(func() int { return gate.Load().Queued }).Should(Equal(1))
		gate.Close()
		group.Wait()
		Expect(limit.KindOf(waiting)).To(Equal(limit.KindClosed))
		_, err = acquire(limit.Request{})
		Expect(limit.KindOf(err)).To(Equal(limit.KindClosed))
	})
})

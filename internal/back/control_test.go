package back_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

var _ = Describe("a probe", func() {
	// Guards against taking a frozen or full server for one that has ended (P1).
	It("of a frozen server or one that accepts no more connections proves nothing", func() {
		server, client := pair(stand.BackendOptions{Connections: 1}, back.Options{})
		other, err := net.Dial("tcp", server.Address().String())
		Expect(err).NotTo(HaveOccurred())
		defer other.Close()
		Expect(client.Probe(within(300 * time.Millisecond)).Liveness).To(Equal(back.Silent))
		other.Close()
		Eventually(func() back.Liveness { return client.Probe(within(time.Second)).Liveness }).Should(Equal(back.Alive))
		server.SetFault(stand.BackendFault{FreezeMs: 5000})
		Expect(client.Probe(within(100 * time.Millisecond)).Liveness).To(Equal(back.Silent))
	})

	// Guards against waiting for a lapse where the end is certain.
	It("of a killed server proves its end, and the call it ran is unknown", func() {
		server, client := pair(stand.BackendOptions{Fencing: assign.None}, back.Options{})
		Expect(client.Probe(within(time.Second)).Health.Incarnation).To(Equal(server.Incarnation()))
		call := start(client, work("a", 5000), 2*time.Second)
		started(server, 1)
		server.Kill()
		_, err := call.wait()
		expectError(err, back.Unknown, back.Cut)
		Expect(client.Probe(within(time.Second)).Liveness).To(Equal(back.Ended))
		_, err = client.Send(within(time.Second), work("b", 1))
		expectError(err, back.NotRun, back.ConnectionRefused)
	})

	// Guards against a server that stops gracefully: its listener is closed while it still works.
	It("does not prove an end while an earlier connection is open", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		client := back.NewClient("raw", l.Addr().(*net.TCPAddr).AddrPort(), back.Options{})
		defer client.Close()
		call := start(client, work("a", 1), 2*time.Second)
		c, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		_, err = bufio.NewReader(c).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		l.Close()
		Expect(client.Probe(within(time.Second)).Liveness).To(Equal(back.Silent))
		c.Close()
		_, err = call.wait()
		Expect(back.KindOf(err)).To(Equal(back.Unknown))
		Expect(client.Probe(within(time.Second)).Liveness).To(Equal(back.Ended))
	})
})

var _ = Describe("control calls", func() {
	// Guards against a grant that lapses because its renewal waits behind calls or a revoke.
	It("pass while all connections for calls are busy and a revoke waits for a run", func() {
		server, client := pair(stand.BackendOptions{}, back.Options{Connections: 4})
		ctx := within(5 * time.Second)
		grant := func() error {
			_, err := client.Grant(ctx, time.Now().Add(5*time.Second), all(3))
			return err
		}
		Expect(grant()).To(Succeed())
		c := keyed("a", 3)
		c.Headers = []back.Header{{Name: "Run-Ms", Value: "1000"}}
		first := start(client, c, 5*time.Second)
		c.RequestID = "b"
		second := start(client, c, 5*time.Second)
		started(server, 2)
		revoked := make(chan error, 1)
		var group conc.WaitGroup
		group.Go(func() {
			_, err := client.Revoke(ctx, all(3))
			revoked <- err
		})
		Consistently(revoked, "50ms").ShouldNot(Receive())
		_, err := client.Grant(ctx, time.Now().Add(5*time.Second), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(revoked).NotTo(Receive())
		Expect(outcomes(server)).To(HaveKeyWithValue("a", stand.RunRunning))
		Eventually(revoked, "5s").Should(Receive(BeNil()))
		Expect(outcomes(server)).To(Equal(map[string]string{"a": stand.RunFinished, "b": stand.RunFinished}))
		for _, s := range []*sent{first, second} {
			_, err := s.wait()
			Expect(err).NotTo(HaveOccurred())
		}
		group.Wait()
	})

	// Guards against a delayed grant that brings a revoked span back (P1).
	It("with the fence of a revoked grant are stale", func() {
		_, client := pair(stand.BackendOptions{}, back.Options{})
		ctx := within(time.Second)
		notAfter := time.Now().Add(time.Second)
		_, err := client.Grant(ctx, notAfter, all(3))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Revoke(ctx, all(3))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Grant(ctx, notAfter, all(3))
		expectError(err, back.Stale, back.StaleFence)
		var e *back.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.HighestFence).To(Equal(lease.Fence(3)))
		Expect(e.Typed().IsOfType(back.ErrStale)).To(BeTrue())
		_, err = client.Grant(ctx, notAfter, all(4))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a cancellation that claims more than is certain.
	It("to cancel say what became of the call", func() {
		server, client := pair(stand.BackendOptions{Fencing: assign.None, Slots: 1}, back.Options{})
		ctx := within(5 * time.Second)
		runs := start(client, work("runs", 5000), 5*time.Second)
		started(server, 1)
		waits := start(client, work("waits", 1), 5*time.Second)
		Eventually(func() int { h, _ := client.Health(ctx); return h.Queued }).Should(Equal(1))
		Expect(client.Cancel(ctx, "never seen")).To(Equal(back.CancelUnknown))
		Expect(client.Cancel(ctx, "waits")).To(Equal(back.CancelNotRun))
		_, err := waits.wait()
		Expect(back.KindOf(err)).To(Equal(back.NotRun))
		Expect(client.Cancel(ctx, "runs")).To(Equal(back.CancelCancelled))
		answer, err := runs.wait()
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status).To(Equal(500))
		_, err = client.Send(ctx, work("done", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Cancel(ctx, "done")).To(Equal(back.CancelFinished))
		Expect(outcomes(server)).To(Equal(map[string]string{"runs": stand.RunCancelled, "done": stand.RunFinished}))
	})

	// Guards against a call that runs after its keys have gone to another server: it was given up on
	// its way, and the server was asked about it before it arrived.
	It("to cancel keep a call from running that arrives later", func() {
		server, client := pair(stand.BackendOptions{Fencing: assign.None}, back.Options{})
		ctx := within(5 * time.Second)
		Expect(client.Cancel(ctx, "late")).To(Equal(back.CancelUnknown))
		_, err := client.Send(ctx, work("late", 1))
		Expect(back.KindOf(err)).To(Equal(back.NotRun))
		Expect(outcomes(server)).To(BeEmpty())
	})
})

var _ = Describe("the time that is sent", func() {
	// Guards against a NotAfter that is too late by a step of the wall clock.
	It("does not follow a forward step of the wall clock after the server's reading", func() {
		origin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		reading := origin.Add(-time.Hour)
		c := clock.NewManual(origin)
		m := lease.NewServerClock(lease.Margin{})
		Expect(m.Observe(c.Now(), reading)).To(BeTrue())
		c.StepWall(10 * time.Second)
		notAfter, ok := back.NotAfter(c, m, c.Latest().Add(2*time.Second))
		Expect(ok).To(BeTrue())
		Expect(notAfter).To(Equal(reading.Add(2 * time.Second)))
	})

	// Guards against a call that is sent although its caller has stopped waiting.
	It("is checked again when a connection is free", func() {
		server, client := pair(stand.BackendOptions{Fencing: assign.None}, back.Options{})
		c := work("a", 1)
		c.Deadline = clock.System().Latest().Add(-time.Millisecond)
		_, err := client.Send(context.Background(), c)
		expectError(err, back.NotRun, back.Rejected)
		Expect(server.History()).To(BeEmpty())
	})
})

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
	// Guards against treating a frozen or full server as ended, which would give its keys a second owner.
	It("reports a frozen server, or one at its connection limit, as silent", func() {
		server, client := startServer(stand.BackendOptions{Connections: 1}, back.Options{})
		other, err := net.Dial("tcp", server.Address().String())
		Expect(err).NotTo(HaveOccurred())
		defer other.Close()
		Expect(client.Probe(timeoutContext(300 * time.Millisecond)).Liveness).To(Equal(back.Silent))
		other.Close()
		Eventually(func() back.Liveness { return client.Probe(timeoutContext(time.Second)).Liveness }).Should(Equal(back.Alive))
		server.SetFault(stand.BackendFault{FreezeMs: 5000})
		Expect(client.Probe(timeoutContext(100 * time.Millisecond)).Liveness).To(Equal(back.Silent))
	})

	// Guards against waiting for a lease to expire although the server's process is known to have ended.
	It("reports a killed server as ended, and the call that ran there is unknown", func() {
		server, client := startServer(stand.BackendOptions{Fencing: assign.None}, back.Options{})
		Expect(client.Probe(timeoutContext(time.Second)).Health.Incarnation).To(Equal(server.Incarnation()))
		call := sendAsync(client, unkeyedCall("a", 5000), 2*time.Second)
		waitStarted(server, 1)
		server.Kill()
		_, err := call.wait()
		expectError(err, back.Unknown, back.Cut)
		Expect(client.Probe(timeoutContext(time.Second)).Liveness).To(Equal(back.Ended))
		_, err = client.Send(timeoutContext(time.Second), unkeyedCall("b", 1))
		expectError(err, back.NotRun, back.ConnectionRefused)
	})

	// Guards against treating a server as ended during its graceful stop, when its listener is closed
	// but work still runs.
	It("does not report a server as ended while an earlier connection is open", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		client := back.NewClient("raw", l.Addr().(*net.TCPAddr).AddrPort(), back.Options{})
		defer client.Close()
		call := sendAsync(client, unkeyedCall("a", 1), 2*time.Second)
		c, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		_, err = bufio.NewReader(c).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		l.Close()
		Expect(client.Probe(timeoutContext(time.Second)).Liveness).To(Equal(back.Silent))
		c.Close()
		_, err = call.wait()
		Expect(back.KindOf(err)).To(Equal(back.Unknown))
		Expect(client.Probe(timeoutContext(time.Second)).Liveness).To(Equal(back.Ended))
	})
})

var _ = Describe("control calls", func() {
	// Guards against a grant that expires because its renewal waits for calls or for a revoke.
	It("get through while all connections for calls are busy and a revoke waits for a running call", func() {
		server, client := startServer(stand.BackendOptions{}, back.Options{Connections: 4})
		ctx := timeoutContext(5 * time.Second)
		grant := func() error {
			_, err := client.Grant(ctx, time.Now().Add(5*time.Second), grantAll(3))
			return err
		}
		Expect(grant()).To(Succeed())
		c := keyedCall("a", 3)
		c.Headers = []back.Header{{Name: "Run-Ms", Value: "1000"}}
		first := sendAsync(client, c, 5*time.Second)
		c.RequestID = "b"
		second := sendAsync(client, c, 5*time.Second)
		waitStarted(server, 2)
		revoked := make(chan error, 1)
		var group conc.WaitGroup
		group.Go(func() {
			_, err := client.Revoke(ctx, grantAll(3))
			revoked <- err
		})
		Consistently(revoked, "50ms").ShouldNot(Receive())
		_, err := client.Grant(ctx, time.Now().Add(5*time.Second), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(revoked).NotTo(Receive())
		Expect(outcomes(server)).To(HaveKeyWithValue("a", stand.RunRunning))
		Eventually(revoked, "5s").Should(Receive(BeNil()))
		Expect(outcomes(server)).To(Equal(map[string]string{"a": stand.RunFinished, "b": stand.RunFinished}))
		for _, s := range []*pendingCall{first, second} {
			_, err := s.wait()
			Expect(err).NotTo(HaveOccurred())
		}
		group.Wait()
	})

	// Guards against a delayed grant that restores a revoked span, which would give its keys two owners.
	It("that grant with the fence of a revoked grant are stale", func() {
		_, client := startServer(stand.BackendOptions{}, back.Options{})
		ctx := timeoutContext(time.Second)
		notAfter := time.Now().Add(time.Second)
		_, err := client.Grant(ctx, notAfter, grantAll(3))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Revoke(ctx, grantAll(3))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Grant(ctx, notAfter, grantAll(3))
		expectError(err, back.Stale, back.StaleFence)
		var e *back.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.HighestFence).To(Equal(lease.Fence(3)))
		Expect(e.Typed().IsOfType(back.ErrStale)).To(BeTrue())
		_, err = client.Grant(ctx, notAfter, grantAll(4))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against an outcome of a cancellation that is wrong about the call.
	It("that cancel report the state of the call", func() {
		server, client := startServer(stand.BackendOptions{Fencing: assign.None, Slots: 1}, back.Options{})
		ctx := timeoutContext(5 * time.Second)
		runs := sendAsync(client, unkeyedCall("runs", 5000), 5*time.Second)
		waitStarted(server, 1)
		waits := sendAsync(client, unkeyedCall("waits", 1), 5*time.Second)
		Eventually(func() int { h, _ := client.Health(ctx); return h.Queued }).Should(Equal(1))
		Expect(client.Cancel(ctx, "never seen")).To(Equal(back.CancelUnknown))
		Expect(client.Cancel(ctx, "waits")).To(Equal(back.CancelNotRun))
		_, err := waits.wait()
		Expect(back.KindOf(err)).To(Equal(back.NotRun))
		Expect(client.Cancel(ctx, "runs")).To(Equal(back.CancelCancelled))
		answer, err := runs.wait()
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status).To(Equal(500))
		_, err = client.Send(ctx, unkeyedCall("done", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Cancel(ctx, "done")).To(Equal(back.CancelFinished))
		Expect(outcomes(server)).To(Equal(map[string]string{"runs": stand.RunCancelled, "done": stand.RunFinished}))
	})

	// Guards against a call that runs after its keys were moved to another server. This happens when a
	// cancellation reaches the server before the delayed call does.
	It("that cancel prevent a call that arrives later from running", func() {
		server, client := startServer(stand.BackendOptions{Fencing: assign.None}, back.Options{})
		ctx := timeoutContext(5 * time.Second)
		Expect(client.Cancel(ctx, "late")).To(Equal(back.CancelUnknown))
		_, err := client.Send(ctx, unkeyedCall("late", 1))
		Expect(back.KindOf(err)).To(Equal(back.NotRun))
		Expect(outcomes(server)).To(BeEmpty())
	})
})

var _ = Describe("a deadline", func() {
	// Guards against a NotAfter that is too late by a forward step of the wall clock.
	It("is not moved by a forward step of the wall clock after the server's reading", func() {
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

	// Guards against sending a call whose caller no longer waits.
	It("is checked again when a connection is free", func() {
		server, client := startServer(stand.BackendOptions{Fencing: assign.None}, back.Options{})
		c := unkeyedCall("a", 1)
		c.Deadline = clock.System().Latest().Add(-time.Millisecond)
		_, err := client.Send(context.Background(), c)
		expectError(err, back.NotRun, back.Rejected)
		Expect(server.History()).To(BeEmpty())
	})
})

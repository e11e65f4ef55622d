package back_test

import (
	"bufio"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

func unkeyedCall(id string, ms int) back.Call {
	return back.Call{
		RequestID: id, Method: "POST", Path: "/book", Service: service,
		Headers: []back.Header{{Name: "Run-Ms", Value: fmt.Sprint(ms)}},
	}
}

// pendingCall is a call in flight.
type pendingCall struct {
	group  conc.WaitGroup
	answer back.Answer
	err    error
}

func sendAsync(client *back.Client, c back.Call, d time.Duration) *pendingCall {
	p := &pendingCall{}
	ctx := timeoutContext(d)
	p.group.Go(func() { p.answer, p.err = client.Send(ctx, c) })
	return p
}

func (p *pendingCall) wait() (back.Answer, error) {
	p.group.Wait()
	return p.answer, p.err
}

func waitStarted(server *stand.Backend, n int) {
	GinkgoHelper()
	Eventually(server.History).Should(HaveLen(n))
}

func outcomes(server *stand.Backend) map[string]string {
	found := map[string]string{}
	for _, r := range server.History() {
		found[r.RequestID] = r.Outcome
	}
	return found
}

func expectError(err error, k back.Kind, r back.Reason) {
	GinkgoHelper()
	Expect(back.KindOf(err)).To(Equal(k), "%v", err)
	Expect(back.ReasonOf(err)).To(Equal(r), "%v", err)
}

var _ = Describe("answers", func() {
	// Guards against giving a caller the answer to another call.
	It("to other calls are never delivered", func() {
		server, client := startServer(stand.BackendOptions{Fencing: assign.None}, back.Options{})
		server.SetFault(stand.BackendFault{CrossAnswers: true})
		calls := []*pendingCall{}
		for i := range 8 {
			calls = append(calls, sendAsync(client, unkeyedCall(fmt.Sprint("c", i), 20), 2*time.Second))
		}
		swapped := 0
		for i, c := range calls {
			answer, err := c.wait()
			if err == nil {
				Expect(string(answer.Body)).To(ContainSubstring(fmt.Sprintf(`"request-id":"c%d"`, i)))
				continue
			}
			swapped++
			expectError(err, back.Unknown, back.WrongAnswer)
		}
		Expect(swapped).To(BeNumerically(">", 0))
	})

	// Guards against reporting not-run for a call that may have run, because of a refusal that
	// belongs to another call.
	It("that refuse another call are not taken for a refusal of this one", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		var group conc.WaitGroup
		group.Go(func() {
			c, _ := l.Accept()
			bufio.NewReader(c).ReadString('\n')
			c.Write([]byte("HTTP/1.1 503 No\r\nRequest-Id: other\r\nNot-Run: true\r\nReason: shedding\r\nContent-Length: 0\r\n\r\n"))
			c.Close()
		})
		client := back.NewClient("raw", l.Addr().(*net.TCPAddr).AddrPort(), back.Options{})
		defer client.Close()
		_, err = client.Send(timeoutContext(time.Second), unkeyedCall("a", 1))
		expectError(err, back.Unknown, back.WrongAnswer)
		group.Wait()
	})

	// Guards against delivering an incomplete answer.
	It("that are truncated have an unknown outcome", func() {
		server, client := startServer(stand.BackendOptions{Fencing: assign.None}, back.Options{})
		server.SetFault(stand.BackendFault{Truncate: true})
		_, err := client.Send(timeoutContext(time.Second), unkeyedCall("a", 1))
		expectError(err, back.Unknown, back.Cut)
		Expect(outcomes(server)).To(Equal(map[string]string{"a": stand.RunFinished}))
	})

	// Guards against answers that exhaust the memory of this process.
	It("that are too large have an unknown outcome", func() {
		_, client := startServer(stand.BackendOptions{Fencing: assign.None}, back.Options{BodyBytes: 10})
		_, err := client.Send(timeoutContext(time.Second), unkeyedCall("a", 1))
		expectError(err, back.Unknown, back.TooLarge)
	})

	// Guards against delivering a late answer to the next call on the same connection.
	It("that come late are discarded", func() {
		server, client := startServer(stand.BackendOptions{Fencing: assign.None}, back.Options{Connections: 1})
		server.SetFault(stand.BackendFault{AnswerLateMs: 150})
		_, err := client.Send(timeoutContext(50*time.Millisecond), unkeyedCall("a", 1))
		expectError(err, back.Unknown, back.Timeout)
		server.SetFault(stand.BackendFault{})
		answer, err := client.Send(timeoutContext(time.Second), unkeyedCall("b", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer.Body)).To(ContainSubstring(`"request-id":"b"`))
	})
})

var _ = Describe("a refusal", func() {
	// Guards against reporting not-run for a call that ran, and against a lost reason.
	It("keeps its reason, and the server did not run the call", func() {
		server, client := startServer(stand.BackendOptions{}, back.Options{})
		ctx := timeoutContext(5 * time.Second)
		_, err := client.Send(ctx, keyedCall("no-grant", 3))
		expectError(err, back.NotRun, back.NoGrant)
		_, err = client.Grant(ctx, time.Now().Add(5*time.Second), grantAll(3))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Send(ctx, keyedCall("stale", 2))
		expectError(err, back.NotRun, back.StaleFence)
		late := keyedCall("late", 3)
		late.NotAfter = time.Now().Add(-time.Second)
		_, err = client.Send(ctx, late)
		expectError(err, back.NotRun, back.Deadline)
		Expect(client.Drain(ctx)).To(Succeed())
		_, err = client.Send(ctx, keyedCall("draining", 3))
		expectError(err, back.NotRun, back.Draining)
		Expect(server.History()).To(BeEmpty())
		Expect(client.Health(ctx)).To(HaveField("Status", back.StatusDraining))
	})

	// Guards against an unbounded queue.
	It("is returned if all slots and the queue are full", func() {
		server, client := startServer(stand.BackendOptions{Fencing: assign.None, Slots: 1, Queue: 1}, back.Options{})
		first := sendAsync(client, unkeyedCall("runs", 200), time.Second)
		waitStarted(server, 1)
		second := sendAsync(client, unkeyedCall("waits", 1), time.Second)
		Eventually(func() int { h, _ := client.Health(timeoutContext(time.Second)); return h.Queued }).Should(Equal(1))
		_, err := client.Send(timeoutContext(time.Second), unkeyedCall("shed", 1))
		expectError(err, back.NotRun, back.Shedding)
		for _, c := range []*pendingCall{first, second} {
			_, err = c.wait()
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Guards against callers that reach a server's control interface through Send.
	It("is returned for control paths in any spelling, before anything is sent", func() {
		_, client := startServer(stand.BackendOptions{Fencing: assign.None}, back.Options{})
		for _, p := range []string{"/control/drain", "/x/../control/drain", "//control/drain", "/%63ontrol/drain", "/CONTROL/", "/stand/fault", "/%2e/stand"} {
			c := unkeyedCall("a", 1)
			c.Path = p
			_, err := client.Send(timeoutContext(time.Second), c)
			expectError(err, back.NotRun, back.Rejected)
		}
	})

	// Guards against request smuggling through a path.
	It("is returned for malformed paths, such as those with spaces or line breaks", func() {
		_, client := startServer(stand.BackendOptions{Fencing: assign.None}, back.Options{})
		for _, p := range []string{"", "x", "/a b", "/a\r\nX: y", "/a?b", "/a#b"} {
			c := unkeyedCall("a", 1)
			c.Path = p
			_, err := client.Send(timeoutContext(time.Second), c)
			expectError(err, back.NotRun, back.Rejected)
		}
	})
})

var _ = Describe("header fields", func() {
	// Guards against a caller that forges header fields such as the fence.
	It("of the caller do not replace those that the client sets", func() {
		server, client := startServer(stand.BackendOptions{}, back.Options{})
		ctx := timeoutContext(time.Second)
		_, err := client.Grant(ctx, time.Now().Add(time.Second), grantAll(3))
		Expect(err).NotTo(HaveOccurred())
		c := unkeyedCall("real", 1)
		c.Headers = append(c.Headers,
			back.Header{Name: "request-id", Value: "forged"}, back.Header{Name: "grant-fence", Value: "3"},
			back.Header{Name: "KEY-HASH", Value: "0000000000000007"}, back.Header{Name: "Transfer-Encoding", Value: "chunked"})
		_, err = client.Send(ctx, c)
		expectError(err, back.NotRun, back.NoGrant)
		Expect(server.History()).To(BeEmpty())
	})
})

var _ = Describe("a frozen server", func() {
	// Guards against two owners of a key: after a freeze, the server could go on with calls that were
	// running, queued or received before its grant expired.
	It("with grants runs nothing after its grant has expired", func() {
		server, client := startServer(stand.BackendOptions{Slots: 1}, back.Options{})
		_, err := client.Grant(timeoutContext(time.Second), time.Now().Add(time.Second), grantAll(3))
		Expect(err).NotTo(HaveOccurred())
		running, waiting := keyedCall("running", 3), keyedCall("waiting", 3)
		running.Headers = []back.Header{{Name: "Run-Ms", Value: "800"}}
		first := sendAsync(client, running, 5*time.Second)
		waitStarted(server, 1)
		second := sendAsync(client, waiting, 5*time.Second)
		Eventually(func() int { h, _ := client.Health(timeoutContext(time.Second)); return h.Queued }).Should(Equal(1))
		frozen := time.Now()
		server.SetFault(stand.BackendFault{FreezeMs: 1500})
		third := sendAsync(client, keyedCall("in the socket", 3), 5*time.Second)
		answer, err := first.wait()
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status).To(Equal(500))
		_, err = second.wait()
		expectError(err, back.NotRun, back.NoGrant)
		_, err = third.wait()
		expectError(err, back.NotRun, back.NoGrant)
		Expect(outcomes(server)).To(Equal(map[string]string{"running": stand.RunLapsed}))
		// The work ended when the grant expired during the freeze, not when the server resumed.
		Expect(server.History()[0].End).To(BeNumerically("<", frozen.Add(time.Second).UnixMicro()))
	})

	// Guards against checking a deadline only at the start of work.
	It("with deadlines neither starts nor finishes work after Not-After", func() {
		server, client := startServer(stand.BackendOptions{Fencing: assign.Deadlines}, back.Options{})
		c := unkeyedCall("running", 800)
		c.NotAfter = time.Now().Add(time.Second)
		first := sendAsync(client, c, 5*time.Second)
		waitStarted(server, 1)
		server.SetFault(stand.BackendFault{FreezeMs: 1500})
		c.RequestID = "in the socket"
		second := sendAsync(client, c, 5*time.Second)
		_, err := first.wait()
		Expect(err).NotTo(HaveOccurred())
		_, err = second.wait()
		expectError(err, back.NotRun, back.Deadline)
		Expect(outcomes(server)).To(Equal(map[string]string{"running": stand.RunExpired}))
	})

	// Guards against tests that pass only because the stand-in is safer than real servers without fencing.
	It("without fencing continues all its work", func() {
		server, client := startServer(stand.BackendOptions{Fencing: assign.None, Slots: 1}, back.Options{})
		first := sendAsync(client, unkeyedCall("running", 800), 500*time.Millisecond)
		waitStarted(server, 1)
		server.SetFault(stand.BackendFault{FreezeMs: 1500})
		second := sendAsync(client, unkeyedCall("in the socket", 1), 100*time.Millisecond)
		_, err := first.wait()
		expectError(err, back.Unknown, back.Timeout)
		_, err = second.wait()
		expectError(err, back.Unknown, back.Timeout)
		Eventually(func() map[string]string { return outcomes(server) }, "5s").Should(Equal(map[string]string{
			"running": stand.RunFinished, "in the socket": stand.RunFinished,
		}))
	})
})

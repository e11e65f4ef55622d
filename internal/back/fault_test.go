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

func work(id string, ms int) back.Call {
	return back.Call{
		RequestID: id, Method: "POST", Path: "/book", Service: service,
		Headers: []back.Header{{Name: "Run-Ms", Value: fmt.Sprint(ms)}},
	}
}

// sent is a call in progress.
type sent struct {
	group  conc.WaitGroup
	answer back.Answer
	err    error
}

func start(client *back.Client, c back.Call, d time.Duration) *sent {
	s := &sent{}
	ctx := within(d)
	s.group.Go(func() { s.answer, s.err = client.Send(ctx, c) })
	return s
}

func (s *sent) wait() (back.Answer, error) {
	s.group.Wait()
	return s.answer, s.err
}

func started(server *stand.Backend, n int) {
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
	// Guards against giving a caller the answer of another call (P3).
	It("that were swapped are never delivered", func() {
		server, client := pair(stand.BackendOptions{Fencing: assign.None}, back.Options{})
		server.SetFault(stand.BackendFault{CrossAnswers: true})
		calls := []*sent{}
		for i := range 8 {
			calls = append(calls, start(client, work(fmt.Sprint("c", i), 20), 2*time.Second))
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

	// Guards against believing a refusal that belongs to another call (P4).
	It("that refuse another call do not count as a refusal", func() {
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
		_, err = client.Send(within(time.Second), work("a", 1))
		expectError(err, back.Unknown, back.WrongAnswer)
		group.Wait()
	})

	// Guards against delivering a part of an answer.
	It("that are truncated have an unknown outcome", func() {
		server, client := pair(stand.BackendOptions{Fencing: assign.None}, back.Options{})
		server.SetFault(stand.BackendFault{Truncate: true})
		_, err := client.Send(within(time.Second), work("a", 1))
		expectError(err, back.Unknown, back.Cut)
		Expect(outcomes(server)).To(Equal(map[string]string{"a": stand.RunFinished}))
	})

	// Guards against answers that use up this process's memory.
	It("that are too large have an unknown outcome", func() {
		_, client := pair(stand.BackendOptions{Fencing: assign.None}, back.Options{BodyBytes: 10})
		_, err := client.Send(within(time.Second), work("a", 1))
		expectError(err, back.Unknown, back.TooLarge)
	})

	// Guards against a late answer that reaches the next call on the same connection.
	It("that come late are discarded", func() {
		server, client := pair(stand.BackendOptions{Fencing: assign.None}, back.Options{Connections: 1})
		server.SetFault(stand.BackendFault{AnswerLateMs: 150})
		_, err := client.Send(within(50*time.Millisecond), work("a", 1))
		expectError(err, back.Unknown, back.Timeout)
		server.SetFault(stand.BackendFault{})
		answer, err := client.Send(within(time.Second), work("b", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer.Body)).To(ContainSubstring(`"request-id":"b"`))
	})
})

var _ = Describe("a refusal", func() {
	// Guards against reporting not-run for a call that ran, and against losing the reason.
	It("keeps its reason, and the server did not run the call", func() {
		server, client := pair(stand.BackendOptions{}, back.Options{})
		ctx := within(5 * time.Second)
		_, err := client.Send(ctx, keyed("no-grant", 3))
		expectError(err, back.NotRun, back.NoGrant)
		_, err = client.Grant(ctx, time.Now().Add(5*time.Second), all(3))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Send(ctx, keyed("stale", 2))
		expectError(err, back.NotRun, back.StaleFence)
		late := keyed("late", 3)
		late.NotAfter = time.Now().Add(-time.Second)
		_, err = client.Send(ctx, late)
		expectError(err, back.NotRun, back.Deadline)
		Expect(client.Drain(ctx)).To(Succeed())
		_, err = client.Send(ctx, keyed("draining", 3))
		expectError(err, back.NotRun, back.Draining)
		Expect(server.History()).To(BeEmpty())
		Expect(client.Health(ctx)).To(HaveField("Status", back.StatusDraining))
	})

	// Guards against a queue that grows without bound.
	It("is given where slots and queue are full", func() {
		server, client := pair(stand.BackendOptions{Fencing: assign.None, Slots: 1, Queue: 1}, back.Options{})
		first := start(client, work("runs", 200), time.Second)
		started(server, 1)
		second := start(client, work("waits", 1), time.Second)
		Eventually(func() int { h, _ := client.Health(within(time.Second)); return h.Queued }).Should(Equal(1))
		_, err := client.Send(within(time.Second), work("shed", 1))
		expectError(err, back.NotRun, back.Shedding)
		for _, c := range []*sent{first, second} {
			_, err = c.wait()
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Guards against callers that reach the control of a server through its service.
	It("is given for control paths in any spelling, before anything is sent", func() {
		_, client := pair(stand.BackendOptions{Fencing: assign.None}, back.Options{})
		for _, p := range []string{"/control/drain", "/x/../control/drain", "//control/drain", "/%63ontrol/drain", "/CONTROL/", "/stand/fault", "/%2e/stand"} {
			c := work("a", 1)
			c.Path = p
			_, err := client.Send(within(time.Second), c)
			expectError(err, back.NotRun, back.Rejected)
		}
	})

	// Guards against a second request that is hidden in a path.
	It("is given for paths and queries with spaces or line breaks", func() {
		_, client := pair(stand.BackendOptions{Fencing: assign.None}, back.Options{})
		for _, p := range []string{"", "x", "/a b", "/a\r\nX: y", "/a?b", "/a#b"} {
			c := work("a", 1)
			c.Path = p
			_, err := client.Send(within(time.Second), c)
			expectError(err, back.NotRun, back.Rejected)
		}
	})
})

var _ = Describe("header fields", func() {
	// Guards against a caller that forges its fence or deadline.
	It("of the caller do not replace those of this process", func() {
		server, client := pair(stand.BackendOptions{}, back.Options{})
		ctx := within(time.Second)
		_, err := client.Grant(ctx, time.Now().Add(time.Second), all(3))
		Expect(err).NotTo(HaveOccurred())
		c := work("real", 1)
		c.Headers = append(c.Headers,
			back.Header{Name: "request-id", Value: "forged"}, back.Header{Name: "grant-fence", Value: "3"},
			back.Header{Name: "KEY-HASH", Value: "0000000000000007"}, back.Header{Name: "Transfer-Encoding", Value: "chunked"})
		_, err = client.Send(ctx, c)
		expectError(err, back.NotRun, back.NoGrant)
		Expect(server.History()).To(BeEmpty())
	})
})

var _ = Describe("a frozen server", func() {
	// Guards against two owners of a key: the server goes on with what it had queued and received.
	It("of the kind grants runs nothing after its grant has lapsed", func() {
		server, client := pair(stand.BackendOptions{Slots: 1}, back.Options{})
		_, err := client.Grant(within(time.Second), time.Now().Add(time.Second), all(3))
		Expect(err).NotTo(HaveOccurred())
		running, waiting := keyed("running", 3), keyed("waiting", 3)
		running.Headers = []back.Header{{Name: "Run-Ms", Value: "800"}}
		first := start(client, running, 5*time.Second)
		started(server, 1)
		second := start(client, waiting, 5*time.Second)
		Eventually(func() int { h, _ := client.Health(within(time.Second)); return h.Queued }).Should(Equal(1))
		frozen := time.Now()
		server.SetFault(stand.BackendFault{FreezeMs: 1500})
		third := start(client, keyed("in the socket", 3), 5*time.Second)
		answer, err := first.wait()
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status).To(Equal(500))
		_, err = second.wait()
		expectError(err, back.NotRun, back.NoGrant)
		_, err = third.wait()
		expectError(err, back.NotRun, back.NoGrant)
		Expect(outcomes(server)).To(Equal(map[string]string{"running": stand.RunLapsed}))
		// The work ended with the freeze and not when it was noticed.
		Expect(server.History()[0].End).To(BeNumerically("<", frozen.Add(time.Second).UnixMicro()))
	})

	// Guards against a check of deadlines only when work starts.
	It("of the kind deadlines neither starts nor finishes work after Not-After", func() {
		server, client := pair(stand.BackendOptions{Fencing: assign.Deadlines}, back.Options{})
		c := work("running", 800)
		c.NotAfter = time.Now().Add(time.Second)
		first := start(client, c, 5*time.Second)
		started(server, 1)
		server.SetFault(stand.BackendFault{FreezeMs: 1500})
		c.RequestID = "in the socket"
		second := start(client, c, 5*time.Second)
		_, err := first.wait()
		Expect(err).NotTo(HaveOccurred())
		_, err = second.wait()
		expectError(err, back.NotRun, back.Deadline)
		Expect(outcomes(server)).To(Equal(map[string]string{"running": stand.RunExpired}))
	})

	// Guards against tests that pass because the stand-in is safer than the servers it stands for.
	It("of the kind none goes on with all its work", func() {
		server, client := pair(stand.BackendOptions{Fencing: assign.None, Slots: 1}, back.Options{})
		first := start(client, work("running", 800), 500*time.Millisecond)
		started(server, 1)
		server.SetFault(stand.BackendFault{FreezeMs: 1500})
		second := start(client, work("in the socket", 1), 100*time.Millisecond)
		_, err := first.wait()
		expectError(err, back.Unknown, back.Timeout)
		_, err = second.wait()
		expectError(err, back.Unknown, back.Timeout)
		Eventually(func() map[string]string { return outcomes(server) }, "5s").Should(Equal(map[string]string{
			"running": stand.RunFinished, "in the socket": stand.RunFinished,
		}))
	})
})

package fleet_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/examples"
	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
)

var _ = Describe("an invalid request", Ordered, func() {
	var f *fleet.Fleet

	BeforeAll(func() {
		plan, err := fleet.Load(examples.Files, "bakugaisma")
		Expect(err).NotTo(HaveOccurred())
		for i := range plan.Processes {
			plan.Processes[i].Limits.ReadTimeout = 200 * time.Millisecond
		}
		f = fleet.New(plan)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		DeferCleanup(cancel)
		Expect(f.Start(ctx)).To(Succeed())
		DeferCleanup(f.Stop)
	})

	// Guards against a refusal that does not state whether the call ran, and against invalid requests that
	// disturb other calls.
	DescribeTable("is refused with the outcome not-run and does not disturb other calls", func(request string, status int) {
		address := f.Node("entry-1").CallerAddress()
		conn, err := net.Dial("tcp", address.String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Write([]byte(request))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(testTimeout))).To(Succeed())
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(status))
		Expect(answer.Header.Get("Outcome")).To(Equal(caller.NotRun))
		Expect(answer.Header.Get("Remedy")).NotTo(BeEmpty())
		good, err := caller.New(caller.Options{}).Do(address, caller.Call{
			Method: http.MethodGet, Path: "/buoys/charge-log/charges/buoy-1", Timeout: time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(good.Outcome).To(Equal(caller.Ran))
	},
		Entry("text that is not HTTP", "hello\r\n\r\n", http.StatusBadRequest),
		Entry("a body over the limit",
			"POST /buoys/charge-log/charge-entries/b HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n\r\n", http.StatusRequestEntityTooLarge),
		Entry("a header over the limit",
			"GET /buoys/charge-log/charges/b HTTP/1.1\r\nHost: a\r\nBomb: "+strings.Repeat("x", 64<<10)+"\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge),
		Entry("a slow sender", "POST /buoys/charge-log/charge-entries/b HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf", http.StatusRequestTimeout),
		Entry("two keys in one booking header",
			"POST /buoys/charge-log/charge-entries/b HTTP/1.1\r\nHost: a\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n", http.StatusBadRequest),
		Entry("a timeout that is not a number",
			"GET /buoys/charge-log/charges/b HTTP/1.1\r\nHost: a\r\nTimeout-Ms: soon\r\n\r\n", http.StatusBadRequest),
	)
})

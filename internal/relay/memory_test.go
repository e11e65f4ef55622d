package relay_test

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/body"
)

// stalledBody returns a responder that sends the first bytes of a longer body, in the given framing, and then nothing.
func stalledBody(framing string, bytes int) responder {
	content := []byte(strings.Repeat("x", bytes))
	return func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n%s\r\n", id, framing)
		c.Write(content)
	}
}

// liveBytes returns the size of the heap without garbage.
func liveBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

var _ = Describe("the memory of a relay", func() {
	const (
		large = 6 << 20
		// maxLogLine is the largest length of a line of the log, in bytes.
		maxLogLine = 4 << 10
	)

	// Guards against a process that exceeds its memory and is ended: many servers send large bodies at once, or bodies
	// without an end.
	DescribeTable("is bounded, however many large responses arrive at once",
		func(framing string) {
			f := newFixture()
			f.view.Config.Match("yards.example", "/book/1").Timeout = 2 * time.Second
			f.addServer("s-1", bookings, newFakeServer(stalledBody(framing, large)))
			before := liveBytes()
			for range 40 {
				f.dial().send("POST", "/book/1", "", "")
			}
			refused := func() int { return strings.Count(f.log.String(), body.ErrNoMemory.Error()) }
			Eventually(refused, "5s", "5ms").Should(BeNumerically(">=", 20))
			Expect(f.options.Memory.Used()).To(BeNumerically("<=", bodyMemory))
			held := liveBytes()
			for range 5 {
				// What was freed while the garbage collector ran counts as live.
				held = min(held, liveBytes())
			}
			Expect(held).To(BeNumerically("<", before+2*bodyMemory))
			Eventually(f.options.Memory.Used, "5s", "5ms").Should(BeZero())
		},
		Entry("with a length", "Content-Length: 7000000\r\n"),
		Entry("chunked", "Transfer-Encoding: chunked\r\n\r\n700000"),
		Entry("until the connection closes", ""),
	)

	// Guards against a process that exceeds its memory and is ended: servers send bytes without end that are no response, and
	// the process keeps them, also in its log.
	DescribeTable("is bounded, however many servers send bytes without end",
		func(r responder) {
			f := newFixture()
			f.view.Config.Match("yards.example", "/book/1").Timeout = 2 * time.Second
			f.addServer("s-1", bookings, newFakeServer(r))
			before := liveBytes()
			for range 40 {
				f.dial().send("POST", "/book/1", "", "")
			}
			ended := func() int { return strings.Count(f.log.String(), "request-ended") }
			Eventually(ended, "5s", "5ms").Should(Equal(40))
			Expect(liveBytes()).To(BeNumerically("<", before+bodyMemory))
			for _, line := range strings.Split(f.log.String(), "\n") {
				Expect(len(line)).To(BeNumerically("<", maxLogLine))
			}
		},
		Entry("in a header", endless("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", "X-Filler: abc\r\n")),
		Entry("after a line that is no status line", endless("%s is not HTTP\r\n", "\xff")),
		Entry("in a status line", endless("HTTP/1.1 200 %s", "x")),
		Entry("in interim responses", endless("HTTP/1.1 100 Continue\r\nX: %s\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n")),
		Entry("in a chunk extension", endless(chunkedHead+"4;x=", "x")),
		Entry("in a trailer", endless(chunkedHead+"0\r\n", "X-Filler: abc\r\n")),
	)

	// Guards against a response of a server that ran the request being replaced by an error because other bodies use the
	// memory.
	It("leaves room for small responses", func() {
		f := newFixture()
		f.options.Memory.Request().Resize(bodyMemory * 3 / 4)
		for range 20 {
			f.options.Memory.Response().Resize(bodyMemory / 8)
		}
		f.addServer("s-1", bookings, newFakeServer(fullResponse(200, "Response-Signature: s\r\n", strings.Repeat("x", 50_000))))
		c := f.dial()
		c.send("POST", "/book/1", "", "")
		Expect(c.receive().Body()).To(HaveLen(50_000))
	})

	// Guards against buffers that idle connections of callers keep.
	It("is free once a response has been sent", func() {
		f := newFixture()
		f.addServer("s-1", bookings, newFakeServer(fullResponse(200, "Response-Signature: s\r\n", strings.Repeat("x", large))))
		c := f.dial()
		c.send("POST", "/book/1", "", "")
		Expect(c.receive().Body()).To(HaveLen(large))
		Eventually(f.options.Memory.Used, time.Second).Should(BeZero())
	})
})

var _ = Describe("the memory for requests", func() {
	withLimit := func(bodyBytes int) *fixture {
		f := newFixture()
		f.view.Config.Limits.BodyBytes = bodyBytes
		f.addServer("s-1", bookings, newFakeServer(unresponsive))
		f.view.Config.Match("yards.example", "/book/1").Timeout = 2 * time.Second
		return f
	}

	// Guards against a process that exceeds its memory and is ended because several callers send large bodies that are in
	// order. What does not fit is rejected before it is sent on.
	DescribeTable("rejects bodies that do not fit",
		func(framing string) {
			f := withLimit(64 << 20)
			const size = 10 << 20
			content := strings.Repeat("x", size)
			var callers []*caller
			for range 6 {
				c := f.dial()
				go fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: yards.example\r\nRequest-Id: r-1\r\nDeadline-Ms: 2000\r\n"+framing, size, content)
				callers = append(callers, c)
			}
			statuses := map[int]int{}
			for _, c := range callers {
				response := c.receive()
				statuses[response.StatusCode()]++
				if response.StatusCode() == 503 {
					Expect(response.Header.Peek("Retry-After")).NotTo(BeEmpty())
					Expect(string(response.Header.Peek("Request-Id"))).To(Equal("r-1"))
				}
			}
			// Three quarters of the memory are for requests. The others wait for the server until their timeout.
			Expect(statuses).To(Equal(map[int]int{504: 2, 503: 4}))
			Expect(f.options.Memory.Used()).To(BeNumerically("<=", bodyMemory))
			Eventually(f.options.Memory.Used, "5s", "5ms").Should(BeZero())
		},
		Entry("with a length", "Content-Length: %d\r\n\r\n%s"),
	)

	// Guards against a chunked body that grows without a reservation.
	It("bounds a body in chunks", func() {
		f := withLimit(64 << 20)
		c := f.dial()
		chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<20, strings.Repeat("x", 1<<20))
		fmt.Fprint(c, "POST /book/1 HTTP/1.1\r\nHost: yards.example\r\nRequest-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range 40 {
			if _, err := fmt.Fprint(c, chunk); err != nil {
				break
			}
			Expect(f.options.Memory.Used()).To(BeNumerically("<=", bodyMemory))
		}
		Expect(c.receive().StatusCode()).To(Equal(503))
	})

	// Guards against a caller that sends a body which is rejected in any case.
	It("is asked for before a caller is told to go on", func() {
		f := withLimit(64 << 20)
		f.options.Memory.Request().Resize(bodyMemory * 3 / 4)
		c := f.dial()
		fmt.Fprint(c, "POST /book/1 HTTP/1.1\r\nHost: yards.example\r\nRequest-Id: r-1\r\nExpect: 100-continue\r\nContent-Length: 5000\r\n\r\n")
		Expect(c.receive().StatusCode()).To(Equal(503))
	})

	It("leaves 413 to bodies that are larger than the configuration allows", func() {
		f := withLimit(1000)
		c := f.dial()
		c.send("POST", "/book/1", "", strings.Repeat("x", 1001))
		Expect(c.receive().StatusCode()).To(Equal(413))
	})
})

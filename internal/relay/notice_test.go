package relay_test

import (
	"fmt"
	"net"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

var _ = Describe("a server that says more in its responses", func() {
	signed := func(fields string) responder {
		return fullResponse(200, "Response-Signature: s\r\n"+fields, "hello")
	}
	turnedAway := func(fields string) responder { return fullResponse(503, "Not-Executed: 1\r\n"+fields, "") }
	owns := func(f *fixture, s assign.Server) {
		f.view.Tables = map[assign.ServiceID]shard.Table{ledger: {Rows: []shard.Row{{
			Range: shard.Range{First: 0, Last: shard.LastKey}, Owner: shard.HolderOf(s), Open: true,
		}}}}
	}
	get := func(c *caller, path string) int {
		c.send("GET", path, "Shard-Key: 7\r\n", "")
		return c.receive().StatusCode()
	}

	// Guards against new requests to a server that is leaving, which it has told this process, before the list of servers
	// says so.
	DescribeTable("that it is leaving gets no more requests if others can run them",
		func(value string, leaves bool) {
			f := newFixture()
			leaving, other := newFakeServer(signed("Server-Leaving: "+value+"\r\n")), newFakeServer(success)
			f.addServer("s-1", history, leaving)
			c := f.dial()
			Expect(get(c, "/history/1")).To(Equal(200))
			f.addServer("s-2", history, other)
			for range 40 {
				Expect(get(c, "/history/1")).To(Equal(200))
			}
			if leaves {
				Expect(leaving.requests()).To(Equal(1))
			} else {
				Expect(leaving.requests()).To(BeNumerically(">", 1))
			}
		},
		Entry("1", "1", true),
		Entry("1 among other values", "0\r\nServer-Leaving: 1", true),
		Entry("0", "0", false),
		Entry("a word", "yes", false),
	)

	// Guards against requests to an owner of keys later than the drain time after it has said that it is leaving.
	It("that it is leaving gets requests for its keys until its drain time is over, in each of its runs", func() {
		f := newFixture()
		f.options.Bounds.DrainTime = 300 * time.Millisecond
		f.startRelay()
		s := newFakeServer(signed("Server-Leaving: 1\r\n"))
		owns(f, s.entry("s-1", ledger))
		f.addServer("s-1", ledger, s)
		c := f.dial()
		Expect(get(c, "/ledger/1")).To(Equal(200))
		Expect(get(c, "/ledger/1")).To(Equal(200))
		time.Sleep(300 * time.Millisecond)
		Expect(get(c, "/ledger/1")).To(Equal(503))
		Expect(s.requests()).To(Equal(2))
		next := s.entry("s-1", ledger)
		next.Born = 2
		owns(f, next)
		f.view.Services[ledger] = []assign.Server{next}
		f.views.Publish(f.view)
		Expect(get(c, "/ledger/1")).To(Equal(200))
	})

	// Guards against requests to a server that has said for how long it wants none, and against clients that are not told
	// when to return.
	DescribeTable("for how long it wants no requests gets none, if the time is one",
		func(r responder, first int, closed bool) {
			f := newFixture()
			s := newFakeServer(r, success)
			owns(f, s.entry("s-1", ledger))
			f.view.Config.Match("yards.example", "/ledger/1").Idempotent = false
			f.addServer("s-1", ledger, s)
			c := f.dial()
			Expect(get(c, "/ledger/1")).To(Equal(first))
			sent := s.requests()
			c.send("GET", "/ledger/1", "Shard-Key: 7\r\n", "")
			response := c.receive()
			if !closed {
				Expect(response.StatusCode()).To(Equal(200))
				return
			}
			Expect(response.StatusCode()).To(Equal(503))
			after, err := strconv.ParseFloat(string(response.Header.Peek("Retry-After")), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(after).To(BeNumerically(">=", 0.1))
			Expect(s.requests()).To(Equal(sent))
			Expect(f.log.String()).To(ContainSubstring("server-notice"))
		},
		Entry("seconds", turnedAway("Retry-After: 2\r\n"), 503, true),
		Entry("a fraction", turnedAway("Retry-After: 0.9\r\n"), 503, true),
		Entry("huge", turnedAway("Retry-After: 1e300\r\n"), 503, true),
		Entry("two times", turnedAway("Retry-After: 0\r\nRetry-After: 3\r\n"), 503, true),
		Entry("without the word that it has not run", fullResponse(503, "Retry-After: 2\r\n", ""), 502, true),
		Entry("negative", turnedAway("Retry-After: -2\r\n"), 503, false),
		Entry("no number", turnedAway("Retry-After: soon\r\n"), 503, false),
		Entry("not a number by name", turnedAway("Retry-After: NaN\r\n"), 503, false),
		Entry("infinity", turnedAway("Retry-After: inf\r\n"), 503, false),
		Entry("in a success", signed("Retry-After: 2\r\n"), 200, false),
		Entry("in a success that is broken", fullResponse(200, "Server-Leaving: 1\r\nRetry-After: 2\r\n", "hello"), 502, false),
		Entry("in an extra response", responder(func(c net.Conn, id string) {
			fmt.Fprint(c, "HTTP/1.1 503 X\r\nRequest-Id: other\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n")
			success(c, id)
		}), 200, false),
		Entry("from another server at the address", fullResponse(421, "Server-Leaving: 1\r\nRetry-After: 2\r\n", ""), 503, false),
	)

	It("gets requests again when the time is over, and in its next run", func() {
		f := newFixture()
		s := newFakeServer(turnedAway("Retry-After: 0.3\r\n"), turnedAway("Retry-After: 60\r\n"), success)
		f.addServer("s-1", history, s)
		c := f.dial()
		Expect(get(c, "/history/1")).To(Equal(503))
		Expect(get(c, "/history/1")).To(Equal(503))
		Expect(s.requests()).To(Equal(1))
		time.Sleep(350 * time.Millisecond)
		Expect(get(c, "/history/1")).To(Equal(503))
		Expect(s.requests()).To(Equal(2))
		next := s.entry("s-1", history)
		next.Born = 2
		f.view.Services[history] = []assign.Server{next}
		f.views.Publish(f.view)
		Expect(get(c, "/history/1")).To(Equal(200))
	})
})

package relay_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// copyServer rejects the first attempts of each request and runs the next one. On each connection it sends every answer
// again, late.
type copyServer struct {
	// rejections is the number of attempts of each request that it rejects.
	rejections int
	// late is the number of answers after which the copy of an answer comes, and copies the number of copies.
	late, copies int
	// unnamed leaves the request ID out of the rejections.
	unnamed bool
	// anywhere sends the copies on any connection.
	anywhere bool

	mu sync.Mutex
	// attempts is the number of arrivals by booking, and runs that by request.
	attempts map[string]int
	runs     map[string]int
	// sent are the answers on all connections.
	sent []string
}

func (s *copyServer) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	var sent []string
	for {
		var request fasthttp.Request
		if err := request.Read(reader); err != nil {
			return
		}
		earlier := sent
		if s.anywhere {
			earlier = s.allSent()
		}
		answer := s.answer(string(request.Header.Peek("Request-Id")))
		if i := len(earlier) - s.late; i >= 0 {
			for range s.copies {
				fmt.Fprint(c, earlier[i])
			}
		}
		fmt.Fprint(c, answer)
		sent = append(sent, answer)
	}
}

func (s *copyServer) allSent() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

func (s *copyServer) answer(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.draw(id)
	s.sent = append(s.sent, answer)
	return answer
}

// draw returns the answer to the next arrival of a request.
func (s *copyServer) draw(id string) string {
	booking, _, _ := strings.Cut(id, ".")
	s.attempts[booking]++
	if s.attempts[booking] <= s.rejections {
		name := "Request-Id: " + id + "\r\n"
		if s.unnamed {
			name = ""
		}
		return "HTTP/1.1 503 X\r\n" + name + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	s.runs[id]++
	return fmt.Sprintf("HTTP/1.1 200 X\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
}

// start starts the server as a fakeServer, whose entry names its address.
func (s *copyServer) start() *fakeServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { l.Close() })
	s.attempts, s.runs = map[string]int{}, map[string]int{}
	acceptor := &connAcceptor{listener: l, serve: s.serve}
	go acceptor.run()
	return &fakeServer{listener: l}
}

// connAcceptor calls serve for each connection.
type connAcceptor struct {
	listener net.Listener
	serve    func(net.Conn)
	group    conc.WaitGroup
}

func (a *connAcceptor) run() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.group.Go(func() {
			defer c.Close()
			a.serve(c)
		})
	}
}

// newCopyFixture returns a fixture in which the server owns all keys, requests for which are not idempotent.
func newCopyFixture(s *copyServer) *fixture {
	f := newFixture()
	f.options.Bounds.RetryBurst = 1000
	f.startRelay()
	rule := f.view.Config.Match("yards.example", "/ledger/1")
	rule.Idempotent = false
	rule.Objective = 40 * time.Millisecond
	started := s.start()
	f.view.Tables = map[assign.ServiceID]shard.Table{ledger: {Rows: []shard.Row{{
		Range: shard.Range{First: 0, Last: shard.LastKey}, Owner: shard.HolderOf(started.entry("s-1", ledger)), Open: true,
	}}}}
	f.addServer("s-1", ledger, started)
	return f
}

var _ = Describe("a late copy of an answer", func() {
	// maxCalls is the largest number of requests for one booking.
	const maxCalls = 4

	// Guards against a request that runs twice, or runs after it was refused, because the copy of an answer to an earlier
	// attempt, or to another request, was taken for the answer to the last attempt.
	DescribeTable("proves nothing about another attempt",
		func(rejections, late, copies int, unnamed, anywhere bool) {
			s := &copyServer{rejections: rejections, late: late, copies: copies, unnamed: unnamed, anywhere: anywhere}
			f := newCopyFixture(s)
			// Callers take turns on few connections, so that each request meets the copies of earlier answers.
			callers := []*caller{f.dial(), f.dial(), f.dial()}
			answered, done := 0, map[int]bool{}
			for i := range 30 * maxCalls {
				// A caller that was refused comes back with a new ID.
				booking := i / maxCalls
				if done[booking] {
					continue
				}
				c, id := callers[booking%len(callers)], fmt.Sprintf("r-%d.%d", booking, i%maxCalls)
				fmt.Fprintf(c, "POST /ledger/1 HTTP/1.1\r\nHost: yards.example\r\nShard-Key: 7\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", id)
				response := c.receive()
				s.mu.Lock()
				Expect(s.runs[id]).To(BeNumerically("<=", 1), id)
				switch response.StatusCode() {
				case 503:
					Expect(s.runs[id]).To(BeZero(), id)
				case 200:
					Expect(string(response.Body())).To(Equal(id))
					answered++
					done[booking] = true
				}
				s.mu.Unlock()
			}
			if !unnamed && rejections < 4 && copies < 4 {
				Expect(answered).To(Equal(30))
			}
		},
		Entry("of a success", 0, 1, 1, false, false),
		Entry("of a rejection", 1, 1, 1, false, false),
		Entry("of two rejections", 2, 1, 1, false, false),
		Entry("two answers late", 1, 2, 1, false, false),
		Entry("three answers late", 2, 3, 1, false, false),
		Entry("twice", 1, 1, 2, false, false),
		Entry("more often than answers are skipped", 1, 1, 4, false, false),
		Entry("of a rejection that is final", 4, 1, 1, false, false),
		Entry("of a rejection that names no request", 1, 1, 1, true, false),
		Entry("of two rejections that name no request, two answers late", 2, 2, 1, true, false),
		Entry("of a rejection, on another connection", 1, 1, 1, false, true),
		Entry("of two rejections, on another connection", 2, 1, 1, false, true),
		Entry("of a success, on another connection", 0, 1, 1, false, true),
	)

	// Guards against an answer to the last request of a caller that is taken for the answer to a request without an ID.
	It("is not taken for the answer to a request without an ID", func() {
		s := &copyServer{rejections: 1, late: 1, copies: 1}
		f := newCopyFixture(s)
		c := f.dial()
		var statuses []int
		for range 4 {
			fmt.Fprint(c, "POST /ledger/1 HTTP/1.1\r\nHost: yards.example\r\nShard-Key: 7\r\nContent-Length: 0\r\n\r\n")
			statuses = append(statuses, c.receive().StatusCode())
		}
		Expect(statuses).To(Equal([]int{503, 200, 200, 200}))
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(s.runs[""]).To(Equal(3))
	})
})

package relay_test

import (
	"bufio"
	"fmt"
	"net"
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

	mu       sync.Mutex
	attempts map[string]int
	runs     map[string]int
}

func (s *copyServer) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	var sent []string
	for {
		var request fasthttp.Request
		if err := request.Read(reader); err != nil {
			return
		}
		answer := s.answer(string(request.Header.Peek("Request-Id")))
		if i := len(sent) - s.late; i >= 0 {
			for range s.copies {
				fmt.Fprint(c, sent[i])
			}
		}
		fmt.Fprint(c, answer)
		sent = append(sent, answer)
	}
}

func (s *copyServer) answer(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[id]++
	if s.attempts[id] <= s.rejections {
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
	// Guards against a request that runs twice, or runs after it was refused, because the copy of an answer to an earlier
	// attempt, or to another request, was taken for the answer to the last attempt.
	DescribeTable("proves nothing about another attempt",
		func(rejections, late, copies int, unnamed bool) {
			s := &copyServer{rejections: rejections, late: late, copies: copies, unnamed: unnamed}
			f := newCopyFixture(s)
			// Callers take turns on few connections, so that each request meets the copies of earlier answers.
			callers := []*caller{f.dial(), f.dial(), f.dial()}
			answered := 0
			for i := range 30 {
				c, id := callers[i%len(callers)], fmt.Sprintf("r-%d", i)
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
				}
				s.mu.Unlock()
			}
			if !unnamed && rejections < 4 && copies < 4 {
				Expect(answered).To(Equal(30))
			}
		},
		Entry("of a success", 0, 1, 1, false),
		Entry("of a rejection", 1, 1, 1, false),
		Entry("of two rejections", 2, 1, 1, false),
		Entry("two answers late", 1, 2, 1, false),
		Entry("three answers late", 2, 3, 1, false),
		Entry("twice", 1, 1, 2, false),
		Entry("more often than answers are skipped", 1, 1, 4, false),
		Entry("of a rejection that is final", 4, 1, 1, false),
		Entry("of a rejection that names no request", 1, 1, 1, true),
		Entry("of two rejections that name no request, two answers late", 2, 2, 1, true),
	)

	// Guards against an answer to the last request of a caller that is taken for the answer to a request without an ID.
	It("is not taken for the answer to a request without an ID", func() {
		f := newCopyFixture(&copyServer{rejections: 1, late: 1, copies: 1})
		c := f.dial()
		for range 3 {
			fmt.Fprint(c, "POST /ledger/1 HTTP/1.1\r\nHost: yards.example\r\nShard-Key: 7\r\nContent-Length: 0\r\n\r\n")
			Expect(c.receive().StatusCode()).To(Equal(200))
		}
	})
})

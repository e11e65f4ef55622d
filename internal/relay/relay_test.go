package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/relay"
	"github.com/samphiredrum/samphiredrum/internal/route"
	"github.com/samphiredrum/samphiredrum/internal/view"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
	"github.com/samphiredrum/samphiredrum/platform"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// answer is what a fake server writes after it has read a request with the id.
type answer func(c net.Conn, id string)

// whole returns a complete answer.
func whole(status int, fields, body string) answer {
	return func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, fields, len(body), body)
	}
}

var (
	ok    = whole(200, "Response-Signature: s\r\n", "hello")
	shed  = whole(503, "Not-Executed: 1\r\n", "")
	fails = whole(500, "Response-Signature: s\r\n", "broken")
)

// cut closes the connection without an answer.
func cut(c net.Conn, _ string) { c.Close() }

// short sends less than it announces.
func short(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 50\r\n\r\nhel", id)
	c.Close()
}

// unmarked sends a body that ends with the connection.
func unmarked(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n\r\nhello", id)
	c.Close()
}

// foreign sends the answer to another request first.
func foreign(c net.Conn, id string) {
	whole(200, "Response-Signature: s\r\n", "other")(c, "another")
	ok(c, id)
}

// noise sends bytes that are no answer.
func noise(c net.Conn, _ string) {
	fmt.Fprint(c, "%%%% this is not HTTP\r\n\r\n")
	c.Close()
}

// silent never answers.
func silent(net.Conn, string) {}

// backend is a fake server. It gives its answers in turn and the last one from then on.
type backend struct {
	listener net.Listener
	group    conc.WaitGroup
	mu       sync.Mutex
	answers  []answer
	bodies   []string
	targets  []string
	waits    []int
	closed   int
}

func newBackend(answers ...answer) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	b := &backend{listener: l, answers: answers}
	b.group.Go(b.run)
	DeferCleanup(func() { l.Close() })
	return b
}

func (b *backend) run() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		s := &session{backend: b, conn: c}
		b.group.Go(s.run)
	}
}

type session struct {
	backend *backend
	conn    net.Conn
}

func (s *session) run() {
	defer s.conn.Close()
	reader := bufio.NewReader(s.conn)
	for {
		var request fasthttp.Request
		if err := request.Read(reader); err != nil {
			s.backend.mu.Lock()
			s.backend.closed++
			s.backend.mu.Unlock()
			return
		}
		s.backend.next(&request)(s.conn, string(request.Header.Peek("Request-Id")))
	}
}

func (b *backend) next(r *fasthttp.Request) answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies = append(b.bodies, string(r.Body()))
	b.targets = append(b.targets, string(r.Header.RequestURI()))
	wait, _ := strconv.Atoi(string(r.Header.Peek("Deadline-Ms")))
	b.waits = append(b.waits, wait)
	a := b.answers[0]
	if len(b.answers) > 1 {
		b.answers = b.answers[1:]
	}
	return a
}

func (b *backend) requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.targets)
}

// longest returns the longest time in ms that a request gave the server.
func (b *backend) longest() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Max(b.waits)
}

func (b *backend) closes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}

func (b *backend) listed(id string, service assign.ServiceID) assign.Server {
	return assign.Server{
		ID: assign.ServerID(id), Service: service, FailureDomain: "fd-1", Slots: 6, Born: 1,
		Address: netip.MustParseAddrPort(b.listener.Addr().String()),
	}
}

const (
	history  = assign.ServiceID("history")
	bookings = assign.ServiceID("bookings")
	ledger   = assign.ServiceID("ledger")
)

// bench is a relay with its callers' address.
type bench struct {
	board  *view.Publisher
	relay  *relay.Relay
	server *relay.Server
	view   view.View
	log    *lines
}

// lines keeps what was logged.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// String returns all lines.
func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newBench() *bench {
	rule := func(prefix string, service assign.ServiceID, repeatable bool) *route.Rule {
		return &route.Rule{
			Name: prefix, Host: "yards.example", Prefix: prefix, Idempotent: repeatable, Objective: 300 * time.Millisecond,
			Timeout: 700 * time.Millisecond, Attempts: 2, Targets: []route.Target{{Service: service, Weight: 1}},
		}
	}
	ledgerRule := rule("/ledger/", ledger, true)
	ledgerRule.Priority = 1
	services := []route.Service{
		{ID: history, Connections: 130}, {ID: bookings, Connections: 130}, {ID: ledger, Connections: 130, Partitioned: true},
	}
	limits := route.Limits{HeaderBytes: 4096, BodyBytes: 1000, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}
	b := &bench{board: view.NewPublisher(), view: view.View{
		Config: route.New(1, []*route.Rule{
			rule("/history/", history, true), rule("/book/", bookings, false), ledgerRule, rule("/urgent/", ledger, true),
		}, services, limits),
		ServersKnown: true, Services: map[assign.ServiceID][]assign.Server{}, Processes: 1,
	}, log: &lines{}}
	b.relay = relay.New(relay.Options{
		Board: b.board, Messages: platform.Messages{}, FailureDomain: "fd-1",
		Bounds: relay.Bounds{DrainTime: 2 * time.Second, RetryShare: 0.2, RetryBurst: 60, RetryWindow: 10 * time.Second},
		Clock:  clock.System(), Log: zerolog.New(io.MultiWriter(GinkgoWriter, b.log)),
		Use: func(assign.ServiceID, uint16) {}, Ran: func(assign.ServiceID, assign.ServerID, time.Duration) {},
		Meter: relay.NewMeter(prometheus.NewRegistry()),
	})
	var err error
	b.server, err = relay.Listen(netip.MustParseAddrPort("127.0.0.1:0"), b.relay)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		b.server.Drain()
		b.server.Refuse()
		b.relay.Close()
	})
	return b
}

// add lists a server and publishes the view.
func (b *bench) add(id string, service assign.ServiceID, s *backend) {
	b.view.Services[service] = append(b.view.Services[service], s.listed(id, service))
	b.board.Publish(b.view)
}

func (b *bench) dial() *caller {
	c, err := net.Dial("tcp", b.server.Address().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { c.Close() })
	return &caller{Conn: c, reader: bufio.NewReader(c)}
}

// caller is one connection to the relay.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (c *caller) send(method, path, fields, body string) {
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: yards.example\r\nRequest-Id: r-1\r\nDeadline-Ms: 2000\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, fields, len(body), body)
}

func (c *caller) receive() *fasthttp.Response {
	response := &fasthttp.Response{}
	Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	Expect(response.Read(c.reader)).To(Succeed())
	return response
}

var _ = Describe("a request", func() {
	// Guards the outcome of a request against what servers do: a request that may run once is never
	// sent twice after a server may have run it, a refusal is true, and only whole answers count.
	DescribeTable("ends as its server allows",
		func(path string, answers []answer, status, sends int, body string) {
			b := newBench()
			service := history
			if path == "/book/1" {
				service = bookings
			}
			s := newBackend(answers...)
			b.add("s-1", service, s)
			b.add("s-2", service, s)
			c := b.dial()
			c.send("POST", path, "", "x=1")
			response := c.receive()
			Expect(response.StatusCode()).To(Equal(status))
			Expect(s.requests()).To(Equal(sends))
			if body != "" {
				Expect(string(response.Body())).To(Equal(body))
			}
			if status == 503 {
				Expect(response.Header.Peek("Retry-After")).NotTo(BeEmpty())
				Expect(response.Header.Peek("Response-Signature")).To(BeEmpty())
			}
		},
		Entry("answered", "/book/1", []answer{ok}, 200, 1, "hello"),
		Entry("once, refused then answered", "/book/1", []answer{shed, ok}, 200, 2, "hello"),
		Entry("once, cut after it was sent", "/book/1", []answer{cut, ok}, 502, 1, ""),
		Entry("once, answered in part", "/book/1", []answer{short, ok}, 502, 1, ""),
		Entry("once, answered with noise", "/book/1", []answer{noise, ok}, 502, 1, ""),
		Entry("once, failed by its server", "/book/1", []answer{fails, ok}, 500, 1, "broken"),
		Entry("once, refused by all", "/book/1", []answer{shed}, 503, 4, ""),
		Entry("repeatable, cut then answered", "/history/1", []answer{cut, ok}, 200, 2, "hello"),
		Entry("repeatable, answered in part then whole", "/history/1", []answer{short, ok}, 200, 2, "hello"),
		Entry("repeatable, failed on as many servers as allowed", "/history/1", []answer{fails, fails, ok}, 500, 2, "broken"),
		Entry("repeatable, cut on as many servers as allowed", "/history/1", []answer{cut, cut, ok}, 502, 2, ""),
		Entry("after an answer to another request", "/book/1", []answer{foreign}, 200, 1, "hello"),
		Entry("with a body that ends with the connection", "/book/1", []answer{unmarked}, 200, 1, "hello"),
		Entry("with an encoded body", "/book/1", []answer{whole(200, "Content-Encoding: gzip\r\n", "zip")}, 502, 1, ""),
		Entry("with a success that no server vouches for", "/book/1", []answer{whole(200, "", "hello"), ok}, 502, 1, ""),
		Entry("repeatable, with such a success first", "/history/1", []answer{whole(200, "", "other"), ok}, 200, 2, "hello"),
	)

	// A request whose route's time is over has its final answer, and its server was told the time.
	It("ends with the time of its rule", func() {
		b := newBench()
		s := newBackend(silent)
		b.add("s-1", bookings, s)
		c := b.dial()
		c.send("POST", "/book/1", "", "")
		Expect(c.receive().StatusCode()).To(Equal(504))
		Expect(s.longest()).To(BeNumerically("<=", 700))
	})

	// Guards against work for callers that have left.
	It("is given up at its server when its caller leaves", func() {
		b := newBench()
		s := newBackend(silent)
		b.add("s-1", bookings, s)
		c := b.dial()
		c.send("POST", "/book/1", "", "")
		Eventually(s.requests).Should(Equal(1))
		c.Close()
		Eventually(s.closes, 5*time.Second, 5*time.Millisecond).Should(Equal(1))
		Eventually(b.log.String, 5*time.Second).Should(ContainSubstring("reason-gone"))
	})

	// Guards against a body that is taken for the next request.
	It("keeps a body of a GET with it", func() {
		b := newBench()
		s := newBackend(ok)
		b.add("s-1", history, s)
		c := b.dial()
		inner := "GET /history/smuggled HTTP/1.1\r\nHost: yards.example\r\n\r\n"
		c.send("GET", "/history/a?b=c", "", inner)
		Expect(c.receive().StatusCode()).To(Equal(200))
		c.send("GET", "/history/b", "", "")
		Expect(c.receive().StatusCode()).To(Equal(200))
		Expect(s.targets).To(Equal([]string{"/history/a?b=c", "/history/b"}))
		Expect(s.bodies[0]).To(Equal(inner))
	})

	DescribeTable("is answered by the relay itself",
		func(send func(c *caller), status int) {
			b := newBench()
			b.add("s-1", history, newBackend(ok))
			c := b.dial()
			send(c)
			Expect(c.receive().StatusCode()).To(Equal(status))
		},
		Entry("without a rule", func(c *caller) { c.send("GET", "/nowhere/", "", "") }, 404),
		Entry("without a server", func(c *caller) { c.send("POST", "/book/1", "", "") }, 503),
		Entry("without a key", func(c *caller) { c.send("GET", "/ledger/1", "", "") }, 400),
		Entry("with a key that nobody owns", func(c *caller) { c.send("GET", "/ledger/1", "Shard-Key: 7\r\n", "") }, 503),
		Entry("with a body that is too long", func(c *caller) { c.send("POST", "/history/1", "", string(make([]byte, 2000))) }, 413),
		Entry("that is malformed", func(c *caller) { fmt.Fprint(c, "GET\r\n\r\n") }, 400),
	)

	// A process that knows no configuration yet must not say that a route does not exist.
	It("is refused as not run before a configuration is known", func() {
		c := newBench().dial()
		c.send("POST", "/book/1", "", "")
		Expect(c.receive().StatusCode()).To(Equal(503))
	})

	// Guards against requests that are lost while a key moves.
	It("waits for an owner of its key that is on the way", func() {
		b := newBench()
		s := newBackend(ok)
		b.add("s-1", ledger, s)
		c := b.dial()
		c.send("GET", "/ledger/1", "Shard-Key: 7\r\n", "")
		time.Sleep(50 * time.Millisecond)
		b.view.Tables = map[assign.ServiceID]shard.Table{ledger: {Rows: []shard.Row{{
			Range: shard.Range{First: 0, Last: shard.LastKey}, Owner: shard.HolderOf(s.listed("s-1", ledger)), Open: true,
		}}}}
		b.board.Publish(b.view)
		Expect(c.receive().StatusCode()).To(Equal(200))
	})

	// All requests for a busy key waited behind a full queue at its owner, and most of them were refused
	// only there or came back too late.
	It("is refused at once for its part where the owner has too many, unless it is urgent", func() {
		b := newBench()
		s := newBackend(ok)
		b.add("s-1", ledger, s)
		b.view.Tables = map[assign.ServiceID]shard.Table{ledger: {Rows: []shard.Row{{
			Range: shard.Range{First: 0, Last: shard.LastKey}, Owner: shard.HolderOf(s.listed("s-1", ledger)),
			Open: true, Shed: shard.ShedSteps / 2,
		}}}}
		b.board.Publish(b.view)
		c := b.dial()
		refused := 0
		for range 64 {
			c.send("GET", "/ledger/1", "Shard-Key: 7\r\n", "")
			if r := c.receive(); r.StatusCode() == 503 {
				refused++
				// As many requests are too many as can run: a repeat after half the objective.
				Expect(string(r.Header.Peek("Retry-After"))).To(Equal("0.15"))
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
		Expect(s.requests()).To(Equal(64 - refused))
		for range 16 {
			c.send("GET", "/urgent/1", "Shard-Key: 7\r\n", "")
			Expect(c.receive().StatusCode()).To(Equal(200))
		}
	})

	// A changed settings file was read at the next start only.
	It("follows bounds that change while the process runs", func() {
		b := newBench()
		b.add("s-1", history, newBackend(shed))
		b.add("s-2", history, newBackend(shed))
		c := b.dial()
		c.send("GET", "/history/1", "", "")
		Expect(c.receive().StatusCode()).To(Equal(503))
		Expect(b.log.String()).To(ContainSubstring("\"sends\":4"))
		b.relay.SetBounds(relay.Bounds{DrainTime: 2 * time.Second, RetryWindow: 10 * time.Second})
		c.send("GET", "/history/1", "", "")
		Expect(c.receive().StatusCode()).To(Equal(503))
		Expect(b.log.String()).To(ContainSubstring("\"sends\":1"))
	})

	// The race detector found that a view was taken over while a request read what it is about to change.
	It("runs while views are taken over", func() {
		b := newBench()
		s := newBackend(ok)
		b.add("s-1", history, s)
		owner := s.listed("s-1", ledger)
		b.view.Services[ledger] = []assign.Server{owner}
		b.view.Tables = map[assign.ServiceID]shard.Table{ledger: {Rows: []shard.Row{{
			Range: shard.Range{First: 0, Last: shard.LastKey}, Owner: shard.HolderOf(owner), Open: true,
		}}}}
		b.board.Publish(b.view)
		var group conc.WaitGroup
		for _, path := range []string{"/history/1", "/ledger/1"} {
			group.Go(sender{b.dial(), path}.run)
		}
		for i := range 200 {
			listed := owner
			listed.WarmUp = time.Duration(i)
			b.view.Services = map[assign.ServiceID][]assign.Server{history: {s.listed("s-1", history)}, ledger: {listed}}
			b.board.Publish(b.view)
			time.Sleep(time.Millisecond)
		}
		group.Wait()
	})

	// An owner that cannot be reached was dialled again and again until the request's time was over.
	It("does not dial an owner that refuses connections again and again", func() {
		b := newBench()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		gone := assign.Server{ID: "s-1", Service: ledger, FailureDomain: "fd-1", Address: netip.MustParseAddrPort(l.Addr().String())}
		l.Close()
		b.view.Services[ledger] = []assign.Server{gone}
		b.view.Tables = map[assign.ServiceID]shard.Table{ledger: {Rows: []shard.Row{{
			Range: shard.Range{First: 0, Last: shard.LastKey}, Owner: shard.HolderOf(gone), Open: true,
		}}}}
		b.board.Publish(b.view)
		c := b.dial()
		c.send("GET", "/ledger/1", "Shard-Key: 7\r\n", "")
		Expect(c.receive().StatusCode()).To(Equal(503))
		// With dials until the end the reason would be that the request's time was over.
		Expect(b.log.String()).To(ContainSubstring("reason-no-owner"))
	})
})

// sender sends requests one after another.
type sender struct {
	caller *caller
	path   string
}

func (s sender) run() {
	defer GinkgoRecover()
	for range 200 {
		s.caller.send("GET", s.path, "Shard-Key: 7\r\n", "")
		Expect(s.caller.receive().StatusCode()).To(Equal(200))
	}
}

var _ = Describe("a planned stop", func() {
	// Guards against requests that are cut by a stop, and against connections that outlive it.
	It("answers what it has read and closes the connection after it", func() {
		b := newBench()
		release := make(chan struct{})
		s := newBackend(func(c net.Conn, id string) {
			<-release
			ok(c, id)
		})
		b.add("s-1", bookings, s)
		c, idle := b.dial(), b.dial()
		c.send("POST", "/book/1", "", "")
		Eventually(s.requests).Should(Equal(1))
		b.server.Drain()
		b.server.Refuse()
		close(release)
		response := c.receive()
		Expect(response.StatusCode()).To(Equal(200))
		Expect(response.ConnectionClose()).To(BeTrue())
		Eventually(b.server.Open).Should(BeZero())
		Expect(idle.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		_, err := idle.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})
})

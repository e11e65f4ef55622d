package wire_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/wire"
)

func TestWire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wire")
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// peer is a raw server that runs a script on each connection. The script gets the number of the
// connection, from 0, and the connection is closed when it returns.
type peer struct {
	listener net.Listener
	script   func(number int, c net.Conn)
	group    conc.WaitGroup
	mu       sync.Mutex
	accepted int
	requests int
}

func newPeer(script func(p *peer, number int, c net.Conn)) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &peer{listener: l}
	p.script = func(number int, c net.Conn) { script(p, number, c) }
	p.group.Go(p.run)
	DeferCleanup(func() {
		l.Close()
		p.group.Wait()
	})
	return p
}

func (p *peer) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		number := p.accepted
		p.accepted++
		p.mu.Unlock()
		p.group.Go(func() {
			defer c.Close()
			p.script(number, c)
		})
	}
}

// request reads one request without a body.
func (p *peer) request(c net.Conn) bool {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return false
		}
		if line == "\r\n" {
			p.mu.Lock()
			p.requests++
			p.mu.Unlock()
			return true
		}
	}
}

func (p *peer) counts() (accepted, requests int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted, p.requests
}

func (p *peer) pool(o wire.Options) *wire.Pool {
	pool := wire.New(netip.MustParseAddrPort(p.listener.Addr().String()), o)
	DeferCleanup(pool.Close)
	return pool
}

func do(ctx context.Context, pool *wire.Pool, h wire.Hooks) (wire.RoundTrip, string, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetHost("peer")
	request.SetRequestURI("/")
	trip, err := pool.Do(ctx, request, response, h)
	return trip, string(response.Body()), err
}

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

func answer(text string) func(*peer, int, net.Conn) {
	return func(p *peer, _ int, c net.Conn) {
		for p.request(c) {
			c.Write([]byte(text))
		}
	}
}

var _ = Describe("whether a request was written", func() {
	// Guards against an unknown outcome for a call that never left this process.
	It("is denied where the connection is refused", func() {
		p := newPeer(answer(ok))
		p.listener.Close()
		trip, _, err := do(within(time.Second), p.pool(wire.Options{}), wire.Hooks{})
		Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue())
		Expect(trip.Wrote).To(BeFalse())
	})

	// Guards against a repeat of a call that may run: the peer read it and closed the connection.
	It("is affirmed where the peer closes the connection without an answer, and nothing is sent twice", func() {
		p := newPeer(func(p *peer, _ int, c net.Conn) { p.request(c) })
		trip, _, err := do(within(time.Second), p.pool(wire.Options{}), wire.Hooks{})
		Expect(err).To(HaveOccurred())
		Expect(trip.Wrote).To(BeTrue())
		Consistently(func() int { n, _ := p.counts(); return n }, "200ms").Should(Equal(1))
		_, requests := p.counts()
		Expect(requests).To(Equal(1))
	})

	// Guards against sending with a lease that lapsed while the call waited for a connection.
	It("is denied where the check before sending fails, and the connection stays usable", func() {
		p := newPeer(answer(ok))
		pool := p.pool(wire.Options{Connections: 1})
		trip, _, err := do(within(time.Second), pool, wire.Hooks{Before: func() error { return errors.New("lapsed") }})
		Expect(err).To(MatchError("lapsed"))
		Expect(trip.Wrote).To(BeFalse())
		_, body, err := do(within(time.Second), pool, wire.Hooks{})
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("ok"))
		accepted, requests := p.counts()
		Expect(accepted).To(Equal(1))
		Expect(requests).To(Equal(1))
	})

	// Guards against more connections to a server than this process's share.
	It("is denied where no connection becomes free in time", func() {
		p := newPeer(func(p *peer, _ int, c net.Conn) {
			p.request(c)
			p.request(c) // blocks until the client closes the connection
		})
		pool := p.pool(wire.Options{Connections: 1})
		var group conc.WaitGroup
		group.Go(func() { do(within(500*time.Millisecond), pool, wire.Hooks{}) })
		Eventually(func() int { _, n := p.counts(); return n }).Should(Equal(1))
		trip, _, err := do(within(50*time.Millisecond), pool, wire.Hooks{})
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue())
		Expect(trip.Wrote).To(BeFalse())
		group.Wait()
		accepted, _ := p.counts()
		Expect(accepted).To(Equal(1))
	})

	// Guards against counting a partly written request as not written.
	It("is affirmed where only a part could be written", func() {
		p := newPeer(func(_ *peer, _ int, c net.Conn) { time.Sleep(300 * time.Millisecond) })
		pool := p.pool(wire.Options{})
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.Header.SetHost("peer")
		request.Header.SetMethod("POST")
		request.SetRequestURI("/")
		request.SetBodyString(strings.Repeat("x", 64<<20))
		trip, err := pool.Do(within(100*time.Millisecond), request, response, wire.Hooks{})
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue())
		Expect(trip.Wrote).To(BeTrue())
	})
})

var _ = Describe("an idle connection", func() {
	// Guards against unknown outcomes that a server causes each time it closes idle connections.
	It("that the peer closed is not used", func() {
		p := newPeer(func(p *peer, _ int, c net.Conn) {
			p.request(c)
			c.Write([]byte(ok))
		})
		pool := p.pool(wire.Options{})
		for range 5 {
			_, body, err := do(within(time.Second), pool, wire.Hooks{})
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("ok"))
			Eventually(pool.Connected).Should(BeFalse())
		}
	})

	// Guards against an answer that is delivered to the next request.
	It("with an unexpected answer on it is not used", func() {
		p := newPeer(func(p *peer, number int, c net.Conn) {
			text := ok
			if number == 0 {
				text += "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
			}
			for p.request(c) {
				c.Write([]byte(text))
			}
		})
		pool := p.pool(wire.Options{})
		for range 2 {
			_, body, err := do(within(time.Second), pool, wire.Hooks{})
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("ok"))
		}
		accepted, _ := p.counts()
		Expect(accepted).To(Equal(2))
	})

	// Guards against a late answer that is delivered to the next request.
	It("is not kept after a call that was given up", func() {
		p := newPeer(func(p *peer, number int, c net.Conn) {
			for p.request(c) {
				if number == 0 {
					time.Sleep(150 * time.Millisecond)
					c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"))
					return
				}
				c.Write([]byte(ok))
			}
		})
		pool := p.pool(wire.Options{})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		trip, _, err := do(ctx, pool, wire.Hooks{})
		Expect(errors.Is(err, context.Canceled)).To(BeTrue())
		Expect(trip.Wrote).To(BeTrue())
		_, body, err := do(within(time.Second), pool, wire.Hooks{})
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("ok"))
	})
})

var _ = DescribeTable("an answer that is not complete",
	// Guards against delivering a part of an answer, or one that is larger than allowed.
	func(text string) {
		p := newPeer(func(p *peer, _ int, c net.Conn) {
			p.request(c)
			c.Write([]byte(text))
		})
		trip, _, err := do(within(time.Second), p.pool(wire.Options{BodyBytes: 8}), wire.Hooks{})
		Expect(err).To(HaveOccurred())
		Expect(trip.Wrote).To(BeTrue())
	},
	Entry("cut in the status line", "HTTP/1.1 20"),
	Entry("cut in the header", "HTTP/1.1 200 OK\r\nContent-Le"),
	Entry("cut before the body", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"),
	Entry("cut in the body", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no"),
	Entry("cut in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nok"),
	Entry("cut after a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"),
	Entry("cut before the end of the trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"),
	Entry("without a marked end", "HTTP/1.1 200 OK\r\n\r\nok"),
	Entry("over the size limit", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123456789"),
	Entry("over the size limit in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n"),
	Entry("with two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok"),
	Entry("with interim answers only", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20)),
)

var _ = DescribeTable("a complete answer",
	// Guards against refusing answers that mark their end in another way.
	func(text, want string) {
		p := newPeer(answer(text))
		_, body, err := do(within(time.Second), p.pool(wire.Options{}), wire.Hooks{})
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(want))
	},
	Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"),
	Entry("after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n"+ok, "ok"),
	Entry("without a body", "HTTP/1.1 204 No Content\r\n\r\n", ""),
)

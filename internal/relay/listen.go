package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/route"
)

const (
	// writerBytes is the size of a caller's connection's buffer for answers.
	writerBytes = 4 << 10
	// firstIdle is how long a connection may be unused before a configuration is known.
	firstIdle = 15 * time.Second
	// firstHeader bounds the time of a header before a configuration is known.
	firstHeader = 3 * time.Second
	// firstHeaderBytes bounds a header before a configuration is known.
	firstHeaderBytes = 16 << 10
	// firstBody bounds a body before a configuration is known.
	firstBody = 1 << 20
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds the writing of an answer to a caller that does not read.
	writeTimeout = 10 * time.Second
	// acceptPause is the time after an accept that failed, for lack of descriptors for example.
	acceptPause = 50 * time.Millisecond
)

// past is a deadline that ends every read at once.
var past = time.Unix(1, 0)

// Server takes requests over HTTP/1.1.
type Server struct {
	relay    *Relay
	listener net.Listener
	group    conc.WaitGroup
	// draining is set when every answer is to close its connection.
	draining atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]struct{}
	closed   bool
}

// Listen starts to take requests on the address. It returns ErrListen where that fails.
func Listen(address netip.AddrPort, r *Relay) (*Server, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, ErrListen.Wrap(err, "free the address %s for requests", address)
	}
	s := &Server{relay: r, listener: l, conns: map[*conn]struct{}{}}
	s.group.Go(s.run)
	return s, nil
}

// Address returns the address that callers connect to.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

func (s *Server) run() {
	for {
		n, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.relay.options.Log.Warn().Err(err).Msg("accept-failed")
			time.Sleep(acceptPause)
			continue
		}
		c := &conn{server: s, net: n, writer: bufio.NewWriterSize(n, writerBytes)}
		c.reader = bufio.NewReaderSize(n, c.limits().HeaderBytes)
		if !s.add(c) {
			n.Close()
			continue
		}
		s.group.Go(c.run)
	}
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain begins a planned stop: every answer from now on closes its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Refuse ends the taking of connections and closes those without a request.
func (s *Server) Refuse() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		if c.state.CompareAndSwap(connIdle, connClosing) {
			// A read that waits ends; a request that has begun to arrive is still read and answered.
			_ = c.net.SetReadDeadline(past)
		}
	}
}

// Open returns the number of connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// States of a connection.
const (
	connIdle int32 = iota
	connBusy
	connClosing
)

// conn is one connection of a caller.
type conn struct {
	server *Server
	net    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	state  atomic.Int32
	group  conc.WaitGroup
}

func (c *conn) run() {
	defer c.server.remove(c)
	defer c.net.Close()
	for c.serve() {
	}
}

// limits returns what callers may send.
func (c *conn) limits() route.Limits {
	if config := c.server.relay.options.Board.Load().Config; config != nil {
		return config.Limits
	}
	return route.Limits{HeaderBytes: firstHeaderBytes, BodyBytes: firstBody, HeaderTimeout: firstHeader, IdleTimeout: firstIdle}
}

// serve handles one request and reports whether the connection stays open. While the request is
// under way the connection is read, so that a caller that leaves is noticed.
func (c *conn) serve() bool {
	limits := c.limits()
	if !c.await(limits) {
		return false
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if status := c.read(request, limits); status != 0 {
		c.reject(request, response, status)
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h := &handling{
		conn: c, ctx: ctx,
		exchange: exchange{relay: c.server.relay, request: request, response: response, arrived: time.Now()},
	}
	h.keep = !request.ConnectionClose()
	_ = c.net.SetReadDeadline(time.Time{})
	c.group.Go(h.run)
	// The deadline for the next request is set by the handling when it has answered.
	_, err := c.reader.Peek(1)
	var timeout net.Error
	if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
		cancel()
	}
	c.group.Wait()
	return err == nil && h.keep
}

// await waits for the first byte of a request.
func (c *conn) await(limits route.Limits) bool {
	if c.reader.Buffered() == 0 {
		_ = c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	}
	if c.server.isClosed() && c.reader.Buffered() == 0 {
		return false
	}
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	return true
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// read reads a whole request. It returns the status of a request that cannot be taken, 0 for one
// that was read, and -1 where there is nobody to answer.
func (c *conn) read(request *fasthttp.Request, limits route.Limits) int {
	c.state.Store(connBusy)
	_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	if err := request.Header.Read(c.reader); err != nil {
		return headerStatus(err)
	}
	_ = c.net.SetReadDeadline(time.Now().Add(bodyTimeout))
	if request.MayContinue() {
		if _, err := c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return -1
		}
	}
	if err := request.ContinueReadBody(c.reader, limits.BodyBytes, false); err != nil {
		return bodyStatus(err)
	}
	return 0
}

func headerStatus(err error) int {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return fasthttp.StatusRequestTimeout
	case isCut(err):
		return -1
	}
	return fasthttp.StatusBadRequest
}

func bodyStatus(err error) int {
	var timeout net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return fasthttp.StatusRequestTimeout
	case isCut(err):
		return -1
	}
	return fasthttp.StatusBadRequest
}

// reject answers a request that could not be read, and closes the connection.
func (c *conn) reject(request *fasthttp.Request, response *fasthttp.Response, status int) {
	if status < 0 {
		return
	}
	response.SetStatusCode(status)
	response.SetConnectionClose()
	c.server.relay.options.Log.Info().Int("status", status).Str("peer", c.net.RemoteAddr().String()).
		Str("target", string(request.Header.RequestURI())).Msg("request-unreadable")
	c.write(response)
}

// write sends an answer. A caller that has left gets none.
func (c *conn) write(response *fasthttp.Response) {
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := response.Write(c.writer); err != nil {
		c.net.Close()
		return
	}
	if err := c.writer.Flush(); err != nil {
		c.net.Close()
	}
}

// handling is the work on one request of a connection.
type handling struct {
	exchange
	conn *conn
	ctx  context.Context
	keep bool
}

func (h *handling) run() {
	h.serve(h.ctx)
	h.record()
	if h.reason == ReasonGone {
		return
	}
	if h.conn.server.draining.Load() {
		h.keep = false
	}
	if !h.keep {
		h.response.SetConnectionClose()
	}
	h.response.SkipBody = h.request.Header.IsHead()
	h.conn.write(h.response)
	if !h.keep {
		// The reading side returns at once instead of waiting for another request.
		_ = h.conn.net.SetReadDeadline(past)
		return
	}
	h.conn.state.Store(connIdle)
	_ = h.conn.net.SetReadDeadline(time.Now().Add(h.conn.limits().IdleTimeout))
	if h.conn.server.isClosed() {
		_ = h.conn.net.SetReadDeadline(past)
	}
}

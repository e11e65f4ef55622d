package wire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/samphiredrum/samphiredrum/internal/body"
)

const (
	// readBufferSize is also the largest size of a response header.
	readBufferSize  = 16 << 10
	writeBufferSize = 4 << 10
	// maxInterimResponses is the largest number of 1xx responses before the final response, so that a peer
	// cannot occupy a call with them.
	maxInterimResponses = 8
	// maxSkippedResponses is the largest number of responses that one call reads until one belongs to its
	// request.
	maxSkippedResponses = 4
	// idleMargin is how much earlier than the peer this process closes an idle connection, so that no
	// request is sent while the peer closes it.
	idleMargin = time.Second
)

// pastDeadline is a deadline that makes every read and write fail immediately.
var pastDeadline = time.Unix(1, 0)

// lastConnection is the number of the connection that was opened last.
var lastConnection atomic.Uint64

// conn is a connection with its buffers. It records whether any byte of the current request was written.
type conn struct {
	net.Conn
	number   uint64
	options  Options
	reader   *bufio.Reader
	writer   *bufio.Writer
	lastUsed time.Time
	// idleTimeout is the longest time that the connection may be unused.
	idleTimeout time.Duration
	wrote       bool
	// requests is the number of requests that were sent on the connection.
	requests int
	// skipped is the number of responses to other requests that were read since the current request.
	skipped int
}

func newConn(n net.Conn, o Options) *conn {
	c := &conn{Conn: n, number: lastConnection.Add(1), options: o, idleTimeout: o.IdleTimeout}
	c.reader = bufio.NewReaderSize(n, readBufferSize)
	c.writer = bufio.NewWriterSize(c, writeBufferSize)
	return c
}

// Write implements io.Writer and records whether the kernel accepted any byte.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.wrote = true
	}
	return n, err
}

func (c *conn) roundTrip(
	ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, h Hooks,
) (RoundTrip, error) {
	c.wrote, c.skipped = false, 0
	c.requests++
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		return RoundTrip{}, err
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	trip := RoundTrip{Sent: c.options.Clock.Latest(), Connection: c.number, Position: c.requests}
	err := c.exchange(ctx, request, response, h)
	trip.Wrote, trip.Skipped = c.wrote, c.skipped
	trip.Answered = c.options.Clock.Now()
	if !stop() && err == nil {
		// interrupt has run or is running and sets the connection's deadline, so it cannot be reused.
		response.SetConnectionClose()
	}
	return trip, err
}

// close closes the connection. The error can be ignored, since it only means that the connection is closed
// already.
func (c *conn) close() {
	_ = c.Close()
}

func (c *conn) interrupt() {
	// An error means that the connection is closed, which also ends the call.
	_ = c.SetDeadline(pastDeadline)
}

func (c *conn) exchange(
	ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, h Hooks,
) error {
	err := c.send(request)
	if err == nil {
		err = c.receiveMatching(request, response, h)
	}
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return errors.Join(ctx.Err(), err)
	}
	// The connection has the same deadline as ctx and may time out slightly earlier.
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errors.Join(context.DeadlineExceeded, err)
	}
	return err
}

func (c *conn) send(request *fasthttp.Request) error {
	c.writer.Reset(c)
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// receiveMatching reads responses until one belongs to the request. A response that names no request is only accepted as
// the first one on the connection, which is closed then: a later response would not be distinguishable from a copy.
func (c *conn) receiveMatching(request *fasthttp.Request, response *fasthttp.Response, h Hooks) error {
	for ; c.skipped < maxSkippedResponses; c.skipped++ {
		if err := c.receive(request, response, h.Reserve); err != nil {
			return err
		}
		switch h.match(response) {
		case Own:
			c.applyKeepAlive(response)
			return nil
		case Unnamed:
			if c.requests > 1 || c.skipped > 0 {
				return ErrUnnamed
			}
			response.SetConnectionClose()
			return nil
		case Final:
			response.SetConnectionClose()
			return nil
		case Contradictory:
			return ErrContradictory
		case Other:
		}
		if response.ConnectionClose() {
			return errors.New("the peer closed the connection after a response to another request")
		}
	}
	return errors.New("the peer sent too many responses to other requests")
}

func (h Hooks) match(response *fasthttp.Response) Match {
	if h.Match == nil {
		return Own
	}
	return h.Match(response)
}

// applyKeepAlive sets the idle timeout by the Keep-Alive header of a response, if it has one, but not
// above Options.IdleTimeout.
func (c *conn) applyKeepAlive(response *fasthttp.Response) {
	_, text, found := strings.Cut(string(response.Header.Peek("Keep-Alive")), "timeout=")
	if !found {
		return
	}
	text, _, _ = strings.Cut(text, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return
	}
	c.idleTimeout = min(c.options.IdleTimeout, time.Duration(seconds)*time.Second-idleMargin)
}

func (c *conn) receive(request *fasthttp.Request, response *fasthttp.Response, reserve func(int) bool) error {
	ResetResponse(response)
	response.SkipBody = request.Header.IsHead()
	if err := c.receiveHeader(response); err != nil {
		return err
	}
	if response.SkipBody || hasNoBody(response.StatusCode()) {
		return nil
	}
	length := response.Header.ContentLength()
	if length == body.CloseDelimited {
		if !c.options.AllowCloseDelimited {
			return ErrCloseDelimited
		}
		response.SetConnectionClose()
	}
	content, err := body.Read(c.reader, length, response.SwapBody(nil), body.Limit{Bytes: c.options.BodyBytes, Reserve: reserve})
	response.SwapBody(content)
	if err != nil {
		return err
	}
	switch length {
	case body.Chunked:
		return skipTrailer(c.reader)
	case body.CloseDelimited:
		response.Header.SetContentLength(len(content))
	}
	return nil
}

// ResetResponse empties a response and frees a large buffer.
func ResetResponse(r *fasthttp.Response) {
	r.ReleaseBody(body.PooledBytes)
	r.Reset()
}

func (c *conn) receiveHeader(response *fasthttp.Response) error {
	for range maxInterimResponses {
		if err := checkHead(c.reader); err != nil {
			return err
		}
		if err := response.Header.Read(c.reader); err != nil {
			return err
		}
		status := response.StatusCode()
		if status < 100 || status > 199 {
			return nil
		}
	}
	return errors.New("the peer sent too many 1xx responses")
}

// closedByPeer reports whether the peer has closed or reset an idle connection. Unlike isOpenAndEmpty, it does not depend on
// the deadline of the connection, which is that of the last request.
func (c *conn) closedByPeer() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, readErr := syscall.Read(int(fd), b[:])
		closed = n == 0 || readErr != nil && !errors.Is(readErr, syscall.EAGAIN)
	})
	return err == nil && closed
}

// timedOut reports whether the connection has been unused for its longest time.
func (c *conn) timedOut() bool { return time.Since(c.lastUsed) >= c.idleTimeout }

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// isOpenAndEmpty reports whether the connection is open and has no unread bytes. Bytes that arrive before
// a request is sent belong to the response of an earlier request.
func (c *conn) isOpenAndEmpty() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	readErr := io.EOF
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		if _, e := syscall.Read(int(fd), b[:]); e != nil {
			readErr = e
		}
		return true
	})
	return err == nil && errors.Is(readErr, syscall.EAGAIN)
}

// setSocketOptions sets TCP_USER_TIMEOUT on a new socket. It has the signature of net.Dialer.Control.
func (o Options) setSocketOptions(_, _ string, raw syscall.RawConn) error {
	if o.TCPUserTimeout <= 0 {
		return nil
	}
	var err error
	if e := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.TCPUserTimeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

package wire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

const (
	// The header of an answer has to fit in the buffer for reading.
	readBytes  = 16 << 10
	writeBytes = 4 << 10
	// maxInterim bounds the 1xx answers before the final one, so that a peer cannot keep a call
	// busy with them.
	maxInterim = 8
	// maxSkipped bounds the answers to other requests before the one that is waited for.
	maxSkipped = 4
	// idleSlack is how much sooner than the peer a connection is given up, so that a request does
	// not cross the peer's close.
	idleSlack = time.Second
)

// past is a deadline that makes every read and write fail at once.
var past = time.Unix(1, 0)

// conn is one connection with its buffers. It records whether the current request was written.
type conn struct {
	net.Conn
	options Options
	reader  *bufio.Reader
	writer  *bufio.Writer
	used    time.Time
	// idle is how long the connection may be unused.
	idle  time.Duration
	wrote bool
}

func newConn(n net.Conn, o Options) *conn {
	c := &conn{Conn: n, options: o, idle: o.IdleTimeout}
	c.reader = bufio.NewReaderSize(n, readBytes)
	c.writer = bufio.NewWriterSize(c, writeBytes)
	return c
}

// Write implements io.Writer and records whether the kernel took any byte.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.wrote = true
	}
	return n, err
}

func (c *conn) roundTrip(
	ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, match func(*fasthttp.Response) bool,
) (RoundTrip, error) {
	c.wrote = false
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		return RoundTrip{}, err
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	trip := RoundTrip{Sent: c.options.Clock.Latest()}
	err := c.exchange(ctx, request, response, match)
	trip.Wrote = c.wrote
	trip.Answered = c.options.Clock.Now()
	if !stop() && err == nil {
		// interrupt has run or is running, so the connection's deadline is spoilt.
		response.SetConnectionClose()
	}
	return trip, err
}

// close closes the connection. An error would only say that it is closed already.
func (c *conn) close() {
	_ = c.Close()
}

func (c *conn) interrupt() {
	// An error means that the connection is closed, which ends the call as well.
	_ = c.SetDeadline(past)
}

func (c *conn) exchange(
	ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, match func(*fasthttp.Response) bool,
) error {
	err := c.send(request)
	if err == nil {
		err = c.receiveMatching(request, response, match)
	}
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return errors.Join(ctx.Err(), err)
	}
	// The connection's deadline is that of ctx and may fire a moment earlier.
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

// receiveMatching reads answers until one belongs to the request.
func (c *conn) receiveMatching(
	request *fasthttp.Request, response *fasthttp.Response, match func(*fasthttp.Response) bool,
) error {
	for range maxSkipped {
		if err := c.receive(request, response); err != nil {
			return err
		}
		if match == nil || match(response) {
			c.limitIdle(response)
			return nil
		}
		if response.ConnectionClose() {
			return errors.New("the peer answered another request and closed the connection")
		}
	}
	return errors.New("the peer sent too many answers to other requests")
}

// limitIdle follows the time that the peer keeps an idle connection, where it says so.
func (c *conn) limitIdle(response *fasthttp.Response) {
	_, text, found := strings.Cut(string(response.Header.Peek("Keep-Alive")), "timeout=")
	if !found {
		return
	}
	text, _, _ = strings.Cut(text, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return
	}
	c.idle = min(c.options.IdleTimeout, time.Duration(seconds)*time.Second-idleSlack)
}

func (c *conn) receive(request *fasthttp.Request, response *fasthttp.Response) error {
	response.Reset()
	response.SkipBody = request.Header.IsHead()
	if err := c.receiveHeader(response); err != nil {
		return err
	}
	if response.SkipBody || bodyless(response.StatusCode()) {
		return nil
	}
	length := response.Header.ContentLength()
	if length < -1 {
		if !c.options.AllowCloseDelimited {
			return ErrCloseDelimited
		}
		response.SetConnectionClose()
	}
	if err := response.ReadBody(c.reader, c.options.BodyBytes); err != nil {
		return err
	}
	if length == -1 {
		return response.Header.ReadTrailer(c.reader)
	}
	return nil
}

func (c *conn) receiveHeader(response *fasthttp.Response) error {
	for range maxInterim {
		if err := response.Header.Read(c.reader); err != nil {
			return err
		}
		status := response.StatusCode()
		if status < 100 || status > 199 {
			return nil
		}
	}
	return errors.New("the peer sent too many interim answers")
}

func bodyless(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// quiet reports whether the connection is open and holds no unread byte. A byte before a request
// belongs to an answer that was given up.
func (c *conn) quiet() bool {
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

// control sets the options of a new connection's socket.
func (o Options) control(_, _ string, raw syscall.RawConn) error {
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

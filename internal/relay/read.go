package relay

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/samphiredrum/samphiredrum/internal/body"
	"github.com/samphiredrum/samphiredrum/internal/pipe"
	"github.com/samphiredrum/samphiredrum/internal/route"
)

const (
	// defaultIdleTimeout is the idle timeout of a connection while no configuration is known.
	defaultIdleTimeout = 15 * time.Second
	// defaultHeaderTimeout is the longest time to read a header while no configuration is known.
	defaultHeaderTimeout = 3 * time.Second
	// defaultHeaderBytes is the size limit of a header while no configuration is known.
	defaultHeaderBytes = 16 << 10
	// defaultBodyBytes is the size limit of a body in bytes while no configuration is known.
	defaultBodyBytes = 1 << 20
	// bodyTimeout is the longest time to read a body.
	bodyTimeout = 30 * time.Second
	// aheadBytes is the memory that is reserved for a request that is read ahead besides its body: 32 KiB for the headers of
	// the request and the response, and a small response, which is not refused however much memory is in use.
	aheadBytes = 32<<10 + body.SmallBytes
)

// limits returns the configured limits of requests, or defaults while no configuration is known.
func (c *conn) limits() route.Limits {
	if config := c.server.relay.options.Views.Load().Config; config != nil {
		return config.Limits
	}
	return route.Limits{HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
}

// awaitRequest waits until a request may be read and its first byte has arrived. It returns the memory for the body, and
// reports false if the connection is to be closed.
func (c *conn) awaitRequest(limits route.Limits) (*body.Reservation, bool) {
	for {
		state := c.prepareWait(limits)
		if state == pipe.StateOpen {
			if _, err := c.reader.Peek(1); err != nil {
				if c.resumes(err) {
					continue
				}
				return nil, false
			}
			var memory *body.Reservation
			if state, memory = c.beginRequest(limits); state == pipe.StateOpen {
				return memory, true
			}
		}
		if state == pipe.StateEnded || !c.hold(state) {
			return nil, false
		}
	}
}

// prepareWait returns whether the next request may be read, and sets the read deadline for the wait for it.
func (c *conn) prepareWait(limits route.Limits) pipe.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.nextState()
	c.readerState = readerWaits
	if state != pipe.StateOpen {
		c.readerState = readerHeld
	}
	switch {
	case state == pipe.StateEnded:
	case !c.pipeline.Empty():
		c.setReadDeadline(time.Time{})
	case c.server.closed.Load() && c.reader.Buffered() == 0:
		return pipe.StateEnded
	default:
		c.setReadDeadline(time.Now().Add(limits.IdleTimeout))
	}
	return state
}

// nextState returns whether the next request may be read. The caller holds the lock.
func (c *conn) nextState() pipe.State {
	if c.server.draining.Load() {
		c.pipeline.Drain()
	}
	return c.pipeline.State()
}

// resumes reports whether the wait for a request goes on after an error: the read deadline may be that of an earlier wait. If
// the caller has disconnected, resumes cancels its requests.
func (c *conn) resumes(err error) bool {
	if !isTimeout(err) {
		c.abort()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.pipeline.Empty() && c.pipeline.State() != pipe.StateEnded
}

// beginRequest begins to read a request whose first byte has arrived, and returns the memory for its body. If the request may
// not be read now, beginRequest returns the reason.
func (c *conn) beginRequest(limits route.Limits) (pipe.State, *body.Reservation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, budget := c.nextState(), c.server.relay.options.Memory
	memory := budget.Request()
	if state == pipe.StateOpen && !c.pipeline.Empty() {
		memory = budget.Ahead(aheadBytes)
		if !memory.Resize(0) {
			state = pipe.StateMemory
		}
	}
	if state != pipe.StateOpen {
		c.readerState = readerHeld
		c.setReadDeadline(time.Time{})
		return state, nil
	}
	c.readerState = readerBusy
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	if !c.pipeline.Empty() {
		c.linger = true
		c.server.relay.options.Meter.readAhead.Inc()
	}
	return state, memory
}

// hold waits until the pipeline may have changed. It reports false if the caller has disconnected.
func (c *conn) hold(s pipe.State) bool {
	if c.reader.Buffered() > 0 {
		c.linger = true
		held := c.server.relay.options.Meter.held.WithLabelValues(s.String())
		held.Inc()
		defer held.Dec()
		c.logHeld(s)
	}
	if c.watch() {
		return true
	}
	c.abort()
	return false
}

// logHeld logs once that a connection has unread requests because of its memory.
func (c *conn) logHeld(s pipe.State) {
	if s != pipe.StateMemory || c.heldLogged {
		return
	}
	c.heldLogged = true
	options := c.server.relay.options
	options.Log.Info().Str("peer", c.net.RemoteAddr().String()).Int("body-memory", options.Memory.Used()).Msg("pipeline-held")
}

// awaitTurn waits until all earlier requests have been answered. It reports false if the connection is to be closed.
func (c *conn) awaitTurn() bool {
	for {
		done, empty := c.prepareTurn()
		if done {
			return empty
		}
		if !c.hold(pipe.StateOrdered) {
			return false
		}
	}
}

// prepareTurn reports whether the wait for earlier answers is over, and whether all of them have been written.
func (c *conn) prepareTurn() (done, empty bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nextState() == pipe.StateEnded {
		return true, false
	}
	if c.pipeline.Empty() {
		c.readerState = readerBusy
		return true, true
	}
	c.readerState = readerHeld
	c.setReadDeadline(time.Time{})
	return false, false
}

// read reads a whole request. It returns 0 if that succeeded, and the status of the error response if the request cannot be
// accepted. It reports false if the connection is to be closed.
func (c *conn) read(h *handler, limits route.Limits) (status int, ok bool) {
	if err := h.request.Header.Read(c.reader); err != nil {
		return c.failed(err, headerStatus(err))
	}
	h.arrived = time.Now()
	h.matchRule()
	length := h.request.Header.ContentLength()
	if length > limits.BodyBytes {
		return fasthttp.StatusRequestEntityTooLarge, true
	}
	waited := false
	if c.mustWait(h, length) {
		if !c.awaitTurn() {
			return 0, false
		}
		waited = true
		h.requestMemory.Promote()
	}
	c.extendReadDeadline(bodyTimeout)
	if length > 0 && !h.requestMemory.Resize(length) {
		return fasthttp.StatusServiceUnavailable, true
	}
	if h.request.MayContinue() {
		if err := c.writeContinue(); err != nil {
			return c.failed(err, 0)
		}
	}
	if err := c.readBody(h.request, length, body.Limit{Bytes: limits.BodyBytes, Reserve: h.requestMemory.Resize}); err != nil {
		return c.failed(err, bodyStatus(err))
	}
	if !waited {
		h.arrived = time.Now()
	}
	// The configuration may have changed meanwhile.
	h.matchRule()
	return 0, h.idempotent() || c.awaitTurn()
}

// writeContinue tells the caller to send the body. All earlier responses have been written.
func (c *conn) writeContinue() error {
	// The deadline of an earlier response may have passed.
	if err := c.net.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

// failed returns the result of read for an error. It cancels the requests of a caller that has disconnected.
func (c *conn) failed(err error, status int) (int, bool) {
	if status > 0 && !isDisconnect(err) {
		return status, true
	}
	c.abort()
	return 0, false
}

// mustWait reports whether earlier requests have to be answered before the body of a request is read: because the request
// must not run beside others, because its body may be too large to be read ahead, or because its caller waits for an
// interim response.
func (c *conn) mustWait(h *handler, length int) bool {
	if c.isFirst() {
		h.requestMemory.Promote()
		return false
	}
	return !h.idempotent() || h.request.MayContinue() || length == body.Chunked || length > 0 && !h.requestMemory.Resize(length)
}

// isFirst reports whether no earlier request is unanswered.
func (c *conn) isFirst() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pipeline.Empty()
}

// extendReadDeadline sets the read deadline of a request that is being read, unless the connection is being closed.
func (c *conn) extendReadDeadline(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pipeline.State() != pipe.StateEnded {
		c.setReadDeadline(time.Now().Add(timeout))
	}
}

// watch waits for the read deadline. It reports false if the caller disconnects before. Bytes that arrive stay unread beyond
// the buffer.
func (c *conn) watch() bool {
	if c.reader.Buffered() == 0 {
		_, err := c.reader.Peek(1)
		return err == nil || isTimeout(err)
	}
	s, ok := c.net.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	return isTimeout(raw.Read(isHungUp))
}

// isHungUp reports whether the peer of a socket has closed the connection, whether or not all of its bytes have been read.
func isHungUp(socket uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(socket), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Poll(fds, 0)
	}
	return err == nil && n > 0
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// readBody reads the body of a request with the given length.
func (c *conn) readBody(request *fasthttp.Request, length int, l body.Limit) error {
	if length == body.CloseDelimited {
		// A request has no body then, and nothing is read.
		return request.ContinueReadBody(c.reader, l.Bytes, false)
	}
	content, err := body.Read(c.reader, length, request.SwapBody(nil), l)
	request.SwapBody(content)
	if err != nil || length != body.Chunked {
		return err
	}
	if err := request.Header.ReadTrailer(c.reader); err != nil {
		return err
	}
	if len(content) == 0 {
		request.Header.SetContentLength(0)
	}
	return nil
}

func headerStatus(err error) int {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return fasthttp.StatusRequestTimeout
	case isDisconnect(err):
		return -1
	}
	return fasthttp.StatusBadRequest
}

func bodyStatus(err error) int {
	var timeout net.Error
	switch {
	case errors.Is(err, body.ErrTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, body.ErrNoMemory):
		return fasthttp.StatusServiceUnavailable
	case errors.As(err, &timeout) && timeout.Timeout():
		return fasthttp.StatusRequestTimeout
	case isDisconnect(err):
		return -1
	}
	return fasthttp.StatusBadRequest
}

package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/pipe"
)

const (
	// writeBufferBytes is the size of a connection's write buffer.
	writeBufferBytes = 4 << 10
	// writeTimeout is the longest time to write a response to a caller that reads slowly.
	writeTimeout = 10 * time.Second
	// discardTimeout is how long unread requests are read and dropped before their connection is closed.
	discardTimeout = time.Second
	// maxRunning is the largest number of requests of a connection that run at once. A caller abandons a request that is not
	// read within a second, in which 16 at once are several times the length of a usual pipeline.
	maxRunning = 16
	// maxUnanswered is the largest number of requests of a connection that have not been answered, including those that wait
	// behind a slow one. It bounds the objects that the memory budget does not count.
	maxUnanswered = 64
	// pipelineShare is the share of the memory for bodies that one connection may use for requests that were read ahead.
	// In the smallest VM, that is enough for maxRunning requests with small responses.
	pipelineShare = 1.0 / 24
)

// past is a deadline that has passed: setting it makes a pending read return at once.
var past = time.Unix(1, 0)

// readerState says what the goroutine that reads a connection is doing.
type readerState int

const (
	// readerBusy means that a request is being read.
	readerBusy readerState = iota
	// readerWaits means that the reader waits for the first byte of a request.
	readerWaits
	// readerHeld means that the reader waits until earlier requests have been answered, or the caller disconnects.
	readerHeld
)

// conn is a connection from a caller. One goroutine reads requests, each of which is served in a goroutine of its own. The one
// whose response is next in order writes it, and the complete responses behind it.
type conn struct {
	server *Server
	net    net.Conn
	// caller is the address of the caller.
	caller netip.Addr
	reader *bufio.Reader
	writer *bufio.Writer
	group  conc.WaitGroup
	// ctx is canceled when the caller disconnects.
	ctx    context.Context
	cancel context.CancelFunc
	// lastID is the ID of the last request in the pipeline. Only the reader uses it.
	lastID uint64
	// linger reports that the caller may have sent requests behind the last one that is answered. heldLogged reports that
	// the connection has been at its memory bound. Only the reader uses them.
	linger, heldLogged bool

	mu          sync.Mutex
	pipeline    *pipe.Pipeline
	readerState readerState
	// handlers are those of the requests in the pipeline, in its order.
	handlers []*handler
}

func newConn(s *Server, n net.Conn) *conn {
	c := &conn{server: s, net: n, caller: addressOf(n), writer: bufio.NewWriterSize(n, writeBufferBytes)}
	c.reader = bufio.NewReaderSize(n, c.limits().HeaderBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.pipeline = pipe.New(pipe.Config{
		MaxRunning: maxRunning, MaxUnanswered: maxUnanswered,
		MaxBytes: int(float64(s.relay.options.Memory.Limit()) * pipelineShare),
	})
	return c
}

func (c *conn) run() {
	defer c.server.remove(c)
	defer c.net.Close()
	defer c.releaseAll()
	defer c.cancel()
	for c.serve() {
	}
	c.group.Wait()
	if c.linger && c.ctx.Err() == nil {
		c.discard()
	}
}

// serve reads one request and starts it. It reports whether the next one may be read.
func (c *conn) serve() bool {
	limits := c.limits()
	memory, ok := c.awaitRequest(limits)
	if !ok {
		return false
	}
	h := newHandler(c, memory)
	status, ok := c.read(h, limits)
	switch {
	case ok && status == 0 && c.start(h):
		return true
	case ok && status != 0 && c.awaitTurn():
		c.reject(h, status)
	}
	// What the caller sends behind the last response is not read.
	c.linger = true
	h.release()
	return false
}

// start adds a request that was read to the pipeline and serves it. It reports false if the connection is being closed:
// then the request counts as unread.
func (c *conn) start(h *handler) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	h.id = c.lastID
	r := pipe.Request{ID: h.id, Exclusive: !h.idempotent(), Closes: h.request.ConnectionClose(), Bytes: h.requestMemory.Bytes()}
	if !c.pipeline.Add(r) {
		return false
	}
	c.handlers = append(c.handlers, h)
	c.group.Go(h.run)
	return true
}

// finish records that a request has been served, and writes the responses that are next in order.
func (c *conn) finish(h *handler) {
	c.mu.Lock()
	c.pipeline.Complete(h.id, h.responseMemory.Bytes())
	if !c.writeNext() {
		c.applyState()
	}
	for c.writeNext() {
	}
	c.mu.Unlock()
}

// writeNext writes the next response in order. It reports false if there is none, or another goroutine writes one. It
// holds the lock except while it writes.
func (c *conn) writeNext() bool {
	if c.server.draining.Load() {
		c.pipeline.Drain()
	}
	_, last, ok := c.pipeline.Begin()
	if !ok {
		return false
	}
	first := c.handlers[0]
	c.mu.Unlock()
	err := first.writeResponse(last)
	first.release()
	if err != nil {
		c.abort()
	}
	c.mu.Lock()
	c.handlers = slices.Delete(c.handlers, 0, 1)
	c.pipeline.End()
	c.applyState()
	return true
}

// abort cancels all requests, since the caller has disconnected or cannot be answered.
func (c *conn) abort() {
	c.mu.Lock()
	c.pipeline.Abort()
	c.applyState()
	c.mu.Unlock()
	// After Abort, so that no response to a canceled request is written.
	c.cancel()
}

// notify makes the reader notice that the server has stopped accepting requests.
func (c *conn) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyState()
}

// applyState sets the read deadline by the states of the pipeline and the reader. The caller holds the lock.
func (c *conn) applyState() {
	switch {
	case c.pipeline.State() == pipe.StateEnded || c.readerState == readerHeld:
		c.setReadDeadline(past)
	case c.readerState != readerWaits || !c.pipeline.Empty():
	case c.server.closed.Load():
		// Ends the wait for the next request. One that has begun to arrive is still read and answered.
		c.setReadDeadline(past)
	default:
		c.setReadDeadline(time.Now().Add(c.limits().IdleTimeout))
	}
}

// setReadDeadline ignores errors, since they only mean that the connection is closed, which ends the reads as well.
func (c *conn) setReadDeadline(t time.Time) { _ = c.net.SetReadDeadline(t) }

// releaseAll frees the requests that were not answered because the caller has disconnected.
func (c *conn) releaseAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.handlers {
		h.release()
	}
	c.handlers = nil
}

// reject answers a request that was not read whole, after all earlier ones. The caller of reject closes the connection.
func (c *conn) reject(h *handler, status int) {
	h.response.SetStatusCode(status)
	h.response.SetConnectionClose()
	options := c.server.relay.options
	meta := options.Messages.ReadRequest(&h.request.Header)
	if status == fasthttp.StatusServiceUnavailable {
		options.Messages.SetRequestID(h.response, meta.ID)
		h.requestMeta = meta
		setRetryAfter(h.response, c.server.relay.spread.After(memoryRetryAfter, h.longestRetry()))
	}
	options.Log.Info().Int("status", status).Str("request", meta.ID).Str("peer", c.net.RemoteAddr().String()).
		Str("target", string(h.request.Header.RequestURI())).Int("body-memory", options.Memory.Used()).Msg("request-unreadable")
	if err := c.write(h.response); err != nil {
		c.abort()
	}
}

// discard reads what the caller still sends, for a limited time. Closing a connection with unread bytes resets it, and the
// caller may lose the response then.
func (c *conn) discard() {
	if t, ok := c.net.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	c.setReadDeadline(time.Now().Add(discardTimeout))
	// The connection is closed whatever the outcome is.
	_, _ = io.Copy(io.Discard, c.reader)
}

// write sends a response.
func (c *conn) write(response *fasthttp.Response) error {
	if err := c.net.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := response.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

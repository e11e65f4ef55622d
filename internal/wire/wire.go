// Package wire sends HTTP requests over a bounded pool of connections to one address and reports
// whether any byte of a request was written.
//
// This decides whether a request can safely be repeated, so the pool never retries. It reads and writes
// the message types of fasthttp by itself, because the client of fasthttp retries idempotent requests and
// does not report whether it has written any byte. A connection is closed and not used again after an
// error, or if it has unread bytes or was closed by the peer before its next request. A response is
// complete only if Content-Length or chunked encoding delimits its body; Options.AllowCloseDelimited also allows
// bodies that end with the connection.
//
// # Usage
//
//	pool := wire.New(address, wire.Options{Connections: 11, Clock: clock.System()})
//	defer pool.Close()
//	trip, err := pool.Do(ctx, request, response, wire.Hooks{})
//	if err != nil && !trip.Wrote {
//		// the peer has received no part of the request
//	}
package wire

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/pkg/clock"
)

const (
	defaultMaxConnections = 11
	defaultMaxBodyBytes   = 1 << 20
	defaultIdleTimeout    = 30 * time.Second
	defaultDialTimeout    = time.Second
)

// ErrClosed is returned by calls on a closed pool.
var ErrClosed = errors.New("the connection pool is closed")

// ErrCloseDelimited is returned for a response with neither Content-Length nor chunked encoding: its end
// cannot be distinguished from a broken connection.
var ErrCloseDelimited = errors.New("the response has neither Content-Length nor chunked encoding")

// Options configures a Pool. Zero values select the defaults.
type Options struct {
	// Connections is the largest number of open connections, 11 by default.
	Connections int
	// BodyBytes is the largest size of a response body, 1 MiB by default.
	BodyBytes int
	// IdleTimeout is the longest time that an unused connection is kept, 30 s by default.
	IdleTimeout time.Duration
	// DialTimeout is the timeout for opening a connection, 1 s by default.
	DialTimeout time.Duration
	// TCPUserTimeout is the time after which a connection fails if the peer does not acknowledge sent bytes
	// (TCP_USER_TIMEOUT), 0 for the system's default. While bytes are not acknowledged, only this timeout detects a
	// peer that has lost power.
	TCPUserTimeout time.Duration
	// AllowCloseDelimited accepts a response with neither Content-Length nor chunked encoding as complete if the
	// peer closes the connection without an error after it.
	AllowCloseDelimited bool
	// Clock is the clock for the times of a RoundTrip, the system clock by default.
	Clock clock.Clock
}

// RoundTrip reports whether a request was written, and the times at which it was sent and answered.
type RoundTrip struct {
	// Wrote reports whether any byte of the request was written.
	Wrote bool
	// Sent is a reading of clock.Clock.Latest before the first byte was written. Holders of leases use it.
	Sent time.Time
	// Answered is a reading of clock.Clock.Now after the exchange. Granters of leases use it, and so does
	// the conversion of times to a server's clock.
	Answered time.Time
	// Connection is the number of the connection among those of this process.
	Connection uint64
	// Position is the number of requests that the connection has carried, with this one.
	Position int
	// Skipped is the number of responses to other requests that came before the response.
	Skipped int
}

// Hooks are callbacks during a request. Nil hooks are skipped.
type Hooks struct {
	// Before is called once a connection is available, before the first byte is written. If it returns an
	// error, nothing is written and Do returns that error.
	Before func() error
	// Match tells whether a response belongs to the request. After 4 responses to other requests, Do returns an error. If
	// Match is nil, every response belongs to it.
	Match func(*fasthttp.Response) Match
	// Attempts has the earlier attempts to send a request, and gets this one. No connection carries a request twice, since
	// a response that names it could belong to either attempt.
	Attempts *Attempts
	// NewConnection demands a connection on which no request was sent before.
	NewConnection bool
	// Lost is called before a new connection is opened if the peer closed an idle one before its time and no other is usable,
	// as when the peer has restarted.
	Lost func()
	// Reserve is called before the buffer of the response's body grows to a size in bytes. If it returns false, the
	// response is not read and Do returns an error. If Reserve is nil, every size up to Options.BodyBytes is allowed.
	Reserve func(bytes int) bool
	// After is called after the complete response was read. If it returns an error, the connection is
	// closed and Do returns that error.
	After func() error
}

// Pool is a bounded set of connections to one address. It is safe for concurrent use.
type Pool struct {
	address netip.AddrPort
	options Options
	mu      sync.Mutex
	idle    []*conn
	busy    map[*conn]struct{}
	closed  bool
	// maxCalls is the number of slots for concurrent calls, and calls is the number of slots in use.
	maxCalls, calls int
	// waiters is the queue of calls that wait for a slot, in order of arrival. Closing the channel grants
	// the slot.
	waiters []chan struct{}
}

// New returns a Pool for address. Connections are opened on demand.
func New(address netip.AddrPort, o Options) *Pool {
	o = o.withDefaults()
	return &Pool{
		address:  address,
		options:  o,
		maxCalls: o.Connections,
		busy:     map[*conn]struct{}{},
	}
}

func (o Options) withDefaults() Options {
	if o.Connections <= 0 {
		o.Connections = defaultMaxConnections
	}
	if o.BodyBytes <= 0 {
		o.BodyBytes = defaultMaxBodyBytes
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.Clock == nil {
		o.Clock = clock.System()
	}
	return o
}

// Do sends request once and reads the response to it into response. It waits for a connection until ctx
// ends. If ctx ends during the exchange, the connection is closed. The RoundTrip is also valid if Do returns an
// error: if Wrote is false then, the peer has received no part of the request.
func (p *Pool) Do(
	ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, h Hooks,
) (RoundTrip, error) {
	c, err := p.acquire(ctx, h)
	if err != nil {
		return RoundTrip{}, err
	}
	if err := h.before(); err != nil {
		p.release(c, true)
		return RoundTrip{}, err
	}
	h.Attempts.add(c)
	trip, err := c.roundTrip(ctx, request, response, h)
	if err == nil {
		err = h.after()
	}
	keep := err == nil && !response.ConnectionClose() && !request.ConnectionClose()
	p.release(c, keep)
	return trip, err
}

func (h Hooks) before() error {
	if h.Before == nil {
		return nil
	}
	return h.Before()
}

func (h Hooks) after() error {
	if h.After == nil {
		return nil
	}
	return h.After()
}

// Connected reports whether the pool has a connection that is in use, or an idle one that is still usable.
func (p *Pool) Connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.busy) > 0 {
		return true
	}
	p.dropUnusable()
	return len(p.idle) > 0
}

// Retire closes idle connections and lets calls in flight finish. New calls fail.
func (p *Pool) Retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// Close closes all connections. Calls in flight and new calls fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
	for c := range p.busy {
		c.close()
	}
}

// Dial opens a connection outside the pool, for a probe. The caller closes it.
func (p *Pool) Dial(ctx context.Context) (net.Conn, error) {
	d := net.Dialer{
		Timeout: p.options.DialTimeout,
		Control: p.options.setSocketOptions,
		// Keep-alive probes detect within about 3 s that the peer's VM was replaced while a connection was
		// idle.
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
	}
	return d.DialContext(ctx, "tcp", p.address.String())
}

func (p *Pool) acquire(ctx context.Context, h Hooks) (*conn, error) {
	// A call whose context has ended is not sent, even if a connection is available.
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := p.acquireSlot(ctx); err != nil {
		return nil, err
	}
	c, lost, err := p.takeIdle(h)
	if lost && c == nil && h.Lost != nil {
		h.Lost()
	}
	if err == nil && c == nil {
		c, err = p.open(ctx)
	}
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	return c, nil
}

// SetConnections changes the largest number of open connections. Calls in flight continue.
func (p *Pool) SetConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxCalls = n
	p.grantSlots()
}

// acquireSlot waits for a slot for one call.
func (p *Pool) acquireSlot(ctx context.Context) error {
	p.mu.Lock()
	if p.calls < p.maxCalls {
		p.calls++
		p.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	p.waiters = append(p.waiters, granted)
	p.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, granted); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	} else {
		// The slot was granted in the meantime.
		p.calls--
		p.grantSlots()
	}
	return ctx.Err()
}

// releaseSlot frees the slot of one call.
func (p *Pool) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls--
	p.grantSlots()
}

// grantSlots grants free slots to waiting calls. The caller holds the lock.
func (p *Pool) grantSlots() {
	for p.calls < p.maxCalls && len(p.waiters) > 0 {
		p.calls++
		close(p.waiters[0])
		p.waiters = slices.Delete(p.waiters, 0, 1)
	}
}

// takeIdle returns the idle connection that was used last and may carry the request, or nil. Without one, it makes room
// for a new connection. It also reports whether the peer has closed one before its time.
func (p *Pool) takeIdle(h Hooks) (found *conn, lost bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, ErrClosed
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		usable := p.isUsable(c)
		lost = lost || !usable && !c.timedOut() && c.closedByPeer()
		if usable && !h.mayUse(c) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if usable {
			p.busy[c] = struct{}{}
			return c, lost, nil
		}
		c.close()
	}
	if len(p.idle) > 0 && len(p.idle)+len(p.busy) >= p.maxCalls {
		p.idle[0].close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	return nil, lost, nil
}

// mayUse reports whether the request may be sent on a connection that was used before.
func (h Hooks) mayUse(c *conn) bool { return !h.NewConnection && !h.Attempts.includes(c) }

// isUsable reports whether an idle connection has not timed out, and the peer has neither closed it nor
// sent anything on it. Without this check, a request written to a connection that the peer had closed
// would have an unknown outcome.
func (p *Pool) isUsable(c *conn) bool {
	return !c.timedOut() && c.isOpenAndEmpty()
}

// dropUnusable closes idle connections that are not usable. The caller holds the lock.
func (p *Pool) dropUnusable() {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.isUsable(c) {
			kept = append(kept, c)
			continue
		}
		c.close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

func (p *Pool) open(ctx context.Context) (*conn, error) {
	n, err := p.Dial(ctx)
	if err != nil {
		return nil, err
	}
	c := newConn(n, p.options)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return nil, ErrClosed
	}
	p.busy[c] = struct{}{}
	return c, nil
}

func (p *Pool) release(c *conn, keep bool) {
	p.mu.Lock()
	delete(p.busy, c)
	if keep && !p.closed {
		c.lastUsed = time.Now()
		p.idle = append(p.idle, c)
	} else {
		c.close()
	}
	p.mu.Unlock()
	p.releaseSlot()
}

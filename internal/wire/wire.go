// Package wire sends HTTP requests over a bounded pool of connections to one address and tells
// whether any byte of a request was written.
//
// That distinction decides whether a request may safely be repeated, so the pool never retries by
// itself and does its own reading and writing with the message types of fasthttp: the client of
// fasthttp retries idempotent requests and does not report whether it wrote. A connection with an
// error, or with bytes or an end of stream before its request, is closed and never used again.
// Only answers whose end is marked, by Content-Length or by chunks, count as complete, unless
// Options.UnmarkedEnd allows others.
//
// # Usage
//
//	pool := wire.New(address, wire.Options{Connections: 11, Clock: clock.System()})
//	defer pool.Close()
//	trip, err := pool.Do(ctx, request, response, wire.Hooks{})
//	if err != nil && !trip.Wrote {
//		// the peer has seen nothing of the request
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
	defaultConnections = 11
	defaultBodyBytes   = 1 << 20
	defaultIdle        = 30 * time.Second
	defaultDial        = time.Second
)

// ErrClosed is returned by calls on a closed pool.
var ErrClosed = errors.New("the connection pool is closed")

// ErrCloseDelimited is returned for an answer that has neither Content-Length nor chunks: its end
// cannot be told from a cut connection.
var ErrCloseDelimited = errors.New("the answer does not mark its end with Content-Length or chunks")

// Options are the limits of a Pool. Zero values take the defaults.
type Options struct {
	// Connections is the largest number of open connections, 11 by default.
	Connections int
	// BodyBytes is the largest body of an answer, 1 MiB by default.
	BodyBytes int
	// IdleTimeout is how long an unused connection is kept, 30 s by default.
	IdleTimeout time.Duration
	// DialTimeout is the longest time to open a connection, 1 s by default.
	DialTimeout time.Duration
	// TCPUserTimeout is how long the peer may leave sent bytes without a sign of receipt before the
	// connection fails, 0 for the default of the system. A peer that lost its power shows only so.
	TCPUserTimeout time.Duration
	// AllowCloseDelimited takes an answer without Content-Length and chunks as complete where the peer
	// closes the connection properly after it.
	AllowCloseDelimited bool
	// Clock is read for the times of a Trip, the system clock by default.
	Clock clock.Clock
}

// RoundTrip is the timing of one request.
type RoundTrip struct {
	// Wrote reports whether any byte of the request was written.
	Wrote bool
	// Sent is clock.Clock.Latest from before the first byte was written, for holders of leases.
	Sent time.Time
	// Answered is clock.Clock.Now from after the exchange, for granters of leases and for the
	// mapping of a server's clock.
	Answered time.Time
}

// Hooks are called during a request. Nil hooks are skipped.
type Hooks struct {
	// Before is called once a connection is free, before the first byte is written. Its error
	// ends the call with nothing written.
	Before func() error
	// Match reports whether an answer belongs to the request. Another answer is skipped, at most
	// maxSkipped in a row. Nil takes every answer.
	Match func(*fasthttp.Response) bool
	// After is called with the complete answer. Its error closes the connection.
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
	// limit is the largest number of calls at once, used the number of calls that have a place.
	limit, used int
	// waiters are the calls that wait for a place, the first one first. A place is handed over by
	// closing the channel.
	waiters []chan struct{}
}

// New returns a Pool for address. It opens connections when they are needed.
func New(address netip.AddrPort, o Options) *Pool {
	o = o.withDefaults()
	return &Pool{
		address: address,
		options: o,
		limit:   o.Connections,
		busy:    map[*conn]struct{}{},
	}
}

func (o Options) withDefaults() Options {
	if o.Connections <= 0 {
		o.Connections = defaultConnections
	}
	if o.BodyBytes <= 0 {
		o.BodyBytes = defaultBodyBytes
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdle
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDial
	}
	if o.Clock == nil {
		o.Clock = clock.System()
	}
	return o
}

// Do sends request once and reads its answer into response. It waits for a free connection no
// longer than ctx allows. When ctx ends, the connection is closed. The Trip is valid with an
// error, too; Wrote false then means that the peer has seen nothing of the request.
func (p *Pool) Do(
	ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, h Hooks,
) (RoundTrip, error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return RoundTrip{}, err
	}
	if err := h.before(); err != nil {
		p.release(c, true)
		return RoundTrip{}, err
	}
	trip, err := c.roundTrip(ctx, request, response, h.Match)
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

// Connected reports whether a connection of the pool is open and has not been closed by the peer.
func (p *Pool) Connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.busy) > 0 {
		return true
	}
	p.dropUnusable()
	return len(p.idle) > 0
}

// Retire closes the unused connections and lets the calls in flight end. New calls fail.
func (p *Pool) Retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// Close closes every connection. Calls in flight fail.
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
		Control: p.options.control,
		// Finds within about 3 s that the peer's machine was replaced while a connection was idle.
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
	}
	return d.DialContext(ctx, "tcp", p.address.String())
}

func (p *Pool) acquire(ctx context.Context) (*conn, error) {
	// A call whose time is over is not sent, even where a connection is free.
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := p.enter(ctx); err != nil {
		return nil, err
	}
	c, err := p.take()
	if err == nil && c == nil {
		c, err = p.open(ctx)
	}
	if err != nil {
		p.leave()
		return nil, err
	}
	return c, nil
}

// SetConnections changes the largest number of open connections. Calls in flight go on.
func (p *Pool) SetConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
	p.admit()
}

// enter waits for a place for one call.
func (p *Pool) enter(ctx context.Context) error {
	p.mu.Lock()
	if p.used < p.limit {
		p.used++
		p.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	p.waiters = append(p.waiters, turn)
	p.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, turn); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	} else {
		// The place was handed over at the same moment.
		p.used--
		p.admit()
	}
	return ctx.Err()
}

// leave frees the place of one call.
func (p *Pool) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used--
	p.admit()
}

// admit hands free places to those that wait. The caller holds the lock.
func (p *Pool) admit() {
	for p.used < p.limit && len(p.waiters) > 0 {
		p.used++
		close(p.waiters[0])
		p.waiters = slices.Delete(p.waiters, 0, 1)
	}
}

// take returns an idle connection that is still usable, or nil.
func (p *Pool) take() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if p.usable(c) {
			p.busy[c] = struct{}{}
			return c, nil
		}
		c.close()
	}
	return nil, nil
}

// usable reports whether the peer has neither closed an idle connection nor sent anything on it,
// and whether it is not too old. Without this check, a request written to a connection that the
// peer had closed would have an unknown outcome.
func (p *Pool) usable(c *conn) bool {
	return time.Since(c.used) < c.idle && c.quiet()
}

// dropUnusable closes idle connections that are of no further use. The caller holds the lock.
func (p *Pool) dropUnusable() {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.usable(c) {
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
		c.used = time.Now()
		p.idle = append(p.idle, c)
	} else {
		c.close()
	}
	p.mu.Unlock()
	p.leave()
}

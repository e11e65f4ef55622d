package store

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/wire"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
)

const (
	// The platform accepts several hundred writes and about 2,000 reads per second. One process uses
	// at most about a tenth of that, so that 11 processes together stay within these rates.
	defaultWritesPerSecond = 50
	defaultReadsPerSecond  = 200

	defaultTimeout     = 500 * time.Millisecond
	defaultConnections = 8
	// A list may contain many objects of up to 1 MB each, so the limit is far above one object.
	defaultMaxResponseBytes = 64 << 20
	// watchSlack is the time between the end of the wait on the platform and the deadline of the
	// watch, so that a response without changes arrives before the deadline.
	watchSlack = 100 * time.Millisecond
)

// Options configures a Client. A field that is zero takes its default.
type Options struct {
	// WritesPerSecond limits the rate of Put and Delete calls, 50 by default.
	WritesPerSecond int
	// ReadsPerSecond limits the rate of all other calls, 200 by default.
	ReadsPerSecond int
	// Timeout applies to a call whose context has no deadline, 500 ms by default.
	Timeout time.Duration
	// Connections is the maximum number of connections to the platform, 8 by default. A waiting
	// watch occupies one.
	Connections int
	// MaxResponseBytes is the maximum size of a response body, 64 MiB by default.
	MaxResponseBytes int
	// Clock is the time source of the rate limits and the connections, the system clock by default.
	Clock clock.Clock
}

// Client implements API over HTTP. It is safe for concurrent use.
type Client struct {
	host    string
	pool    *wire.Pool
	options Options
	writes  *tokenBucket
	reads   *tokenBucket
	counter counter
}

var _ API = (*Client)(nil)

// NewClient returns a client for the platform at address.
func NewClient(address netip.AddrPort, o Options) *Client {
	o = o.withDefaults()
	return &Client{
		host:    address.String(),
		options: o,
		writes:  newTokenBucket(o.WritesPerSecond),
		reads:   newTokenBucket(o.ReadsPerSecond),
		pool: wire.New(address, wire.Options{
			Connections: o.Connections,
			BodyBytes:   o.MaxResponseBytes,
			Clock:       o.Clock,
		}),
	}
}

func (o Options) withDefaults() Options {
	setDefault(&o.WritesPerSecond, defaultWritesPerSecond)
	setDefault(&o.ReadsPerSecond, defaultReadsPerSecond)
	setDefault(&o.Connections, defaultConnections)
	setDefault(&o.MaxResponseBytes, defaultMaxResponseBytes)
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Clock == nil {
		o.Clock = clock.System()
	}
	return o
}

func setDefault(value *int, defaultValue int) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// Close closes all connections. Calls in flight fail.
func (c *Client) Close() {
	c.pool.Close()
}

// Counts returns the numbers of calls sent and refused so far.
func (c *Client) Counts() Counts {
	return c.counter.snapshot()
}

// Get implements API.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	r, err := c.do(ctx, call{operation: Get, name: name, method: fasthttp.MethodGet, path: objectPath(name)})
	if err != nil {
		return Object{}, err
	}
	return Object{Name: name, Version: r.version, Value: r.body}, nil
}

// Put implements API.
func (c *Client) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	r, err := c.do(ctx, call{
		operation: Put, name: name, method: fasthttp.MethodPut, path: objectPath(name),
		body: value, ifVersion: ifVersion,
	})
	return r.version, err
}

// Delete implements API.
func (c *Client) Delete(ctx context.Context, name string, ifVersion uint64) error {
	_, err := c.do(ctx, call{
		operation: Delete, name: name, method: fasthttp.MethodDelete, path: objectPath(name),
		ifVersion: ifVersion,
	})
	return err
}

// List implements API.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	var w struct {
		Revision uint64       `json:"revision"`
		Objects  []wireObject `json:"objects"`
	}
	path := "/objects?" + url.Values{"prefix": {prefix}}.Encode()
	if err := c.getJSON(ctx, call{operation: List, name: prefix, path: path}, &w); err != nil {
		return nil, 0, err
	}
	objects := make([]Object, len(w.Objects))
	for i, o := range w.Objects {
		objects[i] = o.object()
	}
	return objects, w.Revision, nil
}

// Watch implements API.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]Change, uint64, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	var w struct {
		Revision uint64       `json:"revision"`
		Changes  []wireChange `json:"changes"`
	}
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait-ms": {strconv.FormatInt(watchWait(ctx).Milliseconds(), 10)},
	}
	if err := c.getJSON(ctx, call{operation: Watch, name: prefix, path: "/watch?" + query.Encode()}, &w); err != nil {
		return nil, 0, err
	}
	changes := make([]Change, len(w.Changes))
	for i, wc := range w.Changes {
		changes[i] = Change{Object: wc.object(), Deleted: wc.Deleted}
	}
	return changes, w.Revision, nil
}

// watchWait returns how long the platform may hold a watch open so that its response arrives before the deadline
// of ctx.
func watchWait(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return max(0, time.Until(deadline)-watchSlack)
}

// VMs implements API.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var w struct {
		VMs []wireVM `json:"vms"`
	}
	if err := c.getJSON(ctx, call{operation: VMs, path: "/vms"}, &w); err != nil {
		return nil, err
	}
	list := make([]VM, len(w.VMs))
	for i, v := range w.VMs {
		list[i] = VM(v)
	}
	return list, nil
}

func (c *Client) getJSON(ctx context.Context, cl call, out any) error {
	cl.method = fasthttp.MethodGet
	r, err := c.do(ctx, cl)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(r.body, out); err != nil {
		return NewError(Down, cl.operation, cl.name, err)
	}
	return nil
}

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}

// do applies the rate limit, counts and sends a call, and converts its response or failure.
func (c *Client) do(ctx context.Context, cl call) (result, error) {
	if !c.admit(cl) {
		return result{}, NewError(Limited, cl.operation, cl.name, errors.New("client-side rate limit reached"))
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	cl.fill(request, c.host)
	c.counter.sent[cl.operation].Add(1)
	trip, err := c.pool.Do(ctx, request, response, wire.Hooks{})
	if err != nil {
		return result{}, cl.transportError(trip, err)
	}
	return cl.parse(response)
}

func (c *Client) admit(cl call) bool {
	b := c.reads
	if cl.isWrite() {
		b = c.writes
	}
	ok := b.take(c.options.Clock.Now())
	if !ok {
		c.counter.refused.Add(1)
	}
	return ok
}

// Era implements Objects. The platform of this client has no eras.
func (c *Client) Era() uint64 { return 0 }

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
	// The platform takes several hundred writes and about 2,000 reads a second. One process uses
	// at most about a tenth of that, so that 11 processes stay within it.
	defaultWrites = 50
	defaultReads  = 200

	defaultTimeout     = 500 * time.Millisecond
	defaultConnections = 8
	// A list may hold many objects of up to 1 MB, so its answer is larger than one object.
	defaultAnswerBytes = 64 << 20
	// watchSlack is kept between the end of a watch's wait and its deadline, so that an answer
	// without changes arrives in time.
	watchSlack = 100 * time.Millisecond
)

// Options are the settings of a Client. Zero values take the defaults.
type Options struct {
	// WritesPerSecond bounds Put and Delete, 50 by default.
	WritesPerSecond int
	// ReadsPerSecond bounds all other calls, 200 by default.
	ReadsPerSecond int
	// Timeout applies to a call whose context has no deadline, 500 ms by default.
	Timeout time.Duration
	// Connections bounds the connections to the platform, 8 by default. A waiting watch uses one.
	Connections int
	// AnswerBytes bounds the size of an answer, 64 MiB by default.
	AnswerBytes int
	// Clock is read for timing, the system clock by default.
	Clock clock.Clock
}

// Client is the HTTP adapter of API. It is safe for concurrent use.
type Client struct {
	host    string
	pool    *wire.Pool
	options Options
	writes  *bucket
	reads   *bucket
	counter counter
}

var _ API = (*Client)(nil)

// NewClient returns a client of the platform at address.
func NewClient(address netip.AddrPort, o Options) *Client {
	o = o.withDefaults()
	return &Client{
		host:    address.String(),
		options: o,
		writes:  newBucket(o.WritesPerSecond),
		reads:   newBucket(o.ReadsPerSecond),
		pool: wire.New(address, wire.Options{
			Connections: o.Connections,
			BodyBytes:   o.AnswerBytes,
			Clock:       o.Clock,
		}),
	}
}

func (o Options) withDefaults() Options {
	setDefault(&o.WritesPerSecond, defaultWrites)
	setDefault(&o.ReadsPerSecond, defaultReads)
	setDefault(&o.Connections, defaultConnections)
	setDefault(&o.AnswerBytes, defaultAnswerBytes)
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Clock == nil {
		o.Clock = clock.System()
	}
	return o
}

func setDefault(value *int, standard int) {
	if *value <= 0 {
		*value = standard
	}
}

// Close closes the connections. Calls in flight fail.
func (c *Client) Close() {
	c.pool.Close()
}

// Counts returns the calls made so far.
func (c *Client) Counts() Counts {
	return c.counter.read()
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
	if err := c.read(ctx, call{operation: List, name: prefix, path: path}, &w); err != nil {
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
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	var w struct {
		Revision uint64       `json:"revision"`
		Changes  []wireChange `json:"changes"`
	}
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait-ms": {strconv.FormatInt(wait(ctx).Milliseconds(), 10)},
	}
	if err := c.read(ctx, call{operation: Watch, name: prefix, path: "/watch?" + query.Encode()}, &w); err != nil {
		return nil, 0, err
	}
	changes := make([]Change, len(w.Changes))
	for i, h := range w.Changes {
		changes[i] = Change{Object: h.object(), Deleted: h.Deleted}
	}
	return changes, w.Revision, nil
}

// wait returns how long a watch may wait to be answered before the deadline of ctx.
func wait(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return max(0, time.Until(deadline)-watchSlack)
}

// VMs implements API.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var w struct {
		VMs []wireVM `json:"vms"`
	}
	if err := c.read(ctx, call{operation: VMs, path: "/vms"}, &w); err != nil {
		return nil, err
	}
	list := make([]VM, len(w.VMs))
	for i, v := range w.VMs {
		list[i] = VM(v)
	}
	return list, nil
}

func (c *Client) read(ctx context.Context, k call, into any) error {
	k.method = fasthttp.MethodGet
	r, err := c.do(ctx, k)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(r.body, into); err != nil {
		return NewError(Down, k.operation, k.name, err)
	}
	return nil
}

func (c *Client) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}

// do counts and sends a call and maps its answer.
func (c *Client) do(ctx context.Context, k call) (result, error) {
	if !c.admit(k) {
		return result{}, NewError(Limited, k.operation, k.name, errors.New("the client's own rate limit"))
	}
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	k.fill(request, c.host)
	c.counter.sent[k.operation].Add(1)
	trip, err := c.pool.Do(ctx, request, response, wire.Hooks{})
	if err != nil {
		return result{}, k.failed(trip, err)
	}
	return k.parse(response)
}

func (c *Client) admit(k call) bool {
	b := c.reads
	if k.writes() {
		b = c.writes
	}
	ok := b.take(c.options.Clock.Now())
	if !ok {
		c.counter.refused.Add(1)
	}
	return ok
}

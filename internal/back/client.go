package back

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/wire"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
)

const (
	defaultConnections = 11
	defaultBodyBytes   = 1 << 20
	// Below this number of connections only one is kept for control calls.
	fewConnections = 4
)

// Options are the settings of a Client. Zero values take the defaults.
type Options struct {
	// Connections is the largest number of open connections, 11 by default. From 2 on, one or two
	// of them are kept for control calls, so that a grant does not wait behind calls.
	Connections int
	// BodyBytes is the largest body of an answer, 1 MiB by default.
	BodyBytes int
	// Idle is how long an unused connection is kept, 30 s by default.
	Idle time.Duration
	// Dial is the longest time to open a connection, 1 s by default.
	Dial time.Duration
	// Clock is read for the times of each Receipt, the system clock by default.
	Clock clock.Clock
}

// Client is the HTTP adapter of Server. It is safe for concurrent use.
type Client struct {
	name    string
	host    string
	clock   clock.Clock
	calls   *wire.Pool
	control *wire.Pool
}

var _ Server = (*Client)(nil)

// NewClient returns a client of the server at address. The name is used in errors.
func NewClient(name string, address netip.AddrPort, o Options) *Client {
	if o.Connections <= 0 {
		o.Connections = defaultConnections
	}
	if o.BodyBytes <= 0 {
		o.BodyBytes = defaultBodyBytes
	}
	if o.Clock == nil {
		o.Clock = clock.System()
	}
	c := &Client{name: name, host: address.String(), clock: o.Clock}
	reserved := controlConnections(o.Connections)
	c.calls = wire.New(address, o.pool(o.Connections-reserved))
	c.control = c.calls
	if reserved > 0 {
		c.control = wire.New(address, o.pool(reserved))
	}
	return c
}

// controlConnections returns how many connections are kept for control calls. Two let a grant
// pass while a revoke waits for work that runs.
func controlConnections(total int) int {
	switch {
	case total < 2:
		return 0
	case total < fewConnections:
		return 1
	}
	return 2
}

func (o Options) pool(connections int) wire.Options {
	return wire.Options{
		Connections: connections,
		BodyBytes:   o.BodyBytes,
		IdleTimeout: o.Idle,
		DialTimeout: o.Dial,
		Clock:       o.Clock,
	}
}

// Close closes the connections. Calls in flight fail.
func (c *Client) Close() {
	c.calls.Close()
	c.control.Close()
}

// Send implements Server.
func (c *Client) Send(ctx context.Context, k Call) (Answer, error) {
	if err := k.validate(); err != nil {
		return Answer{}, c.failed(wire.RoundTrip{}, fmt.Errorf("%w: %w", errRejected, err))
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	k.fill(request, c.host)
	trip, err := c.calls.Do(ctx, request, response, wire.Hooks{
		Before: func() error { return c.ready(k, request) },
		After:  func() error { return matches(response, k.RequestID) },
	})
	if err != nil {
		return Answer{}, c.failed(trip, err)
	}
	return c.answer(response, trip)
}

// ready runs the caller's check and sets the time that is left, after the wait for a connection.
func (c *Client) ready(k Call, request *fasthttp.Request) error {
	if k.Check != nil {
		if err := k.Check(); err != nil {
			return fmt.Errorf("%w: %w", errRejected, err)
		}
	}
	if k.Deadline.IsZero() {
		return nil
	}
	left := k.Deadline.Sub(c.clock.Latest())
	if left <= 0 {
		return fmt.Errorf("%w: the call's deadline is over", errRejected)
	}
	request.Header.Set(headerTimeout, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	return nil
}

func matches(r *fasthttp.Response, requestID string) error {
	if string(r.Header.Peek(headerRequestID)) != requestID {
		return errWrongID
	}
	return nil
}

func (c *Client) answer(r *fasthttp.Response, trip wire.RoundTrip) (Answer, error) {
	receipt := readReceipt(r, trip)
	if r.StatusCode() == fasthttp.StatusServiceUnavailable && string(r.Header.Peek(headerNotRun)) == "true" {
		return Answer{}, &Error{
			Kind:    NotRun,
			Reason:  refusal(string(r.Header.Peek(headerReason))),
			Server:  c.name,
			Receipt: receipt,
		}
	}
	return Answer{
		Receipt: receipt,
		Status:  r.StatusCode(),
		Headers: readHeaders(r),
		Body:    append([]byte(nil), r.Body()...),
	}, nil
}

// refusal maps the reason of a server's refusal. Reasons that servers do not give are ignored.
func refusal(text string) Reason {
	reason, err := ReasonString(text)
	if err != nil || reason > Cold {
		return NoReason
	}
	return reason
}

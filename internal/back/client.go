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
	// Below this number of connections, only one is reserved for control calls.
	minForTwoReserved = 4
)

// Options are the settings of a Client. Zero values take the defaults.
type Options struct {
	// Connections is the maximum number of open connections, 11 by default. If there are 2 or more,
	// one or two of them are reserved for control calls, so that a grant does not wait for calls.
	Connections int
	// BodyBytes is the maximum size of an answer's body, 1 MiB by default.
	BodyBytes int
	// Idle is the time after which an unused connection is closed, 30 s by default.
	Idle time.Duration
	// Dial is the timeout for opening a connection, 1 s by default.
	Dial time.Duration
	// Clock gives the times in each Receipt and the time left of a call. Default: the system clock.
	Clock clock.Clock
}

// Client implements Server over HTTP. It is safe for concurrent use.
type Client struct {
	name    string
	host    string
	clock   clock.Clock
	calls   *wire.Pool
	control *wire.Pool
}

var _ Server = (*Client)(nil)

// NewClient returns a client of the server at address. Errors contain the name.
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
	c.calls = wire.New(address, o.poolOptions(o.Connections-reserved))
	c.control = c.calls
	if reserved > 0 {
		c.control = wire.New(address, o.poolOptions(reserved))
	}
	return c
}

// controlConnections returns the number of connections reserved for control calls. With two, a
// grant can be sent while a revoke waits for running work.
func controlConnections(total int) int {
	switch {
	case total < 2:
		return 0
	case total < minForTwoReserved:
		return 1
	}
	return 2
}

func (o Options) poolOptions(connections int) wire.Options {
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
		return Answer{}, c.transportError(wire.RoundTrip{}, fmt.Errorf("%w: %w", errRejected, err))
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	k.writeTo(request, c.host)
	trip, err := c.calls.Do(ctx, request, response, wire.Hooks{
		Before: func() error { return c.beforeSend(k, request) },
		After:  func() error { return checkRequestID(response, k.RequestID) },
	})
	if err != nil {
		return Answer{}, c.transportError(trip, err)
	}
	return c.readAnswer(response, trip)
}

// beforeSend runs the caller's check and sets the timeout header. It is called after the wait for a
// connection, when the time left is known.
func (c *Client) beforeSend(k Call, request *fasthttp.Request) error {
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
		return fmt.Errorf("%w: the call's deadline has passed", errRejected)
	}
	request.Header.Set(headerTimeout, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	return nil
}

func checkRequestID(r *fasthttp.Response, requestID string) error {
	if string(r.Header.Peek(headerRequestID)) != requestID {
		return errWrongID
	}
	return nil
}

func (c *Client) readAnswer(r *fasthttp.Response, trip wire.RoundTrip) (Answer, error) {
	receipt := readReceipt(r, trip)
	if r.StatusCode() == fasthttp.StatusServiceUnavailable && string(r.Header.Peek(headerNotRun)) == "true" {
		return Answer{}, &Error{
			Kind:    NotRun,
			Reason:  refusalReason(string(r.Header.Peek(headerReason))),
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

// refusalReason parses the reason of a server's refusal. It ignores reasons that a server can't give.
func refusalReason(text string) Reason {
	reason, err := ReasonString(text)
	if err != nil || reason > Cold {
		return NoReason
	}
	return reason
}

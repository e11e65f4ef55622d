// Package caller makes calls to entry processes as a member's program does.
//
// # Usage
//
//	c := caller.New(caller.Options{})
//	answer, err := c.Do(address, caller.Call{Method: "GET", Path: "/yards/ledger/balances/yard-17"})
package caller

import (
	"bytes"
	"crypto/tls"
	"errors"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// Outcomes as entry processes name them.
const (
	Ran     = "ran"
	NotRun  = "not-run"
	Unknown = "unknown"
)

// Options are the settings of a Client. Zero values take the defaults.
type Options struct {
	// Connections is the largest number of connections to one entry process, 512 by default.
	Connections int
	// TLS is the configuration towards entry processes, nil for plain text.
	TLS *tls.Config
}

// Client makes calls over keep-alive connections. It is safe for concurrent use.
type Client struct {
	http   *fasthttp.Client
	scheme string
}

// New returns a Client.
func New(o Options) *Client {
	if o.Connections <= 0 {
		o.Connections = 512
	}
	scheme := "http://"
	if o.TLS != nil {
		scheme = "https://"
	}
	return &Client{scheme: scheme, http: &fasthttp.Client{
		TLSConfig:                     o.TLS,
		MaxConnsPerHost:               o.Connections,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
	}}
}

// neverRetry switches the repeats of fasthttp off: a caller decides by the outcome.
func neverRetry(*fasthttp.Request, int, error) (bool, bool) {
	return false, false
}

// Call is one call.
type Call struct {
	Method string
	Path   string
	Body   []byte
	// RequestID is sent for tracing, and has to come back in the answer of a stand-in server.
	RequestID string
	// IdempotencyKey is the identifier of a booking, or "".
	IdempotencyKey string
	// Timeout is how long the caller waits; it asks the entry process for the same time.
	Timeout time.Duration
	// Run is how long a stand-in server shall work, 0 for its default.
	Run time.Duration
}

// Answer is what the caller was told.
type Answer struct {
	// Outcome is one of the outcomes above. It is Unknown where the connection broke.
	Outcome string
	Status  int
	Reason  string
	Body    []byte
	// RetryAfter is the time after which to repeat, 0 where none was told.
	RetryAfter time.Duration
}

// Do makes the call and waits for its answer. A call that did not reach the entry process is
// NotRun; after any other error the outcome is Unknown.
func (c *Client) Do(entry netip.AddrPort, call Call) (Answer, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.scheme + entry.String() + call.Path)
	request.Header.SetMethod(call.Method)
	request.SetBody(call.Body)
	request.Header.Set("Request-Id", call.RequestID)
	if call.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	if call.Run > 0 {
		request.Header.Set("Run-Ms", strconv.FormatInt(call.Run.Milliseconds(), 10))
	}
	request.Header.Set("Timeout-Ms", strconv.FormatInt(max(1, call.Timeout.Milliseconds()), 10))
	// The entry process answers by the timeout; the rest is for the way back.
	err := c.http.DoTimeout(request, response, call.Timeout+time.Second)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Answer{Outcome: NotRun, Reason: "connection refused"}, err
	}
	if err != nil {
		return Answer{Outcome: Unknown, Reason: err.Error()}, err
	}
	return read(response), nil
}

// Close closes the connections that no call uses.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

func read(response *fasthttp.Response) Answer {
	a := Answer{
		Outcome: string(response.Header.Peek("Outcome")),
		Status:  response.StatusCode(),
		Body:    bytes.Clone(response.Body()),
	}
	if ms, err := strconv.ParseInt(string(response.Header.Peek("Retry-After-Ms")), 10, 64); err == nil {
		a.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	if a.Outcome != Ran {
		a.Reason = string(response.Header.Peek("Remedy"))
	}
	if a.Outcome == "" {
		a.Outcome = Unknown
	}
	return a
}

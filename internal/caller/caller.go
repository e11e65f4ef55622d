// Package caller is an HTTP client for entry processes. Tests and load tools use it in place of a user's
// program.
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

// Outcomes of a call, as entry processes send them in the header Outcome.
const (
	Ran     = "ran"
	NotRun  = "not-run"
	Unknown = "unknown"
)

// Options are the settings of a Client. Zero values select the defaults.
type Options struct {
	// Connections is the largest number of connections to one entry process, 512 by default.
	Connections int
	// TLS is the configuration of connections to entry processes, nil for plain text.
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

// neverRetry disables the retries of fasthttp, because callers decide by the outcome whether to retry.
func neverRetry(*fasthttp.Request, int, error) (bool, bool) {
	return false, false
}

// Call describes one request to an entry process.
type Call struct {
	Method string
	Path   string
	Body   []byte
	// RequestID is sent for tracing. A stand-in server returns it in its answer.
	RequestID string
	// IdempotencyKey is the identifier of a booking, "" for a lookup.
	IdempotencyKey string
	// Timeout is the time within which the entry process has to answer. Do waits a second longer.
	Timeout time.Duration
	// Run is how long a stand-in server takes to run the call, 0 for its default.
	Run time.Duration
}

// Answer is the result of a call.
type Answer struct {
	// Outcome is Ran, NotRun or Unknown. It is Unknown if the connection broke.
	Outcome string
	Status  int
	Reason  string
	Body    []byte
	// RetryAfter is how long to wait before a retry, 0 if the entry process sent no time.
	RetryAfter time.Duration
}

// Do sends the call and waits for its answer. If the connection was refused, the outcome is NotRun.
// After any other error it is Unknown.
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
	// The entry process answers within the timeout. The extra second is for the transfer of the answer.
	err := c.http.DoTimeout(request, response, call.Timeout+time.Second)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Answer{Outcome: NotRun, Reason: "connection refused"}, err
	}
	if err != nil {
		return Answer{Outcome: Unknown, Reason: err.Error()}, err
	}
	return parseAnswer(response), nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

func parseAnswer(response *fasthttp.Response) Answer {
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

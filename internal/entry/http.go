package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/dedup"
)

// Names of the headers in requests and answers of callers.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "Request-Id"
	headerTimeout        = "Timeout-Ms"
	headerOutcome        = "Outcome"
	headerRetryAfter     = "Retry-After-Ms"
	headerRemedy         = "Remedy"
)

// Paths of this process's own endpoints. They have one segment; paths of services have at least three.
const (
	pathReady      = "/ready"
	pathBookingIDs = "/booking-ids"
)

const (
	// maxCallerIDLength is the largest number of bytes that a request identifier of a caller may have.
	maxCallerIDLength = 64
	// requestIDSeparator separates the caller's identifier from the random part.
	requestIDSeparator = "~"
)

// shutdownTimeout bounds the wait for the goroutines of closed connections.
const shutdownTimeout = 100 * time.Millisecond

// maxTimeout is the longest timeout that a caller may ask for.
const maxTimeout = 10 * time.Minute

// Errors of this package.
var (
	namespace = errorx.NewNamespace("entry")
	// ErrListen is the type of errors for a listen address that cannot be used.
	ErrListen = namespace.NewType("listen")
)

// HTTPConfig configures an HTTP server for callers.
type HTTPConfig struct {
	Limits conf.Limits
	// BookingTime is the longest timeout of a booking, 0 for no limit. It must be well below the time for
	// which recorders remember an identifier, since a booking that takes longer could run twice.
	BookingTime time.Duration
	// TableVersion returns the table version to be encoded in new booking identifiers.
	TableVersion func() uint64
	// TLS is the TLS configuration for connections of callers, nil for plain HTTP.
	TLS *tls.Config
	// Done is called after each call with its result and duration.
	Done func(c *Call, r Result, took time.Duration)
}

// HTTP is an HTTP/1.1 server for callers.
type HTTP struct {
	router   *Router
	config   HTTPConfig
	app      *fiber.App
	listener *listener
	group    conc.WaitGroup
}

// ListenHTTP starts an HTTP server on the address. It returns ErrListen if it cannot listen there.
func ListenHTTP(address string, router *Router, config HTTPConfig) (*HTTP, error) {
	bound, err := net.Listen("tcp", address)
	if err != nil {
		return nil, ErrListen.Wrap(err, "set caller-address to a free address of this VM, not %s", address)
	}
	h := &HTTP{router: router, config: config, listener: newListener(bound)}
	h.app = fiber.New(fiber.Config{
		BodyLimit:      config.Limits.BodyBytes,
		ReadBufferSize: config.Limits.HeaderBytes,
		ReadTimeout:    config.Limits.ReadTimeout,
		IdleTimeout:    time.Minute,
		ErrorHandler:   h.handleError,
	})
	h.app.Get(pathReady, h.ready)
	h.app.Post(pathBookingIDs, h.issueBookingID)
	h.app.All("/*", h.handleCall)
	h.group.Go(h.run)
	return h, nil
}

func (h *HTTP) run() {
	// The listener tracks the TCP connections below TLS: closing a TLS connection sends an alert and may
	// wait for the caller.
	var bound net.Listener = h.listener
	if h.config.TLS != nil {
		bound = tls.NewListener(bound, h.config.TLS)
	}
	// The only error is that the listener was closed.
	_ = h.app.Listener(bound, fiber.ListenConfig{DisableStartupMessage: true})
}

// Address returns the listen address.
func (h *HTTP) Address() string {
	return h.listener.Addr().String()
}

// Stop closes the listener, then the connections of callers. Calls still in flight get no answer, so a
// planned stop must drain the router first.
func (h *HTTP) Stop() {
	h.listener.Close()
	h.listener.closeConns()
	// An error can be ignored, since all connections are closed already.
	_ = h.app.ShutdownWithTimeout(shutdownTimeout)
	h.group.Wait()
}

// ready answers the readiness probe of the load balancer.
func (h *HTTP) ready(c fiber.Ctx) error {
	if !h.router.Serves() {
		return c.Status(http.StatusServiceUnavailable).SendString("unready\n")
	}
	return c.SendString("ready\n")
}

// issueBookingID answers with a new booking identifier.
func (h *HTTP) issueBookingID(c fiber.Ctx) error {
	if !h.router.Serves() {
		return h.write(c, refuse(ReasonNotServing, "ask another entry process for an identifier"))
	}
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return err
	}
	return c.Status(http.StatusCreated).SendString(dedup.Issue(h.config.TableVersion(), h.router.config.Self, random))
}

// handleCall runs the call of one request.
func (h *HTTP) handleCall(c fiber.Ctx) error {
	started := h.router.config.Clock.Now()
	call, refusal := h.parse(c)
	result := refusal
	if refusal.Reason == ReasonNone {
		ctx, cancel := context.WithTimeout(context.Background(), call.Deadline.Sub(started))
		defer cancel()
		result = h.router.Handle(ctx, call)
	}
	if h.config.Done != nil {
		h.config.Done(call, result, h.router.config.Clock.Now().Sub(started))
	}
	return h.write(c, result)
}

// parse builds the call from the request. It copies all data, since the HTTP server reuses its buffers.
func (h *HTTP) parse(c fiber.Ctx) (*Call, Result) {
	now, latest := h.router.config.Clock.Now(), h.router.config.Clock.Latest()
	request := c.Request()
	call := &Call{
		ID:     newRequestID(c.Get(headerRequestID)),
		Method: strings.Clone(c.Method()),
		Query:  string(request.URI().QueryString()),
		Body:   append([]byte(nil), request.Body()...),
	}
	id, path, ok := splitPath(string(request.URI().PathOriginal()))
	if !ok {
		return call, refuse(ReasonNoService, "use a path of the form /<team>/<service>/<path>")
	}
	service := h.router.View().Services[id]
	if service == nil {
		return call, refuse(ReasonNoService, "no service of that name is in force; check the path or the team's settings")
	}
	call.Service, call.Path = &service.Service, path
	if call.Operation, ok = service.Match(call.Method, path); !ok {
		return call, refuse(ReasonNoService, "the service has no operation for this method and path; check the team's settings")
	}
	if refusal := readKey(c, call); refusal.Reason != ReasonNone {
		return call, refusal
	}
	if refusal := readHeaders(c, call); refusal.Reason != ReasonNone {
		return call, refusal
	}
	timeout, refusal := readTimeout(c, call)
	if call.Operation.Class == conf.Booking && h.config.BookingTime > 0 {
		timeout = min(timeout, h.config.BookingTime)
	}
	call.Deadline, call.LatestDeadline = now.Add(timeout), latest.Add(timeout)
	return call, refusal
}

// splitPath splits "/<team>/<service>/<path>" into the service and "/<path>".
func splitPath(path string) (assign.ServiceID, string, bool) {
	parts := strings.SplitN(strings.TrimPrefix(path, "/"), "/", 3)
	if len(parts) < 3 || parts[0] == "" || parts[1] == "" {
		return "", "", false
	}
	return assign.ServiceID(parts[0] + "/" + parts[1]), "/" + parts[2], true
}

// readKey extracts the key of a call to an exclusive service. It refuses a request with several values
// for the key, because the server may use another of them than this process.
func readKey(c fiber.Ctx, call *Call) Result {
	if !call.Service.Exclusive {
		return Result{}
	}
	repeated := false
	header := func(name string) string {
		values := c.Request().Header.PeekAll(name)
		repeated = repeated || len(values) > 1
		if len(values) == 0 {
			return ""
		}
		return string(values[0])
	}
	query := func(name string) string {
		values := c.Request().URI().QueryArgs().PeekMulti(name)
		repeated = repeated || len(values) > 1
		if len(values) == 0 {
			return ""
		}
		return string(values[0])
	}
	key, err := call.Service.Key.Extract(header, query, call.Path)
	if err != nil {
		return refuse(ReasonNoKey, err.Error())
	}
	if repeated {
		return refuse(ReasonNoKey, "send the key once")
	}
	call.Hash = assign.Hash(key)
	return Result{}
}

func readHeaders(c fiber.Ctx, call *Call) Result {
	for name, value := range c.Request().Header.All() {
		call.Headers = append(call.Headers, back.Header{Name: string(name), Value: string(value)})
	}
	values := c.Request().Header.PeekAll(headerIdempotencyKey)
	if len(values) > 1 {
		return refuse(ReasonMalformed, "send one Idempotency-Key")
	}
	if len(values) == 1 {
		call.IdempotencyKey = string(values[0])
	}
	return Result{}
}

func readTimeout(c fiber.Ctx, call *Call) (time.Duration, Result) {
	text := c.Get(headerTimeout)
	if text == "" {
		return call.Operation.Timeout, Result{}
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n <= 0 || n > maxTimeout.Milliseconds() {
		return call.Operation.Timeout, refuse(ReasonMalformed, "send Timeout-Ms as a number of milliseconds from 1 to 600000")
	}
	return min(call.Operation.Timeout, time.Duration(n)*time.Millisecond), Result{}
}

// newRequestID returns a unique identifier for a call. It consists of the caller's identifier for tracing
// and a random part, which keeps callers with equal identifiers from getting each other's answers. A
// caller's identifier that is too long or contains characters that are not allowed is left out.
func newRequestID(callerID string) string {
	var random [12]byte
	// rand.Read never returns an error on Linux.
	_, _ = rand.Read(random[:])
	unique := hex.EncodeToString(random[:])
	if callerID == "" || len(callerID) > maxCallerIDLength || strings.ContainsFunc(callerID, notAllowedInID) {
		return unique
	}
	return callerID + requestIDSeparator + unique
}

// notAllowedInID reports whether a caller's request identifier may not contain the character.
func notAllowedInID(c rune) bool {
	return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_'
}

// refusalBody is the JSON body for calls without a server's answer.
type refusalBody struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Remedy  string `json:"remedy"`
}

// write sends the result to the caller.
func (h *HTTP) write(c fiber.Ctx, r Result) error {
	c.Set(headerOutcome, r.Outcome.String())
	if r.RetryAfter > 0 {
		c.Set(headerRetryAfter, strconv.FormatInt(max(1, r.RetryAfter.Milliseconds()), 10))
	}
	if r.Remedy != "" {
		c.Set(headerRemedy, r.Remedy)
	}
	if r.Outcome == OutcomeRan {
		for _, field := range r.Headers {
			c.Response().Header.Add(field.Name, field.Value)
		}
		return c.Status(r.Status).Send(r.Body)
	}
	body, err := json.Marshal(refusalBody{Outcome: r.Outcome.String(), Reason: r.Reason.String(), Remedy: r.Remedy})
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(r.Status).Send(body)
}

// handleError answers requests that the HTTP server rejected before handleCall.
func (h *HTTP) handleError(c fiber.Ctx, err error) error {
	status := http.StatusBadRequest
	var e *fiber.Error
	if errors.As(err, &e) {
		status = e.Code
	}
	result := refuse(ReasonMalformed, "send a well-formed HTTP/1.1 request")
	switch status {
	case http.StatusRequestEntityTooLarge:
		result = refuse(ReasonTooLarge, "send a smaller body")
	case http.StatusRequestHeaderFieldsTooLarge:
		result = refuse(ReasonTooLarge, "send fewer or shorter headers")
	case http.StatusRequestTimeout:
		result = refuse(ReasonMalformed, "send the request faster")
	}
	result.Status = status
	return h.write(c, result)
}

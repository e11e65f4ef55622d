package back

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/wire"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

type wireSpan struct {
	Service assign.ServiceID `json:"service"`
	From    string           `json:"from"`
	To      string           `json:"to"`
	Fence   lease.Fence      `json:"fence"`
}

type wireSpans struct {
	NotAfter int64      `json:"not-after,omitempty"`
	Spans    []wireSpan `json:"spans"`
}

type wireReceipt struct {
	ServerClock  int64       `json:"server-clock"`
	Incarnation  string      `json:"incarnation"`
	HighestFence lease.Fence `json:"highest-fence"`
}

type wireHealth struct {
	wireReceipt
	Status Status  `json:"status"`
	Busy   int     `json:"busy"`
	Queued int     `json:"queued"`
	Load   float64 `json:"load"`
}

type wireOutcome struct {
	Outcome string `json:"outcome"`
}

func (w wireReceipt) receipt(trip wire.RoundTrip) Receipt {
	r := Receipt{Incarnation: w.Incarnation, Trip: trip}
	if w.ServerClock > 0 {
		r.ServerClock = time.UnixMicro(w.ServerClock)
	}
	return r
}

func toWire(spans []Granted) []wireSpan {
	list := make([]wireSpan, len(spans))
	for i, s := range spans {
		list[i] = wireSpan{
			Service: s.Service,
			From:    formatHash(s.Span.From),
			To:      formatHash(s.Span.To),
			Fence:   s.Fence,
		}
	}
	return list
}

// Grant implements Server.
func (c *Client) Grant(ctx context.Context, notAfter time.Time, spans []Granted) (Receipt, error) {
	var w wireReceipt
	body := wireSpans{NotAfter: notAfter.UnixMicro(), Spans: toWire(spans)}
	trip, status, err := c.sendControl(ctx, fasthttp.MethodPost, "/control/grant", body, &w)
	if err != nil {
		return Receipt{}, err
	}
	if status == fasthttp.StatusConflict {
		return Receipt{}, &Error{
			Kind:         Stale,
			Reason:       StaleFence,
			Server:       c.name,
			HighestFence: w.HighestFence,
			Receipt:      w.receipt(trip),
		}
	}
	return w.receipt(trip), nil
}

// Revoke implements Server.
func (c *Client) Revoke(ctx context.Context, spans []Granted) (Receipt, error) {
	var w wireReceipt
	trip, status, err := c.sendControl(ctx, fasthttp.MethodPost, "/control/revoke", wireSpans{Spans: toWire(spans)}, &w)
	if err != nil {
		return Receipt{}, err
	}
	return w.receipt(trip), c.expectOK(status, trip)
}

// Cancel implements Server.
func (c *Client) Cancel(ctx context.Context, requestID string) (CancelOutcome, error) {
	var w wireOutcome
	body := map[string]string{"request-id": requestID}
	trip, status, err := c.sendControl(ctx, fasthttp.MethodPost, "/control/cancel", body, &w)
	if err == nil {
		err = c.expectOK(status, trip)
	}
	if err != nil {
		return CancelUnknown, err
	}
	outcome, err := CancelOutcomeString(w.Outcome)
	if err != nil {
		return CancelUnknown, c.transportError(trip, fmt.Errorf("%w: %w", errNotJSON, err))
	}
	return outcome, nil
}

// Drain implements Server.
func (c *Client) Drain(ctx context.Context) error {
	var w wireReceipt
	trip, status, err := c.sendControl(ctx, fasthttp.MethodPost, "/control/drain", struct{}{}, &w)
	if err != nil {
		return err
	}
	return c.expectOK(status, trip)
}

// Health implements Server.
func (c *Client) Health(ctx context.Context) (Health, error) {
	var w wireHealth
	trip, status, err := c.sendControl(ctx, fasthttp.MethodGet, "/control/health", nil, &w)
	if err == nil {
		err = c.expectOK(status, trip)
	}
	if err != nil {
		return Health{}, err
	}
	return Health{
		Receipt: w.receipt(trip),
		Status:  w.Status,
		Busy:    w.Busy,
		Queued:  w.Queued,
		Load:    w.Load,
	}, nil
}

// Probe implements Server. A refused connection proves that the process has ended only if no earlier
// connection is open: a server that stops gracefully may close its listener while work still runs.
func (c *Client) Probe(ctx context.Context) Probe {
	health, err := c.Health(ctx)
	if err == nil {
		return Probe{Liveness: Alive, Health: health}
	}
	if KindOf(err) == Unknown {
		// The process may have ended and cut the connection. A new connection is refused in that case.
		err = c.dialAgain(ctx, err)
	}
	if ReasonOf(err) == ConnectionRefused && !c.calls.Connected() && !c.control.Connected() {
		return Probe{Liveness: Ended, Cause: err}
	}
	return Probe{Liveness: Silent, Cause: err}
}

// dialAgain opens and closes a new connection. It returns the dial error, or err if dialing succeeds.
func (c *Client) dialAgain(ctx context.Context, err error) error {
	n, dialErr := c.control.Dial(ctx)
	if dialErr != nil {
		return c.transportError(wire.RoundTrip{}, dialErr)
	}
	// Only the dial matters here. An error from Close says nothing about the server.
	_ = n.Close()
	return err
}

// sendControl sends a control call and decodes the JSON answer if its status is 200 or 409.
func (c *Client) sendControl(ctx context.Context, method, target string, body, out any) (wire.RoundTrip, int, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.Header.SetHost(c.host)
	request.SetRequestURI(target)
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return wire.RoundTrip{}, 0, c.transportError(wire.RoundTrip{}, err)
		}
		request.Header.SetContentType("application/json")
		request.SetBody(encoded)
	}
	id := strconv.FormatUint(rand.Uint64(), 16)
	request.Header.Set(headerRequestID, id)
	trip, err := c.control.Do(ctx, request, response, wire.Hooks{
		Match: func(r *fasthttp.Response) wire.Match { return matchControl(r, id) },
		After: func() error { return decode(response, out) },
	})
	if err != nil {
		return trip, 0, c.transportError(trip, err)
	}
	return trip, response.StatusCode(), nil
}

// matchControl tells whether an answer belongs to the control call with the ID.
func matchControl(r *fasthttp.Response, id string) wire.Match {
	switch string(r.Header.Peek(headerRequestID)) {
	case id:
		return wire.Own
	case "":
		return wire.Unnamed
	}
	return wire.Other
}

func decode(r *fasthttp.Response, out any) error {
	if s := r.StatusCode(); s != fasthttp.StatusOK && s != fasthttp.StatusConflict {
		return fmt.Errorf("%w %d", errBadStatus, s)
	}
	if _, optional := out.(*wireReceipt); optional && len(r.Body()) == 0 {
		return nil
	}
	if err := json.Unmarshal(r.Body(), out); err != nil {
		return fmt.Errorf("%w: %w", errNotJSON, err)
	}
	return nil
}

func (c *Client) expectOK(status int, trip wire.RoundTrip) error {
	if status == fasthttp.StatusOK {
		return nil
	}
	return c.transportError(trip, fmt.Errorf("%w %d", errBadStatus, status))
}

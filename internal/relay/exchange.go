package relay

import (
	"bytes"
	"context"
	"errors"
	"iter"
	"math"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/route"
	"github.com/samphiredrum/samphiredrum/internal/view"
	"github.com/samphiredrum/samphiredrum/internal/wire"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/pick"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

//go:generate enumer -type=Reason -transform=kebab -output=reason_enumer.go

// Reason says why the relay answered a request itself.
type Reason int

const (
	// ReasonNone is a request with a server's answer.
	ReasonNone Reason = iota
	// ReasonNoConfig is a request before a configuration was known.
	ReasonNoConfig
	// ReasonNoRule is a request that no rule matches.
	ReasonNoRule
	// ReasonNoKey is a request without a key to a partitioned service.
	ReasonNoKey
	// ReasonNoOwner is a request whose key has no owner at present.
	ReasonNoOwner
	// ReasonNoServer is a request to a service without a usable server.
	ReasonNoServer
	// ReasonRefused is a request that the servers refused to run.
	ReasonRefused
	// ReasonUnreachable is a request that could not be sent to a server.
	ReasonUnreachable
	// ReasonLost is a request that was sent and got no usable answer.
	ReasonLost
	// ReasonDeadline is a request whose time was over after it was sent.
	ReasonDeadline
	// ReasonExpired is a request whose time was over before it was sent.
	ReasonExpired
	// ReasonOverload is a request for keys whose owner has more requests than it can run.
	ReasonOverload
	// ReasonGone is a request whose caller has left.
	ReasonGone
)

const (
	// answerBytes bounds the body of a server's answer.
	answerBytes = 64 << 20
	// defaultWait is the time of a request whose caller and rule give none.
	defaultWait = 30 * time.Second
	// answerSlack is how long after a request's time a server's answer is still waited for: the
	// server has the same deadline, and its answer is on the way.
	answerSlack = 100 * time.Millisecond
	// maxSends bounds the servers that one request is sent to, refusals included.
	maxSends = 4
	// ownerWaitShare is the part of the objective for which a request waits for an owner of its key.
	ownerWaitShare = 0.5
	// shortRetry and longRetry are the times after which a caller is asked to repeat a request:
	// after a refusal of servers, and where a key has no owner.
	shortRetry = 100 * time.Millisecond
	longRetry  = 400 * time.Millisecond
	// overloadRetryShare, for each request that an owner has too many for one that it can run, is the
	// part of the objective after which a caller is asked to repeat a request.
	overloadRetryShare = 0.5
	// longestRetryShare is the part of a request's time for which callers wait at most before they
	// repeat it.
	longestRetryShare = 1.0 / 3
	// fullWaitShare is the part of the objective after which a request is sent again to an owner that
	// was full.
	fullWaitShare = 0.125
	// leastLeft is the time below which a request is not sent any more.
	leastLeft = 5 * time.Millisecond
)

// exchange is one request with its answer.
type exchange struct {
	relay    *Relay
	request  *fasthttp.Request
	response *fasthttp.Response
	arrived  time.Time
	deadline time.Time
	marks    RequestMeta
	rule     *route.Rule
	service  *service
	// sends counts the servers that got bytes of the request, runs those that may have run it.
	sends, runs int
	last        assign.ServerID
	lastError   error
	reason      Reason
}

// serve fills the response.
func (x *exchange) serve(ctx context.Context) {
	x.marks = x.relay.options.Messages.ReadRequest(&x.request.Header)
	v := x.relay.view()
	if v.Config == nil || !v.ServersKnown {
		x.refuse(ReasonNoConfig, longRetry)
		return
	}
	uri := x.request.Header.RequestURI()
	x.rule = v.Config.Match(string(x.request.Header.Host()), path(uri))
	if x.rule == nil {
		x.own(fasthttp.StatusNotFound, ReasonNoRule)
		return
	}
	x.service = x.relay.service(x.rule)
	if x.service == nil {
		x.refuse(ReasonNoServer, longRetry)
		return
	}
	x.service.called()
	x.deadline = x.arrived.Add(x.wait())
	ctx, cancel := context.WithDeadline(ctx, x.deadline.Add(answerSlack))
	defer cancel()
	x.strip()
	if x.service.partitioned() {
		if !x.marks.HasKey {
			x.own(fasthttp.StatusBadRequest, ReasonNoKey)
			return
		}
		x.relay.options.Use(x.service.id, x.marks.Key)
		x.serveKey(ctx, v)
		return
	}
	x.serveAny(ctx)
}

// path returns the path of a request target, without the query.
func path(uri []byte) string {
	before, _, _ := bytes.Cut(uri, []byte{'?'})
	return string(before)
}

// wait returns how long the request may take.
func (x *exchange) wait() time.Duration {
	wait := defaultWait
	if x.marks.Timeout > 0 {
		wait = x.marks.Timeout
	}
	if x.rule.Timeout > 0 {
		wait = min(wait, x.rule.Timeout)
	}
	return wait
}

// strip removes the header fields that concern only the caller's connection.
func (x *exchange) strip() {
	h := &x.request.Header
	for _, f := range x.connectionFields(h.All()) {
		h.Del(f)
	}
	h.ResetConnectionClose()
	h.SetNoDefaultContentType(true)
}

// connectionFields returns the names of the header fields that concern one connection only.
func (x *exchange) connectionFields(header iter.Seq2[[]byte, []byte]) []string {
	var names []string
	for name := range header {
		if x.relay.options.Messages.IsHopByHop(name) {
			names = append(names, string(name))
		}
	}
	return names
}

// serveAny sends the request to a server of a service without owners.
func (x *exchange) serveAny(ctx context.Context) {
	for {
		now := x.relay.options.Clock.Now()
		b := x.service.take(now, x.last)
		if b == nil {
			x.give(ReasonNoServer)
			return
		}
		started := time.Now()
		verdict, err := x.send(ctx, b)
		result := pick.Result{Latency: time.Since(started), Failed: err != nil || verdict.NotRun}
		if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
			result.Ignore = true
		}
		if err == nil && !verdict.NotRun && x.response.StatusCode() >= fasthttp.StatusInternalServerError {
			result.Failed = true
		}
		x.service.done(x.relay.options.Clock.Now(), b, result)
		if x.settled(ctx, verdict, err) {
			return
		}
	}
}

// serveKey sends the request to the owner of its key.
func (x *exchange) serveKey(ctx context.Context, v *view.View) {
	limit := x.arrived.Add(x.objectiveShare(ownerWaitShare))
	for {
		b, shed := x.service.owner(x.relay.options.Clock.Now(), v, x.marks.Key)
		if b == nil {
			if v = x.nextView(ctx, v, limit); v == nil {
				x.give(ReasonNoOwner)
				return
			}
			continue
		}
		if x.sends == 0 && x.service.sheds(x.rule.Priority, shed) {
			x.last = b.server.ID
			x.refuse(ReasonOverload, x.overloadRetry(shed))
			return
		}
		started, sends := time.Now(), x.sends
		verdict, err := x.send(ctx, b)
		if err == nil && !verdict.NotRun {
			x.relay.options.Ran(x.service.id, b.server.ID, time.Since(started))
		}
		if x.settled(ctx, verdict, err) {
			return
		}
		if verdict.Misdirected || x.sends == sends {
			// The key has moved, and this process has not heard of it yet, or its owner cannot be
			// reached.
			if v = x.nextView(ctx, v, limit); v == nil {
				x.give(ReasonNoOwner)
				return
			}
			continue
		}
		if verdict.NotRun {
			// The owner is full. Another view may name another owner.
			x.nextView(ctx, v, time.Now().Add(x.objectiveShare(fullWaitShare)))
		}
		v = x.relay.view()
	}
}

func (x *exchange) objectiveShare(share float64) time.Duration {
	return time.Duration(float64(x.rule.Objective) * share)
}

// overloadRetry returns when to repeat a request to an owner with too many requests: later the more of
// them it cannot run, since a repeat has no better chance before the load falls.
func (x *exchange) overloadRetry(shed uint8) time.Duration {
	excess := float64(shed) / float64(shard.ShedSteps-shed)
	longest := time.Duration(float64(time.Until(x.deadline)) * longestRetryShare)
	return min(longest, max(shortRetry, x.objectiveShare(overloadRetryShare*excess)))
}

// nextView waits for another View than v until the limit, and returns nil where there is none.
func (x *exchange) nextView(ctx context.Context, v *view.View, limit time.Time) *view.View {
	if latest := x.relay.view(); latest != v {
		return latest
	}
	left := time.Until(limit)
	if left <= 0 {
		return nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-v.Changed:
		return x.relay.view()
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

// send sends the request to a server and reads its answer into the response.
func (x *exchange) send(ctx context.Context, b *backend) (ResponseMeta, error) {
	o := x.relay.options
	x.last = b.server.ID
	var verdict ResponseMeta
	trip, err := b.pool.Do(ctx, x.request, x.response, wire.Hooks{
		Before: func() error {
			left := time.Until(x.deadline)
			if left < leastLeft {
				return context.DeadlineExceeded
			}
			o.Messages.SetTarget(&x.request.Header, b.server.ID, left)
			return nil
		},
		Match: func(r *fasthttp.Response) bool {
			verdict = o.Messages.ReadResponse(r)
			return verdict.ID == "" || verdict.ID == x.marks.ID
		},
	})
	x.lastError = err
	if trip.Wrote {
		x.sends++
	}
	if err == nil {
		err = flaw(x.response.StatusCode(), verdict)
		x.lastError = err
	}
	if trip.Wrote && (err != nil || !verdict.NotRun) {
		x.runs++
	}
	return verdict, err
}

var (
	errEncoded  = errors.New("the answer was encoded on the way")
	errUnsigned = errors.New("no server vouches for the answer")
)

// flaw returns why an answer that was read whole is not the server's, nil where it is.
func flaw(status int, v ResponseMeta) error {
	switch {
	case v.Encoded:
		return errEncoded
	case !v.Signed && status >= 200 && status <= 299:
		return errUnsigned
	}
	return nil
}

// settled fills the response where the request is to be answered now, and reports false where it
// is to be sent again.
func (x *exchange) settled(ctx context.Context, v ResponseMeta, err error) bool {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		x.reason = ReasonGone
		return true
	case err != nil && x.runs == 0:
		if x.again(ctx, false) {
			return false
		}
		x.give(ReasonUnreachable)
		return true
	case err != nil:
		if x.rule.Idempotent && x.runs < x.rule.Attempts && x.again(ctx, true) {
			return false
		}
		x.give(ReasonLost)
		return true
	case v.NotRun:
		if x.again(ctx, true) {
			return false
		}
		x.give(ReasonRefused)
		return true
	case x.response.StatusCode() >= fasthttp.StatusInternalServerError && x.rule.Idempotent &&
		x.runs < x.rule.Attempts && x.again(ctx, true):
		return false
	}
	x.deliver()
	return true
}

// again reports whether the request may be sent once more. A repeat that follows bytes sent to a
// server counts against the retry budget.
func (x *exchange) again(ctx context.Context, sent bool) bool {
	if ctx.Err() != nil || x.sends >= maxSends || time.Until(x.deadline) < leastLeft {
		return false
	}
	return !sent || x.service.retry()
}

// deliver prepares the server's answer for the caller.
func (x *exchange) deliver() {
	h := &x.response.Header
	for _, f := range x.connectionFields(h.All()) {
		h.Del(f)
	}
	h.ResetConnectionClose()
	h.SetNoDefaultContentType(true)
}

// give answers a request that the relay gives up.
func (x *exchange) give(r Reason) {
	if x.runs == 0 {
		if time.Until(x.deadline) < leastLeft {
			r = ReasonExpired
		}
		retry := shortRetry
		if r == ReasonNoOwner || r == ReasonNoServer {
			retry = longRetry
		}
		x.refuse(r, retry)
		return
	}
	if time.Until(x.deadline) < leastLeft {
		x.own(fasthttp.StatusGatewayTimeout, ReasonDeadline)
		return
	}
	x.own(fasthttp.StatusBadGateway, r)
}

// refuse answers that the request has not run and when to repeat it.
func (x *exchange) refuse(r Reason, after time.Duration) {
	x.own(fasthttp.StatusServiceUnavailable, r)
	seconds := math.Round(after.Seconds()*1000) / 1000
	x.response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(seconds, 'f', -1, 64))
}

// own makes an answer of the relay's own.
func (x *exchange) own(status int, r Reason) {
	x.reason = r
	x.response.Reset()
	x.response.SetStatusCode(status)
	x.response.Header.SetNoDefaultContentType(true)
	x.relay.options.Messages.SetRequestID(x.response, x.marks.ID)
}

// record logs and counts the end of the request.
func (x *exchange) record() {
	took := time.Since(x.arrived)
	rule := ""
	if x.rule != nil {
		rule = x.rule.Name
	}
	x.relay.options.Meter.observe(rule, x.response.StatusCode(), x.reason, took)
	if x.reason == ReasonNone && x.response.StatusCode() < fasthttp.StatusInternalServerError && x.sends == 1 {
		return
	}
	e := x.event().
		Str("request", x.marks.ID).Str("rule", rule).Int("status", x.response.StatusCode()).Stringer("reason", x.reason).
		Int("sends", x.sends).Int("runs", x.runs).Str("server", string(x.last)).Dur("took-ms", took)
	if !x.deadline.IsZero() {
		e = e.Dur("left-ms", time.Until(x.deadline))
	}
	e.AnErr("error", x.lastError).Msg("request-ended")
}

func (x *exchange) event() *zerolog.Event {
	if x.reason == ReasonNone {
		return x.relay.options.Log.Info()
	}
	return x.relay.options.Log.Warn()
}

package relay

import (
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/wire"
)

const (
	// shortRetryAfter and longRetryAfter are Retry-After times. The short one follows a refusal by servers and
	// is the minimum for a shed request. The long one is for a request without a configuration, a server or an
	// owner of its key.
	shortRetryAfter = 100 * time.Millisecond
	longRetryAfter  = 400 * time.Millisecond
	// memoryRetryAfter is the least Retry-After time of a request for which there is no memory.
	memoryRetryAfter = 200 * time.Millisecond
	// maxRetryShare bounds all Retry-After times, as a fraction of the time that is left until the deadline. Callers
	// do not wait longer.
	maxRetryShare = 1.0 / 3
)

// prepareResponse prepares the server's response for the caller.
func (x *exchange) prepareResponse() {
	h := &x.response.Header
	for _, f := range x.hopByHopFields(h.All()) {
		h.Del(f)
	}
	h.ResetConnectionClose()
	h.SetNoDefaultContentType(true)
}

// giveUp generates the response to a request that the relay gives up. If no server can have run the request,
// the response says so. Otherwise it is the response of a server that failed to run it or, without one, a gateway
// error, which leaves open whether a server has run it.
func (x *exchange) giveUp(r Reason) {
	if x.failedResponse {
		x.prepareResponse()
		return
	}
	if x.runs() == 0 {
		if time.Until(x.deadline) < minTimeLeft {
			r = ReasonExpired
		}
		x.respondNotRun(r, x.retryAfter(r))
		return
	}
	if time.Until(x.deadline) < minTimeLeft {
		x.respond(fasthttp.StatusGatewayTimeout, ReasonDeadline)
		return
	}
	x.respond(fasthttp.StatusBadGateway, r)
}

// retryAfter returns the least Retry-After time of a request that the relay gives up.
func (x *exchange) retryAfter(r Reason) time.Duration {
	switch r {
	case ReasonNoOwner, ReasonNoServer, ReasonEvacuated:
		return longRetryAfter
	case ReasonRefused:
		return x.overloadRetry()
	}
	return shortRetryAfter
}

// respondNotRun generates a response that says that the request has not run, and when to retry it: after the given time or
// somewhat later, so that callers that are rejected at the same time do not return together. The reason may be any for which
// the request has not run, not only ReasonRefused.
func (x *exchange) respondNotRun(r Reason, after time.Duration) {
	x.respondNotRunUntil(r, x.relay.spread.After(after, x.longestRetry()))
}

// respondNotRunUntil is respondNotRun with the exact Retry-After time.
func (x *exchange) respondNotRunUntil(r Reason, after time.Duration) {
	x.respond(fasthttp.StatusServiceUnavailable, r)
	x.retryTime = after
}

// tellRetryTime sets the Retry-After time just before the response is written. A pipelined response may have waited for earlier
// ones, and the caller has heard nothing until now.
func (x *exchange) tellRetryTime() {
	if x.retryTime <= 0 {
		return
	}
	after := x.relay.spread.Within(x.retryTime, x.longestRetry())
	setRetryAfter(x.response, after)
	if x.service != nil {
		x.service.tellCaller(x.shedRequest(), after)
	}
}

// longestRetry returns the longest Retry-After time. It is a share of the time that the caller still has, if the rule allowed
// less and that has passed.
func (x *exchange) longestRetry() time.Duration {
	end := x.deadline
	if time.Until(end) <= 0 {
		end = x.arrived.Add(callerTimeout(x.requestMeta))
	}
	return max(0, time.Duration(float64(time.Until(end))*maxRetryShare))
}

// callerTimeout returns how long the caller waits for the response.
func callerTimeout(m RequestMeta) time.Duration {
	if m.Timeout > 0 {
		return m.Timeout
	}
	return defaultTimeout
}

// setRetryAfter sets the Retry-After time, rounded down to milliseconds.
func setRetryAfter(r *fasthttp.Response, after time.Duration) {
	r.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Truncate(time.Millisecond).Seconds(), 'f', -1, 64))
}

// respond generates a response with a status and without a body.
func (x *exchange) respond(status int, r Reason) {
	x.reason = r
	x.resetResponse()
	x.response.SetStatusCode(status)
	x.response.Header.SetNoDefaultContentType(true)
	x.relay.options.Messages.SetRequestID(x.response, x.requestMeta.ID)
}

// resetResponse empties the response and frees its memory.
func (x *exchange) resetResponse() {
	wire.ResetResponse(x.response)
	x.responseMemory.Release()
}

// record updates the metrics for the finished request. It logs the request unless a server answered it
// without an error at the first attempt.
func (x *exchange) record() {
	took := time.Since(x.arrived)
	rule := ""
	if x.rule != nil {
		rule = x.rule.Name
	}
	x.relay.options.Meter.observe(rule, x.response.StatusCode(), x.reason, took)
	if x.reason == ReasonNone && x.response.StatusCode() < fasthttp.StatusInternalServerError && len(x.sendings) == 1 {
		return
	}
	e := x.logEvent()
	if !e.Enabled() {
		// The line is above the rate limit of the log.
		return
	}
	e = e.Str("request", x.requestMeta.ID).Str("rule", rule).Int("status", x.response.StatusCode()).Stringer("reason", x.reason).
		Int("sends", len(x.sendings)).Int("runs", x.runs()).Str("server", string(x.lastServer)).Dur("took-ms", took)
	if x.requestMeta.HasKey {
		e = e.Uint16("key", x.requestMeta.Key)
	}
	if !x.deadline.IsZero() {
		e = e.Dur("left-ms", time.Until(x.deadline))
	}
	if x.reason == ReasonOverload {
		e = e.Str("rank", rankText(x.rank)).Str("shed-share", strconv.FormatFloat(x.shedding.Probability, 'f', 2, 64))
	}
	if len(x.sendings) > 0 {
		e = e.Str("sendings", x.describeSendings())
	}
	if x.lastError != nil {
		e = e.Str("error", shorten(x.lastError.Error(), maxErrorText))
	}
	e.Msg("request-ended")
}

func (x *exchange) logEvent() *zerolog.Event {
	if x.reason == ReasonNone {
		return x.relay.options.Log.Info()
	}
	return x.relay.options.Log.Warn()
}

package relay

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/wire"
)

// maxSends is the largest number of times that a request is sent to servers, refusals included.
const maxSends = 4

// errExpired is the error of an attempt that was not sent because no time is left until the deadline of the request.
var errExpired = errors.New("no time is left until the deadline of the request")

// errStopping is the error of an attempt that was not sent because this process stops before the deadline of the request.
var errStopping = errors.New("the process stops before the deadline of the request")

// send sends the request to a server and reads the server's response.
func (x *exchange) send(ctx context.Context, b *backend) (ResponseMeta, error) {
	o := x.relay.options
	x.lastServer = b.server.ID
	var meta ResponseMeta
	// Without a response, a limit in that of an earlier attempt must not count as heard again.
	x.resetResponse()
	x.failedResponse = false
	w := x.newWatch(ctx, b)
	trip, err := b.pool.Do(w.ctx, x.request, x.response, wire.Hooks{
		Before: func() error {
			if err := x.prepareAttempt(b); err != nil {
				return err
			}
			w.start()
			return nil
		},
		Match: func(r *fasthttp.Response) wire.Match {
			meta = o.Messages.ReadResponse(r)
			return x.match(meta)
		},
		Lost:          func() { x.suspect(b) },
		Attempts:      &x.attempts,
		NewConnection: x.requestMeta.ID == "",
		Reserve:       x.responseMemory.Resize,
	})
	err = w.stop(meta, err)
	x.lastError = err
	switch {
	case err == nil:
		x.service.trust(b, x.preparedAt)
	case ctx.Err() == nil && mayHaveRestarted(err):
		x.suspect(b)
	}
	if err != nil {
		// It may be of a response to another request.
		meta = ResponseMeta{}
	}
	if trip.Wrote {
		x.hearLimit(b, meta, err)
	}
	if err == nil {
		err = meta.Unproven
		x.lastError = err
		if err == nil || errors.Is(err, ErrUnsaid) {
			x.hearNotice(b, meta)
		}
	}
	if trip.Wrote {
		x.recordSending(b, trip, meta.Proof, err)
	}
	return meta, err
}

// prepareAttempt sets the target of the request. It returns an error if the request must not be sent to the server now.
func (x *exchange) prepareAttempt(b *backend) error {
	o := x.relay.options
	left := time.Until(x.deadline)
	switch {
	case left < minTimeLeft:
		return errExpired
	case x.mayOutlastProcess():
		return errStopping
	case x.service.turnsAway(o.Clock.Now(), x.arrived, b):
		return errTurnedAway
	case x.service.evacuated(o.Clock.Now(), o.Views.Load(), b):
		return errEvacuated
	case !x.hasPermit(b):
		return errNoPermit
	}
	x.preparedAt = o.Clock.Now()
	o.Messages.SetTarget(&x.request.Header, b.server.ID, left)
	return nil
}

// match tells whether a response belongs to the last attempt of the request.
func (x *exchange) match(m ResponseMeta) wire.Match {
	switch {
	case errors.Is(m.Unproven, wire.ErrContradictory):
		return wire.Contradictory
	case m.ID == "":
		return wire.Unnamed
	case m.ID == x.requestMeta.ID:
		return wire.Own
	}
	return wire.Other
}

// finish decides after an attempt whether the request is finished. If so, it prepares the response and
// reports true. It reports false if the request is to be sent again.
func (x *exchange) finish(ctx context.Context, meta ResponseMeta, err error) bool {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		x.reason = ReasonGone
		return true
	case errors.Is(err, errStopping):
		x.giveUp(ReasonStopping)
		return true
	case err != nil && x.runs() == 0:
		if x.allowRetry(ctx, false) {
			return false
		}
		x.giveUp(unsentReason(err))
		return true
	case err != nil:
		if x.rule.Idempotent && x.runs() < x.rule.Attempts && x.allowRetry(ctx, true) {
			return false
		}
		x.giveUp(ReasonLost)
		return true
	case meta.Proof == ProofNotRun:
		if x.allowRetry(ctx, true) {
			return false
		}
		x.giveUp(ReasonRefused)
		return true
	case meta.Proof == ProofFailed && x.rule.Idempotent && x.runs() < x.rule.Attempts && x.allowRetry(ctx, true):
		x.failedResponse = true
		return false
	}
	x.prepareResponse()
	return true
}

// unsentReason returns the reason of a request that was not sent because of the error.
func unsentReason(err error) Reason {
	if errors.Is(err, errEvacuated) {
		return ReasonEvacuated
	}
	return ReasonUnreachable
}

// allowRetry reports whether the request may be sent once more. If the last attempt wrote bytes to a server
// (sent), the retry is taken from the retry budget.
func (x *exchange) allowRetry(ctx context.Context, sent bool) bool {
	if ctx.Err() != nil || len(x.sendings) >= maxSends || time.Until(x.deadline) < minTimeLeft {
		return false
	}
	if x.retryTaken {
		x.retryTaken = false
		return true
	}
	return !sent || x.service.takeRetry()
}

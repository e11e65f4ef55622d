package relay

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/pick"
	"github.com/samphiredrum/samphiredrum/pkg/quota"
)

const (
	// permitWaitShare is the fraction of the rule's latency objective that a request for a key waits until its owner,
	// which has a limit, takes it.
	permitWaitShare = 0.25
	// minHold is the least time for which a server that takes no request is not picked.
	minHold = 50 * time.Millisecond
)

// errNoPermit is the error of an attempt that was not sent because the server has named a limit or become cold in the
// meantime, or because the reserved time has passed.
var errNoPermit = errors.New("the server has a limit or is cold, and no request is reserved")

// permit reserves a request to a server, if the server has a limit or is cold, and waits for the reserved time. All
// attempts need it, since the server counts all that reaches it.
func (x *exchange) permit(ctx context.Context, b *backend, maxWait time.Duration) quota.Reservation {
	o := x.relay.options
	n, limited := o.Limits.Limit(b.run())
	cold := x.service.coldPace(o.Clock.Now(), b)
	pace, bounded := quota.PaceOf(n, limited, cold)
	if !bounded {
		return quota.Reservation{Granted: true}
	}
	if r, refused := x.relay.permits.Refused(o.Clock.Now(), b.run(), pace.PerSecond, maxWait); refused {
		return x.countCold(cold, r, coldKnown)
	}
	if cold.Cold {
		return x.permitCold(ctx, b, n, pace, maxWait)
	}
	r, err := o.Reserve(ctx, n, cold, maxWait)
	if err != nil {
		r = x.relay.permits.Alone(o.Clock.Now(), n.Run, n.PerSecond)
	} else {
		x.relay.permits.Answered(o.Clock.Now(), n.Run, r)
	}
	if !r.Granted {
		return r
	}
	x.permitted, x.permitUntil = b, o.Clock.Now().Add(r.Wait+quota.PermitTTL)
	x.awaitPermit(ctx, r)
	return r
}

// awaitPermit waits for the reserved time.
func (x *exchange) awaitPermit(ctx context.Context, r quota.Reservation) {
	timer := time.NewTimer(r.Wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// hasPermit reports whether the request may be sent to a server now.
func (x *exchange) hasPermit(b *backend) bool {
	if _, limited := x.relay.options.Limits.Limit(b.run()); !limited && !x.isCold(b) {
		return true
	}
	valid := x.permitted == b && !x.relay.options.Clock.Now().After(x.permitUntil)
	x.permitted = nil
	return valid
}

// endLimited ends a request that no server takes because of its limit.
func (x *exchange) endLimited(r quota.Reservation) {
	if x.runs() > 0 {
		x.giveUp(ReasonLost)
		return
	}
	after := max(shortRetryAfter, r.RetryAfter)
	if r.Free > 0 {
		// The leader has given each rejected request another time.
		x.respondNotRunUntil(ReasonLimited, x.relay.spread.Within(after, x.longestRetry()))
		return
	}
	x.respondNotRun(ReasonLimited, after)
}

// hold keeps a server that takes no request for a time from being chosen by take. It ends the request with the objective for
// which the server was taken.
func (s *service) hold(now time.Time, b *backend, free, objective time.Duration) {
	s.picker.Hold(b.server.ID, now.Add(max(minHold, free)))
	s.done(now, b, pick.Result{Objective: objective, Ignore: true})
}

// hearLimit records the limit that the response of a server names, and logs a change. A limit counts also if the
// response is incomplete or an error. Only a complete response without one ends it. A misdirected request may have
// reached another server.
func (x *exchange) hearLimit(b *backend, meta ResponseMeta, err error) {
	if err != nil {
		meta = x.relay.options.Messages.ReadResponse(x.response)
	}
	if meta.Misdirected || meta.ID != x.requestMeta.ID || meta.ID == "" {
		return
	}
	ended := err == nil && !meta.Limit.Named && (meta.Signed || meta.Proof == ProofNotRun)
	if !meta.Limit.Valid && !ended {
		return
	}
	n := quota.Notice{
		Run: b.run(), Limited: meta.Limit.Valid, PerSecond: meta.Limit.PerSecond, Heard: x.relay.options.Clock.Now(),
	}
	if x.relay.options.Limits.Hear(n) {
		x.relay.options.Log.Info().Str("server", string(n.Server)).Str("service", string(x.service.id)).Bool("limited", n.Limited).
			Str("per-second", strconv.FormatFloat(n.PerSecond, 'g', 4, 64)).Str("request", x.requestMeta.ID).Msg("server-limit")
	}
}

// run identifies the run of the server for its limit.
func (b *backend) run() quota.Run { return quota.Run{Server: b.server.ID, Born: b.server.Born} }

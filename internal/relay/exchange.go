package relay

import (
	"bytes"
	"context"
	"errors"
	"hash/maphash"
	"iter"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/body"
	"github.com/samphiredrum/samphiredrum/internal/route"
	"github.com/samphiredrum/samphiredrum/internal/view"
	"github.com/samphiredrum/samphiredrum/internal/wire"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/pick"
	"github.com/samphiredrum/samphiredrum/pkg/quota"
	"github.com/samphiredrum/samphiredrum/pkg/shed"
)

const (
	// defaultTimeout is the timeout of a request if neither its caller nor its rule sets one.
	defaultTimeout = 30 * time.Second
	// responseGrace is how long past the deadline the relay waits for a response: the server has the same
	// deadline, so its response may still be in flight.
	responseGrace = 100 * time.Millisecond
	// ownerWaitShare is the fraction of the rule's latency objective that a request waits for an owner of
	// its key.
	ownerWaitShare = 0.5
	// overloadRetryShare determines the least Retry-After time of a shed request, which is proportional to the excess
	// load of its rank. It is that time as a fraction of the latency objective if half of the rank is rejected.
	overloadRetryShare = 0.5
	// refusalWaitShare is the fraction of the latency objective after which a request is sent again to an
	// owner that refused it for lack of capacity.
	refusalWaitShare = 0.125
	// minTimeLeft is the time until the deadline below which a request is no longer sent.
	minTimeLeft = 5 * time.Millisecond
)

// exchange is one request with its response.
type exchange struct {
	relay    *Relay
	request  *fasthttp.Request
	response *fasthttp.Response
	// requestMemory and responseMemory are the memory of the bodies.
	requestMemory, responseMemory *body.Reservation
	arrived                       time.Time
	deadline                      time.Time
	requestMeta                   RequestMeta
	// view is the View from which rule was chosen. It is nil once the request is served.
	view *view.View
	// rule is nil if no rule matches.
	rule     *route.Rule
	service  *service
	attempts wire.Attempts
	// sendings are the attempts that wrote bytes of the request.
	sendings   []sending
	lastServer assign.ServerID
	lastError  error
	reason     Reason
	// permitted is the server with a limit that this request may be sent to until permitUntil, nil for none.
	permitted   *backend
	permitUntil time.Time
	// preparedAt is when the last attempt was about to be sent.
	preparedAt time.Time
	// coldAsks is the number of reservations at cold servers that were asked for.
	coldAsks int
	// caller is the address of the caller, and connections the number of its open connections.
	caller      netip.Addr
	connections int
	// rank is the rank of the request for the decision about excess load, and shedding is that decision.
	rank     int
	shedding shed.Decision
	// retryTime is when the caller of a request that was not run may return, 0 for any other.
	retryTime time.Duration
	// failedResponse reports that response is the complete response of a server that failed to run the request.
	failedResponse bool
	// retryTaken reports that the next attempt is taken from the retry budget already.
	retryTaken bool
	// rejectedAtHome reports that a server of the own failure domain did not run the last attempt.
	rejectedAtHome bool
}

// matchRule finds the rule of the request in the latest View.
func (x *exchange) matchRule() {
	v := x.relay.refresh()
	if v == x.view {
		return
	}
	x.view = v
	x.requestMeta = x.relay.options.Messages.ReadRequest(&x.request.Header)
	x.rule = nil
	if v.Config != nil && v.ServersKnown {
		x.rule = v.Config.Match(string(x.request.Header.Host()), path(x.request.Header.RequestURI()))
	}
}

// idempotent reports whether the rule of the request allows that it runs beside others of its connection.
func (x *exchange) idempotent() bool { return x.rule != nil && x.rule.Idempotent }

// serve forwards the request, whose rule matchRule has found, and fills the response.
func (x *exchange) serve(ctx context.Context) {
	v := x.view
	// A response that waits for its turn must not keep an outdated View.
	x.view = nil
	if v.Config == nil || !v.ServersKnown {
		x.respondNotRun(ReasonNoConfig, longRetryAfter)
		return
	}
	if x.rule == nil {
		x.respond(fasthttp.StatusNotFound, ReasonNoRule)
		return
	}
	if x.relay.options.Memory.Exhausted() {
		x.respondNotRun(ReasonMemory, memoryRetryAfter)
		return
	}
	x.service = x.relay.nextService(x.rule)
	if x.service == nil {
		x.respondNotRun(ReasonNoServer, longRetryAfter)
		return
	}
	x.rank = x.service.countRequest(x.shedRequest())
	x.deadline = x.arrived.Add(x.timeout())
	if x.mayOutlastProcess() {
		x.respondNotRun(ReasonStopping, shortRetryAfter)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline.Add(responseGrace))
	defer cancel()
	x.removeHopByHop()
	if x.service.partitioned() {
		if !x.requestMeta.HasKey {
			x.respond(fasthttp.StatusBadRequest, ReasonNoKey)
			return
		}
		x.relay.options.ObserveKey(x.service.id, x.requestMeta.Key)
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

// timeout returns how long the request may take: the caller's timeout, bounded by the timeout of the rule.
func (x *exchange) timeout() time.Duration {
	timeout := callerTimeout(x.requestMeta)
	if x.rule.Timeout > 0 {
		timeout = min(timeout, x.rule.Timeout)
	}
	return timeout
}

// mayOutlastProcess reports whether the request may last until after the end of this process, which would cut it.
func (x *exchange) mayOutlastProcess() bool {
	return x.relay.endsBefore(x.deadline.Add(responseGrace))
}

// removeHopByHop removes the hop-by-hop header fields from the request.
func (x *exchange) removeHopByHop() {
	h := &x.request.Header
	for _, f := range x.hopByHopFields(h.All()) {
		h.Del(f)
	}
	h.ResetConnectionClose()
	h.SetNoDefaultContentType(true)
}

// hopByHopFields returns the names of the hop-by-hop fields of a header.
func (x *exchange) hopByHopFields(header iter.Seq2[[]byte, []byte]) []string {
	var names []string
	for name := range header {
		if x.relay.options.Messages.IsHopByHop(name) {
			names = append(names, string(name))
		}
	}
	return names
}

// serveAny forwards the request to any server of a service that is not partitioned.
func (x *exchange) serveAny(ctx context.Context) {
	var refusal *quota.Reservation
	for {
		now := x.relay.options.Clock.Now()
		b, probe := x.service.takeResponsive(now, x.call())
		if b == nil && refusal != nil {
			x.endLimited(*refusal)
			return
		}
		if b == nil {
			x.endWithoutServer(now)
			return
		}
		if x.rejectedBy(b) {
			b.silence.endProbe(probe)
			x.service.done(now, b, pick.Result{Objective: x.rule.Objective, Ignore: true})
			x.giveUp(ReasonRefused)
			return
		}
		if r := x.permit(ctx, b, 0); !r.Granted {
			refusal = &r
			b.silence.endProbe(probe)
			x.service.hold(x.relay.options.Clock.Now(), b, r.Free, x.rule.Objective)
			continue
		}
		started := time.Now()
		meta, err := x.send(ctx, b)
		b.silence.endProbe(probe)
		result := x.noteResult(b, time.Since(started), meta, err)
		result.Ignore = result.Ignore || errors.Is(ctx.Err(), context.Canceled)
		x.service.done(x.relay.options.Clock.Now(), b, result)
		if errors.Is(err, errNoPermit) {
			// The server has not been tried yet.
			x.lastServer = ""
		}
		if x.finish(ctx, meta, err) {
			return
		}
		if errors.Is(err, errEvacuated) {
			// The choice of servers is older than the evacuation.
			x.relay.refresh()
		}
	}
}

// serveKey forwards the request to the owner of its key.
func (x *exchange) serveKey(ctx context.Context, v *view.View) {
	limit := x.arrived.Add(x.objectiveShare(ownerWaitShare))
	if last := x.deadline.Add(-minTimeLeft); last.Before(limit) {
		limit = last
	}
	shedDecided := false
	for {
		b, shed := x.service.owner(x.relay.options.Clock.Now(), v, x.requestMeta.Key)
		if !shedDecided {
			shedDecided = true
			x.shedding = x.service.decideShedding(b, x.rank, shed)
			if x.shedding.Reject {
				x.endShed(b)
				return
			}
		}
		if b == nil {
			if x.service.allEvacuated(v) {
				x.giveUp(ReasonEvacuated)
				return
			}
			if v = x.nextView(ctx, v, limit); v == nil {
				x.giveUp(x.withoutOwner())
				return
			}
			continue
		}
		if wait := x.service.closedFor(x.relay.options.Clock.Now(), b); wait > 0 {
			x.lastServer = b.server.ID
			x.endLimited(quota.Reservation{RetryAfter: wait})
			return
		}
		if x.rejectedBy(b) {
			x.giveUp(ReasonRefused)
			return
		}
		if r := x.permit(ctx, b, min(x.objectiveShare(permitWaitShare), time.Until(x.deadline)-minTimeLeft)); !r.Granted {
			if next := x.awaitReplacement(ctx, b, v, limit); next != nil {
				v = next
				continue
			}
			x.lastServer = b.server.ID
			x.endLimited(r)
			return
		}
		admitted, probe := b.silence.admit(minHungOwner)
		if !admitted {
			x.endHung(b)
			return
		}
		started, sends := time.Now(), len(x.sendings)
		meta, err := x.send(ctx, b)
		b.silence.endProbe(probe)
		if meta.Proof == ProofRan || meta.Proof == ProofFailed {
			x.relay.options.ObserveRun(x.service.id, b.server.ID, time.Since(started))
		}
		if !meta.Misdirected && x.rejectedBy(b) && x.owner() == b {
			x.giveUp(ReasonRefused)
			return
		}
		if meta.Proof == ProofNotRun && !meta.Misdirected && ctx.Err() == nil && x.isFutile() {
			x.giveUp(ReasonRefused)
			return
		}
		if x.finish(ctx, meta, err) {
			return
		}
		if errors.Is(err, errEvacuated) {
			v = x.relay.refresh()
			continue
		}
		if errors.Is(err, errNoPermit) || errors.Is(err, errTurnedAway) {
			continue
		}
		if meta.Misdirected || len(x.sendings) == sends {
			// The owner cannot be reached, or the key has moved and this process does not know the new
			// owner yet. Trying the same owner again cannot help, so this waits for another View.
			if v = x.nextView(ctx, v, limit); v == nil {
				x.giveUp(x.withoutOwner())
				return
			}
			continue
		}
		if meta.Proof == ProofNotRun {
			// The owner has no capacity at present. Waits briefly, since another View may name another owner.
			x.nextView(ctx, v, time.Now().Add(x.objectiveShare(refusalWaitShare)))
		}
		v = x.relay.refresh()
	}
}

// isFutile reports whether sending a request again that its owner has refused for lack of capacity has little chance:
// requests of its rank are rejected since the owner has too many, or the time left is too short. The retries that it does not
// take from the budget are left for more urgent requests.
func (x *exchange) isFutile() bool {
	return x.shedding.Probability > 0 || time.Until(x.deadline) < x.objectiveShare(refusalWaitShare)+minTimeLeft
}

// owner returns the owner of the request's key in the latest View, nil if there is none.
func (x *exchange) owner() *backend {
	v := x.relay.refresh()
	b, _ := x.service.owner(x.relay.options.Clock.Now(), v, x.requestMeta.Key)
	return b
}

// endWithoutServer ends a request for which no server can be picked.
func (x *exchange) endWithoutServer(now time.Time) {
	if wait := x.service.allClosedFor(now); wait > 0 {
		x.endLimited(quota.Reservation{RetryAfter: wait})
		return
	}
	if x.service.hasCold(now) {
		x.endLimited(quota.Reservation{RetryAfter: longRetryAfter})
		return
	}
	if x.service.anyEvacuated(x.relay.options.Views.Load()) {
		x.giveUp(ReasonEvacuated)
		return
	}
	x.giveUp(ReasonNoServer)
}

func (x *exchange) objectiveShare(share float64) time.Duration {
	return time.Duration(float64(x.rule.Objective) * share)
}

// shedRequest describes the request for the decision about excess load.
func (x *exchange) shedRequest() shed.Request {
	target := maphash.Bytes(x.relay.hashSeed, x.request.Header.RequestURI()) ^ uint64(x.requestMeta.Key)
	return shed.Request{Rank: x.rule.Priority, Caller: x.caller, Connections: x.connections, Target: target}
}

// rankText returns a rank for logs and metrics.
func rankText(rank int) string {
	if rank == shed.Repeated {
		return "repeated"
	}
	return strconv.Itoa(rank)
}

// endShed rejects a request because its owner has more requests than it can run. The owner is nil if there is none.
func (x *exchange) endShed(b *backend) {
	if b != nil {
		x.lastServer = b.server.ID
	}
	x.relay.options.Meter.observeShed(x.service.id, rankText(x.rank))
	x.respondNotRun(ReasonOverload, x.overloadRetry())
}

// overloadRetry returns the least Retry-After time of a request to an overloaded owner. It grows with the excess load of the
// request's rank, since a retry has no better chance before the load falls.
func (x *exchange) overloadRetry() time.Duration {
	return max(shortRetryAfter, x.objectiveShare(overloadRetryShare*x.shedding.Excess()))
}

// nextView waits until limit for another View than v. It returns nil if there is none by then.
func (x *exchange) nextView(ctx context.Context, v *view.View, limit time.Time) *view.View {
	if latest := x.relay.refresh(); latest != v {
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
		return x.relay.refresh()
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

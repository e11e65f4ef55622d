package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/limit"
	"github.com/samphiredrum/samphiredrum/pkg/pick"
)

// cancelTimeout bounds a cancel request for a call without an answer.
const cancelTimeout = 200 * time.Millisecond

// Errors of the check before the first byte is written. They are plain values without stack traces: a
// stack trace for each refusal would dominate the cost of shedding.
var (
	errMoved    = errors.New("the key has moved to another owner; route the call again")
	errNoLease  = errors.New("the serving lease has ended; repeat the call through another entry process")
	errDeadline = errors.New("the deadline of the call has passed; repeat it with more time")
)

// send forwards a call to its server. It is the only stage after which a call can have another outcome
// than not-run.
type send struct{ router *Router }

// Filter implements Filter.
func (s *send) Filter(ctx context.Context, c *Call, _ Next) Result {
	if !c.target.hasOwner() {
		return s.exchange(ctx, c, nil)
	}
	counter := s.router.tracker.start(c.Service.ID, c.target.holding)
	counter.sinceReport.Add(1)
	counter.hot.add(c.Hash)
	// The call is counted before the view is read again; Tracker says why.
	if !s.router.View().sameOwner(c.Service.ID, c.Hash, c.target.holding) {
		counter.finish()
		return refuse(ReasonMoved, errMoved.Error())
	}
	return s.exchange(ctx, c, counter)
}

// exchange sends the call. It removes the call from the counter once the server can no longer run it.
func (s *send) exchange(ctx context.Context, c *Call, counter *callCounter) Result {
	server := c.target.server
	if counter != nil && server.Fencing != assign.None {
		server.Refresh(ctx, s.router.config.Clock.Now())
	}
	deadline := c.LatestDeadline
	if expires := s.router.Expires(); counter != nil && expires.Before(deadline) {
		// Not-After is capped at the expiry of the serving lease, so that the server runs no call of this
		// process after the lease has expired.
		deadline = expires
	}
	timeLeft := deadline.Sub(s.router.config.Clock.Latest())
	notAfter, known := server.callNotAfter(s.router.config.Clock, deadline)
	if counter != nil && !known && server.Fencing != assign.None {
		counter.finish()
		return refuse(ReasonNoServer, "the clock of the server is not known yet; repeat the call")
	}
	c.Attempt++
	c.lastServer = server.ID
	incarnation := server.Incarnation()
	answer, err := server.Client.Send(ctx, s.request(c, notAfter))
	if err == nil {
		server.Observe(answer.Receipt)
		finish(counter)
		return answerResult(answer)
	}
	if counter != nil && back.KindOf(err) == back.Unknown && !s.confirmEnded(c, server) {
		server.keepInFlight(counter, incarnation, attemptID(c), timeLeft)
	} else {
		finish(counter)
	}
	return s.errorResult(c, err)
}

func finish(counter *callCounter) {
	if counter != nil {
		counter.finish()
	}
}

// request returns the call in the form that is sent.
func (s *send) request(c *Call, notAfter time.Time) back.Call {
	return back.Call{
		RequestID: attemptID(c),
		Method:    c.Method,
		Path:      c.Path,
		Query:     c.Query,
		Headers:   c.Headers,
		Body:      c.Body,
		Service:   c.Service.ID,
		Keyed:     c.target.hasOwner(),
		KeyHash:   c.Hash,
		Fence:     c.target.holding.Fence(),
		Deadline:  c.LatestDeadline,
		NotAfter:  notAfter,
		Check:     func() error { return s.check(c) },
	}
}

// check verifies, just before the first byte is written, that the call may still be sent.
func (s *send) check(c *Call) error {
	if !s.router.hasLease() {
		return errNoLease
	}
	if !s.router.config.Clock.Latest().Before(c.LatestDeadline) {
		return errDeadline
	}
	if c.target.hasOwner() && !s.router.View().sameOwner(c.Service.ID, c.Hash, c.target.holding) {
		return errMoved
	}
	return nil
}

// confirmEnded reports whether the server confirms that a call without an answer no longer runs. Only
// servers without fencing are asked, since the others stop their calls by grant or deadline.
func (s *send) confirmEnded(c *Call, server *Server) bool {
	if server.Fencing != assign.None {
		return false
	}
	return confirmEnded(context.Background(), server.Client, attemptID(c))
}

// attemptID returns the identifier that the last attempt of a call was sent with.
func attemptID(c *Call) string {
	return c.ID + "." + strconv.Itoa(c.Attempt)
}

// errorResult returns the result of an attempt that failed with err.
func (s *send) errorResult(c *Call, err error) Result {
	reason := back.ReasonOf(err)
	if back.KindOf(err) == back.Unknown {
		if reason == back.Cut {
			s.reportSuspect(c)
		}
		return unknown(ReasonLostAnswer, "the call may have run; repeat it only with the same Idempotency-Key")
	}
	switch {
	case errors.Is(err, errMoved):
		return refuse(ReasonMoved, errMoved.Error())
	case errors.Is(err, errNoLease):
		return refuse(ReasonNotServing, errNoLease.Error())
	case errors.Is(err, errDeadline), reason == back.Deadline:
		return refuse(ReasonDeadline, errDeadline.Error())
	}
	if reason == back.ConnectionRefused || reason == back.Unreachable {
		s.reportSuspect(c)
	}
	result := refuse(ReasonRefused, "the server refused the call ("+reason.String()+"); repeat it later")
	result.RetryAfter = serverRetryAfter
	result.shed = reason == back.Shedding || reason == back.Cold
	if c.target.hasOwner() && (reason == back.Draining || reason == back.NoGrant || reason == back.StaleFence) {
		// The key is about to move, or its new owner does not have its grant yet.
		result.moving = true
		s.reportSuspect(c)
	}
	return result
}

func (s *send) reportSuspect(c *Call) {
	if s.router.config.Suspect != nil {
		s.router.config.Suspect(c.target.server.ID)
	}
}

// answerResult returns the result of a call that the server answered.
func answerResult(answer back.Answer) Result {
	return Result{Outcome: OutcomeRan, Status: answer.Status, Headers: answer.Headers, Body: answer.Body}
}

// pickResult converts a result for the load balancer that picks servers.
func pickResult(r Result, latency time.Duration) pick.Result {
	switch r.Outcome {
	case OutcomeRan:
		return pick.Result{Latency: latency, Failed: r.Status >= http.StatusInternalServerError}
	case OutcomeUnknown:
		return pick.Result{Latency: latency, Failed: true}
	case OutcomeNotRun:
		return pick.Result{Latency: latency, Failed: r.Reason == ReasonRefused, Ignore: r.Reason != ReasonRefused}
	}
	return pick.Result{Ignore: true}
}

// loadOutcome converts a result for the server's concurrency limit.
func loadOutcome(r Result) limit.Outcome {
	switch {
	case r.Outcome == OutcomeRan:
		return limit.Ran
	case r.Outcome == OutcomeUnknown:
		return limit.Failed
	case r.shed:
		return limit.Refused
	}
	return limit.Unsent
}

// queueRefusal returns the result of a call that its queue refused or that waited there too long.
func queueRefusal(err error) Result {
	reason := ReasonOverload
	if k := limit.KindOf(err); k == limit.KindDeadline || k == limit.KindCancelled {
		reason = ReasonDeadline
	}
	result := refuse(reason, err.Error())
	var refusal *limit.RefusalError
	if errors.As(err, &refusal) {
		result.RetryAfter = refusal.Wait
	}
	return result
}

// classes maps the classes in the settings to the classes of queues.
var classes = map[conf.Class]limit.Class{
	conf.Booking: limit.Booking,
	conf.Short:   limit.Short,
	conf.Long:    limit.Long,
}

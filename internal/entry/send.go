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

// cancelTime bounds the question what became of a call without an answer.
const cancelTime = 200 * time.Millisecond

// Errors of the check before the first byte. They are told apart by identity, because a stack
// trace for each refusal would dominate the cost of shedding.
var (
	errMoved    = errors.New("the key has moved to another owner; route the call again")
	errNoLease  = errors.New("the serving lease has ended; repeat the call through another entry process")
	errDeadline = errors.New("the deadline of the call has passed; repeat it with more time")
)

// send forwards a call to its server. It is the only stage that makes a call more than not-run.
type send struct{ router *Router }

// Filter implements Filter.
func (s *send) Filter(ctx context.Context, c *Call, _ Next) Result {
	if !c.target.owned() {
		return s.exchange(ctx, c, nil)
	}
	f := s.router.tracker.enter(c.Service.ID, c.target.holding)
	f.total.Add(1)
	f.hot.add(c.Hash)
	// The view is read again after the call is counted: see Tracker.
	if !s.router.View().same(c.Service.ID, c.Hash, c.target.holding) {
		f.leave()
		return refuse(ReasonMoved, errMoved.Error())
	}
	return s.exchange(ctx, c, f)
}

// exchange sends the call and ends its count in flight where the server can no longer run it.
func (s *send) exchange(ctx context.Context, c *Call, f *flight) Result {
	server := c.target.server
	if f != nil && server.Fencing != assign.None {
		server.Refresh(ctx, s.router.config.Clock.Now())
	}
	deadline := c.LatestDeadline
	if expires := s.router.Expires(); f != nil && expires.Before(deadline) {
		// The serving lease caps Not-After, so that its lapse is known to end the call.
		deadline = expires
	}
	left := deadline.Sub(s.router.config.Clock.Latest())
	notAfter, known := server.callNotAfter(s.router.config.Clock, deadline)
	if f != nil && !known && server.Fencing != assign.None {
		f.leave()
		return refuse(ReasonNoServer, "the clock of the server is not known yet; repeat the call")
	}
	c.Attempt++
	c.last = server.ID
	incarnation := server.Incarnation()
	answer, err := server.Client.Send(ctx, s.request(c, notAfter))
	if err == nil {
		server.Observe(answer.Receipt)
		leave(f)
		return answered(answer)
	}
	if f != nil && back.KindOf(err) == back.Unknown && !s.ended(c, server) {
		server.hold(f, incarnation, attemptID(c), left)
	} else {
		leave(f)
	}
	return s.failed(c, err)
}

func leave(f *flight) {
	if f != nil {
		f.leave()
	}
}

// request returns the call as it is sent.
func (s *send) request(c *Call, notAfter time.Time) back.Call {
	return back.Call{
		RequestID: attemptID(c),
		Method:    c.Method,
		Path:      c.Path,
		Query:     c.Query,
		Headers:   c.Headers,
		Body:      c.Body,
		Service:   c.Service.ID,
		Keyed:     c.target.owned(),
		KeyHash:   c.Hash,
		Fence:     c.target.holding.Fence(),
		Deadline:  c.LatestDeadline,
		NotAfter:  notAfter,
		Check:     func() error { return s.check(c) },
	}
}

// check runs just before the first byte is written.
func (s *send) check(c *Call) error {
	if !s.router.leased() {
		return errNoLease
	}
	if !s.router.config.Clock.Latest().Before(c.LatestDeadline) {
		return errDeadline
	}
	if c.target.owned() && !s.router.View().same(c.Service.ID, c.Hash, c.target.holding) {
		return errMoved
	}
	return nil
}

// ended reports whether the server confirms that a call without an answer runs no more. Only
// servers that check nothing are asked, since the others bound their work by themselves.
func (s *send) ended(c *Call, server *Server) bool {
	if server.Fencing != assign.None {
		return false
	}
	return ended(context.Background(), server.Client, attemptID(c))
}

// attemptID returns the identifier of the last attempt of a call, as the server knows it.
func attemptID(c *Call) string {
	return c.ID + "." + strconv.Itoa(c.Attempt)
}

// failed returns the result of an attempt without an answer.
func (s *send) failed(c *Call, err error) Result {
	reason := back.ReasonOf(err)
	if back.KindOf(err) == back.Unknown {
		if reason == back.Cut {
			s.suspect(c)
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
		s.suspect(c)
	}
	result := refuse(ReasonRefused, "the server refused the call ("+reason.String()+"); repeat it later")
	result.RetryAfter = waitForServer
	result.shed = reason == back.Shedding || reason == back.Cold
	if c.target.owned() && (reason == back.Draining || reason == back.NoGrant || reason == back.StaleFence) {
		// The key is about to move, or its new owner has not got its grant yet.
		result.moving = true
		s.suspect(c)
	}
	return result
}

func (s *send) suspect(c *Call) {
	if s.router.config.Suspect != nil {
		s.router.config.Suspect(c.target.server.ID)
	}
}

// answered returns the result of a call that the server answered.
func answered(answer back.Answer) Result {
	return Result{Outcome: OutcomeRan, Status: answer.Status, Headers: answer.Headers, Body: answer.Body}
}

// observed returns what a result says about the server for the choice between servers.
func observed(r Result, latency time.Duration) pick.Result {
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

// loadOutcome returns what a result says about the load of the server.
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

// overload returns the result of a call that got no place in a queue.
func overload(err error) Result {
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

// classes maps the classes of the settings to those of the queue.
var classes = map[conf.Class]limit.Class{
	conf.Booking: limit.Booking,
	conf.Short:   limit.Short,
	conf.Long:    limit.Long,
}

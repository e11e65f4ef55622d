package entry

import (
	"context"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/conf"
)

// Bounds of retries.
const (
	// maxAttempts bounds how often one call is sent.
	maxAttempts = 3
	// retryPause lets a server that refused a call finish some of its work.
	retryPause = 5 * time.Millisecond
)

// retry repeats attempts that did not start, and repeatable calls whose answer was lost. Repeats
// are paid from the service's budget, so that they cannot multiply an overload.
type retry struct{ router *Router }

// Filter implements Filter.
func (r *retry) Filter(ctx context.Context, c *Call, next Next) Result {
	service := r.router.View().Services[c.Service.ID]
	if service == nil {
		return refuse(ReasonNoService, "the service was removed from the settings; ask the team's operators")
	}
	service.Calls.Started()
	lost := Result{}
	for {
		result := next(ctx, c)
		if result.Outcome == OutcomeUnknown {
			lost = result
		}
		if result.Reason == ReasonMoved && ctx.Err() == nil {
			// The attempt was not sent; it costs the server nothing and is not paid for.
			continue
		}
		if result.moving && r.awaitMove(ctx) {
			c.moved++
			continue
		}
		if !mayRepeat(c, result) || c.Attempt-c.moved >= maxAttempts || ctx.Err() != nil {
			return certain(lost, result)
		}
		if !service.Calls.AllowRetry() {
			return certain(lost, result)
		}
		if !pause(ctx, retryPause) {
			return certain(lost, result)
		}
	}
}

// movePause is the longest time between two attempts of a call whose key is moving.
const movePause = 100 * time.Millisecond

// awaitMove waits for another table, for a short time in case the owner only waits for its grant.
// It reports false where the context ends first.
func (r *retry) awaitMove(ctx context.Context) bool {
	timer := time.NewTimer(movePause)
	defer timer.Stop()
	select {
	case <-r.router.View().replaced:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// certain returns the result of a call whose earlier attempt lost its answer: where the later attempt
// was not run, the call may still have run in the earlier one.
func certain(lost, result Result) Result {
	if lost.Outcome == OutcomeUnknown && result.Outcome == OutcomeNotRun {
		return lost
	}
	return result
}

// mayRepeat reports whether another attempt is safe and may help.
func mayRepeat(c *Call, result Result) bool {
	switch result.Outcome {
	case OutcomeRan:
		return false
	case OutcomeUnknown:
		return c.Operation.Repeatable && c.Operation.Class != conf.Long
	case OutcomeNotRun:
		return result.Reason == ReasonRefused
	}
	return false
}

// pause waits for d. It reports false where the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

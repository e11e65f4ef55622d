package entry

import (
	"context"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/conf"
)

const (
	// maxAttempts is the largest number of attempts of a call. Attempts that were refused because the key
	// was moving do not count.
	maxAttempts = 3
	// retryDelay is the time before a retry, in which the server can finish some of its work.
	retryDelay = 5 * time.Millisecond
)

// retry repeats attempts that did not run because the server refused them or could not be reached, and
// repeatable calls whose answer was lost. Retries are limited by the retry budget of the service, so that
// they cannot amplify an overload.
type retry struct{ router *Router }

// Filter implements Filter.
func (r *retry) Filter(ctx context.Context, c *Call, next Next) Result {
	service := r.router.View().Services[c.Service.ID]
	if service == nil {
		return refuse(ReasonNoService, "the service was removed from the settings; ask the team's operators")
	}
	service.Calls.Started()
	unanswered := Result{}
	for {
		result := next(ctx, c)
		if result.Outcome == OutcomeUnknown {
			unanswered = result
		}
		if result.Reason == ReasonMoved && ctx.Err() == nil {
			// The attempt was not sent and cost the server nothing, so it uses none of the retry budget.
			continue
		}
		if result.moving && r.awaitMove(ctx) {
			c.moves++
			continue
		}
		if !mayRetry(c, result) || c.Attempt-c.moves >= maxAttempts || ctx.Err() != nil {
			return mergeOutcome(unanswered, result)
		}
		if !service.Calls.AllowRetry() {
			return mergeOutcome(unanswered, result)
		}
		if !sleep(ctx, retryDelay) {
			return mergeOutcome(unanswered, result)
		}
	}
}

// maxMoveWait is the longest time between two attempts of a call whose key is moving.
const maxMoveWait = 100 * time.Millisecond

// awaitMove waits for the next view, but no longer than maxMoveWait: if the owner only waits for its
// grant, no new view follows. It reports false if ctx ends first.
func (r *retry) awaitMove(ctx context.Context) bool {
	timer := time.NewTimer(maxMoveWait)
	defer timer.Stop()
	select {
	case <-r.router.View().replaced:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// mergeOutcome returns the result of a call after its last attempt. If that attempt did not run but an
// earlier one lost its answer, the call may have run, so the result is that of the earlier attempt.
func mergeOutcome(unanswered, result Result) Result {
	if unanswered.Outcome == OutcomeUnknown && result.Outcome == OutcomeNotRun {
		return unanswered
	}
	return result
}

// mayRetry reports whether another attempt is safe and may succeed.
func mayRetry(c *Call, result Result) bool {
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

// sleep waits for d. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

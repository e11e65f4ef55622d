package entry

import (
	"context"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/limit"
)

// Tokens gives out tokens for long work on a server. They limit the long work of all processes together.
type Tokens interface {
	// Acquire waits for a token of the server until ctx ends. The token is valid for length. The returned
	// function gives it back.
	Acquire(ctx context.Context, server assign.ServerID, length time.Duration) (func(), error)
}

// token makes long work wait for a token, so that slots of the server stay free for short work.
type token struct{ router *Router }

// Filter implements Filter.
func (t *token) Filter(ctx context.Context, c *Call, next Next) Result {
	if t.router.config.Tokens == nil || t.router.fifo || t.router.class(c) != limit.Long {
		return next(ctx, c)
	}
	timeLeft := c.Deadline.Sub(t.router.config.Clock.Now())
	release, err := t.router.config.Tokens.Acquire(ctx, c.target.server.ID, timeLeft)
	if err != nil {
		result := refuse(ReasonOverload, "all slots for long work are in use; repeat the call later or with more time")
		result.RetryAfter = serverRetryAfter
		return result
	}
	defer release()
	return next(ctx, c)
}

// class returns the class by which the call is queued. An operation whose measured run times are long is
// in the class for long work, whatever its settings say.
func (r *Router) class(c *Call) limit.Class {
	service := r.View().Services[c.Service.ID]
	if service == nil {
		return classes[c.Operation.Class]
	}
	return service.Calls.Class(c.Operation.Name, classes[c.Operation.Class])
}

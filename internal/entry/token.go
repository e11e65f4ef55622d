package entry

import (
	"context"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/limit"
)

// Tokens gives out the right to run long work on a server, over all processes.
type Tokens interface {
	// Acquire waits until a token for the server is given, for at most length, or until the
	// context ends. The function returned gives the token back.
	Acquire(ctx context.Context, server assign.ServerID, length time.Duration) (func(), error)
}

// token makes long work wait for a token, so that it leaves slots of the server for short work.
type token struct{ router *Router }

// Filter implements Filter.
func (t *token) Filter(ctx context.Context, c *Call, next Next) Result {
	if t.router.config.Tokens == nil || t.router.firstCome || t.router.class(c) != limit.Long {
		return next(ctx, c)
	}
	left := c.Deadline.Sub(t.router.config.Clock.Now())
	release, err := t.router.config.Tokens.Acquire(ctx, c.target.server.ID, left)
	if err != nil {
		result := refuse(ReasonOverload, "all slots for long work are in use; repeat the call later or with more time")
		result.RetryAfter = waitForServer
		return result
	}
	defer release()
	return next(ctx, c)
}

// class returns the class that the call is queued under: an operation that was seen to run long
// counts as long whatever the settings say.
func (r *Router) class(c *Call) limit.Class {
	service := r.View().Services[c.Service.ID]
	if service == nil {
		return classes[c.Operation.Class]
	}
	return service.Calls.Class(c.Operation.Name, classes[c.Operation.Class])
}

package entry

import (
	"context"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/limit"
)

// Waits that callers are told before they repeat a refused call.
const (
	waitForLease  = 500 * time.Millisecond
	waitForServer = 200 * time.Millisecond
)

// admit refuses calls that this process may not serve.
type admit struct{ router *Router }

// Filter implements Filter.
func (a *admit) Filter(ctx context.Context, c *Call, next Next) Result {
	if a.router.stopping.Load() {
		result := refuse(ReasonStopping, "repeat the call through another entry process")
		result.RetryAfter = time.Millisecond
		return result
	}
	if !a.router.leased() {
		result := refuse(ReasonNotServing, "repeat the call through another entry process")
		result.RetryAfter = waitForLease
		return result
	}
	return next(ctx, c)
}

// route chooses the server of an attempt. A call whose key has no open owner waits for one.
type route struct{ router *Router }

// Filter implements Filter.
func (r *route) Filter(ctx context.Context, c *Call, next Next) Result {
	for {
		view := r.router.View()
		service := view.Services[c.Service.ID]
		if service == nil {
			return refuse(ReasonNoService, "the service was removed from the settings; ask the team's operators")
		}
		if service.Exclusive != c.Service.Exclusive {
			return refuse(ReasonMoved, "repeat the call")
		}
		if !service.Exclusive {
			return r.choose(ctx, c, service, next)
		}
		if t, ok := owner(view, service, c); ok {
			c.target = t
			return next(ctx, c)
		}
		select {
		case <-view.replaced:
		case <-ctx.Done():
			result := refuse(ReasonNoOwner, "the key is being moved to another server; repeat the call")
			result.RetryAfter = waitForServer
			return result
		}
	}
}

// owner returns the server that owns the call's key, where calls may be sent to it.
func owner(view *View, service *Service, c *Call) (target, bool) {
	if view.Table == nil {
		return target{}, false
	}
	holding, ok := view.Table.Lookup(service.ID, c.Hash)
	if !ok || !holding.Open {
		return target{}, false
	}
	server := service.Members[holding.Owner()]
	if server == nil {
		return target{}, false
	}
	return target{server: server, holding: holding}, true
}

// choose sends the call to one of the servers of a service without owners.
func (r *route) choose(ctx context.Context, c *Call, service *Service, next Next) Result {
	id, ok := service.Picker.Take(r.router.config.Clock.Now(), c.last)
	if !ok {
		result := refuse(ReasonNoServer, "no server of the service takes work; repeat the call later")
		result.RetryAfter = waitForServer
		return result
	}
	c.target = target{server: service.Members[id]}
	started := r.router.config.Clock.Now()
	result := next(ctx, c)
	now := r.router.config.Clock.Now()
	service.Picker.Done(now, id, observed(result, now.Sub(started)))
	return result
}

// queue waits until the call may be sent to its server.
type queue struct{ router *Router }

// request returns what the queue orders the call by.
func (q *queue) request(c *Call) limit.Request {
	if q.router.firstCome {
		return limit.Request{Class: limit.Short}
	}
	return limit.Request{Operation: c.Operation.Name, Class: q.router.class(c), Deadline: c.Deadline}
}

// Filter implements Filter.
func (q *queue) Filter(ctx context.Context, c *Call, next Next) Result {
	server := c.target.server
	ticket, err := server.Gate.Acquire(ctx, q.request(c))
	if err != nil {
		return overload(err)
	}
	started := q.router.config.Clock.Now()
	result := next(ctx, c)
	ticket.Done(loadOutcome(result), q.router.config.Clock.Now().Sub(started))
	return result
}

// Package entry accepts calls from callers and forwards them to the backend servers.
//
// A Router runs each call through a pipeline of filters, in the order of their priorities: admit,
// reserve (bookings), retry, route, token (long work), queue, send. A filter refuses a call or passes
// it on once or several times. The filters decide by an immutable View, which the control goroutine of
// the process replaces, and by the expiry of the serving lease.
//
// The outcome of a call is not-run until its first byte is written to a connection of a server. From
// then on it is unknown until the complete answer has arrived or the server reports that it did not run
// the call.
//
// # Usage
//
//	router := entry.NewRouter(entry.Config{Self: "entry-1", Clock: clock.System()})
//	router.Publish(view)
//	router.SetLeaseExpiry(expires)
//	result := router.Handle(ctx, call)
package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
)

// Priorities of the built-in filters. Filters run in ascending order of priority.
const (
	PriorityAdmit   = 100
	PriorityReserve = 200
	PriorityRetry   = 300
	PriorityRoute   = 400
	PriorityToken   = 500
	PriorityQueue   = 600
	PrioritySend    = 700
)

// Config configures a Router.
type Config struct {
	// Self is the name of this process, and Incarnation identifies its present run.
	Self        assign.ProcessID
	Incarnation uint64
	Clock       clock.Clock
	// Recorders sends requests to the recorders of bookings. Without it, bookings with identifiers are
	// refused.
	Recorders Recorders
	// Tokens gives out tokens for long work. Without it, long work is not limited across processes.
	Tokens Tokens
	// Suspect is called for a server that may have failed or may be losing its keys: it refused or cut a
	// connection, was unreachable, or refused a call to one of its keys. It must not block.
	Suspect func(assign.ServerID)
}

// Option configures a Router.
type Option func(*Router)

// WithFilter adds a filter at a priority.
func WithFilter(filter Filter, priority int) Option {
	return func(r *Router) {
		r.stages = append(r.stages, stage{filter: filter, priority: priority})
	}
}

// WithFIFO queues calls in the order of arrival, without classes, deadlines and tokens. Experiments
// use it as a baseline.
func WithFIFO() Option {
	return func(r *Router) { r.fifo = true }
}

// stage is a filter with its priority.
type stage struct {
	filter   Filter
	priority int
}

// Router forwards calls to backend servers. It is safe for concurrent use.
type Router struct {
	config  Config
	tracker *Tracker
	stages  []stage
	first   Next
	// fifo disables classes, deadlines and tokens, see WithFIFO.
	fifo bool
	// group holds the goroutines that may outlive their call, such as requests to recorders.
	group conc.WaitGroup

	view        atomic.Pointer[View]
	leaseExpiry atomic.Int64
	unready     atomic.Bool
	stopping    atomic.Bool
	active      atomic.Int64
	attempts    atomic.Uint64
}

// NewRouter returns a Router that refuses every call until it has a view and a serving lease.
func NewRouter(config Config, options ...Option) *Router {
	r := &Router{config: config, tracker: NewTracker()}
	r.stages = []stage{
		{filter: &admit{router: r}, priority: PriorityAdmit},
		{filter: &reserve{router: r}, priority: PriorityReserve},
		{filter: &retry{router: r}, priority: PriorityRetry},
		{filter: &route{router: r}, priority: PriorityRoute},
		{filter: &token{router: r}, priority: PriorityToken},
		{filter: &queue{router: r}, priority: PriorityQueue},
		{filter: &send{router: r}, priority: PrioritySend},
	}
	for _, o := range options {
		o(r)
	}
	slices.SortStableFunc(r.stages, func(a, b stage) int { return a.priority - b.priority })
	r.first = chain(r.stages)
	r.view.Store(&View{replaced: make(chan struct{})})
	return r
}

// chain combines the stages into one function. Calls that the last stage passes on are refused.
func chain(stages []stage) Next {
	next := Next(func(context.Context, *Call) Result {
		return refuse(ReasonNoServer, "add a filter that sends calls")
	})
	for _, s := range slices.Backward(stages) {
		following := next
		filter := s.filter
		next = func(ctx context.Context, c *Call) Result { return filter.Filter(ctx, c, following) }
	}
	return next
}

// Handle runs a call through the pipeline and returns its result.
func (r *Router) Handle(ctx context.Context, c *Call) Result {
	r.active.Add(1)
	defer r.active.Add(-1)
	return r.first(ctx, c)
}

// View returns the current view.
func (r *Router) View() *View {
	return r.view.Load()
}

// Publish replaces the current view. After it returns, a call that the Tracker has not counted yet cannot
// be sent under an earlier view.
func (r *Router) Publish(v *View) {
	v.replaced = make(chan struct{})
	old := r.view.Swap(v)
	close(old.replaced)
}

// SetLeaseExpiry sets the expiry of the serving lease in terms of clock.Clock.Latest.
func (r *Router) SetLeaseExpiry(expires time.Time) {
	r.leaseExpiry.Store(expires.UnixNano())
}

// Expires returns the expiry of the serving lease.
func (r *Router) Expires() time.Time {
	return time.Unix(0, r.leaseExpiry.Load())
}

// Serves reports whether the process is ready for calls from the load balancer: it holds a serving lease,
// and neither SetUnready nor Stop has been called.
func (r *Router) Serves() bool {
	return !r.unready.Load() && r.hasLease()
}

func (r *Router) hasLease() bool {
	return r.config.Clock.Latest().Before(r.Expires())
}

// Tracker returns the tracker of calls in flight.
func (r *Router) Tracker() *Tracker {
	return r.tracker
}

// SetUnready makes the process unready for the load balancer. New calls are still accepted.
func (r *Router) SetUnready() {
	r.unready.Store(true)
}

// Stop makes the process unready and refuses new calls. Calls in flight continue.
func (r *Router) Stop() {
	r.SetUnready()
	r.stopping.Store(true)
}

// Active returns the number of calls in the pipeline.
func (r *Router) Active() int {
	return int(r.active.Load())
}

// Wait waits for goroutines that have outlived their calls.
func (r *Router) Wait() {
	r.group.Wait()
}

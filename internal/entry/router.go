// Package entry takes calls from callers and brings them to the backend servers.
//
// A Router runs each call through a pipeline of filters, in the order of their priorities: admit,
// reserve (bookings), retry, route, token (long work), queue, send. A filter refuses a call, passes
// it on, or passes it on again. What the pipeline decides with is an immutable View, which the
// control goroutine of the process replaces, and the expiry of the serving lease.
//
// A call is not-run until its first byte is written to a connection of a server. From then on it
// is unknown until the whole answer has arrived or the server says that it was not run.
//
// # Usage
//
//	router := entry.NewRouter(entry.Config{Self: "entry-1", Clock: clock.System()})
//	router.Publish(view)
//	router.Lend(expires)
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

// Priorities of the built-in filters. Filters of lower priority come first.
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
	// Self is this process, Incarnation its present run.
	Self        assign.ProcessID
	Incarnation uint64
	Clock       clock.Clock
	// Recorders reaches the recorders of bookings. Without it, bookings with identifiers are
	// refused.
	Recorders Recorders
	// Tokens gives tokens for long work. Without it, long work is bounded by each process alone.
	Tokens Tokens
	// Suspect is called when a server refuses connections. It must not block.
	Suspect func(assign.ServerID)
}

// Option changes a Router.
type Option func(*Router)

// WithFilter adds a filter at a priority.
func WithFilter(filter Filter, priority int) Option {
	return func(r *Router) {
		r.stages = append(r.stages, stage{filter: filter, priority: priority})
	}
}

// WithFIFO queues calls in the order of their arrival, without classes, deadlines and tokens.
// Experiments use it as a baseline.
func WithFIFO() Option {
	return func(r *Router) { r.firstCome = true }
}

// stage is a filter with its priority.
type stage struct {
	filter   Filter
	priority int
}

// Router brings calls to backend servers. It is safe for concurrent use.
type Router struct {
	config  Config
	tracker *Tracker
	stages  []stage
	first   Next
	// firstCome switches classes, deadlines and tokens in queues off.
	firstCome bool
	// group holds the goroutines that outlive their call, such as late messages to recorders.
	group conc.WaitGroup

	view     atomic.Pointer[View]
	expires  atomic.Int64
	retired  atomic.Bool
	stopping atomic.Bool
	active   atomic.Int64
	attempts atomic.Uint64
}

// NewRouter returns a Router that refuses every call until it has a view and a lease.
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

// chain joins the stages to one function. The last stage answers every call.
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

// Handle runs a call and returns what its caller is told.
func (r *Router) Handle(ctx context.Context, c *Call) Result {
	r.active.Add(1)
	defer r.active.Add(-1)
	return r.first(ctx, c)
}

// View returns the view in force.
func (r *Router) View() *View {
	return r.view.Load()
}

// Publish puts a view in force. No call starts under an earlier one afterwards.
func (r *Router) Publish(v *View) {
	v.replaced = make(chan struct{})
	old := r.view.Swap(v)
	close(old.replaced)
}

// SetLeaseExpiry sets the end of the serving lease, a reading of clock.Clock.Latest.
func (r *Router) SetLeaseExpiry(expires time.Time) {
	r.expires.Store(expires.UnixNano())
}

// Expires returns the end of the serving lease.
func (r *Router) Expires() time.Time {
	return time.Unix(0, r.expires.Load())
}

// Serves reports whether the balancer should send calls: the process holds a serving lease and has
// not been retired.
func (r *Router) Serves() bool {
	return !r.retired.Load() && r.leased()
}

func (r *Router) leased() bool {
	return r.config.Clock.Latest().Before(r.Expires())
}

// Tracker returns the counts of calls in flight.
func (r *Router) Tracker() *Tracker {
	return r.tracker
}

// SetUnready reports unready to the balancer. New calls are still taken.
func (r *Router) SetUnready() {
	r.retired.Store(true)
}

// Stop refuses new calls. Calls in flight go on.
func (r *Router) Stop() {
	r.SetUnready()
	r.stopping.Store(true)
}

// Active returns the number of calls in the pipeline.
func (r *Router) Active() int {
	return int(r.active.Load())
}

// Wait waits for the goroutines that outlive their calls.
func (r *Router) Wait() {
	r.group.Wait()
}

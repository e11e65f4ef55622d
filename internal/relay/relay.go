// Package relay takes requests from callers and sends them to servers.
//
// A request passes a chain of steps: it is read whole, matched with a rule, given a service and a
// server, sent, and answered with the server's whole answer or with one of the relay's own. A
// request that may run once only is sent again only where no byte of it was written or the server
// said that it did not run it.
//
// # Usage
//
//	r := relay.New(relay.Options{Board: board, Messages: messages, FailureDomain: "fd-1"})
//	server, err := relay.Listen(address, r)
//	if err != nil {
//		return err
//	}
//	server.Drain(4 * time.Second)
package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/route"
	"github.com/samphiredrum/samphiredrum/internal/view"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("relay")
	// ErrListen is the type of errors of a listen address that can't be used.
	ErrListen = namespace.NewType("listen")
)

// RequestMeta are what a request says of itself in its header.
type RequestMeta struct {
	// ID is the caller's name of this attempt.
	ID string
	// Timeout is how long the caller waits from now on, 0 where it does not say.
	Timeout time.Duration
	// Key is the key of the request, where Keyed is set.
	Key    uint16
	HasKey bool
}

// ResponseMeta is what a server's answer says in its header.
type ResponseMeta struct {
	// ID is that of the request, "" where the answer has none.
	ID string
	// NotRun reports that the server did not run the request.
	NotRun bool
	// Misdirected reports that the server is not the one the request was for, or does not own its key.
	Misdirected bool
	// Signed reports that the server vouches for the answer.
	Signed bool
	// Encoded reports that the body was changed on the way.
	Encoded bool
}

// Messages reads and writes the header fields of requests and answers.
type Messages interface {
	ReadRequest(h *fasthttp.RequestHeader) RequestMeta
	// SetTarget sets the server that a request is for, and the time that is left.
	SetTarget(h *fasthttp.RequestHeader, server assign.ServerID, left time.Duration)
	ReadResponse(r *fasthttp.Response) ResponseMeta
	// SetRequestID marks an answer that the relay makes itself.
	SetRequestID(r *fasthttp.Response, id string)
	// IsHopByHop reports whether a header field concerns one connection only.
	IsHopByHop(name []byte) bool
}

// Bounds are what the operator sets for requests. They may change while the relay runs.
type Bounds struct {
	// DrainTime is how long a server that is leaving may still get requests.
	DrainTime time.Duration
	// RetryShare, RetryBurst and RetryWindow bound the repeated requests to a service over all
	// processes: in each window a share of its requests, and the burst.
	RetryShare  float64
	RetryBurst  int
	RetryWindow time.Duration
}

// Options configure a Relay.
type Options struct {
	Board    *view.Publisher
	Messages Messages
	// FailureDomain is that of this process.
	FailureDomain string
	// Bounds are those at the start.
	Bounds Bounds
	// Use is told the key of each request to a partitioned service.
	Use func(service assign.ServiceID, key uint16)
	// Ran is told the time of each request that the owner of its key ran.
	Ran   func(service assign.ServiceID, server assign.ServerID, took time.Duration)
	Clock clock.Clock
	Log   zerolog.Logger
	Meter *Meter
}

// Relay sends requests to servers. It is safe for concurrent use.
type Relay struct {
	options  Options
	mu       sync.Mutex
	seen     *view.View
	bounds   Bounds
	services map[assign.ServiceID]*service
	splits   map[*route.Rule]*split
}

// New returns a Relay.
func New(o Options) *Relay {
	return &Relay{
		options:  o,
		bounds:   o.Bounds,
		services: map[assign.ServiceID]*service{},
		splits:   map[*route.Rule]*split{},
	}
}

// Ready reports whether the relay knows where to send requests.
func (r *Relay) Ready() bool {
	v := r.options.Board.Load()
	return v.Config != nil && v.ServersKnown
}

// SetBounds changes the bounds for the requests that follow.
func (r *Relay) SetBounds(b Bounds) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bounds = b
	// The services take them over with the next request.
	r.seen = nil
}

// Close closes the connections to servers.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		s.close()
	}
}

// view returns the latest View and brings the services up to date with it.
func (r *Relay) view() *view.View {
	v := r.options.Board.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	if v == r.seen || v.Config == nil {
		return v
	}
	if r.seen == nil || r.seen.Config != v.Config {
		clear(r.splits)
	}
	r.seen = v
	now := r.options.Clock.Now()
	for id, s := range r.services {
		if _, ok := v.Config.Services[id]; !ok && len(v.Services[id]) == 0 {
			s.close()
			delete(r.services, id)
		}
	}
	for id, c := range v.Config.Services {
		s := r.services[id]
		if s == nil {
			s = newService(id, r.options, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
			r.services[id] = s
		}
		s.update(now, c, v, r.bounds)
	}
	return v
}

// service returns the service that serves one more request of the rule, and its state.
func (r *Relay) service(rule *route.Rule) *service {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(rule.Targets) == 1 {
		return r.services[rule.Targets[0].Service]
	}
	s := r.splits[rule]
	if s == nil {
		s = newSplit(rule.Targets)
		r.splits[rule] = s
	}
	return r.services[s.next()]
}

// split distributes requests over targets so that each gets its share of any short sequence.
type split struct {
	targets []route.Target
	total   int
	credit  []int
}

func newSplit(targets []route.Target) *split {
	s := &split{targets: targets, credit: make([]int, len(targets))}
	for i, t := range targets {
		s.total += t.Weight
		s.credit[i] = rand.IntN(t.Weight + 1)
	}
	return s
}

// next returns the target with the most credit, which pays with the credit of all.
func (s *split) next() assign.ServiceID {
	best := 0
	for i, t := range s.targets {
		s.credit[i] += t.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= s.total
	return s.targets[best].Service
}

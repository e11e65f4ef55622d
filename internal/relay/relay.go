// Package relay forwards HTTP requests from callers to servers.
//
// A request is read whole, matched with a routing rule and forwarded to a server of the rule's
// service. The caller gets the complete response of the server or one that the relay generates. A
// request that is not idempotent is sent again only if none of its bytes were written or if the
// server reported that it did not run it.
//
// Requests that a caller sends on a connection before earlier ones are answered are read ahead and run side by side if they
// are idempotent. Package pipe decides about their order.
//
// # Usage
//
//	r := relay.New(options)
//	server, err := relay.Listen(address, r)
//	if err != nil {
//		return err
//	}
//	server.Drain(end)      // the last response of each connection closes it, and what may last until after the end is rejected
//	server.StopAccepting() // once the load balancer sends no more connections
//	r.Close()
package relay

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/samphiredrum/samphiredrum/internal/body"
	"github.com/samphiredrum/samphiredrum/internal/route"
	"github.com/samphiredrum/samphiredrum/internal/view"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/quota"
	"github.com/samphiredrum/samphiredrum/pkg/shed"
)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("relay")
	// ErrListen is the error type for an address that the relay cannot listen on.
	ErrListen = namespace.NewType("listen")
)

// RequestMeta is the routing metadata in the header of a request.
type RequestMeta struct {
	// ID identifies the request. Callers choose a new one for each attempt.
	ID string
	// Timeout is how long the caller still waits for the response, 0 if the header does not say.
	Timeout time.Duration
	// Key is the key of the request. It is valid only if HasKey is set.
	Key    uint16
	HasKey bool
}

// ResponseMeta is the metadata in the header of a server's response.
type ResponseMeta struct {
	// ID is the ID of the request that the response belongs to, "" if the header has none.
	ID string
	// Proof says what the response proves, and Unproven why that is nothing.
	Proof    Proof
	Unproven error
	// Misdirected reports that the request reached another server than its target, or a server that
	// does not own its key.
	Misdirected bool
	// Signed reports that the response carries the signature of a server that ran the request.
	Signed bool
	// Limit is the request rate that the server names.
	Limit ServerLimit
	// Leaving reports that the server is leaving.
	Leaving bool
	// RetryAfter is how long the server wants no more requests from this process, 0 if it does not say.
	RetryAfter time.Duration
	// Load is the load that the server reports.
	Load LoadReport
}

// LoadReport is what a server says in a response about its load at that moment.
type LoadReport struct {
	// Valid reports that the response has a report. The other fields are zero otherwise.
	Valid bool
	// Running, Waiting and Slots are the numbers of running and of waiting requests and the number that the server runs
	// concurrently, at least 1.
	Running, Waiting, Slots int
	// WorkTime is how long work takes at the server at present, as a multiple of the usual time.
	WorkTime float64
}

// ServerLimit is the request rate that a server names in a response.
type ServerLimit struct {
	// Named reports that the response has a limit, and Valid that it is a number of at least 0.
	Named, Valid bool
	// PerSecond is the number of requests per second that the server takes from all processes together.
	PerSecond float64
}

// Messages reads and writes the header fields of requests and responses.
type Messages interface {
	ReadRequest(h *fasthttp.RequestHeader) RequestMeta
	// SetTarget sets the target server of a request and the time left until its deadline.
	SetTarget(h *fasthttp.RequestHeader, server assign.ServerID, left time.Duration)
	ReadResponse(r *fasthttp.Response) ResponseMeta
	// SetRequestID sets the request ID in a response that the relay generates.
	SetRequestID(r *fasthttp.Response, id string)
	// IsHopByHop reports whether a header field is hop-by-hop: it is not forwarded.
	IsHopByHop(name []byte) bool
}

// Bounds are the drain time, the retry budget and the bound of requests to cold servers that the operator sets. They may
// change while the relay runs.
type Bounds struct {
	// DrainTime is how long a server that is leaving may still receive requests.
	DrainTime time.Duration
	// EvacuationTime is how long after the beginning of an evacuation requests may reach servers of its failure domain.
	EvacuationTime time.Duration
	// RetryShare, RetryBurst and RetryWindow are the retry budget of a service, summed over all
	// processes: each window allows RetryShare retries per request, plus RetryBurst.
	RetryShare  float64
	RetryBurst  int
	RetryWindow time.Duration
	// WarmUpOverage and WarmUpBurst are the bound of the requests to a cold server in any second, summed over all processes:
	// route.Service.WarmUpRate times WarmUpOverage, plus WarmUpBurst. There is no bound if WarmUpOverage is 0.
	WarmUpOverage float64
	WarmUpBurst   int
}

// sameRetries reports whether the retry budgets of both are the same.
func (b Bounds) sameRetries(o Bounds) bool {
	return b.RetryShare == o.RetryShare && b.RetryBurst == o.RetryBurst && b.RetryWindow == o.RetryWindow
}

// Options configure a Relay.
type Options struct {
	Views    *view.Publisher
	Messages Messages
	// FailureDomain is the failure domain of this process.
	FailureDomain string
	// Bounds are the initial bounds; see Relay.SetBounds.
	Bounds Bounds
	// ObserveKey is called with the key of each request to a partitioned service.
	ObserveKey func(service assign.ServiceID, key uint16)
	// ObserveRun is called with the latency of each request that the owner of its key ran.
	ObserveRun func(service assign.ServiceID, server assign.ServerID, took time.Duration)
	// Limits holds the request rates that servers name.
	Limits *quota.Board
	// Reserve reserves the time of a request to a server with a limit or, with its pace, to a cold one. It returns an error
	// if no leader answers.
	Reserve func(ctx context.Context, n quota.Notice, cold quota.Pace, maxWait time.Duration) (quota.Reservation, error)
	// Heartbeat is how often a server refreshes its entry in the store.
	Heartbeat time.Duration
	// Memory is the memory for the bodies of all requests and responses in flight.
	Memory *body.Budget
	// Random decides which requests to a server that is cold or has a limit are sent while no leader answers. If it is nil, the source is
	// seeded at random.
	Random rand.Source
	// Shedding decides which requests are rejected because of excess load, the Retry-After times of rejected requests, and
	// which servers are chosen. If it is nil, the source is seeded at random.
	Shedding rand.Source
	Clock    clock.Clock
	Log      zerolog.Logger
	Meter    *Meter
}

// Relay forwards requests to servers. It is safe for concurrent use.
type Relay struct {
	options  Options
	mu       sync.Mutex
	applied  *view.View
	bounds   Bounds
	services map[assign.ServiceID]*service
	splits   map[*route.Rule]*split
	permits  *quota.Permits
	// leaderSilent is the time until which no leader is expected to answer about cold servers, in Unix nanoseconds.
	leaderSilent atomic.Int64
	// seeds seeds the random sources of the services.
	seeds *rand.Rand
	// spread chooses the Retry-After times of rejected requests.
	spread *shed.Spread
	// hashSeed is the seed of the hashes that tell the targets of requests apart.
	hashSeed maphash.Seed
	// end is when the process ends, the zero time while that is not known.
	end time.Time
}

// New returns a Relay that forwards requests according to the latest View in Options.Views.
func New(o Options) *Relay {
	if o.Random == nil {
		o.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	if o.Shedding == nil {
		o.Shedding = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	seeds := rand.New(o.Shedding)
	return &Relay{
		options:  o,
		bounds:   o.Bounds,
		services: map[assign.ServiceID]*service{},
		splits:   map[*route.Rule]*split{},
		permits:  quota.NewPermits(rand.New(o.Random)),
		seeds:    seeds,
		hashSeed: maphash.MakeSeed(),
		spread:   shed.NewSpread(rand.New(rand.NewPCG(seeds.Uint64(), seeds.Uint64()))),
	}
}

// Ready reports whether the relay knows the configuration and the servers.
func (r *Relay) Ready() bool {
	v := r.options.Views.Load()
	return v.Config != nil && v.ServersKnown
}

// SetBounds changes the bounds. They apply from the next request on.
func (r *Relay) SetBounds(b Bounds) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bounds = b
	// Without an applied View the next request updates the services.
	r.applied = nil
}

// SetEnd sets the time when the process ends. From now on, requests that may last longer are rejected instead of being sent
// to a server.
func (r *Relay) SetEnd(end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end = end
}

// endsBefore reports whether the process ends before the given time.
func (r *Relay) endsBefore(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.end.IsZero() && r.end.Before(t)
}

// Close closes the connections to servers.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		s.close()
	}
}

// refresh returns the latest View and updates the services from it.
func (r *Relay) refresh() *view.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Loaded with the lock held, so that no earlier View is applied after a later one.
	v := r.options.Views.Load()
	if v == r.applied || v.Config == nil {
		return v
	}
	if r.applied == nil || r.applied.Config != v.Config {
		clear(r.splits)
	}
	r.applied = v
	now := r.options.Clock.Now()
	r.permits.SetProcesses(now, v.Processes)
	r.permits.Prune(now)
	for id, s := range r.services {
		if _, ok := v.Config.Services[id]; !ok && len(v.Services[id]) == 0 {
			s.close()
			r.options.Meter.forgetService(id)
			delete(r.services, id)
		}
	}
	for id, config := range v.Config.Services {
		s := r.services[id]
		if s == nil {
			s = newService(id, r.options, rand.New(rand.NewPCG(r.seeds.Uint64(), r.seeds.Uint64())))
			r.services[id] = s
		}
		s.update(now, config, v, r.bounds)
		s.noteSpillover(now)
	}
	return v
}

// nextService returns the service for the next request of the rule, nil if it is not configured.
func (r *Relay) nextService(rule *route.Rule) *service {
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

// split distributes requests over the targets of a rule by smooth weighted round-robin, so that each
// target gets its share within any short sequence of requests. Each target has a current weight, which
// starts at random.
type split struct {
	targets []route.Target
	total   int
	current []int
}

func newSplit(targets []route.Target) *split {
	s := &split{targets: targets, current: make([]int, len(targets))}
	for i, t := range targets {
		s.total += t.Weight
		s.current[i] = rand.IntN(t.Weight + 1)
	}
	return s
}

// next adds each target's weight to its current weight, chooses the target with the largest current
// weight, and subtracts the total from that one.
func (s *split) next() assign.ServiceID {
	best := 0
	for i, t := range s.targets {
		s.current[i] += t.Weight
		if s.current[i] > s.current[best] {
			best = i
		}
	}
	s.current[best] -= s.total
	return s.targets[best].Service
}

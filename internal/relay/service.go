package relay

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/route"
	"github.com/samphiredrum/samphiredrum/internal/view"
	"github.com/samphiredrum/samphiredrum/internal/wire"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/limit"
	"github.com/samphiredrum/samphiredrum/pkg/pick"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
	"github.com/samphiredrum/samphiredrum/pkg/shed"
	"github.com/samphiredrum/samphiredrum/pkg/spill"
)

const (
	// reservedConnections is the number of each server's connections that are left for the leader's
	// control calls.
	reservedConnections = 8
	// minConnections is the smallest connection limit to a server, however many processes share its
	// connections.
	minConnections = 2
	// assumedProcesses is the number of processes that the retry burst is divided by while their number
	// is unknown.
	assumedProcesses = 16
	// retryBurstFactor is the fraction of the retry burst that is used. The rest is a reserve, because a process
	// that restarts has a new burst.
	retryBurstFactor = 0.6
	// retryShareFactor is the fraction of Bounds.RetryShare that is used.
	retryShareFactor = 0.9
	// localFactor is how much busier than other servers a server of the process's own failure domain may
	// be before requests without a latency objective go to another domain.
	localFactor = 5
	// slowStart is the time over which a new server's share of the requests rises.
	slowStart = 4 * time.Second
	// dialTimeout bounds the time to open a connection to a server.
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is how long an unused connection to a server is kept.
	idleTimeout = 8 * time.Second
	// maxResponseBytes is the largest response body that is accepted from a server, since a faulty one may send bytes without
	// end.
	maxResponseBytes = 8 << 20
	// ackTimeout is how long sent bytes may stay unacknowledged before the connection to the
	// server fails.
	ackTimeout = 700 * time.Millisecond
	// drainShare is the fraction of the drain time during which a leaving owner of keys still receives requests, from the
	// earliest time at which it may have begun to drain. The rest covers the way of a request to the server.
	drainShare = 0.8
)

// service is the state of a service and its servers in this process.
type service struct {
	id      assign.ServiceID
	options Options
	picker  *pick.SharedPicker

	mu       sync.Mutex
	bounds   Bounds
	retries  *limit.Quota
	config   route.Service
	backends map[assign.ServerID]*backend
	// listed are the servers of the last View.
	listed []assign.Server
	// view is the last View.
	view *view.View
	// cold has the servers that count as cold in the last View, each with the time until which it does.
	cold     map[assign.ServerID]time.Time
	shedding *shed.Policy
	// spillingSince is when spillover started, the zero time while there is none.
	spillingSince time.Time
}

// backend is one run of a server: a restart or a new address makes a new backend.
type backend struct {
	// server is the entry with which this run was first listed. ID, Address and Born do not change
	// during a run; other fields may be out of date.
	server assign.Server
	pool   *wire.Pool
	notice notice
	// suspectedAt is when a connection to the server last failed so that it may have restarted, the zero time if none has.
	suspectedAt time.Time
	silence     *silence
}

func newService(id assign.ServiceID, o Options, random *rand.Rand) *service {
	shedding := shed.New(rand.New(rand.NewPCG(random.Uint64(), random.Uint64())))
	c := pick.Config{FailureDomain: o.FailureDomain, Ramp: slowStart, LocalFactor: localFactor}
	if o.FailureDomain != "" {
		c.Spill = spill.New(spill.Config{Home: o.FailureDomain}, random)
	}
	return &service{
		id:       id,
		options:  o,
		picker:   pick.NewSharedPicker(c, random),
		shedding: shedding,
		backends: map[assign.ServerID]*backend{},
	}
}

// retryBurst returns this process's share of the retry burst.
func retryBurst(total, processes int) float64 {
	if processes == 0 {
		processes = assumedProcesses
	}
	return float64(total) * retryBurstFactor / float64(processes)
}

// update applies the configuration, the servers of a View and the bounds.
func (s *service) update(now time.Time, config route.Service, v *view.View, bounds Bounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = config
	if s.retries == nil || !bounds.sameRetries(s.bounds) {
		s.retries = limit.NewQuota(bounds.RetryShare*retryShareFactor, 0, bounds.RetryWindow)
	}
	s.bounds = bounds
	s.retries.SetBurst(retryBurst(bounds.RetryBurst, v.Processes))
	listed := v.Services[s.id]
	next := make(map[assign.ServerID]*backend, len(listed))
	for _, server := range listed {
		b := s.backends[server.ID]
		if b == nil || b.server.Address != server.Address || b.server.Born != server.Born {
			// What an earlier run has said does not concern this one.
			s.picker.Hold(server.ID, time.Time{})
			b = &backend{server: server, silence: newSilence(), pool: wire.New(server.Address, wire.Options{
				BodyBytes:           maxResponseBytes,
				IdleTimeout:         idleTimeout,
				DialTimeout:         dialTimeout,
				TCPUserTimeout:      ackTimeout,
				AllowCloseDelimited: true,
				Clock:               s.options.Clock,
			})}
		}
		b.pool.SetConnections(connectionLimit(config.Connections, v.Processes))
		next[server.ID] = b
	}
	for id, b := range s.backends {
		if next[id] != b {
			b.pool.Retire()
		}
	}
	s.backends, s.listed, s.view, s.cold = next, listed, v, v.Cold
	s.countColdServers(now)
	s.picker.Update(now, s.pickable(now))
}

// connectionLimit returns this process's share of the connections that a server accepts.
func connectionLimit(total, processes int) int {
	if processes == 0 {
		return minConnections
	}
	return max(minConnections, (total-reservedConnections)/(processes+1))
}

func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		b.pool.Close()
	}
	s.options.Meter.coldServers.DeleteLabelValues(string(s.id))
}

// countRequest counts a request that is not a retry, for the retry budget and the mix of ranks. It returns the rank by which
// to decide whether to shed it.
func (s *service) countRequest(r shed.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	s.retries.CountCall(now)
	return s.shedding.Count(now, r)
}

// tellCaller records the Retry-After time of a rejected request.
func (s *service) tellCaller(r shed.Request, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedding.Tell(s.options.Clock.Now(), r, after)
}

// takeRetry takes one retry from the retry budget. It reports false if the budget is used up.
func (s *service) takeRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retries.Take(s.options.Clock.Now())
}

func (s *service) partitioned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Partitioned
}

// backend returns the listed run of a server, nil if there is none or if it has another address than
// the given one. The zero address matches every run.
func (s *service) backend(id assign.ServerID, address netip.AddrPort) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backends[id]
	if b == nil || address.IsValid() && b.server.Address != address {
		return nil
	}
	return b
}

// take chooses a server and counts a request to it. It returns nil if there is none. The caller reports the end of the
// request with done.
func (s *service) take(now time.Time, c pick.Call) *backend {
	id, ok := s.picker.TakeFor(now, c)
	s.noteSpillover(now)
	if !ok {
		return nil
	}
	b := s.backend(id, netip.AddrPort{})
	if b != nil && b.server.FailureDomain != s.options.FailureDomain {
		s.options.Meter.countAway(s.id)
	}
	return b
}

// done reports the result of a request to a server that take chose.
func (s *service) done(now time.Time, b *backend, r pick.Result) {
	s.picker.Done(now, b.server.ID, r)
	s.noteSpillover(now)
}

// owner returns the server that owns the key, and which fraction of its requests to shed, in units of
// 1/shard.ShedSteps. The server is nil if the key has no owner that takes requests at present. Requests are shed then as
// well, since the next owner can run no more of them than its load allows.
func (s *service) owner(now time.Time, v *view.View, key uint16) (*backend, uint8) {
	row, ok := v.Tables[s.id].Lookup(key)
	if !ok || !row.Open {
		return nil, row.Shed
	}
	b := s.backend(row.Owner.Server, row.Owner.Address)
	if b == nil || b.server.Born != row.Owner.Born || s.drained(now, v, b) {
		return nil, row.Shed
	}
	return b, row.Shed
}

// drained reports whether an owner has been draining, or its failure domain evacuated, for so long that it receives no more
// requests.
func (s *service) drained(now time.Time, v *view.View, b *backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, leaving := v.Leaving[b.server.ID]
	return leaving && now.Sub(since) > s.drainLimit() || s.hasLeft(now, b) || s.isEvacuated(now, v, b)
}

// decideShedding decides whether to reject a request to a server, nil if it has none, where steps is the fraction of all
// requests to reject in units of 1/shard.ShedSteps.
func (s *service) decideShedding(b *backend, rank int, steps uint8) shed.Decision {
	var server assign.ServerID
	if b != nil {
		server = b.server.ID
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shedding.Decide(s.options.Clock.Now(), server, rank, float64(steps)/shard.ShedSteps)
}

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
)

const (
	// reservedConnections are left to the leader's orders at each server.
	reservedConnections = 8
	// leastConnections is kept to each server, however many processes share its connections.
	leastConnections = 2
	// assumedProcesses is the number of processes that share a retry burst while it is not known.
	assumedProcesses = 16
	// burstShare is the part of the retry burst that is used, since a process that starts again
	// has a new burst.
	burstShare = 0.6
	// ratioShare is the part of the retry share that is used.
	ratioShare = 0.9
	// localFactor is how much busier a server of the own failure domain may be than others.
	localFactor = 5
	// coldTime is the time over which the share of a new server rises.
	coldTime = 4 * time.Second
	// serverDial bounds the opening of a connection to a server.
	serverDial = 250 * time.Millisecond
	// serverIdle is how long a connection to a server is kept unused.
	serverIdle = 8 * time.Second
	// serverSilence is how long a server may leave a request without a sign of receipt.
	serverSilence = 700 * time.Millisecond
	// leaveShare is the part of the drain time for which a leaving owner of keys still gets
	// requests. The rest covers the age of what this process knows.
	leaveShare = 0.4
)

// service is a service with its servers as this process sees them.
type service struct {
	id      assign.ServiceID
	options Options
	set     *pick.SharedPicker

	mu       sync.Mutex
	bounds   Bounds
	retries  *limit.Quota
	config   route.Service
	backends map[assign.ServerID]*backend
	// leastUrgent is the priority of the least urgent requests.
	leastUrgent int
}

// backend is one run of a server.
type backend struct {
	// server is what was listed first. Its name, address and start are those of the run.
	server assign.Server
	pool   *wire.Pool
	// leaving is since when the server is known to leave, the zero time where it is not. It is guarded by
	// the lock of the service.
	leaving time.Time
}

func newService(id assign.ServiceID, o Options, random *rand.Rand) *service {
	return &service{
		id:       id,
		options:  o,
		set:      pick.NewSharedPicker(pick.Config{FailureDomain: o.FailureDomain, Ramp: coldTime, LocalFactor: localFactor}, random),
		backends: map[assign.ServerID]*backend{},
	}
}

// burst returns this process's part of the retry burst.
func burst(total, processes int) float64 {
	if processes == 0 {
		processes = assumedProcesses
	}
	return float64(total) * burstShare / float64(processes)
}

// update takes over the servers of a View, and the bounds.
func (s *service) update(now time.Time, c route.Service, v *view.View, bounds Bounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = c
	if s.retries == nil || bounds != s.bounds {
		s.bounds = bounds
		s.retries = limit.NewQuota(bounds.RetryShare*ratioShare, 0, bounds.RetryWindow)
	}
	s.retries.SetBurst(burst(bounds.RetryBurst, v.Processes))
	listed := v.Services[s.id]
	next := make(map[assign.ServerID]*backend, len(listed))
	for _, a := range listed {
		b := s.backends[a.ID]
		if b == nil || b.server.Address != a.Address || b.server.Born != a.Born {
			b = &backend{server: a, pool: wire.New(a.Address, wire.Options{
				BodyBytes:   answerBytes,
				Idle:        serverIdle,
				Dial:        serverDial,
				Silence:     serverSilence,
				UnmarkedEnd: true,
				Clock:       s.options.Clock,
			})}
		}
		b.pool.SetConnections(connections(c.Connections, v.Processes))
		if a.Draining && b.leaving.IsZero() {
			b.leaving = now
		}
		next[a.ID] = b
	}
	for id, b := range s.backends {
		if next[id] != b {
			b.pool.Retire()
		}
	}
	s.backends = next
	s.set.Update(now, listed)
}

// connections returns this process's part of the connections that a server accepts.
func connections(total, processes int) int {
	if processes == 0 {
		return leastConnections
	}
	return max(leastConnections, (total-reservedConnections)/(processes+1))
}

func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		b.pool.Close()
	}
}

// called counts a request for the retry budget.
func (s *service) called() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.Call(s.options.Clock.Now())
}

// retry takes a token of the retry budget. It reports false where there is none.
func (s *service) retry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retries.Take(s.options.Clock.Now())
}

func (s *service) partitioned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Partitioned
}

// backend returns the run of a server with the address, nil where it is not listed.
func (s *service) backend(id assign.ServerID, address netip.AddrPort) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backends[id]
	if b == nil || address.IsValid() && b.server.Address != address {
		return nil
	}
	return b
}

// take chooses a server other than avoid, nil where there is none. Its end is reported with done.
func (s *service) take(now time.Time, avoid assign.ServerID) *backend {
	id, ok := s.set.Take(now, avoid)
	if !ok {
		return nil
	}
	return s.backend(id, netip.AddrPort{})
}

// done reports the end of a request at a server that take chose.
func (s *service) done(now time.Time, b *backend, r pick.Result) {
	s.set.Done(now, b.server.ID, r)
}

// owner returns the server that owns the key, nil where requests cannot be sent to it at present, and
// the part of its requests to refuse, out of shard.ShedSteps.
func (s *service) owner(now time.Time, v *view.View, key uint16) (*backend, uint8) {
	row, ok := v.Tables[s.id].Lookup(key)
	if !ok || !row.Open {
		return nil, 0
	}
	b := s.backend(row.Owner.Server, row.Owner.Address)
	if b == nil || b.server.Born != row.Owner.Born {
		return nil, 0
	}
	if s.left(now, b) {
		return nil, 0
	}
	return b, row.Shed
}

// left reports whether an owner has been leaving for so long that it gets no requests any more.
func (s *service) left(now time.Time, b *backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := time.Duration(float64(s.bounds.DrainTime) * leaveShare)
	return !b.leaving.IsZero() && now.Sub(b.leaving) > limit
}

// sheds decides whether a request with a priority is refused, where a part of the requests is. Only
// the least urgent ones of the service are.
func (s *service) sheds(priority int, shed uint8) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leastUrgent = max(s.leastUrgent, priority)
	return priority == s.leastUrgent && rand.IntN(shard.ShedSteps) < int(shed)
}

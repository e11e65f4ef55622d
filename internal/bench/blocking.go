package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/entry"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/internal/node"
)

const (
	// longFactor is the run time of long calls as a multiple of that of short calls.
	longFactor = 100
	// longTimeout is how long callers of long calls wait.
	longTimeout = 5 * time.Second
	// shortTimeout is how long callers of short calls wait.
	shortTimeout = 500 * time.Millisecond
	// blockingTarget is the highest acceptable ratio of the 99th percentile latency of short calls with long
	// calls to the one without.
	blockingTarget = 1.5
	// shortKind and longKind are the indexes of the kinds of calls in this experiment.
	shortKind = 0
	longKind  = 1
)

// longShares are the shares of long calls among all calls.
var longShares = []float64{0, 0.02, 0.1}

// blockingLoads are the demands as multiples of the measured capacity for short calls. At the lower demand the
// tokens for long calls suffice for the long work of the largest share; at the higher one that work alone exceeds
// what the servers can do. Half of the capacity leaves room beside the long work: tokens take 2 of 6 slots.
var blockingLoads = []struct {
	name   string
	demand float64
}{{"light", 0.04}, {"half", 0.5}}

// blocking measures how much long calls delay short calls, with the router as it is and with FIFO queueing.
func blocking(s *session) error {
	for _, v := range []struct {
		name    string
		options []node.Option
	}{
		{"samphiredrum", nil},
		{"first-come", []node.Option{node.WithRouter(entry.WithFIFO())}},
	} {
		f, err := s.start(shape{
			user: s.options.User, processes: s.options.Processes, servers: s.options.Servers, nodeOptions: v.options,
		})
		if err != nil {
			return err
		}
		s.warm(f)
		s.measureBlocking(f, v.name)
		f.Stop()
	}
	return nil
}

// measureBlocking measures one variant at every load and share of long calls.
func (s *session) measureBlocking(f *fleet.Fleet, way string) {
	service := exclusiveService(f)
	// Calls cannot be sent directly to owners, so the capacity is measured at the service without owners, whose
	// servers are alike.
	noOwners := sharedService(f)
	capacity := s.capacity(f, noOwners, []callKind{{operation: firstOperation(noOwners, conf.Short), run: workTime, timeout: shortTimeout}})
	for i, l := range blockingLoads {
		without := time.Duration(0)
		for j, share := range longShares {
			p99 := s.measureMix(f, service, callMix{way: way, load: l.name, rate: l.demand * capacity, share: share, without: without},
				uint64(i*len(longShares)+j))
			if share == 0 {
				without = p99
			}
		}
	}
}

// callMix describes a load of short calls and a share of long calls.
type callMix struct {
	way, load string
	rate      float64
	share     float64
	// without is the 99th percentile latency of short calls in the run without long calls, 0 in that run.
	without time.Duration
}

// measureMix offers short and long calls, and returns the 99th percentile latency of the short calls.
func (s *session) measureMix(f *fleet.Fleet, service *conf.Service, m callMix, stream uint64) time.Duration {
	kinds := []callKind{
		{operation: firstOperation(service, conf.Short), run: workTime, timeout: shortTimeout},
		{operation: firstOperation(service, conf.Long), run: longFactor * workTime, timeout: longTimeout},
	}
	short, long := newTally(shortTimeout), newTally(longTimeout)
	l := &load{
		ctx:     s.ctx,
		random:  s.random(stream),
		length:  s.options.Duration,
		rate:    constant(m.rate),
		plan:    m.plan,
		sender:  newEntrySender(f, service, kinds),
		tallies: []*tally{short, long},
	}
	used := l.run()
	p99 := short.percentile(99)
	compared := ""
	if m.without > 0 {
		ratio := p99.Seconds() / m.without.Seconds()
		compared = fmt.Sprintf(" p99-ratio=%.2f target=%.1f met=%t", ratio, blockingTarget, ratio <= blockingTarget)
	}
	reason, n := short.commonReason()
	s.print("way=%s service=%s load=%s rate=%.0f long-share=%.2f p50=%s p99=%s p99.9=%s short=%d short-ran=%d long=%d long-ran=%d long-refused=%d cores=%.2f generator-late-p99=%s limit=%s reason=%q reason-count=%d%s",
		m.way, service.ID, m.load, m.rate, m.share, short.percentile(50), p99, short.percentile(99.9),
		short.offered, short.ran, long.offered, long.ran, long.refused, used.cores(), used.late, used.limit(), reason, n, compared)
	return p99
}

// plan chooses the kind and the key of a call.
func (m callMix) plan(r *rand.Rand) (int, string) {
	key := evenKey(r)
	if r.Float64() < m.share {
		return longKind, key
	}
	return shortKind, key
}

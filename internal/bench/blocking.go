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
	// longFactor is how many times longer long calls run.
	longFactor = 100
	// longTimeout is how long callers of long calls wait.
	longTimeout = 5 * time.Second
	// shortTimeout is how long callers of short calls wait.
	shortTimeout = 500 * time.Millisecond
	// blockingTarget is the target for the 99th percentile of short calls over that without long
	// calls.
	blockingTarget = 1.5
	// shortKind and longKind are the kinds of calls in this experiment.
	shortKind = 0
	longKind  = 1
)

// longShares are the shares of long calls among all calls.
var longShares = []float64{0, 0.02, 0.1}

// blockingLoads are the demands in measured capacities of short calls. At the lower one the long work
// of the largest share fits in the tokens; at the higher one it alone is more than the servers can
// do. Half of the measured capacity leaves room beside the long work: tokens take 2 of 6 slots.
var blockingLoads = []struct {
	name   string
	demand float64
}{{"light", 0.04}, {"half", 0.5}}

// blocking measures how much long calls delay short ones.
func blocking(s *session) error {
	for _, w := range []struct {
		name    string
		options []node.Option
	}{
		{"samphiredrum", nil},
		{"first-come", []node.Option{node.WithRouter(entry.WithFIFO())}},
	} {
		f, err := s.start(shape{
			user: s.options.User, processes: s.options.Processes, servers: s.options.Servers, node: w.options,
		})
		if err != nil {
			return err
		}
		s.warm(f)
		s.blockingOf(f, w.name)
		f.Stop()
	}
	return nil
}

// blockingOf measures one way at every load and share.
func (s *session) blockingOf(f *fleet.Fleet, way string) {
	service := exclusive(f)
	// The servers of both services are alike, and calls cannot be sent straight to owners.
	even := shared(f)
	capacity := s.capacity(f, even, []kind{{operation: operation(even, conf.Short), run: workTime, timeout: shortTimeout}})
	for i, l := range blockingLoads {
		without := time.Duration(0)
		for j, share := range longShares {
			p99 := s.mix(f, service, mix{way: way, load: l.name, rate: l.demand * capacity, share: share, without: without},
				uint64(i*len(longShares)+j))
			if share == 0 {
				without = p99
			}
		}
	}
}

// mix is a share of long calls in a load.
type mix struct {
	way, load string
	rate      float64
	share     float64
	// without is the 99th percentile of short calls without long ones, 0 for that run itself.
	without time.Duration
}

// mix offers short and long calls, and returns the 99th percentile of the short ones.
func (s *session) mix(f *fleet.Fleet, service *conf.Service, m mix, stream uint64) time.Duration {
	kinds := []kind{
		{operation: operation(service, conf.Short), run: workTime, timeout: shortTimeout},
		{operation: operation(service, conf.Long), run: longFactor * workTime, timeout: longTimeout},
	}
	short, long := newTally(shortTimeout), newTally(longTimeout)
	l := &load{
		ctx:     s.ctx,
		random:  s.random(stream),
		length:  s.options.Duration,
		rate:    constant(m.rate),
		plan:    m.plan,
		sender:  newEntries(f, service, kinds),
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
func (m mix) plan(r *rand.Rand) (int, string) {
	key := evenKey(r)
	if r.Float64() < m.share {
		return longKind, key
	}
	return shortKind, key
}

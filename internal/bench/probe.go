package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// probeInterval is the time between two calls to one key through one entry process.
const probeInterval = 10 * time.Millisecond

// prober calls one key through one entry process at a fixed interval, without waiting for answers.
type prober struct {
	ctx    context.Context
	node   *entryPoint
	client *caller.Client
	call   caller.Call
	calls  conc.WaitGroup

	mu sync.Mutex
	// lost is the moment of the loss, last that of the last call that ran since, longest the longest
	// time between two of them.
	lost    time.Time
	last    time.Time
	longest time.Duration
	served  bool
	ran     int
	failed  int
	// refused counts the reasons of calls that were not run since the loss.
	refused map[string]int
}

// entryPoint is the entry process that a prober uses.
type entryPoint struct {
	fleet *fleet.Fleet
	name  assign.ProcessID
}

func (p *prober) run() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-p.ctx.Done():
			p.calls.Wait()
			return
		case <-ticker.C:
		}
		sh := &probeShot{prober: p, call: p.call}
		sh.call.RequestID = fmt.Sprintf("%s-%d", p.call.RequestID, n)
		p.calls.Go(sh.run)
	}
}

// probeShot is one call of a prober.
type probeShot struct {
	prober *prober
	call   caller.Call
}

func (s *probeShot) run() {
	p := s.prober
	started := time.Now()
	answer, err := p.client.Do(p.node.fleet.Node(p.node.name).CallerAddress(), s.call)
	p.answered(started, answer, err)
}

// answered records the end of a call. The key counts as served again by the first call that was
// started after the loss and ran.
func (p *prober) answered(started time.Time, answer caller.Answer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := !p.lost.IsZero() && !started.Before(p.lost)
	switch {
	case answer.Outcome == caller.Ran && err == nil:
		p.ran++
		p.served = p.served || since
		p.gap(time.Now())
	case answer.Outcome == caller.NotRun && since:
		p.refused[fault(answer.Reason)]++
	case since:
		p.failed++
	}
}

// gap takes a moment at which the key was served, or at which the observation ended.
func (p *prober) gap(now time.Time) {
	if p.lost.IsZero() {
		return
	}
	p.longest = max(p.longest, now.Sub(p.last))
	p.last = now
}

// lose sets the moment of the loss.
func (p *prober) lose(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost, p.last = at, at
}

// finish ends the observation, and returns the longest time since the loss without a call that ran.
// It reports false where no call ran.
func (p *prober) finish(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gap(now)
	return p.longest, p.served
}

// again reports whether the key was served again.
func (p *prober) again() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.served
}

// answers reports whether any call ran.
func (p *prober) answers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ran > 0
}

// unserved adds the calls since the loss that were refused as not run, by reason, and returns how
// many failed without a certain answer.
func (p *prober) unserved(refused map[string]int) (failed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for reason, n := range p.refused {
		refused[reason] += n
	}
	return p.failed
}

// keysOf returns up to n keys owned by the server, each in another span.
func keysOf(f *fleet.Fleet, service *conf.Service, id assign.ServerID, n int) []string {
	spans := make(map[uint64]bool)
	var keys []string
	owners := f.Node(f.Names()[0]).Status().Owners
	for i := 0; len(keys) < n && i < 100_000; i++ {
		key := fmt.Sprintf("probe-%d", i)
		hash := assign.Hash(key)
		for _, o := range owners {
			if o.Service == service.ID && o.From <= hash && hash <= o.To && o.Server == id && !spans[o.From] {
				spans[o.From] = true
				keys = append(keys, key)
			}
		}
	}
	return keys
}

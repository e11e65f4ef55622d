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
	entry  *entryPoint
	client *caller.Client
	call   caller.Call
	calls  conc.WaitGroup

	mu sync.Mutex
	// lostAt is the time of the loss, lastServed the time of the last call that ran since then, longestGap
	// the longest time without a call that ran.
	lostAt     time.Time
	lastServed time.Time
	longestGap time.Duration
	served     bool
	ran        int
	failed     int
	// refused counts the calls since the loss that did not run, by reason.
	refused map[string]int
}

// entryPoint identifies the entry process that a prober uses.
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
		c := &probeCall{prober: p, call: p.call}
		c.call.RequestID = fmt.Sprintf("%s-%d", p.call.RequestID, n)
		p.calls.Go(c.run)
	}
}

// probeCall is one call of a prober.
type probeCall struct {
	prober *prober
	call   caller.Call
}

func (c *probeCall) run() {
	p := c.prober
	started := time.Now()
	answer, err := p.client.Do(p.entry.fleet.Node(p.entry.name).CallerAddress(), c.call)
	p.answered(started, answer, err)
}

// answered records the outcome of a call. The key counts as served again after the first call that
// started after the loss and ran.
func (p *prober) answered(started time.Time, answer caller.Answer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	afterLoss := !p.lostAt.IsZero() && !started.Before(p.lostAt)
	switch {
	case answer.Outcome == caller.Ran && err == nil:
		p.ran++
		p.served = p.served || afterLoss
		p.updateLongest(time.Now())
	case answer.Outcome == caller.NotRun && afterLoss:
		p.refused[faultName(answer.Reason)]++
	case afterLoss:
		p.failed++
	}
}

// updateLongest updates the longest gap at a time when the key was served or when the observation ended.
func (p *prober) updateLongest(now time.Time) {
	if p.lostAt.IsZero() {
		return
	}
	p.longestGap = max(p.longestGap, now.Sub(p.lastServed))
	p.lastServed = now
}

// markLoss sets the time of the loss.
func (p *prober) markLoss(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostAt, p.lastServed = at, at
}

// finish ends the observation, and returns the longest time since the loss without a call that ran.
// It reports false if no call that started after the loss ran.
func (p *prober) finish(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateLongest(now)
	return p.longestGap, p.served
}

// servedAgain reports whether the key was served again.
func (p *prober) servedAgain() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.served
}

// hasRun reports whether any call has run.
func (p *prober) hasRun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ran > 0
}

// addRefused adds the calls since the loss that did not run to the map, by reason. It returns the number of calls
// whose outcome is unknown.
func (p *prober) addRefused(refused map[string]int) (failed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for reason, n := range p.refused {
		refused[reason] += n
	}
	return p.failed
}

// keysOf returns up to n keys that the server owns, each in a different span.
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

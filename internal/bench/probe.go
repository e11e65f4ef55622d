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
	ctx     context.Context
	node    *entryPoint
	client  *caller.Client
	call    caller.Call
	calls   conc.WaitGroup
	mu      sync.Mutex
	lost    time.Time
	served  time.Time
	ran     int
	failed  int
	refused int
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
	switch {
	case err != nil || answer.Outcome == caller.Unknown:
		p.failed++
		return
	case answer.Outcome == caller.NotRun:
		p.refused++
		return
	}
	p.ran++
	if !p.lost.IsZero() && !started.Before(p.lost) && p.served.IsZero() {
		p.served = time.Now()
	}
}

// lose sets the moment of the loss.
func (p *prober) lose(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = at
}

// again returns how long after the loss the key was served again. It reports false where it was
// not.
func (p *prober) again() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.served.Sub(p.lost), !p.served.IsZero()
}

// answers reports whether any call ran.
func (p *prober) answers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ran > 0
}

// counts returns how many calls ran, were refused as not run, and failed without a certain answer.
func (p *prober) counts() (ran, refused, failed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ran, p.refused, p.failed
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

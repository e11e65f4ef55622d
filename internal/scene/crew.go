package scene

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/audit"
	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// attempt is one audited call with the data that the checks of the scenario need.
type attempt struct {
	audit.Attempt
	service assign.ServiceID
	class   conf.Class
	started time.Time
}

// attemptLog records every attempt of all callers.
type attemptLog struct {
	mu   sync.Mutex
	list []attempt
}

func (r *attemptLog) add(a attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, a)
}

// all returns a copy of the attempts recorded so far.
func (r *attemptLog) all() []attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]attempt(nil), r.list...)
}

// balancer chooses entry processes as the platform's load balancer does: it excludes processes that have ended
// or are stopping, but still uses paused processes and processes that can't reach the others.
type balancer struct {
	mu   sync.Mutex
	list []endpoint
}

type endpoint struct {
	name    assign.ProcessID
	address netip.AddrPort
}

func (b *balancer) add(name assign.ProcessID, address netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = append(b.list, endpoint{name, address})
}

func (b *balancer) remove(name assign.ProcessID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var kept []endpoint
	for _, e := range b.list {
		if e.name != name {
			kept = append(kept, e)
		}
	}
	b.list = kept
}

// pick returns a random process. It avoids the process exclude if there is another one.
func (b *balancer) pick(random *rand.Rand, exclude assign.ProcessID) endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := random.IntN(len(b.list))
	if b.list[first].name == exclude {
		first = (first + 1) % len(b.list)
	}
	return b.list[first]
}

// callerPool runs all callers of a scenario.
type callerPool struct {
	ctx      context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup
	balancer *balancer
	attempts *attemptLog
	calls    []callType
	count    int
	seed     uint64
	// client is shared by all callers, so that connections are reused between calls.
	client *caller.Client
}

// callType is one operation of a service that callers call.
type callType struct {
	service   *conf.Service
	operation conf.Operation
}

func newCallerPool(ctx context.Context, seed uint64, b *balancer) *callerPool {
	c := &callerPool{balancer: b, attempts: &attemptLog{}, seed: seed, client: caller.New(caller.Options{})}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// start adds callers that call the operations selected by the statement.
func (c *callerPool) start(s Callers, services []*conf.Service) error {
	mix := map[conf.Class]bool{conf.Booking: s.Bookings, conf.Short: s.Lookups, conf.Long: s.Long}
	var calls []callType
	for _, service := range services {
		for _, operation := range service.Operations {
			if mix[operation.Class] {
				calls = append(calls, callType{service, operation})
			}
		}
	}
	if len(calls) == 0 {
		return ErrRun.New("no service of the scenario has such calls; change mix=")
	}
	c.calls = append(c.calls, calls...)
	for range s.Number {
		c.count++
		newCaller := &simCaller{pool: c, name: fmt.Sprintf("m%d", c.count), calls: calls}
		newCaller.random = rand.New(rand.NewPCG(c.seed, uint64(c.count)))
		c.group.Go(newCaller.run)
	}
	return nil
}

// stop stops the callers and waits until their calls in flight have ended.
func (c *callerPool) stop() {
	c.cancel()
	c.group.Wait()
}

// missingCalls returns the services and classes without a call that was started after the given time and ran.
func (c *callerPool) missingCalls(after time.Time) []string {
	type kind struct {
		service assign.ServiceID
		class   conf.Class
	}
	ran := make(map[kind]bool)
	for _, a := range c.attempts.all() {
		if a.Outcome == caller.Ran && a.started.After(after) {
			ran[kind{a.service, a.class}] = true
		}
	}
	var missing []string
	for _, o := range c.calls {
		k := kind{o.service.ID, o.operation.Class}
		if !ran[k] {
			ran[k] = true
			missing = append(missing, fmt.Sprintf("%s/%s", k.service, k.class))
		}
	}
	return missing
}

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

// attempt is one call with what the scenario itself has to know about it.
type attempt struct {
	audit.Attempt
	service assign.ServiceID
	class   conf.Class
	started time.Time
}

// record holds every attempt of all callers.
type record struct {
	mu       sync.Mutex
	attempts []attempt
}

func (r *record) add(a attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

// all returns the attempts so far.
func (r *record) all() []attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]attempt(nil), r.attempts...)
}

// balancer chooses entry processes as the platform's balancer does: it leaves out processes that are
// gone or stopping, and still uses paused ones and those that are cut off from the others.
type balancer struct {
	mu   sync.Mutex
	list []balanced
}

type balanced struct {
	name    assign.ProcessID
	address netip.AddrPort
}

func (b *balancer) add(name assign.ProcessID, address netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = append(b.list, balanced{name, address})
}

func (b *balancer) remove(name assign.ProcessID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var kept []balanced
	for _, e := range b.list {
		if e.name != name {
			kept = append(kept, e)
		}
	}
	b.list = kept
}

// pick returns a random process, another one than the given where there is one.
func (b *balancer) pick(random *rand.Rand, not assign.ProcessID) balanced {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := random.IntN(len(b.list))
	if b.list[first].name == not {
		first = (first + 1) % len(b.list)
	}
	return b.list[first]
}

// crew is all callers of a scenario.
type crew struct {
	ctx      context.Context
	cancel   context.CancelFunc
	group    conc.WaitGroup
	balancer *balancer
	record   *record
	calls    []offered
	members  int
	seed     uint64
	// client is shared, so that connections are kept between calls.
	client *caller.Client
}

// offered is one operation that callers use.
type offered struct {
	service   *conf.Service
	operation conf.Operation
}

func newCrew(ctx context.Context, seed uint64, b *balancer) *crew {
	c := &crew{balancer: b, record: &record{}, seed: seed, client: caller.New(caller.Options{})}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// start adds callers with the operations of the mix.
func (c *crew) start(s Callers, services []*conf.Service) error {
	mix := map[conf.Class]bool{conf.Booking: s.Bookings, conf.Short: s.Lookups, conf.Long: s.Long}
	var calls []offered
	for _, service := range services {
		for _, operation := range service.Operations {
			if mix[operation.Class] {
				calls = append(calls, offered{service, operation})
			}
		}
	}
	if len(calls) == 0 {
		return ErrRun.New("no service of the scenario has such calls; change mix=")
	}
	c.calls = append(c.calls, calls...)
	for range s.Number {
		c.members++
		m := &member{crew: c, name: fmt.Sprintf("m%d", c.members), calls: calls}
		m.random = rand.New(rand.NewPCG(c.seed, uint64(c.members)))
		c.group.Go(m.run)
	}
	return nil
}

// stop ends the callers after their calls in flight.
func (c *crew) stop() {
	c.cancel()
	c.group.Wait()
}

// missing returns the services and classes of which no call ran that was started after the time.
func (c *crew) missing(after time.Time) []string {
	type kind struct {
		service assign.ServiceID
		class   conf.Class
	}
	ran := make(map[kind]bool)
	for _, a := range c.record.all() {
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

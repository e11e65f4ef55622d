package bench

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// maxInFlight bounds the calls that wait for an answer. Arrivals above it count as dropped by
	// the generator, never as good. Each call in flight may use two file descriptors of this process, one
	// for each end of a connection. When they run out, the HTTP servers in this process permanently stop
	// accepting connections, and later figures are invalid.
	maxInFlight = 4000
	// spinThreshold is the wait below which the generator yields instead of sleeping, because a sleep
	// overshoots by up to a millisecond.
	spinThreshold = 200 * time.Microsecond
	// minRate is the lowest number of arrivals a second.
	minRate = 1
)

// arrival describes one call that the generator starts.
type arrival struct {
	number   int
	intended time.Time
	// kind is the index of the tally that counts the call.
	kind int
	key  string
}

// answer is the outcome of a call.
type answer struct {
	ran bool
	// refused reports that the answer says with certainty that the call did not run.
	refused bool
	reason  string
}

// sender makes calls.
type sender interface {
	// send makes a call and waits for its outcome.
	send(c arrival) answer
	// close closes idle connections, because servers accept only a few connections.
	close()
}

// load is an open-loop Poisson load: it does not wait for answers.
type load struct {
	ctx    context.Context
	random *rand.Rand
	length time.Duration
	// rate returns the calls a second at the given time after the start.
	rate func(elapsed time.Duration) float64
	// plan chooses the kind and the key of a call.
	plan   func(random *rand.Rand) (kind int, key string)
	sender sender
	// tallies count the calls by kind.
	tallies []*tally

	calls    conc.WaitGroup
	inFlight atomic.Int64
	dropped  int
	late     *tally
}

// run starts calls until the length has passed, waits until all have ended, and returns the resources used.
func (l *load) run() usage {
	l.late = newTally(0)
	before := readUsage()
	started := time.Now()
	next := started
	for n := 0; ; n++ {
		rate := max(minRate, l.rate(next.Sub(started)))
		next = next.Add(time.Duration(l.random.ExpFloat64() / rate * float64(time.Second)))
		if next.Sub(started) > l.length || l.ctx.Err() != nil {
			break
		}
		waitUntil(next)
		l.start(n, next)
	}
	l.calls.Wait()
	l.sender.close()
	used := readUsage().since(before)
	used.dropped = l.dropped
	used.late = l.late.percentile(99)
	return used
}

// waitUntil waits until the given time more precisely than a sleep alone does.
func waitUntil(at time.Time) {
	for {
		left := time.Until(at)
		switch {
		case left <= 0:
			return
		case left > spinThreshold:
			time.Sleep(left - spinThreshold)
		default:
			runtime.Gosched()
		}
	}
}

// start starts one call, or drops it if too many calls are in flight.
func (l *load) start(number int, intended time.Time) {
	a := arrival{number: number, intended: intended}
	a.kind, a.key = l.plan(l.random)
	l.tallies[a.kind].offer(intended)
	if l.inFlight.Load() >= maxInFlight {
		l.dropped++
		return
	}
	l.inFlight.Add(1)
	l.calls.Go((&pendingCall{load: l, arrival: a}).run)
}

// pendingCall is a call in flight.
type pendingCall struct {
	load    *load
	arrival arrival
}

func (p *pendingCall) run() {
	defer p.load.inFlight.Add(-1)
	p.load.late.recordLatency(time.Since(p.arrival.intended))
	a := p.load.sender.send(p.arrival)
	p.load.tallies[p.arrival.kind].end(p.arrival.intended, a)
}

// constant returns a rate that does not change.
func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

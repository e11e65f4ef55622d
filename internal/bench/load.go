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
	// the generator, never as good. Each call in flight may take two file descriptors here, one for
	// each end of a connection. When they run out, the HTTP servers in this process stop to accept
	// connections for good, and later figures are worthless.
	maxInFlight = 4000
	// spinTime is the wait below which the generator yields instead of sleeping, because a sleep
	// overshoots by up to a millisecond.
	spinTime = 200 * time.Microsecond
	// minRate is the lowest rate of arrivals a second.
	minRate = 1
)

// shot is one call that the generator starts.
type shot struct {
	number   int
	intended time.Time
	// kind is the index of the tally that counts the call.
	kind int
	key  string
}

// answer is how a call ended.
type answer struct {
	ran bool
	// refused reports that the caller was told for certain that the call did not run.
	refused bool
	reason  string
}

// sender makes calls.
type sender interface {
	// send makes a call and waits for its end.
	send(sh shot) answer
	// close closes idle connections, because servers accept few.
	close()
}

// load is an open-loop Poisson load: it does not wait for answers.
type load struct {
	ctx    context.Context
	random *rand.Rand
	length time.Duration
	// rate returns the calls a second at a time after the start.
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

// run starts calls until the length is over, waits for their ends, and returns what was used.
func (l *load) run() usage {
	l.late = newTally(0)
	before := takeUsage()
	started := time.Now()
	next := started
	for n := 0; ; n++ {
		rate := max(minRate, l.rate(next.Sub(started)))
		next = next.Add(time.Duration(l.random.ExpFloat64() / rate * float64(time.Second)))
		if next.Sub(started) > l.length || l.ctx.Err() != nil {
			break
		}
		waitUntil(next)
		l.fire(n, next)
	}
	l.calls.Wait()
	l.sender.close()
	used := takeUsage().since(before)
	used.dropped = l.dropped
	used.late = l.late.percentile(99)
	return used
}

// waitUntil waits for a moment more exactly than a sleep alone does.
func waitUntil(at time.Time) {
	for {
		left := time.Until(at)
		switch {
		case left <= 0:
			return
		case left > spinTime:
			time.Sleep(left - spinTime)
		default:
			runtime.Gosched()
		}
	}
}

// fire starts one call.
func (l *load) fire(number int, intended time.Time) {
	sh := shot{number: number, intended: intended}
	sh.kind, sh.key = l.plan(l.random)
	l.tallies[sh.kind].offer(intended)
	if l.inFlight.Load() >= maxInFlight {
		l.dropped++
		return
	}
	l.inFlight.Add(1)
	l.calls.Go((&flight{load: l, shot: sh}).run)
}

// flight is one call in flight.
type flight struct {
	load *load
	shot shot
}

func (f *flight) run() {
	defer f.load.inFlight.Add(-1)
	f.load.late.latency(time.Since(f.shot.intended))
	a := f.load.sender.send(f.shot)
	f.load.tallies[f.shot.kind].end(f.shot.intended, a)
}

// constant returns a rate that does not change.
func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

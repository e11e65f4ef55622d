package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/stand/site"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

const (
	// ledgerServers is the number of servers of the service.
	ledgerServers = 19
	// limitedDemand is the load in requests per second for each server, and namedLimit the limit of those that name one.
	limitedDemand = 12.0
	namedLimit    = 3.0
	// limitedWork is how long a server runs a request, and limitedObjective the latency up to which a response is good.
	limitedWork      = 150 * time.Millisecond
	limitedObjective = 600 * time.Millisecond
	limitedTimeout   = 1500 * time.Millisecond
	// limitWindow is the time in which a server may get limitFactor times the requests of its limit, and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitNotice is the time after which all processes that get requests have heard of a limit.
	limitNotice = time.Second
	// phaseLength is the length of each of the phases without, with and after the limits. With busy keys, the first two
	// last busyPhaseLength, so that the service reaches its largest number of key ranges.
	phaseLength     = 8 * time.Second
	busyPhaseLength = 40 * time.Second
	// busyShare is the share of the requests that are for busyKeys neighboring keys. Every busyInterval, others are busy.
	busyShare    = 0.7
	busyKeys     = 400
	busyInterval = 4 * time.Second
)

// limitCase is one measure of the experiment.
type limitCase struct {
	// processes is the number of entry processes, and limited the number of servers that name a limit.
	processes, limited int
	// busy reports that most requests are for a few busy keys. Otherwise all keys are equally likely.
	busy bool
}

// limitCases are the measures of the experiment.
var limitCases = []limitCase{{11, 3, false}, {60, 3, false}, {295, 3, false}, {11, 8, true}}

// limits measures the goodput while servers name limits, and what these servers get from all processes.
func limits(s *session) error {
	for _, l := range limitCases {
		c, err := newCell(l.processes)
		if err == nil {
			err = c.awaitOwners(s)
		}
		if err == nil {
			c.measure(s, l)
		}
		c.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// limitPhase is a part of a measure.
type limitPhase struct {
	name string
	// limit is what the limited servers name, empty for none.
	limit  string
	length time.Duration
}

// phases returns the phases of a measure.
func (l limitCase) phases() []limitPhase {
	list := []limitPhase{{"before", "", phaseLength}, {"limited", fmt.Sprint(namedLimit), phaseLength}, {"after", "", phaseLength}}
	if l.busy {
		list[0].length, list[1].length = busyPhaseLength, busyPhaseLength
	}
	return list
}

// key draws the key of a request at a time since the start of the measure.
func (l limitCase) key(r *rand.Rand, since time.Duration) int {
	if !l.busy || r.Float64() >= busyShare {
		return r.IntN(shard.LastKey + 1)
	}
	first := rand.New(rand.NewPCG(uint64(since/busyInterval), 0)).IntN(shard.LastKey - busyKeys)
	// The cube makes the first of the busy keys the busiest.
	return first + int(busyKeys*math.Pow(r.Float64(), 3))
}

// measure plays the phases.
func (c *cell) measure(s *session, l limitCase) {
	limited := c.servers[:l.limited]
	begin := time.Now()
	for _, phase := range l.phases() {
		for _, server := range limited {
			server.NameLimit(phase.limit)
		}
		started := time.Now()
		t := newTally(limitedObjective)
		calls := &load{
			ctx: s.ctx, random: s.random(uint64(len(c.processes))), length: phase.length,
			rate:   constant(limitedDemand * ledgerServers),
			plan:   func(r *rand.Rand) (int, string) { return 0, strconv.Itoa(l.key(r, time.Since(begin))) },
			sender: &cellSender{cell: c}, tallies: []*tally{t},
		}
		used := calls.run()
		reason, count := t.commonReason()
		s.print("entry-processes=%d limited-servers=%d busy-keys=%t phase=%s offered=%d good=%d good-share=%.4f refused=%d failed=%d p50=%s p99=%s cores=%.2f limit=%s reason=%q reason-count=%d",
			l.processes, l.limited, l.busy, phase.name, t.offered, t.good, float64(t.good)/float64(t.offered), t.refused, t.failed,
			millis(t.percentile(50)), millis(t.percentile(99)), used.cores(), used.limit(), reason, count)
		if phase.limit != "" {
			l.printArrivals(s, limited, started)
		}
	}
}

// printArrivals prints what each limited server got at most.
func (l limitCase) printArrivals(s *session, limited []*site.Server, started time.Time) {
	bound := int(limitFactor*namedLimit*limitWindow.Seconds()) + limitSlack
	for _, server := range limited {
		most := mostArrivals(server.Arrivals(), started.Add(limitNotice))
		s.print("entry-processes=%d limited-servers=%d server=%s most=%d bound=%d met=%t", l.processes, l.limited, server.ID(), most, bound, most <= bound)
	}
}

// mostArrivals returns the largest number of arrivals within limitWindow, not counting those before since.
func mostArrivals(arrivals []site.Arrival, since time.Time) int {
	most, first := 0, 0
	for i, a := range arrivals {
		at := a.At
		if at.Before(since) {
			first = i + 1
			continue
		}
		for at.Sub(arrivals[first].At) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

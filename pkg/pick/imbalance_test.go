package pick_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/pick"
)

const (
	simServers   = 6
	simSlots     = 6
	simProcesses = 11
	// simRun is the mean run time of a call.
	simRun = 2 * time.Millisecond
	// simLoad is the offered load as a fraction of the servers' capacity.
	simLoad = 0.8
	// simLag is the age of the load reports on arrival, simReports the time between them.
	simLag     = 200 * time.Millisecond
	simReports = 500 * time.Millisecond
	simTime    = 6 * time.Second
)

// policy is the load balancing policy of one process.
type policy interface {
	pick(s *simulation) int
	done(s *simulation, server int, latency time.Duration)
	report(s *simulation, loads []float64)
}

// event is a function that runs at a simulated time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap of events in order of time, and of seq at the same time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simulation simulates servers with a number of slots and FIFO queues.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	seq     int
	events  eventQueue
	running [simServers]int
	queued  [simServers][]func()
	// slowdown is the factor on the run times of each server.
	slowdown [simServers]float64
	// maxLoads and meanLoads sum up the maximum and the mean load of the servers over all samples.
	maxLoads, meanLoads float64
}

// schedule runs a function after a delay.
func (s *simulation) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.seq, run: run})
}

// load returns the number of calls at a server, divided by its slots.
func (s *simulation) load(i int) float64 {
	return float64(s.running[i]+len(s.queued[i])) / simSlots
}

// call sends a call to the server that the policy picks.
func (s *simulation) call(p policy) {
	i, sent := p.pick(s), s.now
	run := time.Duration(s.random.ExpFloat64() * float64(simRun) * s.slowdown[i])
	s.queued[i] = append(s.queued[i], func() {
		s.schedule(run, func() {
			s.running[i]--
			p.done(s, i, s.now.Sub(sent))
			s.startQueued(i)
		})
	})
	s.startQueued(i)
}

// startQueued starts queued calls in the free slots of a server.
func (s *simulation) startQueued(i int) {
	for s.running[i] < simSlots && len(s.queued[i]) > 0 {
		s.running[i]++
		begin := s.queued[i][0]
		s.queued[i] = s.queued[i][1:]
		begin()
	}
}

// sample adds the current loads to the sums, every 5 ms.
func (s *simulation) sample() {
	maxLoad, sum := 0.0, 0.0
	for i := range simServers {
		maxLoad = max(maxLoad, s.load(i))
		sum += s.load(i)
	}
	s.maxLoads += maxLoad
	s.meanLoads += sum / simServers
	s.schedule(5*time.Millisecond, s.sample)
}

// sendReports sends the current loads to all policies every simReports.
func (s *simulation) sendReports(policies []policy) {
	loads := make([]float64, simServers)
	for i := range loads {
		loads[i] = s.load(i)
	}
	s.schedule(simLag, func() {
		for _, p := range policies {
			p.report(s, loads)
		}
	})
	s.schedule(simReports, func() { s.sendReports(policies) })
}

// imbalance runs a simulation and returns the maximum load of the servers divided by the mean load.
// The first server is slower than the others by the factor slowdown.
func imbalance(seed uint64, slowdown float64, newPolicy func(s *simulation, p int) policy) float64 {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), now: start}
	capacity := 0.0
	for i := range simServers {
		s.slowdown[i] = 1
		if i == 0 {
			s.slowdown[i] = slowdown
		}
		capacity += simSlots / (simRun.Seconds() * s.slowdown[i])
	}
	var policies []policy
	for p := range simProcesses {
		policies = append(policies, newPolicy(s, p))
	}
	var arrive func()
	arrive = func() {
		s.call(policies[s.random.IntN(simProcesses)])
		s.schedule(time.Duration(s.random.ExpFloat64()*float64(time.Second)/(simLoad*capacity)), arrive)
	}
	arrive()
	s.sendReports(policies)
	s.schedule(time.Second, s.sample)
	for s.events[0].at.Before(start.Add(simTime)) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s.maxLoads / s.meanLoads
}

// randomPolicy picks random servers.
type randomPolicy struct{}

func (randomPolicy) pick(s *simulation) int               { return s.random.IntN(simServers) }
func (randomPolicy) done(*simulation, int, time.Duration) {}
func (randomPolicy) report(*simulation, []float64)        {}

// roundRobin picks the servers in turn.
type roundRobin struct {
	randomPolicy
	next int
}

func (r *roundRobin) pick(*simulation) int {
	r.next++
	return r.next % simServers
}

// leastReported picks the server with the lowest load in the latest report.
type leastReported struct {
	randomPolicy
	loads []float64
}

func (l *leastReported) report(_ *simulation, loads []float64) { l.loads = loads }

func (l *leastReported) pick(s *simulation) int {
	if l.loads == nil {
		return s.random.IntN(simServers)
	}
	least := 0
	for i, load := range l.loads {
		if load < l.loads[least] {
			least = i
		}
	}
	return least
}

// twoChoices picks servers with a Picker.
type twoChoices struct{ picker *pick.Picker }

func newTwoChoices(s *simulation, p int) policy {
	t := twoChoices{picker: pick.New(pick.Config{FailureDomain: fmt.Sprintf("fd-%d", p%3)}, s.random)}
	t.picker.Update(start, newServers(simServers, "fd-0", "fd-1", "fd-2"))
	return t
}

func (t twoChoices) pick(s *simulation) int {
	id, _ := t.picker.Pick(s.now, "")
	t.picker.Start(id)
	return int(id[1] - '0')
}

func (t twoChoices) done(s *simulation, server int, latency time.Duration) {
	t.picker.Done(s.now, assign.ServerID(fmt.Sprintf("s%d", server)), pick.Result{Latency: latency})
}

func (t twoChoices) report(s *simulation, loads []float64) {
	for i, load := range loads {
		t.picker.Report(s.now, assign.ServerID(fmt.Sprintf("s%d", i)), pick.Report{Load: load})
	}
}

var _ = Describe("the load of the servers", func() {
	baselines := map[string]func(s *simulation, p int) policy{
		"random":         func(*simulation, int) policy { return randomPolicy{} },
		"round-robin":    func(_ *simulation, p int) policy { return &roundRobin{next: p} },
		"least-reported": func(*simulation, int) policy { return &leastReported{} },
	}

	// Guards against a picker that overloads one server because all processes follow the same outdated
	// report, and against one that ignores a slow server.
	It("is more even than with the usual policies, both with equal servers and with one that is 4 times slower", func() {
		for _, slowdown := range []float64{1, 4} {
			for seed := range uint64(3) {
				pickerImbalance := imbalance(seed, slowdown, newTwoChoices)
				GinkgoWriter.Printf("slowest=%.0f seed=%d two-choices=%.2f", slowdown, seed, pickerImbalance)
				for _, name := range []string{"random", "round-robin", "least-reported"} {
					baselineImbalance := imbalance(seed, slowdown, baselines[name])
					GinkgoWriter.Printf(" %s=%.2f", name, baselineImbalance)
					Expect(pickerImbalance).To(BeNumerically("<", baselineImbalance), name)
				}
				GinkgoWriter.Println()
			}
		}
	})
})

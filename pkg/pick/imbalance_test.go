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
	simRun       = 2 * time.Millisecond
	simLoad      = 0.8
	// simLag is the age of the load reports when they arrive, simReports the time between them.
	simLag     = 200 * time.Millisecond
	simReports = 500 * time.Millisecond
	simTime    = 6 * time.Second
)

// chooser is a policy of one process.
type chooser interface {
	pick(w *world) int
	done(w *world, server int, latency time.Duration)
	report(w *world, loads []float64)
}

type step struct {
	at  time.Time
	seq int
	run func()
}

type steps []step

func (q steps) Len() int { return len(q) }
func (q steps) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q steps) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *steps) Push(x any)   { *q = append(*q, x.(step)) }
func (q *steps) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	*q = (*q)[:last]
	return s
}

// world is servers with slots and first-come queues, on simulated time.
type world struct {
	random  *rand.Rand
	now     time.Time
	seq     int
	queue   steps
	busy    [simServers]int
	waiting [simServers][]func()
	// slow is the factor on the run times of each server.
	slow [simServers]float64
	// busiest and mean are sums over samples of the calls at the servers, weighted by slow.
	busiest, mean float64
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, step{at: w.now.Add(d), seq: w.seq, run: run})
}

func (w *world) load(i int) float64 {
	return float64(w.busy[i]+len(w.waiting[i])) / simSlots
}

func (w *world) call(c chooser) {
	i, sent := c.pick(w), w.now
	run := time.Duration(w.random.ExpFloat64() * float64(simRun) * w.slow[i])
	w.waiting[i] = append(w.waiting[i], func() {
		w.after(run, func() {
			w.busy[i]--
			c.done(w, i, w.now.Sub(sent))
			w.next(i)
		})
	})
	w.next(i)
}

func (w *world) next(i int) {
	for w.busy[i] < simSlots && len(w.waiting[i]) > 0 {
		w.busy[i]++
		begin := w.waiting[i][0]
		w.waiting[i] = w.waiting[i][1:]
		begin()
	}
}

func (w *world) sample() {
	highest, sum := 0.0, 0.0
	for i := range simServers {
		highest = max(highest, w.load(i))
		sum += w.load(i)
	}
	w.busiest += highest
	w.mean += sum / simServers
	w.after(5*time.Millisecond, w.sample)
}

func (w *world) reports(all []chooser) {
	loads := make([]float64, simServers)
	for i := range loads {
		loads[i] = w.load(i)
	}
	w.after(simLag, func() {
		for _, c := range all {
			c.report(w, loads)
		}
	})
	w.after(simReports, func() { w.reports(all) })
}

// imbalance returns the busiest over the mean of the calls at the servers.
func imbalance(seed uint64, slowest float64, policy func(w *world, p int) chooser) float64 {
	w := &world{random: rand.New(rand.NewPCG(seed, 0)), now: start}
	capacity := 0.0
	for i := range simServers {
		w.slow[i] = 1
		if i == 0 {
			w.slow[i] = slowest
		}
		capacity += simSlots / (simRun.Seconds() * w.slow[i])
	}
	var all []chooser
	for p := range simProcesses {
		all = append(all, policy(w, p))
	}
	var offer func()
	offer = func() {
		w.call(all[w.random.IntN(simProcesses)])
		w.after(time.Duration(w.random.ExpFloat64()*float64(time.Second)/(simLoad*capacity)), offer)
	}
	offer()
	w.reports(all)
	w.after(time.Second, w.sample)
	for w.queue[0].at.Before(start.Add(simTime)) {
		s := heap.Pop(&w.queue).(step)
		w.now = s.at
		s.run()
	}
	return w.busiest / w.mean
}

type randomly struct{}

func (randomly) pick(w *world) int               { return w.random.IntN(simServers) }
func (randomly) done(*world, int, time.Duration) {}
func (randomly) report(*world, []float64)        {}

type roundRobin struct {
	randomly
	next int
}

func (r *roundRobin) pick(*world) int {
	r.next++
	return r.next % simServers
}

type leastReported struct {
	randomly
	loads []float64
}

func (l *leastReported) report(_ *world, loads []float64) { l.loads = loads }

func (l *leastReported) pick(w *world) int {
	if l.loads == nil {
		return w.random.IntN(simServers)
	}
	least := 0
	for i, load := range l.loads {
		if load < l.loads[least] {
			least = i
		}
	}
	return least
}

// twoChoices is the Set of this package.
type twoChoices struct{ set *pick.Set }

func newTwoChoices(w *world, p int) chooser {
	t := twoChoices{set: pick.New(pick.Config{FailureDomain: fmt.Sprintf("fd-%d", p%3)}, w.random)}
	t.set.Update(start, list(simServers, "fd-0", "fd-1", "fd-2"))
	return t
}

func (t twoChoices) pick(w *world) int {
	id, _ := t.set.Pick(w.now, "")
	t.set.Start(id)
	return int(id[1] - '0')
}

func (t twoChoices) done(w *world, server int, latency time.Duration) {
	t.set.Done(w.now, assign.ServerID(fmt.Sprintf("s%d", server)), pick.Result{Latency: latency})
}

func (t twoChoices) report(w *world, loads []float64) {
	for i, load := range loads {
		t.set.Report(w.now, assign.ServerID(fmt.Sprintf("s%d", i)), pick.Report{Load: load})
	}
}

var _ = Describe("the load of servers", func() {
	baselines := map[string]func(w *world, p int) chooser{
		"random":         func(*world, int) chooser { return randomly{} },
		"round-robin":    func(_ *world, p int) chooser { return &roundRobin{next: p} },
		"least-reported": func(*world, int) chooser { return &leastReported{} },
	}

	// Guards against choices that follow lagging reports into a herd, or ignore a slow server.
	It("is more even than with the usual policies, with even servers and with one that is 4 times slower", func() {
		for _, slowest := range []float64{1, 4} {
			for seed := range uint64(3) {
				ours := imbalance(seed, slowest, newTwoChoices)
				GinkgoWriter.Printf("slowest=%.0f seed=%d two-choices=%.2f", slowest, seed, ours)
				for _, name := range []string{"random", "round-robin", "least-reported"} {
					other := imbalance(seed, slowest, baselines[name])
					GinkgoWriter.Printf(" %s=%.2f", name, other)
					Expect(ours).To(BeNumerically("<", other), name)
				}
				GinkgoWriter.Println()
			}
		}
	})
})

package elect_test

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/pkg/elect"
)

const (
	faultsFrom  = 1500 * time.Millisecond
	faultsUntil = 5 * time.Second
	// recovery bounds the time without a decider after the last fault: the lapse of a promise, two
	// failed rounds and the amnesia wait fit in it.
	recovery = 3 * time.Second
	// servingLease is the right of an entry process to forward, see docs/design.md 2.4.
	servingLease = 2 * time.Second
	// seedVariable names the environment variable that runs one schedule and prints its events.
	seedVariable = "ELECT_SEED"
)

// schedule is one simulation, determined by its seed.
type schedule func(n *network)

// anyFaults injects faults of every kind, ends them, and then expects one lasting decider.
func anyFaults(n *network) {
	n.loss = n.random.Float64() * 0.3 * float64(n.random.IntN(2))
	n.duplicate = n.random.Float64() * 0.2
	n.late = n.random.Float64() * 0.2
	n.maxLate = n.upTo(1500*time.Millisecond) + 1
	mean := 50*time.Millisecond + n.upTo(800*time.Millisecond)
	for at := n.upTo(faultsFrom); at < faultsUntil; at += n.upTo(2 * mean) {
		n.run(at)
		n.injectFault(n.nodes[n.random.IntN(len(n.nodes))])
	}
	n.run(faultsUntil)
	n.heal()
	n.expectRecovery()
}

// changingElectors changes the elector set as often as it may, while processes restart and the
// decider is cut off.
func changingElectors(n *network) {
	n.run(faultsFrom)
	for n.now < faultsUntil {
		n.run(n.now + n.upTo(60*time.Millisecond))
		nd := n.nodes[n.random.IntN(len(n.nodes))]
		switch n.random.IntN(12) {
		case 0, 1, 2, 3, 4, 5:
			n.changeElectorSet(nd)
		case 6:
			if n.mayRestart(nd) {
				n.restart(nd, n.random.IntN(3) == 0)
			}
		case 7:
			n.cut(nd, n.nodes[n.random.IntN(len(n.nodes))], n.now+n.upTo(2*time.Second))
		case 8:
			if d := n.decider(); d != nil && n.random.IntN(4) == 0 {
				n.isolate(d, n.upTo(2*time.Second), n.random.IntN(2) == 0, n.random.IntN(2) == 0)
			}
		}
	}
	n.heal()
	n.expectRecovery()
}

func (n *network) expectRecovery() {
	end := n.now + recovery
	for n.now < end && n.decider() == nil {
		n.run(n.now + 10*time.Millisecond)
	}
	n.run(end)
	decider := n.decider()
	if decider == nil {
		n.fault("no decider %v after the last fault", recovery)
		return
	}
	term := decider.machine.Term()
	for range 100 {
		n.run(n.now + 10*time.Millisecond)
		if n.decider() != decider || decider.machine.Term() != term {
			n.fault("healthy decider %s of term %d was replaced", decider.id, term)
			return
		}
	}
}

func (n *network) injectFault(nd *node) {
	length := n.upTo(2500 * time.Millisecond)
	other := n.nodes[n.random.IntN(len(n.nodes))]
	switch n.random.IntN(9) {
	case 0:
		n.pause(nd, length, 0)
	case 1:
		n.pause(nd, length, n.upTo(length+1))
	case 2:
		n.cut(nd, other, n.now+length)
	case 3:
		n.isolate(nd, length, true, false)
	case 4:
		n.isolate(nd, length, false, true)
	case 5:
		n.isolate(nd, length, true, true)
	case 6:
		if n.mayRestart(nd) {
			n.restart(nd, n.random.IntN(3) == 0)
		}
	case 7:
		if n.mayRestart(nd) && !n.paused(nd) {
			n.plannedStop(nd)
		}
	case 8:
		n.changeElectorSet(other)
	}
	if d := n.decider(); d != nil && n.random.IntN(4) == 0 {
		n.isolate(d, length, n.random.IntN(2) == 0, n.random.IntN(2) == 0)
	}
}

// isolate cuts the links from and to a node.
func (n *network) isolate(nd *node, d time.Duration, out, in bool) {
	for _, other := range n.nodes {
		if out {
			n.cut(nd, other, n.now+d)
		}
		if in {
			n.cut(other, nd, n.now+d)
		}
	}
}

// plannedStop releases what the process has and replaces it a little later.
func (n *network) plannedStop(nd *node) {
	n.step(nd, elect.Stop{}, time.Time{})
	n.after(nd, nd.incarnation, 100*time.Millisecond, func() {
		if n.mayRestart(nd) {
			n.restart(nd, false)
		}
	})
}

// changeElectorSet lets the decider add or remove one elector where the last change is complete.
func (n *network) changeElectorSet(nd *node) {
	d := n.decider()
	if d == nil || n.paused(d) || !d.machine.Settled() || d.machine.ElectorsVersion() != n.record.version {
		return
	}
	holding := 0
	for _, id := range n.record.electors {
		if id == d.id || d.versions[id] == n.record.version {
			holding++
		}
	}
	if holding < d.machine.Quorum() {
		return
	}
	n.record.version++
	if i := slices.Index(n.record.electors, nd.id); i < 0 {
		n.record.electors = append(slices.Clone(n.record.electors), nd.id)
	} else if len(n.record.electors) > 3 {
		n.record.electors = slices.Delete(slices.Clone(n.record.electors), i, i+1)
	}
	n.changeElectors(d, n.record.electors, n.record.version)
}

// flappingMinority lets a minority of the electors, without the decider, fail and return.
func flappingMinority(n *network) {
	for n.decider() == nil && n.now < recovery {
		n.run(n.now + 10*time.Millisecond)
	}
	n.run(n.now + 300*time.Millisecond)
	decider := n.decider()
	if decider == nil {
		n.fault("no decider at the start")
		return
	}
	term, lost := decider.machine.Term(), decider.lost
	var minority []*node
	for _, i := range n.random.Perm(len(n.nodes)) {
		if nd := n.nodes[i]; nd != decider && len(minority) < (len(n.initial)-1)/2 {
			minority = append(minority, nd)
		}
	}
	end := n.now + 6*time.Second
	for n.now < end {
		n.run(n.now + n.upTo(400*time.Millisecond))
		n.flap(minority[n.random.IntN(len(minority))])
		if n.decider() != decider || decider.machine.Term() != term || decider.lost > lost {
			n.fault("healthy decider %s of term %d was replaced", decider.id, term)
			return
		}
	}
}

func (n *network) flap(nd *node) {
	length := n.upTo(2500 * time.Millisecond)
	switch n.random.IntN(5) {
	case 0:
		n.pause(nd, length, 0)
	case 1:
		n.isolate(nd, length, true, false)
	case 2:
		n.isolate(nd, length, false, true)
	case 3:
		n.isolate(nd, length, true, true)
	case 4:
		if n.mayRestart(nd) {
			n.restart(nd, false)
		}
	}
}

// plannedStops stops one decider after another and expects a new one without a lapse.
func plannedStops(n *network) {
	n.run(2 * time.Second)
	for range 5 {
		decider := n.decider()
		if decider == nil {
			n.fault("no decider to stop")
			return
		}
		n.plannedStop(decider)
		n.run(n.now + elect.DefaultTermLease/2)
		if d := n.decider(); d == nil || d == decider {
			n.fault("no successor of %s half a lease after its planned stop", decider.id)
		}
		n.run(n.now + 2*time.Second)
	}
}

// lostDeciders ends one decider after another and expects a new one while the serving leases that
// the lost one gave are still valid.
func lostDeciders(n *network) {
	n.run(2 * time.Second)
	for range 5 {
		lost := n.decider()
		if lost == nil {
			n.fault("no decider to end")
			return
		}
		lost.down = true
		from := n.now
		for n.decider() == nil && n.now-from < servingLease {
			n.run(n.now + 10*time.Millisecond)
		}
		if n.decider() == nil {
			n.fault("no decider %v after the loss of %s", servingLease, lost.id)
		}
		n.log("no decider for %v", n.now-from)
		n.restart(lost, false)
		n.run(n.now + 2*time.Second)
	}
}

// size is a number of processes, electors and schedules.
type size struct{ processes, electors, schedules int }

func (s size) String() string {
	return fmt.Sprintf("%d processes with %d electors", s.processes, s.electors)
}

// count returns the number of schedules of n that are run in the current mode.
func count(n int) int {
	switch {
	case testing.Short():
		return n / 20
	case raceEnabled:
		return n / 12
	}
	return n
}

// runSchedules runs schedules with successive seeds on several goroutines and reports the faults of
// the lowest seeds.
func runSchedules(s size, f schedule) {
	if v := os.Getenv(seedVariable); v != "" {
		runSeed(s, f, v)
		return
	}
	// The live heap is small, so the default would collect garbage thousands of times a second.
	defer debug.SetGCPercent(debug.SetGCPercent(2000))
	var next atomic.Uint64
	var mu sync.Mutex
	var faults []string
	var group conc.WaitGroup
	for range min(4, runtime.GOMAXPROCS(0)) {
		group.Go(func() {
			for seed := next.Add(1); seed <= uint64(count(s.schedules)); seed = next.Add(1) {
				n := newNetwork(seed, s.processes, s.electors)
				f(n)
				mu.Lock()
				for _, fault := range n.faults {
					faults = append(faults, fmt.Sprintf("%s=%06d: %s", seedVariable, seed, fault))
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	slices.Sort(faults)
	Expect(faults[:min(len(faults), 5)]).To(BeEmpty(), "%d faults; set %s to repeat one schedule", len(faults), seedVariable)
}

// runSeed runs one schedule and prints its events.
func runSeed(s size, f schedule, value string) {
	seed, err := strconv.ParseUint(value, 10, 64)
	Expect(err).NotTo(HaveOccurred())
	n := newNetwork(seed, s.processes, s.electors)
	n.log = func(format string, a ...any) { GinkgoWriter.Printf(format+"\n", a...) }
	f(n)
	Expect(n.faults).To(BeEmpty())
}

var _ = Describe("schedules", func() {
	// Guards against two deciders at once, a term won twice, and an election that does not recover.
	DescribeTable("with faults of every kind", func(s size) { runSchedules(s, anyFaults) },
		func(s size) string { return s.String() },
		Entry(nil, size{3, 3, 12000}),
		Entry(nil, size{5, 5, 6000}),
		Entry(nil, size{6, 3, 4000}),
		Entry(nil, size{11, 11, 1500}),
	)

	// Guards against majorities of successive elector sets that do not intersect.
	DescribeTable("with changing electors", func(s size) { runSchedules(s, changingElectors) },
		func(s size) string { return s.String() },
		Entry(nil, size{6, 3, 4000}),
		Entry(nil, size{7, 5, 2000}),
	)

	// Guards against a returning process or a half-cut link that deposes a healthy decider.
	DescribeTable("with a flapping minority", func(s size) { runSchedules(s, flappingMinority) },
		func(s size) string { return s.String() },
		Entry(nil, size{3, 3, 2000}),
		Entry(nil, size{5, 5, 1000}),
		Entry(nil, size{11, 11, 300}),
	)

	// Guards against an election that outlasts the serving leases, so that the loss of the decider
	// alone refuses calls.
	DescribeTable("with lost deciders", func(s size) { runSchedules(s, lostDeciders) },
		func(s size) string { return s.String() },
		Entry(nil, size{3, 3, 500}),
		Entry(nil, size{5, 5, 300}),
		Entry(nil, size{11, 11, 100}),
	)

	// Guards against a planned stop that makes the cell wait for the lapse of the term.
	DescribeTable("with planned stops", func(s size) { runSchedules(s, plannedStops) },
		func(s size) string { return s.String() },
		Entry(nil, size{3, 3, 500}),
		Entry(nil, size{5, 5, 300}),
		Entry(nil, size{11, 11, 100}),
	)
})

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
	// maxRecovery bounds the time without a leader after the last fault. The expiry of a promise, two
	// failed rounds and the wait of a restarted elector fit in it.
	maxRecovery = 3 * time.Second
	// servingLease is how long an entry process may forward calls without a heartbeat of the leader.
	servingLease = 2 * time.Second
	// seedEnv is the environment variable that selects a single seed, whose events are printed.
	seedEnv = "ELECT_SEED"
)

// scenario injects faults into a network and reports violations. The seed of the network determines it.
type scenario func(n *network)

// anyFaults injects faults of every kind, ends them, and then expects one leader that keeps its term.
func anyFaults(n *network) {
	n.loss = n.random.Float64() * 0.3 * float64(n.random.IntN(2))
	n.duplicate = n.random.Float64() * 0.2
	n.delayed = n.random.Float64() * 0.2
	n.maxDelay = n.randomBelow(1500*time.Millisecond) + 1
	mean := 50*time.Millisecond + n.randomBelow(800*time.Millisecond)
	for at := n.randomBelow(faultsFrom); at < faultsUntil; at += n.randomBelow(2 * mean) {
		n.runUntil(at)
		n.injectFault(n.nodes[n.random.IntN(len(n.nodes))])
	}
	n.runUntil(faultsUntil)
	n.heal()
	n.expectRecovery()
}

// changingElectors changes the elector set as often as allowed, while processes restart and the leader
// is cut off.
func changingElectors(n *network) {
	n.runUntil(faultsFrom)
	for n.now < faultsUntil {
		n.runUntil(n.now + n.randomBelow(60*time.Millisecond))
		nd := n.nodes[n.random.IntN(len(n.nodes))]
		switch n.random.IntN(12) {
		case 0, 1, 2, 3, 4, 5:
			n.changeElectorSet(nd)
		case 6:
			if n.mayRestart(nd) {
				n.restart(nd, n.random.IntN(3) == 0)
			}
		case 7:
			n.cut(nd, n.nodes[n.random.IntN(len(n.nodes))], n.now+n.randomBelow(2*time.Second))
		case 8:
			if leader := n.leader(); leader != nil && n.random.IntN(4) == 0 {
				n.isolate(leader, n.randomBelow(2*time.Second), n.random.IntN(2) == 0, n.random.IntN(2) == 0)
			}
		}
	}
	n.heal()
	n.expectRecovery()
}

func (n *network) expectRecovery() {
	end := n.now + maxRecovery
	for n.now < end && n.leader() == nil {
		n.runUntil(n.now + 10*time.Millisecond)
	}
	n.runUntil(end)
	leader := n.leader()
	if leader == nil {
		n.report("no leader %v after the last fault", maxRecovery)
		return
	}
	term := leader.machine.Term()
	for range 100 {
		n.runUntil(n.now + 10*time.Millisecond)
		if n.leader() != leader || leader.machine.Term() != term {
			n.report("healthy leader %s of term %d was replaced", leader.id, term)
			return
		}
	}
}

func (n *network) injectFault(nd *node) {
	duration := n.randomBelow(2500 * time.Millisecond)
	other := n.nodes[n.random.IntN(len(n.nodes))]
	switch n.random.IntN(9) {
	case 0:
		n.pause(nd, duration, 0)
	case 1:
		n.pause(nd, duration, n.randomBelow(duration+1))
	case 2:
		n.cut(nd, other, n.now+duration)
	case 3:
		n.isolate(nd, duration, true, false)
	case 4:
		n.isolate(nd, duration, false, true)
	case 5:
		n.isolate(nd, duration, true, true)
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
	if leader := n.leader(); leader != nil && n.random.IntN(4) == 0 {
		n.isolate(leader, duration, n.random.IntN(2) == 0, n.random.IntN(2) == 0)
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

// plannedStop makes the process give up its term or claim, and restarts it a little later.
func (n *network) plannedStop(nd *node) {
	n.step(nd, elect.Stop{}, time.Time{})
	n.schedule(nd, nd.incarnation, 100*time.Millisecond, func() {
		if n.mayRestart(nd) {
			n.restart(nd, false)
		}
	})
}

// changeElectorSet lets the leader add or remove the elector nd if the last change is complete.
func (n *network) changeElectorSet(nd *node) {
	leader := n.leader()
	if leader == nil || n.paused(leader) || !leader.machine.Settled() ||
		leader.machine.ElectorsVersion() != n.record.version {
		return
	}
	holding := 0
	for _, id := range n.record.electors {
		if id == leader.id || leader.versions[id] == n.record.version {
			holding++
		}
	}
	if holding < leader.machine.Quorum() {
		return
	}
	n.record.version++
	if i := slices.Index(n.record.electors, nd.id); i < 0 {
		n.record.electors = append(slices.Clone(n.record.electors), nd.id)
	} else if len(n.record.electors) > 3 {
		n.record.electors = slices.Delete(slices.Clone(n.record.electors), i, i+1)
	}
	n.setElectors(leader, n.record.electors, n.record.version)
}

// flappingMinority lets a minority of the electors, without the leader, fail and return repeatedly.
func flappingMinority(n *network) {
	for n.leader() == nil && n.now < maxRecovery {
		n.runUntil(n.now + 10*time.Millisecond)
	}
	n.runUntil(n.now + 300*time.Millisecond)
	leader := n.leader()
	if leader == nil {
		n.report("no leader at the start")
		return
	}
	term, losses := leader.machine.Term(), leader.losses
	var minority []*node
	for _, i := range n.random.Perm(len(n.nodes)) {
		if nd := n.nodes[i]; nd != leader && len(minority) < (len(n.initialElectors)-1)/2 {
			minority = append(minority, nd)
		}
	}
	end := n.now + 6*time.Second
	for n.now < end {
		n.runUntil(n.now + n.randomBelow(400*time.Millisecond))
		n.injectMinorityFault(minority[n.random.IntN(len(minority))])
		if n.leader() != leader || leader.machine.Term() != term || leader.losses > losses {
			n.report("healthy leader %s of term %d was replaced", leader.id, term)
			return
		}
	}
}

func (n *network) injectMinorityFault(nd *node) {
	duration := n.randomBelow(2500 * time.Millisecond)
	switch n.random.IntN(5) {
	case 0:
		n.pause(nd, duration, 0)
	case 1:
		n.isolate(nd, duration, true, false)
	case 2:
		n.isolate(nd, duration, false, true)
	case 3:
		n.isolate(nd, duration, true, true)
	case 4:
		if n.mayRestart(nd) {
			n.restart(nd, false)
		}
	}
}

// plannedStops stops one leader after another and expects a successor before the term lease expires.
func plannedStops(n *network) {
	n.runUntil(2 * time.Second)
	for range 5 {
		leader := n.leader()
		if leader == nil {
			n.report("no leader to stop")
			return
		}
		n.plannedStop(leader)
		n.runUntil(n.now + elect.DefaultTermLease/2)
		if successor := n.leader(); successor == nil || successor == leader {
			n.report("no successor of %s half a lease after its planned stop", leader.id)
		}
		n.runUntil(n.now + 2*time.Second)
	}
}

// lostLeaders ends one leader after another and expects a new one while the serving leases that the old
// one gave are still valid.
func lostLeaders(n *network) {
	n.runUntil(2 * time.Second)
	for range 5 {
		old := n.leader()
		if old == nil {
			n.report("no leader to end")
			return
		}
		old.down = true
		lostAt := n.now
		for n.leader() == nil && n.now-lostAt < servingLease {
			n.runUntil(n.now + 10*time.Millisecond)
		}
		if n.leader() == nil {
			n.report("no leader %v after the loss of %s", servingLease, old.id)
		}
		n.log("no leader for %v", n.now-lostAt)
		n.restart(old, false)
		n.runUntil(n.now + 2*time.Second)
	}
}

// size is the number of processes, electors and runs of a scenario.
type size struct{ processes, electors, runs int }

func (s size) String() string {
	return fmt.Sprintf("%d processes with %d electors", s.processes, s.electors)
}

// runCount returns how many of n runs of a scenario the current mode allows.
func runCount(n int) int {
	switch {
	case testing.Short():
		return n / 20
	case raceEnabled:
		return n / 12
	}
	return n
}

// runSeeds runs a scenario with successive seeds on several goroutines and fails with the violations
// of the lowest seeds.
func runSeeds(s size, f scenario) {
	if v := os.Getenv(seedEnv); v != "" {
		runSeed(s, f, v)
		return
	}
	// The live heap is small, so with the default the garbage collector would run thousands of times a second.
	defer debug.SetGCPercent(debug.SetGCPercent(2000))
	var next atomic.Uint64
	var mu sync.Mutex
	var violations []string
	var group conc.WaitGroup
	for range min(4, runtime.GOMAXPROCS(0)) {
		group.Go(func() {
			for seed := next.Add(1); seed <= uint64(runCount(s.runs)); seed = next.Add(1) {
				n := newNetwork(seed, s.processes, s.electors)
				f(n)
				mu.Lock()
				for _, violation := range n.violations {
					violations = append(violations, fmt.Sprintf("%s=%06d: %s", seedEnv, seed, violation))
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	slices.Sort(violations)
	Expect(violations[:min(len(violations), 5)]).To(BeEmpty(),
		"%d violations; set %s to repeat the run of one seed", len(violations), seedEnv)
}

// runSeed runs a scenario with one seed and prints its events.
func runSeed(s size, f scenario, value string) {
	seed, err := strconv.ParseUint(value, 10, 64)
	Expect(err).NotTo(HaveOccurred())
	n := newNetwork(seed, s.processes, s.electors)
	n.log = func(format string, a ...any) { GinkgoWriter.Printf(format+"\n", a...) }
	f(n)
	Expect(n.violations).To(BeEmpty())
}

var _ = Describe("simulated scenarios", func() {
	// Guards against two leaders at once, a term that is won twice, and an election that does not recover.
	DescribeTable("with faults of every kind", func(s size) { runSeeds(s, anyFaults) },
		func(s size) string { return s.String() },
		Entry(nil, size{3, 3, 12000}),
		Entry(nil, size{5, 5, 6000}),
		Entry(nil, size{6, 3, 4000}),
		Entry(nil, size{11, 11, 1500}),
	)

	// Guards against majorities of successive elector sets that do not intersect.
	DescribeTable("with changing electors", func(s size) { runSeeds(s, changingElectors) },
		func(s size) string { return s.String() },
		Entry(nil, size{6, 3, 4000}),
		Entry(nil, size{7, 5, 2000}),
	)

	// Guards against a returning process or a link cut in one direction that deposes a healthy leader.
	DescribeTable("with a flapping minority", func(s size) { runSeeds(s, flappingMinority) },
		func(s size) string { return s.String() },
		Entry(nil, size{3, 3, 2000}),
		Entry(nil, size{5, 5, 1000}),
		Entry(nil, size{11, 11, 300}),
	)

	// Guards against an election that takes longer than the serving leases are valid, so that the loss of
	// the leader alone makes entry processes refuse calls.
	DescribeTable("with lost leaders", func(s size) { runSeeds(s, lostLeaders) },
		func(s size) string { return s.String() },
		Entry(nil, size{3, 3, 500}),
		Entry(nil, size{5, 5, 300}),
		Entry(nil, size{11, 11, 100}),
	)

	// Guards against a planned stop after which the cell has to wait for the term lease to expire.
	DescribeTable("with planned stops", func(s size) { runSeeds(s, plannedStops) },
		func(s size) string { return s.String() },
		Entry(nil, size{3, 3, 500}),
		Entry(nil, size{5, 5, 300}),
		Entry(nil, size{11, 11, 100}),
	)
})

package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/pick"
)

func TestPick(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pick")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// list returns n servers named s0, s1, ... in turn in the failure domains given.
func list(n int, domains ...string) []assign.Server {
	var servers []assign.Server
	for i := range n {
		servers = append(servers, assign.Server{
			ID:            assign.ServerID(fmt.Sprintf("s%d", i)),
			FailureDomain: domains[i%len(domains)],
		})
	}
	return servers
}

var _ = Describe("a set of servers", func() {
	var set *pick.Set
	now := start

	BeforeEach(func() {
		now = start
		set = pick.New(pick.Config{FailureDomain: "fd-1"}, rand.New(rand.NewPCG(1, 2)))
	})
	// run picks and ends n calls, each with the result that its server gives, and counts them.
	run := func(n int, gap time.Duration, result func(assign.ServerID) pick.Result) map[assign.ServerID]int {
		counts := map[assign.ServerID]int{}
		for range n {
			id, ok := set.Pick(now, "")
			Expect(ok).To(BeTrue())
			counts[id]++
			set.Start(id)
			now = now.Add(gap)
			set.Done(now, id, result(id))
		}
		return counts
	}
	good := func(assign.ServerID) pick.Result { return pick.Result{Latency: time.Millisecond} }

	It("has no server at first", func() {
		_, ok := set.Pick(now, "")
		Expect(ok).To(BeFalse())
		set.Start("s0")
		set.Done(now, "s0", pick.Result{})
	})

	// Guards against new work for a server that is leaving, whoever says so.
	It("never chooses a draining server, also when it is the only one", func() {
		servers := list(3, "fd-1")
		servers[0].Draining = true
		set.Update(now, servers)
		set.Report(now, "s1", pick.Report{Draining: true})
		Expect(run(100, time.Millisecond, good)).To(HaveLen(1))
		_, ok := set.Pick(now, "s2")
		Expect(ok).To(BeFalse())
	})

	// Guards against a retry at the server that has just failed.
	It("does not choose the server to avoid", func() {
		set.Update(now, list(2, "fd-1", "fd-2"))
		for range 100 {
			id, ok := set.Pick(now, "s0")
			Expect(ok).To(BeTrue())
			Expect(id).To(Equal(assign.ServerID("s1")))
		}
	})

	It("prefers its failure domain until that is busier", func() {
		set.Update(now, list(4, "fd-1", "fd-2"))
		counts := run(100, time.Millisecond, good)
		Expect(counts["s0"] + counts["s2"]).To(Equal(100))
		for range 3 {
			set.Start("s0")
			set.Start("s2")
		}
		id, _ := set.Pick(now, "")
		Expect(id).To(BeElementOf(assign.ServerID("s1"), assign.ServerID("s3")))
	})

	// Where bytes between failure domains cost much, a busier server of the own one is still better.
	It("stays in its failure domain for longer where it is told to", func() {
		set = pick.New(pick.Config{FailureDomain: "fd-1", LocalFactor: 5}, rand.New(rand.NewPCG(1, 2)))
		set.Update(now, list(4, "fd-1", "fd-2"))
		for range 3 {
			set.Start("s0")
			set.Start("s2")
		}
		id, _ := set.Pick(now, "")
		Expect(id).To(BeElementOf(assign.ServerID("s0"), assign.ServerID("s2")))
		for range 3 {
			set.Start("s0")
			set.Start("s2")
		}
		id, _ = set.Pick(now, "")
		Expect(id).To(BeElementOf(assign.ServerID("s1"), assign.ServerID("s3")))
	})

	It("prefers servers with fewer own calls in flight, and faster ones", func() {
		set.Update(now, list(2, "fd-1"))
		set.Start("s0")
		counts := run(200, time.Millisecond, good)
		Expect(counts["s1"]).To(BeNumerically(">", 140))
		set.Done(now, "s0", pick.Result{Ignore: true})
		slow := func(id assign.ServerID) pick.Result {
			if id == "s1" {
				return pick.Result{Latency: 20 * time.Millisecond}
			}
			return good(id)
		}
		run(20, time.Millisecond, slow)
		Expect(run(200, time.Millisecond, slow)["s0"]).To(BeNumerically(">", 140))
	})

	It("lets the reported load decide between servers that are even", func() {
		set.Update(now, list(2, "fd-1"))
		set.Report(now, "s0", pick.Report{Load: 0.9})
		set.Report(now, "s1", pick.Report{Load: 0.1})
		counts := map[assign.ServerID]int{}
		for range 400 {
			id, _ := set.Pick(now, "")
			counts[id]++
		}
		Expect(counts["s1"]).To(BeNumerically("~", 300, 40))
	})

	// Guards against full load on a server whose caches are empty.
	It("raises the share of a cold server over the ramp", func() {
		set.Update(now, list(3, "fd-1"))
		run(100, time.Millisecond, good)
		set.Update(now, list(4, "fd-1"))
		var shares []int
		for range 4 {
			shares = append(shares, run(1000, 4*time.Millisecond, good)["s3"])
		}
		Expect(shares[0]).To(BeNumerically("<", 150))
		Expect(shares[1]).To(BeNumerically(">", shares[0]))
		Expect(shares[3]).To(BeNumerically("~", 250, 60))
	})

	// Guards against a server that attracts calls because it fails fast.
	It("counts errors as slow", func() {
		set.Update(now, list(2, "fd-1"))
		failing := func(id assign.ServerID) pick.Result {
			if id == "s0" {
				return pick.Result{Latency: 10 * time.Microsecond, Failed: true}
			}
			return good(id)
		}
		run(20, time.Millisecond, failing)
		Expect(run(100, time.Millisecond, failing)["s1"]).To(BeNumerically(">", 65))
		Expect(set.Ejected(now)).To(BeEmpty(), "one of two is more than a third")
	})

	// Guards against a bad signal, such as a fault of this process, that ejects all servers.
	It("ejects at most a third of the servers", func() {
		set.Update(now, list(7, "fd-1"))
		failing := func(assign.ServerID) pick.Result { return pick.Result{Failed: true} }
		run(300, time.Millisecond, failing)
		Expect(set.Ejected(now)).To(HaveLen(2))
		set.Update(now, list(3, "fd-1"))
		Expect(len(set.Ejected(now))).To(BeNumerically("<=", 1))
		set.Update(now, list(2, "fd-1"))
		Expect(set.Ejected(now)).To(BeEmpty())
	})

	// Guards against a server that is never used again, and against one that comes back too often.
	It("takes an ejected server back, and ejects it for longer the next time", func() {
		set.Update(now, list(3, "fd-1"))
		failing := func(id assign.ServerID) pick.Result {
			return pick.Result{Latency: time.Millisecond, Failed: id == "s0"}
		}
		length := func() time.Duration {
			for len(set.Ejected(now)) == 0 {
				run(1, 20*time.Millisecond, failing)
			}
			began := now
			for len(set.Ejected(now)) > 0 {
				Expect(run(1, 20*time.Millisecond, failing)).NotTo(HaveKey(assign.ServerID("s0")))
			}
			return now.Sub(began)
		}
		first := length()
		Expect(first).To(BeNumerically("~", 5*time.Second, 50*time.Millisecond))
		Expect(length()).To(BeNumerically("~", 10*time.Second, 50*time.Millisecond))
		Expect(run(3000, 20*time.Millisecond, good)["s0"]).To(BeNumerically(">", 500))
	})
})

// client is a goroutine that makes calls through a shared set.
type client struct{ set *pick.SharedPicker }

func (c client) run() {
	for n := range 200 {
		id, ok := c.set.Take(start, "")
		if !ok {
			continue
		}
		c.set.Report(start, id, pick.Report{Load: float64(n)})
		c.set.Done(start, id, pick.Result{Latency: time.Millisecond, Failed: n%5 == 0})
		c.set.Ejected(start)
	}
}

var _ = Describe("a shared set", func() {
	// Guards against unprotected state: the race detector fails this test.
	It("is safe for concurrent use", func() {
		c := client{set: pick.NewSharedPicker(pick.Config{}, rand.New(rand.NewPCG(1, 1)))}
		c.set.Update(start, list(6, "fd-1"))
		var group conc.WaitGroup
		for range 8 {
			group.Go(c.run)
		}
		group.Wait()
		_, ok := c.set.Take(start, "")
		Expect(ok).To(BeTrue())
	})
})

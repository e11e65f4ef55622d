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

// newServers returns n servers with the IDs s0, s1, ..., which are spread over the failure domains in
// turn.
func newServers(n int, domains ...string) []assign.Server {
	var servers []assign.Server
	for i := range n {
		servers = append(servers, assign.Server{
			ID:            assign.ServerID(fmt.Sprintf("s%d", i)),
			FailureDomain: domains[i%len(domains)],
		})
	}
	return servers
}

var _ = Describe("Picker", func() {
	var picker *pick.Picker
	now := start

	BeforeEach(func() {
		now = start
		picker = pick.New(pick.Config{FailureDomain: "fd-1"}, rand.New(rand.NewPCG(1, 2)))
	})
	// run makes n calls, one after the other, each with the result for its server, and returns the
	// number of calls to each server.
	run := func(n int, gap time.Duration, result func(assign.ServerID) pick.Result) map[assign.ServerID]int {
		counts := map[assign.ServerID]int{}
		for range n {
			id, ok := picker.Pick(now, "")
			Expect(ok).To(BeTrue())
			counts[id]++
			picker.Start(id)
			now = now.Add(gap)
			picker.Done(now, id, result(id))
		}
		return counts
	}
	succeed := func(assign.ServerID) pick.Result { return pick.Result{Latency: time.Millisecond} }

	It("picks no server before the first update", func() {
		_, ok := picker.Pick(now, "")
		Expect(ok).To(BeFalse())
		picker.Start("s0")
		picker.Done(now, "s0", pick.Result{})
	})

	// Guards against calls to a draining server, whether the server list or a health report marks it.
	It("never picks a draining server, even if no other is left", func() {
		servers := newServers(3, "fd-1")
		servers[0].Draining = true
		picker.Update(now, servers)
		picker.Report(now, "s1", pick.Report{Draining: true})
		Expect(run(100, time.Millisecond, succeed)).To(HaveLen(1))
		_, ok := picker.Pick(now, "s2")
		Expect(ok).To(BeFalse())
	})

	// Guards against a retry at the server that has just failed.
	It("does not pick the server to avoid", func() {
		picker.Update(now, newServers(2, "fd-1", "fd-2"))
		for range 100 {
			id, ok := picker.Pick(now, "s0")
			Expect(ok).To(BeTrue())
			Expect(id).To(Equal(assign.ServerID("s1")))
		}
	})

	It("prefers its failure domain until the servers there are busier", func() {
		picker.Update(now, newServers(4, "fd-1", "fd-2"))
		counts := run(100, time.Millisecond, succeed)
		Expect(counts["s0"] + counts["s2"]).To(Equal(100))
		for range 3 {
			picker.Start("s0")
			picker.Start("s2")
		}
		id, _ := picker.Pick(now, "")
		Expect(id).To(BeElementOf(assign.ServerID("s1"), assign.ServerID("s3")))
	})

	// Guards against expensive traffic between failure domains while the local servers are only busier.
	It("stays in its failure domain for longer with a higher LocalFactor", func() {
		picker = pick.New(pick.Config{FailureDomain: "fd-1", LocalFactor: 5}, rand.New(rand.NewPCG(1, 2)))
		picker.Update(now, newServers(4, "fd-1", "fd-2"))
		for range 3 {
			picker.Start("s0")
			picker.Start("s2")
		}
		id, _ := picker.Pick(now, "")
		Expect(id).To(BeElementOf(assign.ServerID("s0"), assign.ServerID("s2")))
		for range 3 {
			picker.Start("s0")
			picker.Start("s2")
		}
		id, _ = picker.Pick(now, "")
		Expect(id).To(BeElementOf(assign.ServerID("s1"), assign.ServerID("s3")))
	})

	It("prefers servers with fewer calls in flight and faster servers", func() {
		picker.Update(now, newServers(2, "fd-1"))
		picker.Start("s0")
		counts := run(200, time.Millisecond, succeed)
		Expect(counts["s1"]).To(BeNumerically(">", 140))
		picker.Done(now, "s0", pick.Result{Ignore: true})
		slow := func(id assign.ServerID) pick.Result {
			if id == "s1" {
				return pick.Result{Latency: 20 * time.Millisecond}
			}
			return succeed(id)
		}
		run(20, time.Millisecond, slow)
		Expect(run(200, time.Millisecond, slow)["s0"]).To(BeNumerically(">", 140))
	})

	It("breaks ties between servers by their reported load", func() {
		picker.Update(now, newServers(2, "fd-1"))
		picker.Report(now, "s0", pick.Report{Load: 0.9})
		picker.Report(now, "s1", pick.Report{Load: 0.1})
		counts := map[assign.ServerID]int{}
		for range 400 {
			id, _ := picker.Pick(now, "")
			counts[id]++
		}
		Expect(counts["s1"]).To(BeNumerically("~", 300, 40))
	})

	// Guards against full load on a cold server, whose caches are empty.
	It("raises the share of a cold server during the ramp", func() {
		picker.Update(now, newServers(3, "fd-1"))
		run(100, time.Millisecond, succeed)
		picker.Update(now, newServers(4, "fd-1"))
		var shares []int
		for range 4 {
			shares = append(shares, run(1000, 4*time.Millisecond, succeed)["s3"])
		}
		Expect(shares[0]).To(BeNumerically("<", 150))
		Expect(shares[1]).To(BeNumerically(">", shares[0]))
		Expect(shares[3]).To(BeNumerically("~", 250, 60))
	})

	// Guards against a server that attracts calls because it fails fast.
	It("counts errors as slow responses", func() {
		picker.Update(now, newServers(2, "fd-1"))
		failing := func(id assign.ServerID) pick.Result {
			if id == "s0" {
				return pick.Result{Latency: 10 * time.Microsecond, Failed: true}
			}
			return succeed(id)
		}
		run(20, time.Millisecond, failing)
		Expect(run(100, time.Millisecond, failing)["s1"]).To(BeNumerically(">", 65))
		Expect(picker.Ejected(now)).To(BeEmpty(), "one of two servers is more than a third")
	})

	// Guards against a wrong signal that ejects all servers, such as a fault of this process.
	It("ejects at most a third of the servers", func() {
		picker.Update(now, newServers(7, "fd-1"))
		failing := func(assign.ServerID) pick.Result { return pick.Result{Failed: true} }
		run(300, time.Millisecond, failing)
		Expect(picker.Ejected(now)).To(HaveLen(2))
		picker.Update(now, newServers(3, "fd-1"))
		Expect(len(picker.Ejected(now))).To(BeNumerically("<=", 1))
		picker.Update(now, newServers(2, "fd-1"))
		Expect(picker.Ejected(now)).To(BeEmpty())
	})

	// Guards against an ejection that never ends, and against a failing server that gets calls too often.
	It("ends an ejection and makes the next one longer", func() {
		picker.Update(now, newServers(3, "fd-1"))
		failing := func(id assign.ServerID) pick.Result {
			return pick.Result{Latency: time.Millisecond, Failed: id == "s0"}
		}
		ejectionTime := func() time.Duration {
			for len(picker.Ejected(now)) == 0 {
				run(1, 20*time.Millisecond, failing)
			}
			began := now
			for len(picker.Ejected(now)) > 0 {
				Expect(run(1, 20*time.Millisecond, failing)).NotTo(HaveKey(assign.ServerID("s0")))
			}
			return now.Sub(began)
		}
		first := ejectionTime()
		Expect(first).To(BeNumerically("~", 5*time.Second, 50*time.Millisecond))
		Expect(ejectionTime()).To(BeNumerically("~", 10*time.Second, 50*time.Millisecond))
		Expect(run(3000, 20*time.Millisecond, succeed)["s0"]).To(BeNumerically(">", 500))
	})
})

// client makes calls through a picker that it shares with other goroutines.
type client struct{ picker *pick.SharedPicker }

func (c client) run() {
	for n := range 200 {
		id, ok := c.picker.Take(start, "")
		if !ok {
			continue
		}
		c.picker.Report(start, id, pick.Report{Load: float64(n)})
		c.picker.Done(start, id, pick.Result{Latency: time.Millisecond, Failed: n%5 == 0})
		c.picker.Ejected(start)
	}
}

var _ = Describe("SharedPicker", func() {
	// Guards against access to the state without the lock, which the race detector reports.
	It("is safe for concurrent use", func() {
		c := client{picker: pick.NewSharedPicker(pick.Config{}, rand.New(rand.NewPCG(1, 1)))}
		c.picker.Update(start, newServers(6, "fd-1"))
		var group conc.WaitGroup
		for range 8 {
			group.Go(c.run)
		}
		group.Wait()
		_, ok := c.picker.Take(start, "")
		Expect(ok).To(BeTrue())
	})
})

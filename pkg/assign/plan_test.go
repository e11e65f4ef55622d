package assign_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

func TestAssign(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "assign")
}

// fleet returns n servers that are spread over three failure domains.
func fleet(n int) []assign.Server {
	servers := make([]assign.Server, n)
	for i := range servers {
		servers[i] = assign.Server{
			ID:            assign.ServerID(fmt.Sprintf("s%02d", i)),
			FailureDomain: fmt.Sprintf("fd-%d", i%3),
		}
	}
	return servers
}

// openHoldings returns open holdings of the places at rank 0.
func openHoldings(places []assign.Place) []assign.Holding {
	holdings := make([]assign.Holding, len(places))
	for i, p := range places {
		holdings[i] = assign.Holding{Place: p, Open: true}
	}
	return holdings
}

// applyPlan returns the open holdings after the plan is stored and its moves are made.
func applyPlan(p assign.Plan) []assign.Holding {
	holdings := openHoldings(p.Places)
	for _, i := range p.Moves {
		holdings[i].Rank = 1
	}
	return holdings
}

// coversHashSpace reports whether the spans cover the hash space without gaps and overlaps.
func coversHashSpace(holdings []assign.Holding) bool {
	next := uint64(0)
	for i, h := range holdings {
		if h.Span.From != next || h.Span.To < h.Span.From {
			return false
		}
		if h.Span.To == math.MaxUint64 {
			return i == len(holdings)-1
		}
		next = h.Span.To + 1
	}
	return false
}

// holdingAt returns the holding whose span contains hash.
func holdingAt(holdings []assign.Holding, hash uint64) assign.Holding {
	t := assign.Table{Services: map[assign.ServiceID][]assign.Holding{"s": holdings}}
	h, _ := t.Lookup("s", hash)
	return h
}

// movedShare returns the share of the hash space whose owners differ between a and b, which have the same
// spans.
func movedShare(a, b []assign.Holding) float64 {
	share := 0.0
	for i := range a {
		if a[i].Owner() != b[i].Owner() {
			share += a[i].Span.Share()
		}
	}
	return share
}

// unusableShare returns the share of the hash space whose owners are not usable.
func unusableShare(holdings []assign.Holding, usable []assign.Server) float64 {
	share := 0.0
	for _, h := range holdings {
		if !isUsable(usable, h.Owner()) {
			share += h.Span.Share()
		}
	}
	return share
}

// isUsable reports whether the server is present and not draining.
func isUsable(servers []assign.Server, id assign.ServerID) bool {
	return slices.ContainsFunc(servers, func(s assign.Server) bool { return s.ID == id && !s.Draining })
}

// cluster is a service whose servers join, drain and leave at random.
type cluster struct {
	all      []assign.Server
	present  []assign.Server
	holdings []assign.Holding
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{all: fleet(rapid.IntRange(2, 20).Draw(t, "servers"))}
	c.present = slices.Clone(c.all)
	c.holdings = openHoldings(assign.Initial(c.all, 1))
	return c
}

// drawServers draws which servers are present and which of those are draining. At least one server is present
// and not draining.
func (c *cluster) drawServers(t *rapid.T) {
	c.present = nil
	for _, s := range c.all {
		if rapid.IntRange(0, 4).Draw(t, "absent") > 0 {
			c.present = append(c.present, s)
		}
	}
	if len(c.present) == 0 {
		c.present = c.all[:1]
	}
	for i := range c.present[1:] {
		c.present[i+1].Draining = rapid.IntRange(0, 9).Draw(t, "draining") == 0
	}
	c.present[0].Draining = false
}

// drawLoads draws the load of each span, or an empty map, which means that no load is known.
func (c *cluster) drawLoads(t *rapid.T) map[assign.Span]float64 {
	load := make(map[assign.Span]float64)
	if rapid.Bool().Draw(t, "no load known") {
		return load
	}
	for _, h := range c.holdings {
		load[h.Span] = rapid.Float64Range(0, 10).Draw(t, "load")
	}
	return load
}

// splitAndMerge splits and merges spans and checks that this changes no owner and lowers no fence.
func (c *cluster) splitAndMerge(t *rapid.T) {
	next := c.holdings
	for range rapid.IntRange(0, 5).Draw(t, "splits") {
		next, _ = assign.SplitHot(next, rapid.Uint64().Draw(t, "hash"))
	}
	if rapid.Bool().Draw(t, "join") {
		next = assign.MergeCold(next, c.drawLoads(t), 1, rapid.IntRange(1, 100).Draw(t, "target"))
	}
	c.checkHoldings(t, next)
	for _, h := range next {
		if was := holdingAt(c.holdings, h.Span.From); was.Owner() != h.Owner() {
			t.Fatalf("the owner of span %x changed from %s to %s", h.Span.From, was.Owner(), h.Owner())
		}
	}
	c.holdings = next
}

// checkHoldings fails the test if next has gaps, overlaps or too many spans, or if a fence is lower than before.
func (c *cluster) checkHoldings(t *rapid.T, next []assign.Holding) {
	if !coversHashSpace(next) {
		t.Fatalf("spans do not cover the hash space once: %v", next)
	}
	if len(next) > assign.MaxSpans {
		t.Fatalf("too many spans: %d", len(next))
	}
	for _, h := range next {
		if was := holdingAt(c.holdings, h.Span.From); h.Fence() < was.Fence() {
			t.Fatalf("the fence of span %x decreased from %d to %d", h.Span.From, was.Fence(), h.Fence())
		}
	}
}

// rebalance checks the plans of Repair and Rebalance for the present servers and applies that of Rebalance.
func (c *cluster) rebalance(t *rapid.T) {
	budget := rapid.Float64Range(0, 0.3).Draw(t, "budget")
	load := c.drawLoads(t)
	plan := assign.Rebalance(c.holdings, c.present, load, budget)
	next := applyPlan(plan)
	c.checkHoldings(t, next)
	unavoidable := unusableShare(c.holdings, c.present)
	if m := movedShare(c.holdings, next); m > unavoidable+budget+1e-9 {
		t.Fatalf("moved %g of the keys, but only %g were unavoidable and the budget is %g", m, unavoidable, budget)
	}
	if m := movedShare(c.holdings, applyPlan(assign.Repair(c.holdings, c.present))); m > unavoidable+1e-9 {
		t.Fatalf("repair moved %g of the keys, but only %g were unavoidable", m, unavoidable)
	}
	if remaining := unusableShare(next, c.present); remaining > 0 {
		t.Fatalf("absent or draining servers still own %g of the keys", remaining)
	}
	c.checkOrder(t, plan, load, budget)
	c.checkSuccessors(t, plan)
	c.holdings = next
}

// checkOrder guards against plans that depend on the order in which the servers are listed.
func (c *cluster) checkOrder(t *rapid.T, plan assign.Plan, load map[assign.Span]float64, budget float64) {
	reversed := slices.Clone(c.present)
	slices.Reverse(reversed)
	other := assign.Rebalance(c.holdings, reversed, load, budget)
	if !slices.Equal(other.Moves, plan.Moves) || !slices.Equal(other.Owners(), plan.Owners()) {
		t.Fatalf("the plan depends on the order of the servers")
	}
}

// checkSuccessors guards against places with too many owners, with an owner listed twice, or with a
// successor that is not usable although a usable server is left.
func (c *cluster) checkSuccessors(t *rapid.T, plan assign.Plan) {
	for _, p := range plan.Places {
		if len(p.Owners) > 1+assign.Successors {
			t.Fatalf("too many owners: %d", len(p.Owners))
		}
		for i, id := range p.Owners {
			if slices.Contains(p.Owners[:i], id) {
				t.Fatalf("%s is listed twice in %v", id, p.Owners)
			}
			if i > 0 && !isUsable(c.present, id) {
				c.checkNoneLeft(t, p.Owners[:i])
			}
		}
	}
}

// checkNoneLeft fails the test if a usable server is not among owners, which a server that is not usable
// follows.
func (c *cluster) checkNoneLeft(t *rapid.T, owners []assign.ServerID) {
	for _, s := range c.present {
		if isUsable(c.present, s.ID) && !slices.Contains(owners, s.ID) {
			t.Fatalf("a server that is not usable follows %v, although %s is usable", owners, s.ID)
		}
	}
}

var _ = Describe("plans", func() {
	// Guards against gaps, overlaps, owners that are not usable, decreasing fences and needless moves, while
	// servers join, drain and leave, and spans are split and merged.
	It("cover the hash space and move only what is unavoidable or within the budget", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := newCluster(t)
			for range rapid.IntRange(1, 6).Draw(t, "steps") {
				c.drawServers(t)
				c.splitAndMerge(t)
				c.rebalance(t)
			}
		})
	})

	// Guards against a first plan that puts too much load on one server or one failure domain.
	It("start with 16 spans for each server and successors in other failure domains", func() {
		places := assign.Initial(fleet(17), 5)
		Expect(places).To(HaveLen(17 * assign.SpansPerServer))
		Expect(coversHashSpace(openHoldings(places))).To(BeTrue())
		owners, seconds := countAtRank(places, 0), countAtRank(places, 1)
		for _, s := range fleet(17) {
			Expect(owners[s.ID]).To(Equal(assign.SpansPerServer))
			Expect(seconds[s.ID]).To(BeNumerically("~", assign.SpansPerServer, 8))
		}
		for _, p := range places {
			Expect(p.Owners).To(HaveLen(1 + assign.Successors))
			Expect(countDomains(p.Owners)).To(Equal(3))
			Expect(p.Base).To(Equal(lease.Fence(5)))
		}
	})

	// Guards against a lost server whose whole load moves to one other server.
	It("spread the spans of a lost server over the others", func() {
		holdings := openHoldings(assign.Initial(fleet(17), 1))
		next := applyPlan(assign.Repair(holdings, fleet(17)[1:]))
		most := 0
		for _, n := range countAtRank(activePlaces(next), 0) {
			most = max(most, n)
		}
		Expect(most).To(BeNumerically("<=", assign.SpansPerServer+4))
	})

	// Guards against a server that joins and never gets a span.
	It("give a new server spans within the budget", func() {
		holdings := openHoldings(assign.Initial(fleet(16), 1))
		plan := assign.Rebalance(holdings, fleet(17), nil, 0.02)
		Expect(plan.Moves).NotTo(BeEmpty())
		Expect(movedShare(holdings, applyPlan(plan))).To(BeNumerically("<=", 0.02))
		for _, i := range plan.Moves {
			Expect(plan.Owners()[i]).To(Equal(assign.ServerID("s16")))
		}
	})

	// Guards against a plan that removes owners of a closed span, although those of earlier ranks may still
	// run calls.
	It("keep the owners of a closed span whose successors are lost, and add new ones", func() {
		h := openHoldings(assign.Initial(fleet(5), 1))[0]
		h.Open, h.Rank = false, len(h.Owners)-1
		rest := slices.DeleteFunc(fleet(5), func(s assign.Server) bool { return s.ID == h.Owner() })
		plan := assign.Repair([]assign.Holding{h}, rest)
		Expect(plan.Moves).To(BeEmpty())
		Expect(plan.Places[0].Base).To(Equal(h.Base))
		Expect(plan.Places[0].Owners[:len(h.Owners)]).To(Equal(h.Owners))
		Expect(len(plan.Places[0].Owners)).To(BeNumerically(">", len(h.Owners)))
	})

	// Guards against a table that grows without bound.
	It("bound the number of spans that contain a single hash", func() {
		holdings := openHoldings(assign.Initial(fleet(2), 1))
		for i := range 2 * assign.MaxHotSpans {
			holdings, _ = assign.SplitHot(holdings, uint64(i)*1e15+7)
		}
		hot := 0
		for _, h := range holdings {
			if h.Span.From == h.Span.To {
				hot++
			}
		}
		Expect(hot).To(Equal(assign.MaxHotSpans))
		Expect(coversHashSpace(holdings)).To(BeTrue())
	})
})

// activePlaces returns the places of the holdings, each starting with the active owner.
func activePlaces(holdings []assign.Holding) []assign.Place {
	var ps []assign.Place
	for _, h := range holdings {
		p := h.Place
		p.Owners = p.Owners[h.Rank:]
		ps = append(ps, p)
	}
	return ps
}

// countAtRank returns how often each server is listed at the rank.
func countAtRank(places []assign.Place, rank int) map[assign.ServerID]int {
	counts := make(map[assign.ServerID]int)
	for _, p := range places {
		if rank < len(p.Owners) {
			counts[p.Owners[rank]]++
		}
	}
	return counts
}

// countDomains returns the number of failure domains of the owners.
func countDomains(owners []assign.ServerID) int {
	seen := make(map[string]bool)
	for _, s := range fleet(17) {
		if slices.Contains(owners, s.ID) {
			seen[s.FailureDomain] = true
		}
	}
	return len(seen)
}

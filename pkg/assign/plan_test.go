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

// fleet returns n servers in three failure domains.
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

func open(places []assign.Place) []assign.Holding {
	holdings := make([]assign.Holding, len(places))
	for i, p := range places {
		holdings[i] = assign.Holding{Place: p, Open: true}
	}
	return holdings
}

// after returns the holdings once the plan is stored and its moves are made.
func after(p assign.Plan) []assign.Holding {
	holdings := open(p.Places)
	for _, i := range p.Moves {
		holdings[i].Rank = 1
	}
	return holdings
}

func covers(holdings []assign.Holding) bool {
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

// at returns the holding of a hash.
func at(holdings []assign.Holding, hash uint64) assign.Holding {
	t := assign.Table{Services: map[assign.ServiceID][]assign.Holding{"s": holdings}}
	h, _ := t.Lookup("s", hash)
	return h
}

// moved returns the share of the hash space whose owner differs; b has the spans of a.
func moved(a, b []assign.Holding) float64 {
	share := 0.0
	for i := range a {
		if a[i].Owner() != b[i].Owner() {
			share += a[i].Span.Share()
		}
	}
	return share
}

// owned returns the share of the hash space that belongs to servers that are not usable.
func owned(holdings []assign.Holding, usable []assign.Server) float64 {
	share := 0.0
	for _, h := range holdings {
		if !has(usable, h.Owner()) {
			share += h.Span.Share()
		}
	}
	return share
}

func has(servers []assign.Server, id assign.ServerID) bool {
	return slices.ContainsFunc(servers, func(s assign.Server) bool { return s.ID == id && !s.Draining })
}

// world is a service whose servers come and go.
type world struct {
	all      []assign.Server
	present  []assign.Server
	holdings []assign.Holding
}

func newWorld(t *rapid.T) *world {
	w := &world{all: fleet(rapid.IntRange(2, 20).Draw(t, "servers"))}
	w.present = slices.Clone(w.all)
	w.holdings = open(assign.Initial(w.all, 1))
	return w
}

// choose draws which servers are present, at least one of them, and which of those drain.
func (w *world) choose(t *rapid.T) {
	w.present = nil
	for _, s := range w.all {
		if rapid.IntRange(0, 4).Draw(t, "absent") > 0 {
			w.present = append(w.present, s)
		}
	}
	if len(w.present) == 0 {
		w.present = w.all[:1]
	}
	for i := range w.present[1:] {
		w.present[i+1].Draining = rapid.IntRange(0, 9).Draw(t, "draining") == 0
	}
	w.present[0].Draining = false
}

func (w *world) loads(t *rapid.T) map[assign.Span]float64 {
	load := make(map[assign.Span]float64)
	if rapid.Bool().Draw(t, "no load known") {
		return load
	}
	for _, h := range w.holdings {
		load[h.Span] = rapid.Float64Range(0, 10).Draw(t, "load")
	}
	return load
}

// reshape splits and joins, which may not change an owner nor lower a fence.
func (w *world) reshape(t *rapid.T) {
	next := w.holdings
	for range rapid.IntRange(0, 5).Draw(t, "splits") {
		next, _ = assign.SplitHot(next, rapid.Uint64().Draw(t, "hash"))
	}
	if rapid.Bool().Draw(t, "join") {
		next = assign.MergeCold(next, w.loads(t), 1, rapid.IntRange(1, 100).Draw(t, "target"))
	}
	w.check(t, next)
	for _, h := range next {
		if was := at(w.holdings, h.Span.From); was.Owner() != h.Owner() {
			t.Fatalf("span %x changed its owner from %s to %s", h.Span.From, was.Owner(), h.Owner())
		}
	}
	w.holdings = next
}

func (w *world) check(t *rapid.T, next []assign.Holding) {
	if !covers(next) {
		t.Fatalf("spans do not cover the hash space once: %v", next)
	}
	if len(next) > assign.MaxSpans {
		t.Fatalf("%d spans", len(next))
	}
	for _, h := range next {
		if was := at(w.holdings, h.Span.From); h.Fence() < was.Fence() {
			t.Fatalf("the fence of %x went back from %d to %d", h.Span.From, was.Fence(), h.Fence())
		}
	}
}

// replan makes a plan for the present servers and checks it.
func (w *world) replan(t *rapid.T) {
	budget := rapid.Float64Range(0, 0.3).Draw(t, "budget")
	load := w.loads(t)
	plan := assign.Rebalance(w.holdings, w.present, load, budget)
	next := after(plan)
	w.check(t, next)
	must := owned(w.holdings, w.present)
	if m := moved(w.holdings, next); m > must+budget+1e-9 {
		t.Fatalf("moved %g of the keys, %g had to, budget %g", m, must, budget)
	}
	if m := moved(w.holdings, after(assign.Repair(w.holdings, w.present))); m > must+1e-9 {
		t.Fatalf("repair moved %g of the keys, %g had to", m, must)
	}
	if left := owned(next, w.present); left > 0 {
		t.Fatalf("lost or draining servers still own %g of the keys", left)
	}
	w.checkOrder(t, plan, load, budget)
	w.checkSuccessors(t, plan)
	w.holdings = next
}

// checkOrder guards against plans that depend on the order of the servers.
func (w *world) checkOrder(t *rapid.T, plan assign.Plan, load map[assign.Span]float64, budget float64) {
	reversed := slices.Clone(w.present)
	slices.Reverse(reversed)
	again := assign.Rebalance(w.holdings, reversed, load, budget)
	if !slices.Equal(again.Moves, plan.Moves) || !slices.Equal(again.Owners(), plan.Owners()) {
		t.Fatalf("another order of servers gives another plan")
	}
}

func (w *world) checkSuccessors(t *rapid.T, plan assign.Plan) {
	for _, p := range plan.Places {
		if len(p.Owners) > 1+assign.Successors {
			t.Fatalf("%d owners", len(p.Owners))
		}
		for i, id := range p.Owners {
			if slices.Contains(p.Owners[:i], id) {
				t.Fatalf("%s is listed twice in %v", id, p.Owners)
			}
			if i > 0 && !has(w.present, id) {
				w.checkUsedUp(t, p.Owners[:i])
			}
		}
	}
}

// checkUsedUp guards against a lost successor where a usable server could take its place.
func (w *world) checkUsedUp(t *rapid.T, owners []assign.ServerID) {
	for _, s := range w.present {
		if has(w.present, s.ID) && !slices.Contains(owners, s.ID) {
			t.Fatalf("a lost server follows %v, %s is usable", owners, s.ID)
		}
	}
}

var _ = Describe("plans", func() {
	// Guards against gaps, overlaps, lost owners, fences that go back and needless moves, over
	// servers that come and go, splits and joins.
	It("keep the hash space covered and move only what must move and the budget", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(t)
			for range rapid.IntRange(1, 6).Draw(t, "steps") {
				w.choose(t)
				w.reshape(t)
				w.replan(t)
			}
		})
	})

	// Guards against a first plan that loads one server or one failure domain.
	It("start with 16 spans for each server and successors in other failure domains", func() {
		places := assign.Initial(fleet(17), 5)
		Expect(places).To(HaveLen(17 * assign.SpansPerServer))
		Expect(covers(open(places))).To(BeTrue())
		owners, seconds := count(places, 0), count(places, 1)
		for _, s := range fleet(17) {
			Expect(owners[s.ID]).To(Equal(assign.SpansPerServer))
			Expect(seconds[s.ID]).To(BeNumerically("~", assign.SpansPerServer, 8))
		}
		for _, p := range places {
			Expect(p.Owners).To(HaveLen(1 + assign.Successors))
			Expect(domains(p.Owners)).To(Equal(3))
			Expect(p.Base).To(Equal(lease.Fence(5)))
		}
	})

	// Guards against a lost server whose whole load falls on one other.
	It("spread the spans of a lost server", func() {
		holdings := open(assign.Initial(fleet(17), 1))
		next := after(assign.Repair(holdings, fleet(17)[1:]))
		most := 0
		for _, n := range count(places(next), 0) {
			most = max(most, n)
		}
		Expect(most).To(BeNumerically("<=", assign.SpansPerServer+4))
	})

	// Guards against a server that joins and never gets work.
	It("give a new server spans within the budget", func() {
		holdings := open(assign.Initial(fleet(16), 1))
		plan := assign.Rebalance(holdings, fleet(17), nil, 0.02)
		Expect(plan.Moves).NotTo(BeEmpty())
		Expect(moved(holdings, after(plan))).To(BeNumerically("<=", 0.02))
		for _, i := range plan.Moves {
			Expect(plan.Owners()[i]).To(Equal(assign.ServerID("s16")))
		}
	})

	// Guards against losing the list of a closed span: servers of earlier ranks may still run calls.
	It("extend a closed span whose successors are lost and keep its list", func() {
		h := open(assign.Initial(fleet(5), 1))[0]
		h.Open, h.Rank = false, len(h.Owners)-1
		rest := slices.DeleteFunc(fleet(5), func(s assign.Server) bool { return s.ID == h.Owner() })
		plan := assign.Repair([]assign.Holding{h}, rest)
		Expect(plan.Moves).To(BeEmpty())
		Expect(plan.Places[0].Base).To(Equal(h.Base))
		Expect(plan.Places[0].Owners[:len(h.Owners)]).To(Equal(h.Owners))
		Expect(len(plan.Places[0].Owners)).To(BeNumerically(">", len(h.Owners)))
	})

	// Guards against an unbounded table.
	It("bound the spans of width one", func() {
		holdings := open(assign.Initial(fleet(2), 1))
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
		Expect(covers(holdings)).To(BeTrue())
	})
})

func places(holdings []assign.Holding) []assign.Place {
	var ps []assign.Place
	for _, h := range holdings {
		p := h.Place
		p.Owners = p.Owners[h.Rank:]
		ps = append(ps, p)
	}
	return ps
}

// count returns how often each server has the rank.
func count(places []assign.Place, rank int) map[assign.ServerID]int {
	counts := make(map[assign.ServerID]int)
	for _, p := range places {
		if rank < len(p.Owners) {
			counts[p.Owners[rank]]++
		}
	}
	return counts
}

func domains(owners []assign.ServerID) int {
	seen := make(map[string]bool)
	for _, s := range fleet(17) {
		if slices.Contains(owners, s.ID) {
			seen[s.FailureDomain] = true
		}
	}
	return len(seen)
}

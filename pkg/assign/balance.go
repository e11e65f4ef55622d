package assign

import (
	"cmp"
	"maps"
	"slices"
)

// Rebalance leaves spans where they are while the busiest server has at most tolerated times the
// mean load and the idlest at least neglected times. Moving for less costs more unavailable time than
// it gains; a server that has just joined is below.
const (
	tolerated = 1.15
	neglected = 0.5
)

// Rebalance returns the plan of Repair with further moves from busy to idle servers, up to budget,
// a share of the hash space. Load gives the load of each span; where it is empty, the width of the
// spans is used.
func Rebalance(holdings []Holding, servers []Server, load map[Span]float64, budget float64) Plan {
	b := newBalance(holdings, servers, load)
	for b.step(&budget) {
	}
	slices.Sort(b.plan.Moves)
	return b.plan
}

type balance struct {
	plan     Plan
	repair   repair
	holdings []Holding
	load     []float64
	// spans are the indexes of the spans of each server that may still be moved.
	spans  map[ServerID][]int
	server map[ServerID]float64
	mean   float64
}

func newBalance(holdings []Holding, servers []Server, load map[Span]float64) *balance {
	b := &balance{
		plan:     Repair(holdings, servers),
		repair:   newRepair(holdings, servers),
		holdings: holdings,
		load:     spanLoads(holdings, load),
		spans:    make(map[ServerID][]int),
		server:   make(map[ServerID]float64),
	}
	for _, s := range b.repair.choice.servers {
		b.server[s.ID] = 0
	}
	b.place()
	return b
}

// place adds up the loads after the moves of the repair.
func (b *balance) place() {
	total := 0.0
	for i, owner := range b.plan.Owners() {
		if !b.holdings[i].Open {
			owner = b.holdings[i].Owner()
		}
		if _, ok := b.server[owner]; !ok {
			continue
		}
		b.server[owner] += b.load[i]
		total += b.load[i]
		if b.holdings[i].Open && owner == b.holdings[i].Owner() {
			b.spans[owner] = append(b.spans[owner], i)
		}
	}
	if len(b.server) > 0 {
		b.mean = total / float64(len(b.server))
	}
}

// spanLoads returns the load of each holding, in order.
func spanLoads(holdings []Holding, load map[Span]float64) []float64 {
	loads := make([]float64, len(holdings))
	total := 0.0
	for i, h := range holdings {
		loads[i] = load[h.Span]
		total += loads[i]
	}
	if total > 0 {
		return loads
	}
	for i, h := range holdings {
		loads[i] = h.Span.Share()
	}
	return loads
}

// step moves one span from the busiest to the idlest server. It reports false where no move
// within the budget makes the busier of the two less busy.
func (b *balance) step(budget *float64) bool {
	busy, idle, ok := b.extremes()
	even := b.server[busy] <= b.mean*tolerated && b.server[idle] >= b.mean*neglected
	if !ok || even {
		return false
	}
	i, ok := b.best(busy, idle, *budget)
	if !ok {
		return false
	}
	*budget -= b.holdings[i].Span.Share()
	b.move(i, busy, idle)
	return true
}

func (b *balance) extremes() (busy, idle ServerID, ok bool) {
	for _, id := range slices.Sorted(maps.Keys(b.server)) {
		if !ok || b.server[id] > b.server[busy] {
			busy = id
		}
		if !ok || b.server[id] < b.server[idle] {
			idle = id
		}
		ok = true
	}
	return busy, idle, ok && busy != idle
}

// best returns the span of busy whose move leaves the lower maximum of the two servers.
func (b *balance) best(busy, idle ServerID, budget float64) (int, bool) {
	best, found := 0, false
	lowest := b.server[busy]
	for _, i := range b.spans[busy] {
		after := max(b.server[busy]-b.load[i], b.server[idle]+b.load[i])
		if b.holdings[i].Span.Share() <= budget && after < lowest {
			best, found, lowest = i, true, after
		}
	}
	return best, found
}

func (b *balance) move(i int, busy, idle ServerID) {
	b.server[busy] -= b.load[i]
	b.server[idle] += b.load[i]
	b.spans[busy] = slices.DeleteFunc(b.spans[busy], func(j int) bool { return i == j })
	place := &b.plan.Places[i]
	owners := []ServerID{busy, idle}
	for _, id := range place.Owners[1:] {
		if id != idle && len(owners) <= Successors {
			owners = append(owners, id)
		}
	}
	place.Owners = owners
	b.plan.Moves = append(b.plan.Moves, i)
}

// SplitHot returns the holdings with a span of width one for hash, which inherits owners, fence
// and rank. It reports false where the span exists or a bound of the cell would be exceeded.
func SplitHot(holdings []Holding, hash uint64) ([]Holding, bool) {
	i, found := slices.BinarySearchFunc(holdings, hash, compareHash)
	if !found || holdings[i].Span.From == holdings[i].Span.To {
		return holdings, false
	}
	if hotSpans(holdings) >= MaxHotSpans || len(holdings)+2 > MaxSpans {
		return holdings, false
	}
	whole := holdings[i]
	var parts []Holding
	if whole.Span.From < hash {
		parts = append(parts, part(whole, whole.Span.From, hash-1))
	}
	parts = append(parts, part(whole, hash, hash))
	if hash < whole.Span.To {
		parts = append(parts, part(whole, hash+1, whole.Span.To))
	}
	return slices.Replace(slices.Clone(holdings), i, i+1, parts...), true
}

func compareHash(h Holding, hash uint64) int {
	if h.Span.Contains(hash) {
		return 0
	}
	return cmp.Compare(h.Span.From, hash)
}

func part(h Holding, from, to uint64) Holding {
	h.Span = Span{From: from, To: to}
	return h
}

func hotSpans(holdings []Holding) int {
	n := 0
	for _, h := range holdings {
		if h.Span.From == h.Span.To {
			n++
		}
	}
	return n
}

// MergeCold returns the holdings with neighbours joined that are open at the same server and whose
// load together is at most limit, until target spans are left. The joined span has the higher of
// the two fences, so that no fence goes back.
func MergeCold(holdings []Holding, load map[Span]float64, limit float64, target int) []Holding {
	var merged []Holding
	sum := 0.0
	for i, h := range holdings {
		l := load[h.Span]
		left := len(merged) + len(holdings) - i
		if n := len(merged); n > 0 && left > target && sum+l <= limit && joinable(merged[n-1], h) {
			merged[n-1] = join(merged[n-1], h)
			sum += l
			continue
		}
		merged = append(merged, h)
		sum = l
	}
	return merged
}

func joinable(a, b Holding) bool {
	return a.Open && b.Open && a.Owner() == b.Owner()
}

func join(a, b Holding) Holding {
	joined := a
	if b.Fence() > a.Fence() {
		joined = b
	}
	joined.Span = Span{From: a.Span.From, To: b.Span.To}
	return joined
}

package assign

import (
	"cmp"
	"maps"
	"slices"
)

// Rebalance moves no further span while the load of each server is between minLoadRatio and maxLoadRatio
// times the mean. A move for a smaller difference costs more time of unavailability than it gains. The
// load of a server that has just joined is below minLoadRatio.
const (
	maxLoadRatio = 1.15
	minLoadRatio = 0.5
)

// Rebalance returns the plan of Repair with additional moves from the busiest to the least loaded
// servers. Together, the spans of these moves cover at most budget, a share of the hash space. The load
// of each span is in load. If it is empty, the width of the spans is used instead.
func Rebalance(holdings []Holding, servers []Server, load map[Span]float64, budget float64) Plan {
	b := newBalancer(holdings, servers, load)
	for b.moveOne(&budget) {
	}
	slices.Sort(b.plan.Moves)
	return b.plan
}

// balancer is the state of one Rebalance.
type balancer struct {
	plan     Plan
	repairer repairer
	holdings []Holding
	// spanLoad is the load of each holding, in the same order.
	spanLoad []float64
	// movable has the indexes of the spans of each server that may still be moved.
	movable map[ServerID][]int
	// serverLoad is the load of each server after the moves of the plan.
	serverLoad map[ServerID]float64
	meanLoad   float64
}

func newBalancer(holdings []Holding, servers []Server, load map[Span]float64) *balancer {
	b := &balancer{
		plan:       Repair(holdings, servers),
		repairer:   newRepairer(holdings, servers),
		holdings:   holdings,
		spanLoad:   spanLoads(holdings, load),
		movable:    make(map[ServerID][]int),
		serverLoad: make(map[ServerID]float64),
	}
	for _, s := range b.repairer.chooser.servers {
		b.serverLoad[s.ID] = 0
	}
	b.sumLoads()
	return b
}

// sumLoads computes the load of each server after the moves of the repair, and the spans that may still be
// moved: the open ones that the repair does not move.
func (b *balancer) sumLoads() {
	total := 0.0
	for i, owner := range b.plan.Owners() {
		if !b.holdings[i].Open {
			owner = b.holdings[i].Owner()
		}
		if _, ok := b.serverLoad[owner]; !ok {
			continue
		}
		b.serverLoad[owner] += b.spanLoad[i]
		total += b.spanLoad[i]
		if b.holdings[i].Open && owner == b.holdings[i].Owner() {
			b.movable[owner] = append(b.movable[owner], i)
		}
	}
	if len(b.serverLoad) > 0 {
		b.meanLoad = total / float64(len(b.serverLoad))
	}
}

// spanLoads returns the load of each holding, in the same order.
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

// moveOne moves one span from the busiest to the least loaded server and reduces budget by its width. It
// returns false if the loads are balanced, or if no move within the budget lowers the higher of the two
// loads.
func (b *balancer) moveOne(budget *float64) bool {
	busy, idle, ok := b.extremes()
	balanced := b.serverLoad[busy] <= b.meanLoad*maxLoadRatio && b.serverLoad[idle] >= b.meanLoad*minLoadRatio
	if !ok || balanced {
		return false
	}
	i, ok := b.bestSpan(busy, idle, *budget)
	if !ok {
		return false
	}
	*budget -= b.holdings[i].Span.Share()
	b.move(i, busy, idle)
	return true
}

// extremes returns the busiest and the least loaded server. It returns false if they are the same.
func (b *balancer) extremes() (busy, idle ServerID, ok bool) {
	for _, id := range slices.Sorted(maps.Keys(b.serverLoad)) {
		if !ok || b.serverLoad[id] > b.serverLoad[busy] {
			busy = id
		}
		if !ok || b.serverLoad[id] < b.serverLoad[idle] {
			idle = id
		}
		ok = true
	}
	return busy, idle, ok && busy != idle
}

// bestSpan returns the span of busy whose move to idle results in the lowest maximum of the two loads. It
// returns false if no move within the budget lowers the higher of the two.
func (b *balancer) bestSpan(busy, idle ServerID, budget float64) (int, bool) {
	best, found := 0, false
	lowestMax := b.serverLoad[busy]
	for _, i := range b.movable[busy] {
		maxLoad := max(b.serverLoad[busy]-b.spanLoad[i], b.serverLoad[idle]+b.spanLoad[i])
		if b.holdings[i].Span.Share() <= budget && maxLoad < lowestMax {
			best, found, lowestMax = i, true, maxLoad
		}
	}
	return best, found
}

// move makes idle the first successor of span i, followed by its other successors up to the bound, and
// adds the move to the plan.
func (b *balancer) move(i int, busy, idle ServerID) {
	b.serverLoad[busy] -= b.spanLoad[i]
	b.serverLoad[idle] += b.spanLoad[i]
	b.movable[busy] = slices.DeleteFunc(b.movable[busy], func(j int) bool { return i == j })
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

// SplitHot returns the holdings with a separate span for hash alone. The parts of the span that is split
// inherit its owners, fence and rank. SplitHot returns false if that span already exists or a bound on the
// number of spans would be exceeded.
func SplitHot(holdings []Holding, hash uint64) ([]Holding, bool) {
	i, found := slices.BinarySearchFunc(holdings, hash, compareHash)
	if !found || holdings[i].Span.From == holdings[i].Span.To {
		return holdings, false
	}
	if countHotSpans(holdings) >= MaxHotSpans || len(holdings)+2 > MaxSpans {
		return holdings, false
	}
	whole := holdings[i]
	var parts []Holding
	if whole.Span.From < hash {
		parts = append(parts, withSpan(whole, whole.Span.From, hash-1))
	}
	parts = append(parts, withSpan(whole, hash, hash))
	if hash < whole.Span.To {
		parts = append(parts, withSpan(whole, hash+1, whole.Span.To))
	}
	return slices.Replace(slices.Clone(holdings), i, i+1, parts...), true
}

func compareHash(h Holding, hash uint64) int {
	if h.Span.Contains(hash) {
		return 0
	}
	return cmp.Compare(h.Span.From, hash)
}

// withSpan returns the holding with its span reduced to the given range.
func withSpan(h Holding, from, to uint64) Holding {
	h.Span = Span{From: from, To: to}
	return h
}

// countHotSpans returns the number of spans that contain a single hash.
func countHotSpans(holdings []Holding) int {
	n := 0
	for _, h := range holdings {
		if h.Span.From == h.Span.To {
			n++
		}
	}
	return n
}

// MergeCold returns the holdings after it has merged adjacent ones that are open at the same server and
// whose total load is at most limit, until target holdings are left. The merged holding has the highest of
// the fences, so that no fence decreases.
func MergeCold(holdings []Holding, load map[Span]float64, limit float64, target int) []Holding {
	var merged []Holding
	mergedLoad := 0.0
	for i, h := range holdings {
		spanLoad := load[h.Span]
		remaining := len(merged) + len(holdings) - i
		if n := len(merged); n > 0 && remaining > target && mergedLoad+spanLoad <= limit && canMerge(merged[n-1], h) {
			merged[n-1] = merge(merged[n-1], h)
			mergedLoad += spanLoad
			continue
		}
		merged = append(merged, h)
		mergedLoad = spanLoad
	}
	return merged
}

// canMerge reports whether both holdings are open at the same server.
func canMerge(a, b Holding) bool {
	return a.Open && b.Open && a.Owner() == b.Owner()
}

// merge returns one holding for the spans of a and of b, which follows a.
func merge(a, b Holding) Holding {
	merged := a
	if b.Fence() > a.Fence() {
		merged = b
	}
	merged.Span = Span{From: a.Span.From, To: b.Span.To}
	return merged
}

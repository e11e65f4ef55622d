package assign_test

import (
	"fmt"
	"slices"
	"sort"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// modulo returns the owner of a hash in the baseline that assigns hashes modulo the number of servers.
func modulo(hash uint64, present []assign.Server) assign.ServerID {
	return present[hash%uint64(len(present))].ID
}

// ringPoints is the number of points of each server on the ring.
const ringPoints = 160

// ring is the baseline that uses consistent hashing.
type ring struct {
	points []uint64
	owner  map[uint64]assign.ServerID
}

func newRing(present []assign.Server) *ring {
	r := &ring{owner: make(map[uint64]assign.ServerID)}
	for _, s := range present {
		for i := range ringPoints {
			p := assign.Hash(fmt.Sprintf("%s#%d", s.ID, i))
			r.points = append(r.points, p)
			r.owner[p] = s.ID
		}
	}
	slices.Sort(r.points)
	return r
}

// at returns the owner of a hash.
func (r *ring) at(hash uint64) assign.ServerID {
	i := sort.Search(len(r.points), func(i int) bool { return r.points[i] >= hash })
	return r.owner[r.points[i%len(r.points)]]
}

// sampleHashes returns the hashes of a sample of keys.
func sampleHashes() []uint64 {
	hashes := make([]uint64, 100_000)
	for i := range hashes {
		hashes[i] = assign.Hash(fmt.Sprintf("yard-%d", i))
	}
	return hashes
}

// differingShare returns the share of the sampled keys whose owners differ between two mappings.
func differingShare(a, b func(uint64) assign.ServerID) float64 {
	n := 0
	hashes := sampleHashes()
	for _, h := range hashes {
		if a(h) != b(h) {
			n++
		}
	}
	return float64(n) / float64(len(hashes))
}

// imbalance returns the number of sampled keys of the server that owns the most, divided by the mean.
func imbalance(a func(uint64) assign.ServerID, servers int) float64 {
	counts := make(map[assign.ServerID]int)
	most := 0
	hashes := sampleHashes()
	for _, h := range hashes {
		counts[a(h)]++
		most = max(most, counts[a(h)])
	}
	return float64(most) * float64(servers) / float64(len(hashes))
}

// ownerIn returns the mapping of hashes to owners that the holdings define.
func ownerIn(holdings []assign.Holding) func(uint64) assign.ServerID {
	return func(hash uint64) assign.ServerID { return holdingAt(holdings, hash).Owner() }
}

// rebalanceFully applies plans, each with a budget of 5%, until a plan has no moves.
func rebalanceFully(holdings []assign.Holding, present []assign.Server) []assign.Holding {
	for {
		plan := assign.Rebalance(holdings, present, nil, 0.05)
		holdings = applyPlan(plan)
		if len(plan.Moves) == 0 {
			return holdings
		}
	}
}

var _ = Describe("churn when one of 17 servers leaves and returns", func() {
	all := fleet(17)
	remaining := slices.Delete(slices.Clone(all), 5, 6)

	report := func(name string, before, without, back func(uint64) assign.ServerID) (float64, float64) {
		left, returned := differingShare(before, without), differingShare(without, back)
		AddReportEntry(fmt.Sprintf("%-20s moved when it leaves %.2f%%, when it returns %.2f%%; busiest over mean %.3f, %.3f, %.3f",
			name, 100*left, 100*returned, imbalance(before, 17), imbalance(without, 16), imbalance(back, 17)),
			ReportEntryVisibilityAlways)
		return left, returned
	}

	// Guards against a planner that moves more keys than hashing modulo the number of servers or consistent
	// hashing.
	It("is at most that of modulo and of consistent hashing", func() {
		const expected = 1.0 / 17
		modLeft, modBack := report("modulo",
			func(h uint64) assign.ServerID { return modulo(h, all) },
			func(h uint64) assign.ServerID { return modulo(h, remaining) },
			func(h uint64) assign.ServerID { return modulo(h, all) })
		fullRing, reducedRing := newRing(all), newRing(remaining)
		ringLeft, ringBack := report("consistent hashing", fullRing.at, reducedRing.at, fullRing.at)
		first := openHoldings(assign.Initial(all, 1))
		without := rebalanceFully(first, remaining)
		back := rebalanceFully(without, all)
		left, returned := report("spans", ownerIn(first), ownerIn(without), ownerIn(back))

		Expect(left).To(BeNumerically("~", expected, 0.005))
		Expect(left).To(BeNumerically("<", modLeft))
		Expect(returned).To(BeNumerically("<", modBack))
		Expect(left + returned).To(BeNumerically("<=", ringLeft+ringBack))
	})
})

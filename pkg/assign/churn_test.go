package assign_test

import (
	"fmt"
	"slices"
	"sort"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// modulo is the baseline that divides the hash by the number of servers.
func modulo(hash uint64, present []assign.Server) assign.ServerID {
	return present[hash%uint64(len(present))].ID
}

const ringPoints = 160

// ring is the baseline of consistent hashing with ringPoints points for each server.
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

func (r *ring) at(hash uint64) assign.ServerID {
	i := sort.Search(len(r.points), func(i int) bool { return r.points[i] >= hash })
	return r.owner[r.points[i%len(r.points)]]
}

// keys returns a sample of key hashes.
func keys() []uint64 {
	hashes := make([]uint64, 100_000)
	for i := range hashes {
		hashes[i] = assign.Hash(fmt.Sprintf("yard-%d", i))
	}
	return hashes
}

// differ returns the share of sampled keys for which two mappings differ.
func differ(a, b func(uint64) assign.ServerID) float64 {
	n := 0
	hashes := keys()
	for _, h := range hashes {
		if a(h) != b(h) {
			n++
		}
	}
	return float64(n) / float64(len(hashes))
}

// imbalance returns the keys of the busiest server over the mean of all present.
func imbalance(a func(uint64) assign.ServerID, servers int) float64 {
	counts := make(map[assign.ServerID]int)
	most := 0
	hashes := keys()
	for _, h := range hashes {
		counts[a(h)]++
		most = max(most, counts[a(h)])
	}
	return float64(most) * float64(servers) / float64(len(hashes))
}

func table(holdings []assign.Holding) func(uint64) assign.ServerID {
	return func(hash uint64) assign.ServerID { return at(holdings, hash).Owner() }
}

// rebalanced repeats plans of one churn budget each until nothing moves.
func rebalanced(holdings []assign.Holding, present []assign.Server) []assign.Holding {
	for {
		plan := assign.Rebalance(holdings, present, nil, 0.05)
		holdings = after(plan)
		if len(plan.Moves) == 0 {
			return holdings
		}
	}
}

var _ = Describe("churn when one of 17 servers leaves and returns", func() {
	all := fleet(17)
	rest := slices.Delete(slices.Clone(all), 5, 6)

	report := func(name string, before, without, back func(uint64) assign.ServerID) (float64, float64) {
		left, returned := differ(before, without), differ(without, back)
		AddReportEntry(fmt.Sprintf("%-20s moved when it leaves %.2f%%, when it returns %.2f%%; busiest over mean %.3f, %.3f, %.3f",
			name, 100*left, 100*returned, imbalance(before, 17), imbalance(without, 16), imbalance(back, 17)),
			ReportEntryVisibilityAlways)
		return left, returned
	}

	// Guards against a planner that moves more keys than the simple baselines do.
	It("is at most that of modulo and of consistent hashing", func() {
		const must = 1.0 / 17
		modLeft, modBack := report("modulo",
			func(h uint64) assign.ServerID { return modulo(h, all) },
			func(h uint64) assign.ServerID { return modulo(h, rest) },
			func(h uint64) assign.ServerID { return modulo(h, all) })
		whole, part := newRing(all), newRing(rest)
		ringLeft, ringBack := report("consistent hashing", whole.at, part.at, whole.at)
		first := open(assign.Initial(all, 1))
		without := rebalanced(first, rest)
		back := rebalanced(without, all)
		left, returned := report("spans", table(first), table(without), table(back))

		Expect(left).To(BeNumerically("~", must, 0.005))
		Expect(left).To(BeNumerically("<", modLeft))
		Expect(returned).To(BeNumerically("<", modBack))
		Expect(left + returned).To(BeNumerically("<=", ringLeft+ringBack))
	})
})

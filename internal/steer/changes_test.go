package steer

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

var _ = Describe("the change log of the server list", func() {
	// Guards against a follower whose list differs from the leader's after a delta from any earlier version.
	It("gives every follower the leader's list", func() {
		random := rand.New(rand.NewPCG(1, 1))
		c := newChangeLog()
		var list []assign.Server
		followers := make([]struct {
			list []assign.Server
			have uint64
		}, 5)
		for version := uint64(1); version <= 3000; version++ {
			var next []assign.Server
			for _, s := range list {
				switch random.IntN(12) {
				case 0:
					continue
				case 1:
					s.Draining = !s.Draining
				}
				next = append(next, s)
			}
			next = append(next, newServer(fmt.Sprintf("s-%05d", version), false))
			list = next
			c.replace(list, version)
			f := &followers[random.IntN(len(followers))]
			if !c.covers(f.have) {
				f.list, f.have = nil, 0
				changed, _ := c.since(0)
				f.list = applyChanges(nil, changed, nil)
			} else {
				changed, removed := c.since(f.have)
				f.list = applyChanges(f.list, changed, removed)
			}
			f.have = version
			Expect(f.list).To(Equal(list))
		}
		Expect(len(c.changedAt)).To(BeNumerically("<=", len(list)+maxTombstones), "the number of tombstones must be bounded")
		Expect(c.compacted).To(BeNumerically(">", 0))
	})
})

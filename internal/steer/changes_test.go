package steer

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

var _ = Describe("the changes of the list of servers", func() {
	// Guards against a follower whose list differs from the leader's, at whatever versions it asks.
	It("lead every follower to the leader's list", func() {
		random := rand.New(rand.NewPCG(1, 1))
		c := newChanges()
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
			next = append(next, named(fmt.Sprintf("s-%05d", version), false))
			list = next
			c.update(list, version)
			f := &followers[random.IntN(len(followers))]
			if !c.covers(f.have) {
				f.list, f.have = nil, 0
				changed, _ := c.since(0)
				f.list = apply(nil, changed, nil)
			} else {
				changed, removed := c.since(f.have)
				f.list = apply(f.list, changed, removed)
			}
			f.have = version
			Expect(f.list).To(Equal(list))
		}
		Expect(len(c.version)).To(BeNumerically("<=", len(list)+maxRemoved), "removed servers have to be forgotten")
		Expect(c.floor).To(BeNumerically(">", 0))
	})
})

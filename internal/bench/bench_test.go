package bench

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench")
}

var _ = Describe("Run", func() {
	// Guards against a misspelt experiment name for which nothing runs and no error is returned.
	It("refuses an unknown experiment", func() {
		err := Run(context.Background(), Options{Experiment: "no-such", Out: new(bytes.Buffer)})
		Expect(err).To(MatchError(ContainSubstring("ownerless")))
	})

	// Guards against lines of several runs that cannot be told apart in one file.
	It("prints the user, the seed and the experiment in each line", func() {
		out := new(bytes.Buffer)
		s := &session{name: "crest", options: Options{User: "khangai", Seed: 7, Out: out}}
		s.print("way=%s", "no-limits")
		Expect(out.String()).To(Equal("experiment=crest user=khangai seed=7 way=no-limits\n"))
	})
})

var _ = Describe("shape", func() {
	// Guards against a generated deployment that the settings checker refuses, or that has the wrong size.
	DescribeTable("generates a valid deployment of the given size",
		func(user string, sh shape, owned, others int) {
			sh.user = user
			files, err := sh.files()
			Expect(err).NotTo(HaveOccurred())
			plan, err := fleet.Load(files, user)
			Expect(err).NotTo(HaveOccurred())
			Expect(plan.Processes).To(HaveLen(sh.processes))
			Expect(plan.Processes[0].Peers).To(HaveLen(sh.processes))
			for _, team := range plan.Teams {
				for _, service := range team.Services {
					want := others
					if service.Exclusive {
						want = owned
					}
					if want > 0 {
						Expect(service.Servers).To(HaveLen(want))
					}
				}
			}
		},
		Entry("khangai as it is", "khangai", shape{processes: 11}, 17, 0),
		Entry("bakugaisma as it is", "bakugaisma", shape{processes: 11}, 19, 0),
		Entry("khangai, small", "khangai", shape{processes: 3, servers: 1, exclusiveServers: 4}, 4, 1),
		Entry("bakugaisma, big", "bakugaisma", shape{processes: 33, servers: 2, exclusiveServers: 64}, 64, 2),
	)
})

var _ = Describe("prober", func() {
	at := time.Unix(1000, 0)
	newProber := func() *prober {
		p := &prober{refused: make(map[string]int)}
		p.markLoss(at)
		return p
	}

	// Guards against an interruption that is missed because it starts after the first call that ran again.
	It("reports the longest time between calls that ran", func() {
		p := newProber()
		for _, ms := range []int{10, 20, 700, 710} {
			p.updateLongest(at.Add(time.Duration(ms) * time.Millisecond))
		}
		longest, _ := p.finish(at.Add(720 * time.Millisecond))
		Expect(longest).To(Equal(680 * time.Millisecond))
	})

	// Guards against counting a call that started before the loss as a recovery.
	It("counts only calls that started after the loss as served again", func() {
		p := newProber()
		p.answered(at.Add(-time.Millisecond), caller.Answer{Outcome: caller.Ran}, nil)
		Expect(p.servedAgain()).To(BeFalse())
		p.answered(at.Add(time.Millisecond), caller.Answer{Outcome: caller.Ran}, nil)
		Expect(p.servedAgain()).To(BeTrue())
	})

	// Guards against omitting an outage that lasts until the end of the observation.
	It("counts the time up to the end of the observation", func() {
		longest, served := newProber().finish(at.Add(3 * time.Second))
		Expect(longest).To(Equal(3 * time.Second))
		Expect(served).To(BeFalse())
	})
})

var _ = Describe("placers", func() {
	// Guards against a baseline that is implemented wrongly and so looks better or worse than it is.
	It("move the shares of keys that their definitions imply", func() {
		s := &session{options: Options{Seed: 1}}
		servers := newChurnServers()
		hashes := s.keyHashes()[:20_000]
		without := servers[:churnServers-1]
		Expect(moved(hashes, modulo(servers), modulo(without))).To(BeNumerically(">", 0.9))
		Expect(moved(hashes, newRing(servers), newRing(without))).To(BeNumerically("~", 1.0/churnServers, 0.03))
		before := newSpanTable(servers)
		after := before.apply(assign.Repair(before.holdings(), without))
		for _, hash := range hashes {
			if before.owner(hash) != servers[churnServers-1].ID {
				Expect(after.owner(hash)).To(Equal(before.owner(hash)))
			}
		}
	})

	// Guards against leaving servers without load out of the mean.
	It("count idle servers in the mean", func() {
		Expect(busiestOverMean(map[assign.ServerID]float64{"a": 2, "b": 1, "c": 1}, 4)).To(Equal(2.0))
	})
})

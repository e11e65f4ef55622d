package steer

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a process without a leader", func() {
	address := netip.MustParseAddrPort
	self, first, second, none := address("10.0.0.1:1"), address("10.0.0.2:1"), address("10.0.0.3:1"), netip.AddrPort{}

	// A process that the store refuses cannot read who leads. It stayed without news for as long as the
	// store refused it, after the leader that it followed had ceded the lead.
	DescribeTable("asks the leader that it was told of, else another follower",
		func(leader netip.AddrPort, peers []netip.AddrPort, expected netip.AddrPort) {
			Expect(nextTarget(first, self, leader, peers)).To(Equal(expected))
		},
		Entry("told of a leader", second, []netip.AddrPort{address("10.0.0.4:1")}, second),
		Entry("told of itself", self, []netip.AddrPort{second}, second),
		Entry("told of the process that it asked", first, []netip.AddrPort{second}, second),
		Entry("no answer", none, []netip.AddrPort{self, first, second}, second),
		Entry("no other process known", none, []netip.AddrPort{self, first}, first),
		Entry("nothing known", none, nil, first),
	)

	It("is told by a follower whom that one follows", func() {
		c, clk := newFollower()
		c.followed(clk.Now(), followed{sent: clk.Now(), from: second, answer: Answer{Leads: true}})
		q := asked{ask: Ask{From: first}, answer: make(chan Answer, 1), since: clk.Now()}
		c.asked(clk.Now(), q)
		Expect(<-q.answer).To(Equal(Answer{Leader: second}))
	})
})

var _ = Describe("a leader's answer", func() {
	var (
		c   *Control
		now time.Time
	)
	strong, weak := netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	BeforeEach(func() {
		var manual interface{ Now() time.Time }
		c, manual = newFollower()
		now = manual.Now()
		c.leads = true
		c.followers[strong] = followerState{called: now, power: 0.8}
		c.followers[weak] = followerState{called: now, power: 0.2}
	})

	It("names other followers to one that knows none", func() {
		Expect(c.answer(now, asked{ask: Ask{From: weak}, since: now}).Peers).To(Equal([]netip.AddrPort{strong}))
		Expect(c.answer(now, asked{ask: Ask{From: weak, Peers: 1}, since: now}).Peers).To(BeEmpty())
	})

	// A VM too weak for the work took the lead of 75 processes over and lost it again, twice.
	It("ranks followers by the power of their VMs while it has no store", func() {
		c.failing = now.Add(-cedeAfter)
		Expect(c.answer(now, asked{ask: Ask{From: strong, Power: 0.8}, since: now}).Rank).To(Equal(1))
		Expect(c.answer(now, asked{ask: Ask{From: weak, Power: 0.2}, since: now}).Rank).To(Equal(2))
	})
})

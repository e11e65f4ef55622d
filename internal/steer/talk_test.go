package steer

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a process without a leader", func() {
	parse := netip.MustParseAddrPort
	self, first, second, none := parse("10.0.0.1:1"), parse("10.0.0.2:1"), parse("10.0.0.3:1"), netip.AddrPort{}

	// A process that cannot reach the store cannot read who leads. After its leader had transferred leadership,
	// such a process got no updates until it could reach the store again.
	DescribeTable("calls the leader that was named, otherwise another follower",
		func(leader netip.AddrPort, peers []netip.AddrPort, expected netip.AddrPort) {
			Expect(nextTarget(first, self, leader, peers)).To(Equal(expected))
		},
		Entry("another leader is named", second, []netip.AddrPort{parse("10.0.0.4:1")}, second),
		Entry("the process itself is named", self, []netip.AddrPort{second}, second),
		Entry("the called process is named", first, []netip.AddrPort{second}, second),
		Entry("no answer", none, []netip.AddrPort{self, first, second}, second),
		Entry("no other process is known", none, []netip.AddrPort{self, first}, first),
		Entry("no process is known", none, nil, first),
	)

	It("gets the leader's address from a follower", func() {
		c, clk := newTestControl()
		c.handleFollowResult(clk.Now(), followResult{sent: clk.Now(), from: second, answer: Answer{Leads: true}})
		r := followRequest{ask: Ask{From: first}, answer: make(chan Answer, 1), received: clk.Now()}
		c.handleFollowRequest(clk.Now(), r)
		Expect(<-r.answer).To(Equal(Answer{Leader: second}))
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
		c, manual = newTestControl()
		now = manual.Now()
		c.leads = true
		c.followers[strong] = followerState{lastCall: now, power: 0.8}
		c.followers[weak] = followerState{lastCall: now, power: 0.2}
	})

	It("names other followers to a follower that knows too few", func() {
		Expect(c.answer(now, followRequest{ask: Ask{From: weak}, received: now}).Peers).To(Equal([]netip.AddrPort{strong}))
		Expect(c.answer(now, followRequest{ask: Ask{From: weak, Peers: 1}, received: now}).Peers).To(BeEmpty())
	})

	// Without ranks, a VM too weak for the work of a leader of 75 processes took leadership and lost it again,
	// twice.
	It("ranks followers by the CPU power of their VMs while the leader cannot reach the store", func() {
		c.failingSince = now.Add(-transferAfter)
		Expect(c.answer(now, followRequest{ask: Ask{From: strong, Power: 0.8}, received: now}).Rank).To(Equal(1))
		Expect(c.answer(now, followRequest{ask: Ask{From: weak, Power: 0.2}, received: now}).Rank).To(Equal(2))
	})
})

var _ = Describe("the listener for calls of followers", func() {
	// Guards against one malformed message that takes the whole process down, or ends the service for all others.
	It("serves calls after bytes that are no calls", func() {
		c, _ := newTestControl()
		c.options.Address = netip.MustParseAddrPort("127.0.0.1:0")
		server, err := listen(c)
		Expect(err).NotTo(HaveOccurred())
		defer server.listener.Close()
		address := netip.MustParseAddrPort(server.listener.Addr().String())
		random := rand.New(rand.NewPCG(1, 1))
		for range 50 {
			conn, err := net.Dial("tcp", address.String())
			Expect(err).NotTo(HaveOccurred())
			garbage := make([]byte, 1+random.IntN(200))
			for i := range garbage {
				garbage[i] = byte(random.Uint32())
			}
			_, err = conn.Write(garbage)
			Expect(err).NotTo(HaveOccurred())
			conn.Close()
		}
		client, err := dial(address)
		Expect(err).NotTo(HaveOccurred())
		defer closeClient(client)
		var answer Answer
		call := client.Go(rpcMethod, Ask{}, &answer, make(chan *rpc.Call, 1))
		request, ok := (<-c.events).(followRequest)
		Expect(ok).To(BeTrue())
		request.answer <- Answer{Leads: true}
		Expect((<-call.Done).Error).NotTo(HaveOccurred())
		Expect(answer.Leads).To(BeTrue())
	})
})

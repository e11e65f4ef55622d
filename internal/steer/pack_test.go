package steer

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

var _ = Describe("packed news", func() {
	address := netip.MustParseAddrPort("10.2.64.94:8187")
	server := assign.Server{
		ID: "i-1", Service: "yards", Address: address, FailureDomain: "darkhan", Draining: true, Slots: 6,
		WarmUp: 1500 * time.Millisecond, Born: 1781633815803,
	}
	row := shard.Row{
		Range: shard.Range{First: 0, Last: shard.LastKey}, Fence: 1 << 40, Open: true,
		Owner: shard.Holder{Server: "i-1", Born: server.Born, Address: address},
	}

	// A field that gets lost on the way lets followers send keys to a server that does not own them, or
	// requests to one that is leaving.
	DescribeTable("arrive as they were sent",
		func(n news) {
			packed, err := newPacker().packNews(n)
			Expect(err).NotTo(HaveOccurred())
			Expect(unpackNews(packed)).To(Equal(n))
		},
		Entry("nothing", news{}),
		Entry("a server without an address", news{Servers: []assign.Server{{ID: "i-2", Service: "yards"}}}),
		Entry("all fields", news{
			Whole: true, Listed: true, Servers: []assign.Server{server}, Removed: []assign.ServerID{"i-3"},
			Rows: map[assign.ServiceID][]shard.Row{"yards": {row}},
		}),
		Entry("a row with earlier owners", news{Rows: map[assign.ServiceID][]shard.Row{
			"yards": {{Range: row.Range, Owner: row.Owner, Prior: []shard.Holder{row.Owner, {Server: "i-4"}}}},
		}}),
	)

	It("are an error where they are cut", func() {
		packed, err := newPacker().packNews(news{Whole: true, Servers: []assign.Server{server}})
		Expect(err).NotTo(HaveOccurred())
		_, err = unpackNews(packed[:len(packed)/2])
		Expect(err).To(HaveOccurred())
	})

	It("are packed anew for each state of the leader, and once for followers with the same versions", func() {
		c, _ := newFollower()
		c.leads = true
		c.published = Versions{Run: "a", Servers: 1}
		c.changes.update([]assign.Server{server}, 1)
		first := c.newsSince(Versions{})
		Expect(&c.newsSince(Versions{})[0]).To(BeIdenticalTo(&first[0]))
		c.published.Servers = 2
		c.changes.update([]assign.Server{server, {ID: "i-2"}}, 2)
		n, err := unpackNews(c.newsSince(Versions{Run: "a", Servers: 1}))
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Servers).To(Equal([]assign.Server{{ID: "i-2"}}))
		Expect(c.newsSince(c.published)).To(BeEmpty())
	})
})

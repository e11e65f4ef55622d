package steer

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

var _ = Describe("packed updates", func() {
	address := netip.MustParseAddrPort("10.2.64.94:8187")
	server := assign.Server{
		ID: "i-1", Service: "yards", Address: address, FailureDomain: "darkhan", Draining: true, Slots: 6,
		WarmUp: 1500 * time.Millisecond, Born: 1781633815803,
	}
	row := shard.Row{
		Range: shard.Range{First: 0, Last: shard.LastKey}, Fence: 1 << 40, Open: true,
		Owner: shard.Holder{Server: "i-1", Born: server.Born, Address: address},
	}

	// If a field is lost in the encoding, followers send keys to a server that does not own them, or requests
	// to a server that is leaving.
	DescribeTable("are unpacked to what was packed",
		func(u update) {
			packed, err := newPacker().packUpdate(u)
			Expect(err).NotTo(HaveOccurred())
			Expect(unpackUpdate(packed)).To(Equal(u))
		},
		Entry("nothing", update{}),
		Entry("a server without an address", update{Servers: []assign.Server{{ID: "i-2", Service: "yards"}}}),
		Entry("all fields", update{
			Whole: true, Listed: true, Servers: []assign.Server{server}, Removed: []assign.ServerID{"i-3"},
			Rows: map[assign.ServiceID][]shard.Row{"yards": {row}},
		}),
		Entry("a row with earlier owners", update{Rows: map[assign.ServiceID][]shard.Row{
			"yards": {{Range: row.Range, Owner: row.Owner, Prior: []shard.Holder{row.Owner, {Server: "i-4"}}}},
		}}),
	)

	It("give an error if they are truncated", func() {
		packed, err := newPacker().packUpdate(update{Whole: true, Servers: []assign.Server{server}})
		Expect(err).NotTo(HaveOccurred())
		_, err = unpackUpdate(packed[:len(packed)/2])
		Expect(err).To(HaveOccurred())
	})

	It("are packed once for followers with the same versions, and anew after each change at the leader", func() {
		c, _ := newTestControl()
		c.leads = true
		c.published = Versions{Run: "a", Servers: 1}
		c.changeLog.replace([]assign.Server{server}, 1)
		first := c.updateSince(Versions{})
		Expect(&c.updateSince(Versions{})[0]).To(BeIdenticalTo(&first[0]))
		c.published.Servers = 2
		c.changeLog.replace([]assign.Server{server, {ID: "i-2"}}, 2)
		u, err := unpackUpdate(c.updateSince(Versions{Run: "a", Servers: 1}))
		Expect(err).NotTo(HaveOccurred())
		Expect(u.Servers).To(Equal([]assign.Server{{ID: "i-2"}}))
		Expect(c.updateSince(c.published)).To(BeEmpty())
	})
})

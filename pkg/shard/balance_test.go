package shard_test

import (
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// calm plays a decider whose orders and writes all succeed at once.
type calm struct {
	decider *shard.Decider
	now     time.Time
	// mute is a server that answers no orders.
	mute assign.ServerID
}

// newCalm returns a decider of ten servers, each of which owns a tenth of the keys.
func newCalm() *calm {
	c := &calm{
		decider: shard.NewDecider(shard.Config{Hold: 4 * time.Second, LongestHold: 10 * time.Second}),
		now:     time.Unix(1000, 0),
	}
	var servers []assign.Server
	table := shard.Table{NextFence: 11}
	for i := range 10 {
		s := assign.Server{
			ID: assign.ServerID(fmt.Sprintf("s-%d", i)), Service: simService, Slots: 6,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}
		servers = append(servers, s)
		last := uint16(i*6553 + 6552)
		if i == 9 {
			last = shard.LastKey
		}
		table.Rows = append(table.Rows, shard.Row{
			Range: shard.Range{First: uint16(i * 6553), Last: last}, Owner: shard.HolderOf(s), Fence: lease.Fence(i + 1), Open: true,
		})
	}
	c.step(shard.Started{Tables: map[assign.ServiceID]shard.Table{simService: table}})
	c.step(shard.Listed{Services: map[assign.ServiceID][]assign.Server{simService: servers}})
	return c
}

func (c *calm) step(e shard.Event) {
	for _, a := range c.decider.Step(c.now, e) {
		switch a := a.(type) {
		case shard.Write:
			c.step(shard.Stored{Write: a.Number})
		case shard.Grant:
			outcome := shard.Done
			if a.Owner.Server == c.mute {
				outcome = shard.Lost
			}
			c.step(shard.Granted{Grant: a, Outcome: outcome})
		case shard.Release:
			c.step(shard.Released{Release: a, Outcome: shard.Done})
		}
	}
}

// play lets time pass, with the keys requested ten times a second each.
func (c *calm) play(d time.Duration, keys []uint16) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(100 * time.Millisecond) {
		c.step(shard.KeysRequested{Service: simService, Keys: keys})
		c.step(shard.Tick{})
	}
}

func (c *calm) owner(key uint16) assign.ServerID {
	r, ok := c.decider.View()[simService].Lookup(key)
	Expect(ok).To(BeTrue())
	return r.Owner.Server
}

var _ = Describe("the balance of keys", func() {
	// One key alone was so busy that its server was the busiest, whatever moved. No other server was
	// relieved as long as that lasted.
	It("relieves other servers while the load of a single key cannot be divided", func() {
		c := newCalm()
		var keys []uint16
		for range 20 {
			keys = append(keys, 100)
		}
		spread := []uint16{6553 + 10, 6553 + 20, 6553 + 30, 6553 + 40, 6553 + 50, 6553 + 60}
		c.play(4*time.Second, append(keys, spread...))
		// The mean load is 26 requests a second, so that no server but the first may have over 1.3 times that.
		load := map[assign.ServerID]int{}
		for _, k := range spread {
			load[c.owner(k)] += 10
		}
		for id, l := range load {
			Expect(l).To(BeNumerically("<=", 33), string(id))
		}
	})

	// The owner of one very busy key had a full queue for as long as that lasted: what it ran was late.
	It("tells which part of the requests for a key is more than its owner can run", func() {
		c := newCalm()
		ran := shard.Work{Requests: 100, Time: 30 * time.Second}
		c.step(shard.WorkDone{Service: simService, Work: map[assign.ServerID]shard.Work{"s-0": ran, "s-1": ran}})
		// 6 slots and 0.3 s a request: 20 requests a second can run.
		c.play(3*time.Second, []uint16{100, 100, 100, 100, 7000})
		rows := c.decider.View()[simService]
		busy, _ := rows.Lookup(100)
		Expect(float64(busy.Shed) / shard.ShedSteps).To(BeNumerically("~", 0.5, 1.0/shard.ShedSteps))
		idle, _ := rows.Lookup(7000)
		Expect(idle.Shed).To(BeZero())

		// The queue makes the time of each request longer, which says nothing of what the server can run.
		c.step(shard.WorkDone{Service: simService, Work: map[assign.ServerID]shard.Work{"s-0": {Requests: 100, Time: 300 * time.Second}}})
		c.play(200*time.Millisecond, []uint16{100, 100, 100, 100, 7000})
		again, _ := c.decider.View()[simService].Lookup(100)
		Expect(again.Shed).To(Equal(busy.Shed))

		c.play(5*time.Second, []uint16{7000})
		calm, _ := c.decider.View()[simService].Lookup(100)
		Expect(calm.Shed).To(BeZero())
	})
})

var _ = Describe("an owner that answers no orders", func() {
	var c *calm
	// play lets time pass, in which the server runs requests or not.
	play := func(d time.Duration, runs bool) {
		for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(100 * time.Millisecond) {
			if runs {
				work := map[assign.ServerID]shard.Work{"s-3": {Requests: 1, Time: 100 * time.Millisecond}}
				c.step(shard.WorkDone{Service: simService, Work: work})
			}
			c.step(shard.Tick{})
		}
	}
	BeforeEach(func() {
		c = newCalm()
		c.mute = "s-3"
	})

	// A server with a full queue resets connections, those for orders among them. It lost its keys after 1 s
	// without an answer, and nobody served them for 4 s more.
	It("keeps its keys while it runs requests", func() {
		play(3*time.Second, true)
		Expect(c.owner(3 * 6553)).To(BeEquivalentTo("s-3"))
		c.mute = ""
		play(4*time.Second, true)
		Expect(c.owner(3 * 6553)).To(BeEquivalentTo("s-3"))
	})

	It("is replaced where it runs none", func() {
		play(4*time.Second, false)
		Expect(c.owner(3 * 6553)).NotTo(BeEquivalentTo("s-3"))
	})
})

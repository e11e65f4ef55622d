package steer

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/internal/view"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/leader"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

func TestSteer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "steer")
}

// newFollower returns a Control without goroutines and its clock.
func newFollower() (*Control, *clock.Manual) {
	manual := clock.NewManual(time.Unix(1000, 0))
	return newControl(Options{
		Name:        "entry-1",
		Address:     netip.MustParseAddrPort("127.0.0.1:7620"),
		Board:       view.NewPublisher(),
		LongestHold: 10 * time.Second,
		Heartbeat:   time.Second,
		Clock:       manual,
		Log:         zerolog.New(io.Discard),
	}), manual
}

func named(id string, draining bool) assign.Server {
	return assign.Server{ID: assign.ServerID(id), Service: "yards", Draining: draining}
}

// deaf is a store that answers nothing.
type deaf struct{ store.Objects }

func (deaf) Get(context.Context, string) (store.Object, error) {
	return store.Object{}, store.NewError(store.Down, store.Get, "", nil)
}

func (deaf) Put(context.Context, string, []byte, uint64) (uint64, error) {
	return 0, store.NewError(store.Down, store.Put, "", nil)
}

func (deaf) List(context.Context, string) ([]store.Object, uint64, error) {
	return nil, 0, store.NewError(store.Down, store.List, "", nil)
}

func (deaf) Watch(context.Context, string, uint64) ([]store.Change, uint64, error) {
	return nil, 0, store.NewError(store.Down, store.Watch, "", nil)
}

var _ = Describe("a leader", func() {
	// A process that led, followed another one and led again counted its versions anew under the same
	// name. A follower that had been cut off meanwhile missed every change up to the number it knew:
	// a server got requests 12 s after it had said that it leaves.
	It("names its versions anew each time it takes the lead", func() {
		c, clk := newFollower()
		c.options.Objects = deaf{}
		missing := recordRead{err: store.NewError(store.NotFound, store.Get, recordObject, nil)}
		c.recordRead(clk.Now(), missing)
		clk.Advance(2 * time.Second)
		c.recordRead(clk.Now(), missing)
		c.recordWritten(clk.Now(), recordWritten{record: leader.Record{Sequence: 1}, version: 5})
		Expect(c.leads).To(BeTrue())
		c.publish()
		first := c.published.Run

		clk.Advance(2 * leaseTime)
		c.advance(clk.Now(), leader.Tick{})
		Expect(c.leads).To(BeFalse())
		value, err := record{Leader: leader.Record{Term: 1, Holder: "entry-1", Run: "an earlier run"}}.value()
		Expect(err).NotTo(HaveOccurred())
		c.recordRead(clk.Now(), recordRead{object: store.Object{Version: 6, Value: value}})
		c.recordWritten(clk.Now(), recordWritten{record: leader.Record{Sequence: 2}, version: 7})
		Expect(c.leads).To(BeTrue())
		c.publish()
		Expect(c.published.Run).NotTo(Equal(first))
	})
})

var _ = Describe("a follower", func() {
	var (
		c     *Control
		clk   *clock.Manual
		begun time.Time
	)
	BeforeEach(func() {
		c, clk = newFollower()
		clk.Advance(10 * time.Second)
		begun = clk.Now()
		c.followed(begun, followed{
			sent:   begun,
			answer: Answer{Leads: true, Have: Versions{Run: "a", Servers: 1}},
			news:   news{Whole: true, Listed: true, Servers: []assign.Server{named("s-1", false), named("s-2", false)}},
		})
	})

	// A change that comes with a call whose way to the leader was slow seems older than the list
	// before it. It was dropped, and the server got requests 12 s after it had said that it leaves.
	It("takes over a change that a slow call brings", func() {
		late := begun.Add(time.Second)
		c.followed(late, followed{
			sent:   begun.Add(-time.Millisecond),
			answer: Answer{Leads: true, Have: Versions{Run: "a", Servers: 2}},
			news:   news{Listed: true, Servers: []assign.Server{named("s-2", true)}},
		})
		Expect(c.list.directory.Servers()).To(Equal([]assign.Server{named("s-1", false), named("s-2", true)}))
	})

	// A list that the process read itself is not replaced by an older one of the leader.
	It("keeps its own list until the leader's is newer, and then asks for all of it", func() {
		own := begun.Add(2 * time.Second)
		c.list.confirmed, c.ownList = own, true
		c.list.directory.Replace([]assign.Server{named("s-1", true)})
		c.followed(own, followed{
			sent:   own,
			answer: Answer{Leads: true, Have: Versions{Run: "a", Servers: 2}, ServersAge: time.Second},
			news:   news{Listed: true, Servers: []assign.Server{named("s-2", true)}},
		})
		Expect(c.list.directory.Servers()).To(Equal([]assign.Server{named("s-1", true)}))

		c.followed(own.Add(time.Second), followed{
			sent:   own.Add(time.Second),
			answer: Answer{Leads: true, Have: Versions{Run: "a", Servers: 3}},
			news:   news{Listed: true, Servers: []assign.Server{named("s-3", false)}},
		})
		Expect(*c.known.Load()).To(Equal(Versions{}))
	})

	// The time of the leader's reading is computed from the times of a call, whose way varies. After a
	// change on top of its own list, a follower dropped the whole list that it then asked for, in turn
	// and again, and kept a server that had gone for 12 s.
	It("takes over the whole list that it asked for, though the call took less time than the one before", func() {
		own := begun.Add(2 * time.Second)
		c.list.confirmed, c.ownList = own, true
		c.list.directory.Replace([]assign.Server{named("s-1", false), named("s-gone", false)})
		next := own.Add(700 * time.Millisecond)
		c.followed(next, followed{
			sent:   next,
			answer: Answer{Leads: true, Have: Versions{Run: "a", Servers: 8}},
			news:   news{Listed: true, Servers: []assign.Server{named("s-2", false)}},
		})
		Expect(*c.known.Load()).To(Equal(Versions{}))
		c.followed(next, followed{
			sent:   next.Add(-time.Millisecond),
			answer: Answer{Leads: true, Have: Versions{Run: "a", Servers: 8}},
			news:   news{Whole: true, Listed: true, Servers: []assign.Server{named("s-1", false), named("s-2", false)}},
		})
		Expect(c.list.directory.Servers()).To(Equal([]assign.Server{named("s-1", false), named("s-2", false)}))
	})

	// A process that has just started knows no server at all, so that an old list is better than none.
	It("takes over any list where it knows none", func() {
		c, clk = newFollower()
		now := clk.Now()
		c.followed(now, followed{
			sent:   now,
			answer: Answer{Leads: true, Have: Versions{Run: "a", Servers: 1}, ServersAge: 5 * time.Second},
			news:   news{Whole: true, Listed: true, Servers: []assign.Server{named("s-1", false)}},
		})
		Expect(c.list.directory.Servers()).To(Equal([]assign.Server{named("s-1", false)}))
	})

	// Servers whose entries lapsed while the store was away were taken for gone where only the record had
	// been read meanwhile.
	It("keeps servers whose entries are missing when the store is back", func() {
		down := store.NewError(store.Down, store.Get, recordObject, nil)
		now := begun.Add(3 * time.Second)
		c.recordRead(now, recordRead{err: down})
		Expect(c.probing(now)).To(BeTrue())
		now = now.Add(2 * time.Second)
		c.recordRead(now, recordRead{err: store.NewError(store.NotFound, store.Get, recordObject, nil)})
		Expect(c.probing(now)).To(BeFalse())
		c.options.Formats.Server = func(o store.Object) (assign.Server, error) {
			s := named(o.Name, false)
			s.Address = netip.MustParseAddrPort("10.0.0.1:80")
			return s, nil
		}
		c.serversRead(now, serversRead{sent: now, objects: []store.Object{{Name: "s-1"}}})
		Expect(c.list.directory.Servers()).To(HaveLen(2))
	})

	// The store refused one process, which then took the lead and kept a server for 2.4 s that had gone:
	// requests reached it after its time to leave.
	It("drops servers whose entries are missing where the leader reached the store all the while", func() {
		now := begun.Add(500 * time.Millisecond)
		c.serversRead(now, serversRead{sent: now, err: store.NewError(store.Down, store.List, "servers/", nil)})
		now = begun.Add(2 * time.Second)
		c.followed(now, followed{
			sent:   now,
			answer: Answer{Leads: true, Have: Versions{Run: "a", Servers: 1}, ServersAge: 600 * time.Millisecond},
		})
		c.options.Formats.Server = func(o store.Object) (assign.Server, error) {
			s := named(o.Name, false)
			s.Address = netip.MustParseAddrPort("10.0.0.1:80")
			return s, nil
		}
		now = now.Add(300 * time.Millisecond)
		c.serversRead(now, serversRead{sent: now, objects: []store.Object{{Name: "s-1"}}})
		Expect(c.list.directory.Servers()).To(HaveLen(1))
	})

	// A new process got the list of servers with versions that it had seen before, without the list, and
	// published no view of it. It refused every request until something changed at the leader.
	It("publishes what it takes over, also where the leader's versions are the same", func() {
		have := Versions{Run: "a", Servers: 1, Config: 1, Tables: 1}
		all := news{Whole: true, Listed: true, Servers: []assign.Server{named("s-1", true)}}
		now := clk.Now()
		c.list.confirmed = now
		c.followed(now, followed{sent: now, answer: Answer{Leads: true, Have: have, ServersAge: 5 * time.Second}, news: all})
		c.publish()
		Expect(c.options.Board.Load().Services["yards"]).To(HaveLen(2))
		for range 2 {
			now = now.Add(time.Second)
			c.followed(now, followed{sent: now, answer: Answer{Leads: true, Have: have}, news: all})
			c.publish()
		}
		Expect(c.options.Board.Load().Services["yards"]).To(Equal([]assign.Server{named("s-1", true)}))
	})

	// A leader that has just taken over may know less than its predecessor told.
	It("does not take over an older list from another leader", func() {
		c.list.directory.Replace([]assign.Server{named("s-1", true), named("s-2", false)})
		next := begun.Add(300 * time.Millisecond)
		c.followed(next, followed{
			sent:   next,
			answer: Answer{Leads: true, Have: Versions{Run: "b", Servers: 7}, ServersAge: time.Second},
			news:   news{Whole: true, Listed: true, Servers: []assign.Server{named("s-1", false), named("s-2", false)}},
		})
		Expect(c.list.directory.Servers()).To(Equal([]assign.Server{named("s-1", true), named("s-2", false)}))

		later := begun.Add(time.Second)
		c.followed(later, followed{
			sent:   later,
			answer: Answer{Leads: true, Have: Versions{Run: "b", Servers: 7}},
			news:   news{Listed: true},
		})
		Expect(*c.known.Load()).To(Equal(Versions{}))
	})
})

var _ = Describe("a leader whose lease has lapsed", func() {
	// The answer to a write that came after the lease had lapsed gave the lead back, and the process went
	// on from the tables that it had read at the start of its first term: there were none, so it gave all
	// keys new owners with low fences.
	It("goes on from the tables that it wrote last", func() {
		c, clk := newFollower()
		c.options.Objects = deaf{}
		missing := recordRead{err: store.NewError(store.NotFound, store.Get, recordObject, nil)}
		c.recordRead(clk.Now(), missing)
		clk.Advance(2 * time.Second)
		c.recordRead(clk.Now(), missing)
		c.recordWritten(clk.Now(), recordWritten{record: leader.Record{Sequence: 1}, version: 5})
		Expect(c.leads).To(BeTrue())

		clk.Advance(leaseTime - 100*time.Millisecond)
		c.advance(clk.Now(), leader.Tick{})
		clk.Advance(300 * time.Millisecond)
		c.advance(clk.Now(), leader.Tick{})
		Expect(c.leads).To(BeFalse())
		written := map[assign.ServiceID]shard.Table{"yards": {NextFence: 8, Rows: []shard.Row{{Fence: 7, Open: true}}}}
		c.recordWritten(clk.Now(), recordWritten{record: leader.Record{Sequence: 2}, services: written, version: 6})
		Expect(c.leads).To(BeTrue())
		tables, _ := c.decider.Tables()
		Expect(tables["yards"].NextFence).To(BeNumerically("==", 8))
		Expect(tables["yards"].Rows).To(HaveLen(1))
	})
})

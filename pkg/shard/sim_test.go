package shard_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

func TestShard(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shard")
}

const (
	simService = assign.ServiceID("yards")
	// simStep is the resolution of simulated time.
	simStep = 20 * time.Millisecond
	// simProbes are the keys that are checked, spread over the space.
	simProbes = 64
	// slowClock is the rate error of a server's clock that the platform allows.
	slowClock = 1.02
)

// fakeServer is one run of a server that takes grants.
type fakeServer struct {
	listed assign.Server
	// held has, for each probe, the fence and the end of the hold.
	held [simProbes]struct {
		fence lease.Fence
		until time.Time
	}
	seen [simProbes]lease.Fence
	// work is the end of the longest work on each probe.
	work  [simProbes]time.Time
	alive bool
	// cut servers get no orders and send no answers.
	cut bool
}

// delivery is a message on its way.
type delivery struct {
	at  time.Time
	run func(now time.Time)
}

// sim plays one decider at a time with servers, a store and a network.
type sim struct {
	random   *rand.Rand
	now      time.Time
	servers  []*fakeServer
	decider  *shard.Decider
	term     int
	stored   map[assign.ServiceID]shard.Table
	storeOK  bool
	queue    []delivery
	names    int
	highest  [simProbes]lease.Fence
	holder   [simProbes]string
	failures []string
	moves    int
}

func newSim(seed uint64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), storeOK: true}
	for range 6 {
		s.addServer()
	}
	s.begin()
	return s
}

func probe(i int) uint16 { return uint16(i * (shard.LastKey + 1) / simProbes) }

func (s *sim) addServer() {
	s.names++
	s.servers = append(s.servers, &fakeServer{alive: true, listed: assign.Server{
		ID: assign.ServerID(fmt.Sprintf("s-%d", s.names)), Service: simService, Slots: 6, Born: s.now.UnixMilli(),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(s.names >> 8), byte(s.names)}), 80),
	}})
}

// begin starts another decider from the stored tables, as another process does.
func (s *sim) begin() {
	s.term++
	s.decider = shard.NewDecider(shard.Config{Hold: 4 * time.Second, LongestHold: 10 * time.Second})
	s.step(shard.Started{Tables: s.stored})
	s.list()
}

func (s *sim) list() {
	var listed []assign.Server
	for _, v := range s.servers {
		if v.alive && !v.cut {
			listed = append(listed, v.listed)
		}
	}
	s.step(shard.Listed{Services: map[assign.ServiceID][]assign.Server{simService: listed}})
}

func (s *sim) after(d time.Duration, run func(now time.Time)) {
	s.queue = append(s.queue, delivery{at: s.now.Add(d), run: run})
}

func (s *sim) delay() time.Duration { return time.Duration(s.random.IntN(30)) * time.Millisecond }

func (s *sim) step(e shard.Event) {
	term, decider := s.term, s.decider
	for _, a := range decider.Step(s.now, e) {
		switch a := a.(type) {
		case shard.Write:
			s.write(term, decider)
		case shard.Grant:
			s.grant(term, a)
		case shard.Release:
			s.moves++
			s.release(term, a)
		}
	}
}

// report steps the decider that gave an order, if it still decides.
func (s *sim) report(term int, e shard.Event) {
	if term == s.term {
		s.step(e)
	}
}

func (s *sim) write(term int, decider *shard.Decider) {
	s.after(s.delay(), func(time.Time) {
		if term != s.term || !s.storeOK {
			return
		}
		tables, number := decider.Tables()
		s.stored = tables
		if s.random.IntN(10) > 0 {
			s.report(term, shard.Stored{Write: number})
		}
	})
}

func (s *sim) find(h shard.Holder) *fakeServer {
	i := slices.IndexFunc(s.servers, func(v *fakeServer) bool { return v.listed.ID == h.Server })
	if i < 0 {
		return nil
	}
	return s.servers[i]
}

func (s *sim) grant(term int, g shard.Grant) {
	v := s.find(g.Owner)
	lost := v == nil || v.cut || s.random.IntN(20) == 0
	refused := v != nil && !v.cut && (!v.alive || v.listed.Born != g.Owner.Born)
	arrives := s.now.Add(s.delay())
	late := time.Duration(0)
	if lost {
		// The server may carry the order out later, with its time counted from the arrival.
		late = time.Duration(s.random.IntN(6)) * time.Second
		s.after(shard.OrderTimeout, func(time.Time) { s.report(term, shard.Granted{Grant: g, Outcome: shard.Lost}) })
		if v == nil || v.cut || !v.alive {
			return
		}
	}
	s.after(arrives.Add(late).Sub(s.now), func(now time.Time) {
		if refused {
			s.report(term, shard.Granted{Grant: g, Outcome: shard.Ended})
			return
		}
		if !v.alive || v.listed.Born != g.Owner.Born {
			return
		}
		outcome := s.apply(now, v, g, arrives)
		if !lost {
			s.report(term, shard.Granted{Grant: g, Outcome: outcome})
		}
	})
}

func (s *sim) apply(now time.Time, v *fakeServer, g shard.Grant, arrived time.Time) shard.Outcome {
	for i := range simProbes {
		if g.Range.Contains(probe(i)) && v.seen[i] > g.Fence {
			return shard.Fenced
		}
	}
	for i := range simProbes {
		if !g.Range.Contains(probe(i)) {
			continue
		}
		until := arrived.Add(time.Duration(float64(g.Hold) * slowClock))
		if v.held[i].fence == g.Fence && v.held[i].until.After(until) {
			until = v.held[i].until
		}
		v.seen[i] = g.Fence
		v.held[i].fence, v.held[i].until = g.Fence, until
		if now.Before(until) {
			s.took(i, v, g.Fence)
		}
	}
	return shard.Done
}

// took checks the fence with which a server takes a key.
func (s *sim) took(i int, v *fakeServer, f lease.Fence) {
	name := fmt.Sprint(v.listed.ID, v.listed.Born)
	if s.holder[i] != name && f <= s.highest[i] {
		s.failures = append(s.failures, fmt.Sprintf("%s takes key %d with fence %d, not above %d of %s", name, probe(i), f, s.highest[i], s.holder[i]))
	}
	if f >= s.highest[i] {
		s.highest[i], s.holder[i] = f, name
	}
}

func (s *sim) release(term int, r shard.Release) {
	v := s.find(r.Holder)
	if v != nil && !v.cut && (!v.alive || v.listed.Born != r.Holder.Born) {
		s.after(s.delay(), func(time.Time) { s.report(term, shard.Released{Release: r, Outcome: shard.Ended}) })
		return
	}
	if v == nil || v.cut || s.random.IntN(10) == 0 {
		s.after(shard.ReleaseTimeout, func(time.Time) { s.report(term, shard.Released{Release: r, Outcome: shard.Lost}) })
		return
	}
	s.after(s.delay(), func(now time.Time) {
		ends := now
		for i := range simProbes {
			if !r.Range.Contains(probe(i)) {
				continue
			}
			v.seen[i] = max(v.seen[i], r.Fence)
			v.held[i].until = time.Time{}
			if v.work[i].After(ends) {
				ends = v.work[i]
			}
		}
		s.after(ends.Sub(s.now)+s.delay(), func(time.Time) {
			s.report(term, shard.Released{Release: r, Outcome: shard.Done, Handover: "h"})
		})
	})
}

// deliver runs the messages that are due, in order.
func (s *sim) deliver() {
	for {
		i := -1
		for j, d := range s.queue {
			if !d.at.After(s.now) && (i < 0 || d.at.Before(s.queue[i].at)) {
				i = j
			}
		}
		if i < 0 {
			return
		}
		d := s.queue[i]
		s.queue = slices.Delete(s.queue, i, i+1)
		d.run(s.now)
	}
}

// check looks for two live servers that hold one key.
func (s *sim) check() {
	for i := range simProbes {
		var holders []string
		for _, v := range s.servers {
			if v.alive && s.now.Before(v.held[i].until) {
				holders = append(holders, string(v.listed.ID))
			}
		}
		if len(holders) > 1 {
			s.failures = append(s.failures, fmt.Sprintf("at %s key %d has the holders %v", s.now.Format("05.000"), probe(i), holders))
		}
	}
}

// disturb makes trouble now and then.
func (s *sim) disturb() {
	v := s.servers[s.random.IntN(len(s.servers))]
	switch s.random.IntN(400) {
	case 0:
		v.alive = false
	case 1:
		v.listed.Draining = true
	case 2:
		v.cut = !v.cut
	case 3:
		// The server starts again under its name and holds nothing.
		*v = fakeServer{alive: true, listed: v.listed}
		v.listed.Born, v.listed.Draining = s.now.UnixMilli(), false
	case 4, 5:
		s.addServer()
	case 6, 9, 10:
		s.begin()
	case 7, 8:
		s.storeOK = !s.storeOK
	}
	for i := range simProbes {
		if x := s.random.IntN(200); x == 0 && v.alive && s.now.Before(v.held[i].until) {
			v.work[i] = s.now.Add(time.Duration(s.random.IntN(800)) * time.Millisecond)
		}
	}
}

func (s *sim) run(length time.Duration) {
	end := s.now.Add(length)
	for tick := 0; s.now.Before(end); tick++ {
		s.now = s.now.Add(simStep)
		s.deliver()
		s.disturb()
		if tick%5 == 0 {
			s.step(shard.Tick{StoreDown: !s.storeOK})
		}
		if tick%25 == 0 && s.storeOK {
			s.list()
			s.step(shard.KeysRequested{Service: simService, Keys: []uint16{100, 101, uint16(s.random.IntN(300)), uint16(s.random.IntN(shard.LastKey))}})
		}
		s.check()
	}
}

// served returns the number of probes that a usable server holds.
func (s *sim) served() int {
	n := 0
	for i := range simProbes {
		if slices.ContainsFunc(s.servers, func(v *fakeServer) bool { return v.alive && s.now.Before(v.held[i].until) }) {
			n++
		}
	}
	return n
}

var _ = Describe("the decider", func() {
	// Guards against two servers that hold one key and against fences that do not rise, with orders
	// lost or carried out late, servers that die, drain, start again or are cut off, deciders that
	// are replaced, and a store that is away.
	It("never lets two servers hold a key", func() {
		seeds := uint64(100)
		if testing.Short() {
			seeds = 30
		}
		moves := 0
		for seed := range seeds {
			s := newSim(seed)
			s.run(60 * time.Second)
			Expect(s.failures).To(BeEmpty(), "seed %d", seed)
			moves += s.moves
		}
		Expect(moves).To(BeNumerically(">", 500), "the runs have to contain moves")
	})

	// Guards against keys that stay without an owner after trouble has ended.
	It("gives every key an owner once trouble has ended", func() {
		for seed := range uint64(25) {
			s := newSim(seed)
			s.run(30 * time.Second)
			s.storeOK = true
			for _, v := range s.servers {
				v.cut = false
			}
			s.addServer()
			for range 1500 {
				s.now = s.now.Add(simStep)
				s.deliver()
				s.step(shard.Tick{})
				s.list()
				if s.decider.Unstored() {
					s.write(s.term, s.decider)
				}
			}
			Expect(s.served()).To(Equal(simProbes), "seed %d", seed)
		}
	})
})

// sortedRows is a helper of the table tests.
func sortedRows(rows []shard.Row) bool {
	return slices.IsSortedFunc(rows, func(a, b shard.Row) int { return cmp.Compare(a.First, b.First) })
}

var _ = Describe("a table", func() {
	row := func(first, last uint16, owner string) shard.Row {
		return shard.Row{Range: shard.Range{First: first, Last: last}, Owner: shard.Holder{Server: assign.ServerID(owner)}, Open: true}
	}

	DescribeTable("takes over changed rows",
		func(old, changed, expected []shard.Row) {
			t := shard.Table{Rows: old}.Overlay(changed)
			Expect(t.Rows).To(Equal(expected))
			Expect(sortedRows(t.Rows)).To(BeTrue())
		},
		Entry("in the middle of a row",
			[]shard.Row{row(0, 99, "a")}, []shard.Row{row(10, 19, "b")},
			[]shard.Row{row(0, 9, "a"), row(10, 19, "b"), row(20, 99, "a")}),
		Entry("over several rows",
			[]shard.Row{row(0, 9, "a"), row(10, 19, "b"), row(20, 29, "c")}, []shard.Row{row(5, 24, "d")},
			[]shard.Row{row(0, 4, "a"), row(5, 24, "d"), row(25, 29, "c")}),
		Entry("at the highest key",
			[]shard.Row{row(0, shard.LastKey, "a")}, []shard.Row{row(shard.LastKey, shard.LastKey, "b")},
			[]shard.Row{row(0, shard.LastKey-1, "a"), row(shard.LastKey, shard.LastKey, "b")}),
	)

	It("finds the row of a key, and none between rows", func() {
		t := shard.Table{Rows: []shard.Row{row(0, 9, "a"), row(20, 29, "b")}}
		found, ok := t.Lookup(20)
		Expect(ok).To(BeTrue())
		Expect(found.Owner.Server).To(Equal(assign.ServerID("b")))
		_, ok = t.Lookup(15)
		Expect(ok).To(BeFalse())
	})
})

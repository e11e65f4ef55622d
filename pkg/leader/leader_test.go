package leader_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/leader"
)

func TestLeader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "leader")
}

const (
	testLease = 2 * time.Second
	// simStep is the resolution of simulated time.
	simStep = 10 * time.Millisecond
)

// member is one candidate with its own view of time: a suspended one gets no steps.
type member struct {
	name      string
	run       int
	candidate *leader.Candidate
	paused    bool
	cut       bool
	// inbox has what arrived while the member was suspended.
	inbox []leader.Event
}

type delivery struct {
	at  time.Time
	run func()
}

// sim plays candidates with a store whose answers and writes may be late or lost.
type sim struct {
	random  *rand.Rand
	now     time.Time
	members []*member
	record  leader.Record
	version uint64
	storeOK bool
	queue   []delivery
	faults  []string
	terms   map[uint64]bool
}

func newSim(seed uint64, members int) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), storeOK: true, terms: map[uint64]bool{}}
	for i := range members {
		m := &member{name: fmt.Sprintf("entry-%d", i)}
		s.start(m)
		s.members = append(s.members, m)
	}
	return s
}

func (s *sim) start(m *member) {
	m.run++
	m.inbox = nil
	m.candidate = leader.New(leader.Config{
		Name: m.name, Run: fmt.Sprintf("%s/%d", m.name, m.run), Lease: testLease,
	}, rand.New(rand.NewPCG(s.random.Uint64(), 2)))
}

func (s *sim) after(d time.Duration, run func()) {
	s.queue = append(s.queue, delivery{at: s.now.Add(d), run: run})
}

func (s *sim) delay() time.Duration { return time.Duration(1+s.random.IntN(20)) * time.Millisecond }

func (s *sim) step(m *member, run int, e leader.Event) {
	if m.run != run {
		return
	}
	if m.paused {
		if e != (leader.Tick{}) {
			m.inbox = append(m.inbox, e)
		}
		return
	}
	for _, a := range m.candidate.Step(s.now, e) {
		switch a := a.(type) {
		case leader.Read:
			s.read(m, run)
		case leader.Write:
			s.write(m, run, a)
		}
	}
}

func (s *sim) read(m *member, run int) {
	s.after(s.delay(), func() {
		if m.cut || !s.storeOK || s.random.IntN(20) == 0 {
			s.after(300*time.Millisecond, func() { s.step(m, run, leader.Failed{}) })
			return
		}
		if s.version == 0 {
			s.after(s.delay(), func() { s.step(m, run, leader.Missing{}) })
			return
		}
		seen := leader.Found{Record: s.record, Version: s.version}
		s.after(s.delay(), func() { s.step(m, run, seen) })
	})
}

func (s *sim) write(m *member, run int, w leader.Write) {
	if m.cut || !s.storeOK {
		s.after(300*time.Millisecond, func() { s.step(m, run, leader.Failed{Write: true}) })
		return
	}
	d := s.delay()
	lost := s.random.IntN(10) == 0
	if lost && s.random.IntN(2) == 0 {
		// The write takes effect seconds later, if its condition still holds.
		d += time.Duration(s.random.IntN(4000)) * time.Millisecond
	}
	if lost {
		s.after(300*time.Millisecond, func() { s.step(m, run, leader.Failed{Write: true}) })
	}
	s.after(d, func() {
		if s.version != w.IfVersion {
			if !lost {
				s.after(s.delay(), func() { s.step(m, run, leader.Conflict{}) })
			}
			return
		}
		s.version += 1 + uint64(s.random.IntN(3))
		s.record = w.Record
		s.terms[w.Record.Term] = true
		version := s.version
		if !lost {
			s.after(s.delay(), func() { s.step(m, run, leader.Written{Sequence: w.Record.Sequence, Version: version}) })
		}
	})
}

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
		d.run()
	}
}

func (s *sim) leaders() []string {
	var names []string
	for _, m := range s.members {
		if m.candidate.Leads(s.now) {
			names = append(names, fmt.Sprintf("%s/%d", m.name, m.run))
		}
	}
	return names
}

// disturb makes trouble now and then, among it a leader that cedes to another member.
func (s *sim) disturb() {
	m := s.members[s.random.IntN(len(s.members))]
	switch s.random.IntN(300) {
	case 0:
		m.paused = !m.paused
		s.wake(m)
	case 1:
		m.cut = !m.cut
	case 2:
		s.start(m)
	case 3:
		s.storeOK = !s.storeOK
	case 4:
		s.cede(m)
	}
}

// wake hands over what arrived while the member was suspended.
func (s *sim) wake(m *member) {
	if m.paused {
		return
	}
	inbox := m.inbox
	m.inbox = nil
	for _, e := range inbox {
		s.step(m, m.run, e)
	}
}

func (s *sim) cede(to *member) {
	for _, m := range s.members {
		if m != to && m.candidate.Leads(s.now) && !m.paused {
			version, run := m.candidate.Version(), to.run
			s.step(m, m.run, leader.Cede{})
			s.after(s.delay(), func() { s.step(to, run, leader.Ceded{Version: version}) })
			return
		}
	}
}

func (s *sim) run(length time.Duration, trouble bool) {
	end := s.now.Add(length)
	for tick := 0; s.now.Before(end); tick++ {
		s.now = s.now.Add(simStep)
		s.deliver()
		if trouble {
			s.disturb()
		}
		if tick%10 == 0 {
			for _, m := range s.members {
				s.step(m, m.run, leader.Tick{})
			}
		}
		if l := s.leaders(); len(l) > 1 {
			s.faults = append(s.faults, fmt.Sprintf("at %s %v lead", s.now.Format("05.000"), l))
		}
	}
}

var _ = Describe("candidates", func() {
	// Guards against two leaders at once, with reads and writes lost or late, members that are
	// suspended, cut off, started again, and leaders that cede.
	It("never lead together", func() {
		seeds := uint64(400)
		if testing.Short() {
			seeds = 20
		}
		terms := 0
		for seed := range seeds {
			s := newSim(seed, 5)
			s.run(90*time.Second, true)
			Expect(s.faults).To(BeEmpty(), "seed %d", seed)
			terms += len(s.terms)
		}
		Expect(terms).To(BeNumerically(">", 2000), "the runs have to contain changes of the leader")
	})

	// Guards against a cell without a leader after trouble.
	It("elect one soon after trouble has ended", func() {
		for seed := range uint64(40) {
			s := newSim(seed, 5)
			s.run(20*time.Second, true)
			s.storeOK = true
			for _, m := range s.members {
				m.paused, m.cut = false, false
			}
			s.run(4*testLease, false)
			Expect(s.leaders()).To(HaveLen(1), "seed %d", seed)
		}
	})

	// A read that failed was repeated at once, thousands of times a second, while the leader was alive.
	It("read once for each look, also where the read fails", func() {
		now := time.Unix(1000, 0)
		c := leader.New(leader.Config{Name: "entry-1", Run: "r", Lease: testLease}, rand.New(rand.NewPCG(1, 1)))
		Expect(c.Step(now, leader.Tick{})).To(HaveLen(1))
		c.Step(now, leader.Found{Record: leader.Record{Holder: "entry-2", Run: "q", Term: 1}, Version: 5})
		c.Step(now, leader.Heartbeat{Candidates: 3})
		Expect(c.Step(now, leader.Refresh{})).To(ConsistOf(leader.Read{}))
		Expect(c.Step(now, leader.Failed{})).To(BeEmpty())
		Expect(c.Step(now.Add(50*time.Millisecond), leader.Tick{})).To(BeEmpty())
	})

	// A leader on a strong VM that stopped as planned was followed by whichever process read first, on a VM
	// too weak for the work.
	It("leave a lead that was resigned to better suited ones for their delay", func() {
		now := time.Unix(1000, 0)
		c := leader.New(leader.Config{Name: "entry-1", Run: "r", Lease: testLease, Delay: 300 * time.Millisecond}, rand.New(rand.NewPCG(1, 1)))
		c.Step(now, leader.Tick{})
		Expect(c.Step(now, leader.Found{Record: leader.Record{Term: 1, Run: "q"}, Version: 5})).To(BeEmpty())
		Expect(c.Step(now.Add(200*time.Millisecond), leader.Tick{})).NotTo(ContainElement(BeAssignableToTypeOf(leader.Write{})))
		Expect(c.Step(now.Add(300*time.Millisecond), leader.Tick{})).To(ContainElement(HaveField("IfVersion", uint64(5))))
	})

	// Eighty processes made 1,400 reads of the record in an outage of 8 s, each of which is priced.
	It("read less and less often while reads fail, and at least every 2.5 s", func() {
		now := time.Unix(1000, 0)
		c := leader.New(leader.Config{Name: "entry-1", Run: "r", Lease: testLease}, rand.New(rand.NewPCG(1, 1)))
		var reads []time.Time
		for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
			for _, a := range c.Step(now, leader.Tick{}) {
				Expect(a).To(Equal(leader.Read{}))
				reads = append(reads, now)
				c.Step(now, leader.Failed{})
			}
		}
		Expect(len(reads)).To(BeNumerically("<=", 25))
		for i := range reads[1:] {
			Expect(reads[i+1].Sub(reads[i])).To(BeNumerically("<=", 2500*time.Millisecond))
		}
	})

	// The lead was free for 0.7 s longer after an outage, because the last leader read the record as
	// rarely as the others, which have to wait for its lease to lapse anyway.
	It("read often as the last leader while reads fail", func() {
		now := time.Unix(1000, 0)
		c := leader.New(leader.Config{Name: "entry-1", Run: "r", Lease: testLease}, rand.New(rand.NewPCG(1, 1)))
		c.Step(now, leader.Tick{})
		Expect(c.Step(now, leader.Found{Record: leader.Record{Holder: "entry-1", Run: "r", Term: 1}, Version: 5})).
			To(ContainElement(BeAssignableToTypeOf(leader.Write{})))
		Expect(c.Step(now, leader.Failed{Write: true})).To(ConsistOf(leader.Read{}))
		c.Step(now, leader.Failed{})
		reads := 0
		for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
			for _, a := range c.Step(now, leader.Tick{}) {
				Expect(a).To(Equal(leader.Read{}))
				reads++
				c.Step(now, leader.Failed{})
			}
		}
		Expect(reads).To(BeNumerically(">=", 30))
	})

	// Guards against a takeover that loses the record to a write that is still under way.
	It("write on the condition of the version that was ceded only", func() {
		now := time.Unix(1000, 0)
		c := leader.New(leader.Config{Name: "entry-1", Run: "r", Lease: testLease}, rand.New(rand.NewPCG(1, 1)))
		c.Step(now, leader.Tick{})
		c.Step(now, leader.Found{Record: leader.Record{Holder: "entry-2", Run: "q", Term: 1}, Version: 5})
		Expect(c.Step(now, leader.Ceded{Version: 4})).NotTo(ContainElement(BeAssignableToTypeOf(leader.Write{})))
		actions := c.Step(now, leader.Ceded{Version: 5})
		Expect(actions).To(ContainElement(HaveField("IfVersion", uint64(5))))
	})
})

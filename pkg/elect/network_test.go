package elect_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/elect"
)

const (
	// tickInterval is the longest that the package allows.
	tickInterval = elect.DefaultBeat / 4
	// maxRateDifference is half of lease.DefaultMargin.Rate, so that two clocks differ by at most
	// the margin.
	maxRateDifference = 0.005
)

// epoch is what the clocks of all nodes read at the start of a simulation, besides an offset.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// network simulates processes, their clocks and the messages between them. Times without a node
// are real time since the start.
type network struct {
	random *rand.Rand
	now    time.Duration
	queue  queue
	nodes  []*node
	byID   map[assign.ProcessID]*node
	// frozen are earlier incarnations that were suspended and never ran again.
	frozen []view
	cuts   map[link]time.Duration

	loss, duplicate, late float64
	maxLate               time.Duration

	initial []assign.ProcessID
	record  record
	winners map[uint64]string
	faults  []string
	log     func(format string, a ...any)
}

type link struct{ from, to int }

// record stands for the stored record.
type record struct {
	electors []assign.ProcessID
	version  uint64
	term     uint64
}

// view is a machine with its clock.
type view struct {
	machine *elect.Machine
	offset  time.Duration
	rate    float64
	// hidden is the time that a hypervisor hid from the clock's Now.
	hidden time.Duration
}

func (v view) latest(at time.Duration) time.Time {
	return epoch.Add(v.offset + time.Duration(float64(at)*v.rate))
}

func (v view) clock(at time.Duration) time.Time {
	return v.latest(at).Add(-v.hidden)
}

func (v view) leads(at time.Duration) bool {
	return v.machine.Leads(v.latest(at))
}

type node struct {
	view
	id          assign.ProcessID
	index       int
	incarnation int
	pausedUntil time.Duration
	down        bool

	collecting bool
	learned    map[assign.ProcessID]bool // answers to CollectStates: whether the sender had learned
	highest    uint64
	versions   map[assign.ProcessID]uint64 // elector set versions in answers, for the decider
	beatAt     time.Duration
	lost       int
}

// state is the answer to a request for the state of a process.
type state struct {
	learned  bool
	highest  uint64
	electors []assign.ProcessID
	version  uint64
}

// queued is a function that runs at a real time.
type queued struct {
	at  time.Duration
	seq int
	f   func()
}

func (q queued) before(other queued) bool {
	return q.at < other.at || q.at == other.at && q.seq < other.seq
}

// queue is a binary heap. container/heap would allocate for each item, which doubles the time of
// the schedules.
type queue struct {
	items []queued
	seq   int
}

func (q *queue) push(at time.Duration, f func()) {
	q.seq++
	q.items = append(q.items, queued{at: at, seq: q.seq, f: f})
	i := len(q.items) - 1
	for i > 0 && q.items[i].before(q.items[(i-1)/2]) {
		q.items[i], q.items[(i-1)/2] = q.items[(i-1)/2], q.items[i]
		i = (i - 1) / 2
	}
}

func (q *queue) pop() queued {
	first := q.items[0]
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items[last] = queued{}
	q.items = q.items[:last]
	q.sink()
	return first
}

// sink restores the order of the heap below its first item.
func (q *queue) sink() {
	for i := 0; ; {
		least := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < len(q.items) && q.items[child].before(q.items[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.items[i], q.items[least] = q.items[least], q.items[i]
		i = least
	}
}

// newNetwork returns a network of processes p01, p02, ..., of which the first are electors.
func newNetwork(seed uint64, processes, electors int) *network {
	n := &network{
		random:  rand.New(rand.NewPCG(seed, uint64(processes))),
		byID:    map[assign.ProcessID]*node{},
		cuts:    map[link]time.Duration{},
		winners: map[uint64]string{},
		log:     func(string, ...any) {},
	}
	for i := range processes {
		id := assign.ProcessID(fmt.Sprintf("p%02d", i+1))
		nd := &node{id: id, index: i}
		nd.offset = time.Duration(n.random.Int64N(int64(time.Hour)))
		nd.rate = 1 + maxRateDifference*(2*n.random.Float64()-1)
		n.nodes = append(n.nodes, nd)
		n.byID[id] = nd
		if i < electors {
			n.initial = append(n.initial, id)
		}
	}
	n.record.electors = n.initial
	for _, nd := range n.nodes {
		n.start(nd)
	}
	return n
}

// start starts an incarnation of a process, which knows only the elector set of its settings.
func (n *network) start(nd *node) {
	nd.incarnation++
	nd.down = false
	nd.machine = elect.New(elect.Config{
		Self:     nd.id,
		Electors: n.initial,
		Started:  nd.clock(n.now),
		Seed:     n.random.Uint64(),
	})
	nd.collecting = false
	nd.learned = map[assign.ProcessID]bool{}
	nd.highest = 0
	nd.versions = map[assign.ProcessID]uint64{}
	nd.beatAt = 0
	n.tick(nd, nd.incarnation, n.upTo(tickInterval))
}

// after calls f later on nd, or when nd's pause ends, unless nd has been restarted meanwhile. What
// waited for the end of a pause happens in random order.
func (n *network) after(nd *node, incarnation int, d time.Duration, f func()) {
	n.queue.push(n.now+d, func() {
		switch {
		case nd.incarnation != incarnation || nd.down:
		case n.now < nd.pausedUntil:
			n.after(nd, incarnation, nd.pausedUntil-n.now+n.upTo(time.Millisecond), f)
		default:
			f()
		}
	})
}

// run simulates until the real time.
func (n *network) run(until time.Duration) {
	for len(n.queue.items) > 0 && n.queue.items[0].at <= until {
		q := n.queue.pop()
		n.now = q.at
		q.f()
	}
	n.now = until
}

func (n *network) tick(nd *node, incarnation int, d time.Duration) {
	n.after(nd, incarnation, d, func() {
		n.step(nd, elect.Tick{Latest: nd.latest(n.now)}, time.Time{})
		if n.now >= nd.beatAt {
			n.beat(nd)
		}
		n.tick(nd, incarnation, tickInterval)
	})
}

// beat sends heartbeats while nd is the decider.
func (n *network) beat(nd *node) {
	if !nd.leads(n.now) {
		return
	}
	nd.beatAt = n.now + elect.DefaultBeat
	sentAt := nd.latest(n.now)
	e := elect.BeatReceived{From: nd.id, Term: nd.machine.Term(), ElectorsVersion: nd.machine.ElectorsVersion()}
	electors := nd.machine.Electors()
	for _, to := range n.nodes {
		if to == nd {
			continue
		}
		n.send(nd, to, func() {
			if n.step(to, e, sentAt) {
				n.changeElectors(to, electors, e.ElectorsVersion)
				if to.collecting {
					n.step(to, elect.StateLearned{HighestTerm: e.Term}, time.Time{})
				}
			}
		})
	}
}

// send delivers f to a node, late, twice or not at all.
func (n *network) send(from, to *node, f func()) {
	copies := 1
	if n.duplicate > 0 && n.random.Float64() < n.duplicate {
		copies = 2
	}
	for range copies {
		if n.now < n.cuts[link{from.index, to.index}] || n.loss > 0 && n.random.Float64() < n.loss {
			continue
		}
		d := 200*time.Microsecond + n.upTo(2*time.Millisecond)
		if n.late > 0 && n.random.Float64() < n.late {
			d += n.upTo(n.maxLate)
		}
		n.after(to, to.incarnation, d, f)
	}
}

// answer sends f back to the incarnation that asked.
func (n *network) answer(from, to *node, f func()) {
	incarnation := to.incarnation
	n.send(from, to, func() {
		if to.incarnation == incarnation {
			f()
		}
	})
}

// step steps an event and carries out the actions. It reports whether a beat was accepted. sentAt is
// the sender's clock reading that is returned to it with the answer.
func (n *network) step(nd *node, e elect.Event, sentAt time.Time) bool {
	accepted := false
	for _, a := range nd.machine.Step(nd.clock(n.now), e) {
		switch a := a.(type) {
		case elect.SendClaim:
			n.claim(nd, a)
		case elect.SendRelease:
			to := n.byID[a.To]
			n.send(nd, to, func() {
				n.step(to, elect.ReleaseReceived{From: nd.id, Term: a.Term, Next: a.Next}, time.Time{})
			})
		case elect.AnswerClaim:
			n.promise(nd, a.To, elect.PromiseReceived{
				From: nd.id, Term: a.Term, SentAt: sentAt, Granted: a.Granted, HighestTerm: a.HighestTerm,
				ElectorsVersion: a.ElectorsVersion, Probe: a.Probe,
			})
		case elect.AnswerBeat:
			accepted = a.Accepted
			n.promise(nd, a.To, elect.PromiseReceived{
				From: nd.id, Term: a.Term, SentAt: sentAt, Granted: a.Granted, HighestTerm: a.HighestTerm,
				ElectorsVersion: a.ElectorsVersion,
			})
		case elect.Won:
			n.won(nd, a)
		case elect.Lost:
			nd.lost++
			n.log("%v %s lost term %d: %s", n.now.Round(time.Millisecond), nd.id, a.Term, a.Reason)
		case elect.CollectStates:
			nd.collecting = true
			for _, id := range a.From {
				n.askState(nd, n.byID[id], true)
			}
		case elect.LearnElectors:
			n.askState(nd, n.byID[a.From], false)
		}
	}
	n.check()
	return accepted
}

func (n *network) claim(nd *node, a elect.SendClaim) {
	to := n.byID[a.To]
	sentAt := nd.latest(n.now)
	n.send(nd, to, func() {
		n.step(to, elect.ClaimReceived{
			From: nd.id, Term: a.Term, ElectorsVersion: a.ElectorsVersion, Probe: a.Probe,
		}, sentAt)
	})
}

func (n *network) promise(from *node, to assign.ProcessID, e elect.PromiseReceived) {
	nd := n.byID[to]
	n.answer(from, nd, func() {
		nd.versions[e.From] = e.ElectorsVersion
		n.step(nd, e, time.Time{})
	})
}

func (n *network) won(nd *node, a elect.Won) {
	n.log("%v %s won term %d promised by %v", n.now.Round(time.Millisecond), nd.id, a.Term, a.Promised)
	name := fmt.Sprintf("%s/%d", nd.id, nd.incarnation)
	if other, ok := n.winners[a.Term]; ok {
		n.fault("term %d won by %s and by %s", a.Term, other, name)
	}
	n.winners[a.Term] = name
	n.record.term = max(n.record.term, a.Term)
	if len(a.Promised) < nd.machine.Quorum() {
		n.fault("term %d won with %d promises", a.Term, len(a.Promised))
	}
	nd.versions = map[assign.ProcessID]uint64{}
	n.changeElectors(nd, n.record.electors, n.record.version)
	n.beat(nd)
}

// askState asks a process for its state. Only answers to CollectStates count for learning.
func (n *network) askState(nd, of *node, collect bool) {
	incarnation := nd.incarnation
	n.send(nd, of, func() {
		s := state{
			learned:  of.machine.Learned(),
			highest:  of.machine.HighestTerm(),
			electors: of.machine.Electors(),
			version:  of.machine.ElectorsVersion(),
		}
		n.answer(of, nd, func() {
			if nd.incarnation == incarnation {
				n.stateAnswered(nd, of.id, s, collect)
			}
		})
	})
}

func (n *network) stateAnswered(nd *node, from assign.ProcessID, s state, collect bool) {
	n.changeElectors(nd, s.electors, s.version)
	if !collect || nd.machine.Learned() {
		return
	}
	nd.learned[from] = nd.learned[from] || s.learned
	nd.highest = max(nd.highest, s.highest)
	answered, learned := nd.countStates()
	if answered {
		// The whole cell may have started. Only the stored record shows whether this set is current.
		n.changeElectors(nd, n.record.electors, n.record.version)
		nd.highest = max(nd.highest, n.record.term)
		answered, learned = nd.countStates()
	}
	if answered || learned >= nd.machine.Quorum() {
		n.step(nd, elect.StateLearned{HighestTerm: nd.highest}, time.Time{})
	}
}

// countStates reports whether all other electors have answered, and how many of them had learned
// the state.
func (nd *node) countStates() (answered bool, learned int) {
	answered = true
	for _, id := range nd.machine.Electors() {
		l, ok := nd.learned[id]
		if l {
			learned++
		}
		if !ok && id != nd.id {
			answered = false
		}
	}
	return answered, learned
}

func (n *network) changeElectors(nd *node, electors []assign.ProcessID, version uint64) {
	if version > nd.machine.ElectorsVersion() {
		n.step(nd, elect.ElectorsChanged{Electors: electors, Version: version}, time.Time{})
	}
}

// check compares the machines at this instant of real time.
func (n *network) check() {
	leading := 0
	for _, nd := range n.nodes {
		if !nd.down && nd.leads(n.now) {
			leading++
		}
	}
	for _, v := range n.frozen {
		if v.leads(n.now) {
			leading++
		}
	}
	if leading > 1 {
		n.fault("more than one decider: %v", n.leading())
	}
}

// leading describes the machines that lead now.
func (n *network) leading() []string {
	var names []string
	for _, nd := range n.nodes {
		if !nd.down && nd.leads(n.now) {
			names = append(names, fmt.Sprintf("%s/%d in term %d", nd.id, nd.incarnation, nd.machine.Term()))
		}
	}
	for _, v := range n.frozen {
		if v.leads(n.now) {
			names = append(names, fmt.Sprintf("a frozen process in term %d", v.machine.Term()))
		}
	}
	return names
}

// fault records a broken invariant.
func (n *network) fault(format string, a ...any) {
	f := fmt.Sprintf("at %v: ", n.now) + fmt.Sprintf(format, a...)
	if !slices.Contains(n.faults, f) {
		n.faults = append(n.faults, f)
	}
}

// decider returns the node that leads now, or nil.
func (n *network) decider() *node {
	for _, nd := range n.nodes {
		if !nd.down && nd.leads(n.now) {
			return nd
		}
	}
	return nil
}

// cut stops messages of one direction until the real time.
func (n *network) cut(from, to *node, until time.Duration) {
	n.cuts[link{from.index, to.index}] = until
}

// heal ends all cuts, pauses and message faults.
func (n *network) heal() {
	clear(n.cuts)
	n.loss, n.duplicate, n.late = 0, 0, 0
	for _, nd := range n.nodes {
		nd.pausedUntil = min(nd.pausedUntil, n.now)
	}
}

// pause stops a node while its clock goes on. Of the pause, hidden is not seen by the clock's Now.
func (n *network) pause(nd *node, d, hidden time.Duration) {
	nd.pausedUntil = n.now + d
	nd.hidden += hidden
}

// restart replaces a process by a new incarnation. The earlier one may be frozen instead of ended.
func (n *network) restart(nd *node, freeze bool) {
	if freeze {
		n.frozen = append(n.frozen, nd.view)
	}
	nd.pausedUntil = 0
	n.start(nd)
}

// mayRestart reports whether a minority of the electors has forgotten its promises if nd forgets
// its own.
func (n *network) mayRestart(nd *node) bool {
	forgotten := 1
	for _, id := range n.record.electors {
		other := n.byID[id]
		if other != nd && (other.down || !other.machine.Learned()) {
			forgotten++
		}
	}
	return forgotten <= (len(n.record.electors)-1)/2
}

// upTo returns a random duration below d.
func (n *network) upTo(d time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(d)))
}

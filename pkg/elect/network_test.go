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
	pausedAt    time.Duration
	pausedUntil time.Duration
	pauseHidden time.Duration
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
		case n.paused(nd):
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
		n.resume(nd)
	}
}

func (n *network) paused(nd *node) bool {
	return n.now < nd.pausedUntil
}

// pause stops a node, unless it is paused already, while its clock goes on. Of the pause, hidden is
// not seen by the clock's Now.
func (n *network) pause(nd *node, d, hidden time.Duration) {
	if n.paused(nd) {
		return
	}
	nd.pausedAt = n.now
	nd.pausedUntil = n.now + d
	nd.pauseHidden = hidden
	nd.hidden += hidden
}

// resume ends a pause early. No more time than has passed may stay hidden, or Now would go back.
func (n *network) resume(nd *node) {
	if !n.paused(nd) {
		return
	}
	nd.hidden -= max(0, nd.pauseHidden-(n.now-nd.pausedAt))
	nd.pausedUntil = n.now
}

// restart replaces a process by a new incarnation. The earlier one may be frozen instead of ended.
func (n *network) restart(nd *node, freeze bool) {
	if freeze {
		n.frozen = append(n.frozen, nd.view)
	}
	n.resume(nd)
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

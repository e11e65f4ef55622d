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
	// tickInterval is the longest interval that the package allows.
	tickInterval = elect.DefaultHeartbeatInterval / 4
	// maxRateError is half of lease.DefaultMargin.Rate, so that the rates of two clocks differ by at
	// most the margin.
	maxRateError = 0.005
)

// epoch is the time on the clocks of all nodes at the start of a simulation, before their offsets are added.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// network simulates processes, their clocks and the messages between them. Times that are not read
// from a node's clock are real time since the start.
type network struct {
	random *rand.Rand
	now    time.Duration
	queue  queue
	nodes  []*node
	byID   map[assign.ProcessID]*node
	// frozen contains earlier incarnations that were suspended and never ran again.
	frozen   []instance
	cutUntil map[link]time.Duration

	loss, duplicate, delayed float64 // probabilities for each message
	maxDelay                 time.Duration

	initialElectors []assign.ProcessID
	record          record
	winners         map[uint64]string
	violations      []string
	log             func(format string, a ...any)
}

type link struct{ from, to int }

// record simulates the stored record of the cell.
type record struct {
	electors []assign.ProcessID
	version  uint64
	term     uint64
}

// instance is a machine with the clock of its process.
type instance struct {
	machine *elect.Machine
	offset  time.Duration
	rate    float64
	// hidden is the suspended time that the clock's Now did not count.
	hidden time.Duration
}

func (i instance) latestAt(at time.Duration) time.Time {
	return epoch.Add(i.offset + time.Duration(float64(at)*i.rate))
}

func (i instance) nowAt(at time.Duration) time.Time {
	return i.latestAt(at).Add(-i.hidden)
}

func (i instance) leads(at time.Duration) bool {
	return i.machine.Leads(i.latestAt(at))
}

type node struct {
	instance
	id          assign.ProcessID
	index       int
	incarnation int
	pausedAt    time.Duration
	pausedUntil time.Duration
	pauseHidden time.Duration
	down        bool

	collecting  bool
	learnedBy   map[assign.ProcessID]bool // whether the sender of an answer to CollectStates had learned the state
	highestTerm uint64
	versions    map[assign.ProcessID]uint64 // elector set versions in answers to the leader
	nextBeat    time.Duration
	losses      int
}

// state is a process's answer to a request for its state.
type state struct {
	learned     bool
	highestTerm uint64
	electors    []assign.ProcessID
	version     uint64
}

// newNetwork returns a network of processes p01, p02, ..., of which the first ones are electors.
func newNetwork(seed uint64, processes, electors int) *network {
	n := &network{
		random:   rand.New(rand.NewPCG(seed, uint64(processes))),
		byID:     map[assign.ProcessID]*node{},
		cutUntil: map[link]time.Duration{},
		winners:  map[uint64]string{},
		log:      func(string, ...any) {},
	}
	for i := range processes {
		id := assign.ProcessID(fmt.Sprintf("p%02d", i+1))
		nd := &node{id: id, index: i}
		nd.offset = time.Duration(n.random.Int64N(int64(time.Hour)))
		nd.rate = 1 + maxRateError*(2*n.random.Float64()-1)
		n.nodes = append(n.nodes, nd)
		n.byID[id] = nd
		if i < electors {
			n.initialElectors = append(n.initialElectors, id)
		}
	}
	n.record.electors = n.initialElectors
	for _, nd := range n.nodes {
		n.start(nd)
	}
	return n
}

// start starts a new incarnation of a process, which knows only the elector set of its settings.
func (n *network) start(nd *node) {
	nd.incarnation++
	nd.down = false
	nd.machine = elect.New(elect.Config{
		Self:     nd.id,
		Electors: n.initialElectors,
		Started:  nd.nowAt(n.now),
		Seed:     n.random.Uint64(),
	})
	nd.collecting = false
	nd.learnedBy = map[assign.ProcessID]bool{}
	nd.highestTerm = 0
	nd.versions = map[assign.ProcessID]uint64{}
	nd.nextBeat = 0
	n.scheduleTick(nd, nd.incarnation, n.randomBelow(tickInterval))
}

// schedule calls f for nd after d, or when nd's pause ends, unless nd has been restarted or has ended by
// then. Calls that wait for the end of a pause run in random order.
func (n *network) schedule(nd *node, incarnation int, d time.Duration, f func()) {
	n.queue.push(n.now+d, func() {
		switch {
		case nd.incarnation != incarnation || nd.down:
		case n.paused(nd):
			n.schedule(nd, incarnation, nd.pausedUntil-n.now+n.randomBelow(time.Millisecond), f)
		default:
			f()
		}
	})
}

// runUntil simulates up to the given real time.
func (n *network) runUntil(until time.Duration) {
	for len(n.queue.items) > 0 && n.queue.items[0].at <= until {
		t := n.queue.pop()
		n.now = t.at
		t.f()
	}
	n.now = until
}

func (n *network) scheduleTick(nd *node, incarnation int, d time.Duration) {
	n.schedule(nd, incarnation, d, func() {
		n.step(nd, elect.Tick{Latest: nd.latestAt(n.now)}, time.Time{})
		if n.now >= nd.nextBeat {
			n.sendBeats(nd)
		}
		n.scheduleTick(nd, incarnation, tickInterval)
	})
}

// send calls f at the receiver, possibly late, twice or not at all.
func (n *network) send(from, to *node, f func()) {
	copies := 1
	if n.duplicate > 0 && n.random.Float64() < n.duplicate {
		copies = 2
	}
	for range copies {
		if n.now < n.cutUntil[link{from.index, to.index}] || n.loss > 0 && n.random.Float64() < n.loss {
			continue
		}
		d := 200*time.Microsecond + n.randomBelow(2*time.Millisecond)
		if n.delayed > 0 && n.random.Float64() < n.delayed {
			d += n.randomBelow(n.maxDelay)
		}
		n.schedule(to, to.incarnation, d, f)
	}
}

// reply calls f at the incarnation that sent the request.
func (n *network) reply(from, to *node, f func()) {
	incarnation := to.incarnation
	n.send(from, to, func() {
		if to.incarnation == incarnation {
			f()
		}
	})
}

// checkLeaders reports a violation if more than one machine leads now.
func (n *network) checkLeaders() {
	leaders := 0
	for _, nd := range n.nodes {
		if !nd.down && nd.leads(n.now) {
			leaders++
		}
	}
	for _, frozen := range n.frozen {
		if frozen.leads(n.now) {
			leaders++
		}
	}
	if leaders > 1 {
		n.report("more than one leader: %v", n.describeLeaders())
	}
}

// describeLeaders returns a description of each machine that leads now.
func (n *network) describeLeaders() []string {
	var names []string
	for _, nd := range n.nodes {
		if !nd.down && nd.leads(n.now) {
			names = append(names, fmt.Sprintf("%s/%d in term %d", nd.id, nd.incarnation, nd.machine.Term()))
		}
	}
	for _, frozen := range n.frozen {
		if frozen.leads(n.now) {
			names = append(names, fmt.Sprintf("a frozen process in term %d", frozen.machine.Term()))
		}
	}
	return names
}

// report records the violation of an invariant.
func (n *network) report(format string, a ...any) {
	f := fmt.Sprintf("at %v: ", n.now) + fmt.Sprintf(format, a...)
	if !slices.Contains(n.violations, f) {
		n.violations = append(n.violations, f)
	}
}

// leader returns the node that leads now, or nil if none does.
func (n *network) leader() *node {
	for _, nd := range n.nodes {
		if !nd.down && nd.leads(n.now) {
			return nd
		}
	}
	return nil
}

// cut drops messages in one direction until the given real time.
func (n *network) cut(from, to *node, until time.Duration) {
	n.cutUntil[link{from.index, to.index}] = until
}

// heal ends all cuts, pauses and message faults.
func (n *network) heal() {
	clear(n.cutUntil)
	n.loss, n.duplicate, n.delayed = 0, 0, 0
	for _, nd := range n.nodes {
		n.resume(nd)
	}
}

func (n *network) paused(nd *node) bool {
	return n.now < nd.pausedUntil
}

// pause suspends a node, unless it is paused already, while its clock goes on. The clock's Now does not
// count the hidden part of the pause.
func (n *network) pause(nd *node, d, hidden time.Duration) {
	if n.paused(nd) {
		return
	}
	nd.pausedAt = n.now
	nd.pausedUntil = n.now + d
	nd.pauseHidden = hidden
	nd.hidden += hidden
}

// resume ends a pause early. The hidden time is limited to the time that has passed, or Now would go back.
func (n *network) resume(nd *node) {
	if !n.paused(nd) {
		return
	}
	nd.hidden -= max(0, nd.pauseHidden-(n.now-nd.pausedAt))
	nd.pausedUntil = n.now
}

// restart replaces a process by a new incarnation. With freeze, the earlier one is suspended instead of ended.
func (n *network) restart(nd *node, freeze bool) {
	if freeze {
		n.frozen = append(n.frozen, nd.instance)
	}
	n.resume(nd)
	n.start(nd)
}

// mayRestart reports whether nd and all electors that are down or do not know the state of the cell
// since a restart are together a minority of the electors.
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

// randomBelow returns a random duration in [0, d).
func (n *network) randomBelow(d time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(d)))
}

package owner_test

import (
	"fmt"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// proc is one entry process: a Follower, a Decider while it leads, and traffic.
type proc struct {
	sim      *simulation
	id       assign.ProcessID
	clock    clock
	number   int
	up       bool
	paused   bool
	waiting  []func()
	follower *owner.Follower
	decider  *owner.Decider
	// until is the end of the term by simulated time; the process leads before it.
	until    time.Duration
	term     uint64
	clocks   map[assign.ServerID]*lease.ServerClock
	answered map[assign.ServerID]answered
	calls    []*simCall
	lastAck  uint64
	// recovered is set while the process may promise as an elector: it has not restarted, or has
	// learned the tables of a majority of the others since.
	recovered bool
}

// answered is the last answer of a server.
type answered struct {
	at      time.Time
	reading time.Time
}

// simCall is one call in flight.
type simCall struct {
	key      uint64
	server   *simServer
	fence    lease.Fence
	version  uint64
	deadline time.Time
}

func (p *proc) incarnation() string { return fmt.Sprintf("%s.%d", p.id, p.number) }

func (p *proc) read() time.Time { return p.clock.read(p.sim.now) }

// run does something in the process's threads now, or when its pause ends. Nothing is done for an
// earlier run of the process.
func (p *proc) run(do func()) {
	number := p.number
	p.runAs(number, do)
}

func (p *proc) runAs(number int, do func()) {
	switch {
	case !p.up || number != p.number:
	case p.paused:
		p.waiting = append(p.waiting, func() { p.runAs(number, do) })
	default:
		do()
	}
}

// send hands a message to the network after a moment in which the process may be paused: the check
// has been made, the message is not yet sent.
func (p *proc) send(to string, deliver func()) {
	number := p.number
	p.sim.after(p.sim.between(0, 200*time.Microsecond), func() {
		p.runAs(number, func() { p.sim.transmit(string(p.id), to, true, deliver) })
	})
}

func (p *proc) start() {
	p.number++
	p.up = true
	p.paused = false
	p.follower = owner.NewFollower(p.incarnation())
	p.clocks = make(map[assign.ServerID]*lease.ServerClock)
	for _, v := range p.sim.servers {
		p.clocks[v.id] = lease.NewServerClock(lease.DefaultMargin)
	}
	p.answered = make(map[assign.ServerID]answered)
	p.calls = nil
	p.waiting = nil
	p.decider = nil
	p.until = 0
	p.recovered = false
}

func (p *proc) kill() {
	p.sim.log("%s ends", p.incarnation())
	p.up = false
	p.paused = false
}

func (p *proc) pause(length time.Duration) {
	if p.paused || !p.up {
		return
	}
	p.sim.log("%s pauses for %v", p.id, length)
	p.paused = true
	number := p.number
	p.sim.after(length, func() {
		if number == p.number && p.paused {
			p.resume()
		}
	})
}

func (p *proc) resume() {
	p.sim.log("%s resumes", p.id)
	p.paused = false
	waiting := p.waiting
	p.waiting = nil
	for _, do := range waiting {
		do()
	}
}

// leads reports whether the process holds its term.
func (p *proc) leads() bool { return p.decider != nil && p.sim.now < p.until }

// decide steps the decider where the term is held.
func (p *proc) decide(e owner.DeciderEvent) {
	number, term := p.number, p.term
	p.runAs(number, func() {
		if term == p.term && p.leads() {
			p.perform(p.decider.Step(p.read(), e))
			p.note()
		}
	})
}

// note records what the decider may report as acknowledged.
func (p *proc) note() {
	t := p.decider.Table()
	if t != nil && t.Version > p.lastAck && p.decider.Committed(t.Version) {
		p.lastAck = t.Version
		p.sim.history.acknowledge(t)
	}
}

func (p *proc) perform(actions []owner.DeciderAction) {
	for _, a := range actions {
		p.trace(a)
		switch a := a.(type) {
		case owner.SendHeartbeat:
			p.sendBeat(a)
		case owner.SendGrant:
			p.sendGrant(a)
		case owner.SendRevoke:
			p.sendRevoke(a)
		case owner.ProbeServer:
			p.probe(a)
		case owner.WriteRecord:
			p.sim.store.write(p, a)
		case owner.ReadRecord:
			p.sim.store.read(p)
		case owner.StepDown:
			p.sim.log("%s steps down: %s", p.id, a.Reason)
			p.until = p.sim.now
		case owner.Note:
			// Only in the trace.
		}
	}
}

// trace logs an action. A table is shown by its version: its address differs from run to run.
func (p *proc) trace(a owner.DeciderAction) {
	if !p.sim.verbose {
		return
	}
	version := uint64(0)
	if b, ok := a.(owner.SendHeartbeat); ok && b.Table != nil {
		version = b.Table.Version
		b.Table = nil
		a = b
	}
	p.sim.log("%s %T %+v table %x", p.id, a, a, version)
}

func (p *proc) sendBeat(b owner.SendHeartbeat) {
	to := p.sim.proc(b.Process)
	received := owner.HeartbeatReceived{
		From: p.id, Term: b.Term, Incarnation: b.Incarnation, Echo: b.Echo, Lease: b.Lease, Table: b.Table,
	}
	p.send(string(to.id), func() {
		if !to.up {
			p.decide(owner.ProcessEnded{Process: b.Process, Incarnation: b.Incarnation})
			return
		}
		to.run(func() { to.follow(received) })
	})
}

// follow steps the follower.
func (p *proc) follow(e owner.FollowerEvent) {
	for _, a := range p.follower.Step(p.read(), e) {
		switch a := a.(type) {
		case owner.Apply:
			p.count()
		case owner.Answer:
			p.answer(a)
		}
	}
}

func (p *proc) answer(a owner.Answer) {
	to := p.sim.proc(a.To)
	answered := owner.ProcessAnswered{
		Process: p.id, Incarnation: a.Incarnation, Term: a.Term, Sent: a.Sent, Version: a.Version, InFlight: a.InFlight,
	}
	p.send(string(a.To), func() { to.decide(answered) })
}

// count reports the calls in flight that the table in force no longer allows.
func (p *proc) count() {
	t := p.follower.Table()
	if t == nil {
		return
	}
	counts := make(map[assign.ServerID]int)
	for _, c := range p.calls {
		h, ok := t.Lookup(service, c.key)
		kept := ok && h.Open && h.Owner() == c.server.id && h.Fence() == c.fence
		if c.version < t.Version && !kept {
			counts[c.server.id]++
		}
	}
	p.follow(owner.InFlightCounted{Version: t.Version, InFlight: counts})
}

// observe takes over a server's clock reading. An older reading in an answer that was overtaken by
// another is left out: lease.ServerClock would take it for a clock that went back, and forget.
func (p *proc) observe(v *simServer, sent, reading time.Time) {
	last := p.answered[v.id]
	if sent.Before(last.at) && reading.Before(last.reading) {
		return
	}
	p.answered[v.id] = answered{at: p.read(), reading: reading}
	p.clocks[v.id].Observe(p.read(), reading)
}

// request sends a request to a server. It is bound to the server's process at the time of sending,
// as a connection is. Calls are not repeated: a connection delivers them once, and a kind that
// checks nothing could not tell a repetition.
func (p *proc) request(v *simServer, repeats bool, handle func(answer func(func())), refused func()) {
	number := p.number
	sent := p.read()
	back := func(do func()) {
		reading := v.read()
		p.sim.transmit(string(v.id), string(p.id), repeats, func() {
			p.runAs(number, func() {
				p.observe(v, sent, reading)
				do()
			})
		})
	}
	p.sim.after(p.sim.between(0, 200*time.Microsecond), func() {
		p.runAs(number, func() {
			to := v.number
			p.sim.transmit(string(p.id), string(v.id), repeats, func() {
				v.receive(to, func() { handle(back) }, func() { p.runAs(number, refused) })
			})
		})
	})
}

func (p *proc) sendGrant(g owner.SendGrant) {
	v := p.sim.server(g.Server)
	limit, ok := p.clocks[v.id].NotAfter(g.Deadline)
	if !ok {
		p.sim.log("%s does not know the clock of %s", p.id, v.id)
		return
	}
	p.request(v, true, func(answer func(func())) {
		accepted := v.grant(g.Incarnation, g.Spans, limit)
		incarnation := v.incarnation()
		if !accepted {
			p.sim.log("%s refuses a grant of %s with %d spans for %s", incarnation, p.id, len(g.Spans), g.Incarnation)
		}
		answer(func() {
			p.decide(owner.GrantAnswered{Server: v.id, Incarnation: incarnation, Version: g.Version, OK: accepted})
		})
	}, nothing)
}

func (p *proc) sendRevoke(r owner.SendRevoke) {
	v := p.sim.server(r.Server)
	p.request(v, true, func(answer func(func())) {
		v.revoke(r.Spans, func() {
			answer(func() { p.decide(owner.RevokeAnswered{Server: v.id, Version: r.Version, OK: true}) })
		})
	}, nothing)
}

func (p *proc) probe(q owner.ProbeServer) {
	v := p.sim.server(q.Server)
	asked := p.read()
	p.request(v, true, func(answer func(func())) {
		answered := owner.ServerAnswered{
			Server: v.id, Incarnation: v.incarnation(), ProbedAt: asked, Idle: len(v.active) == 0, Draining: v.draining,
		}
		answer(func() { p.decide(answered) })
	}, func() {
		p.decide(owner.ServerEnded{Server: v.id, Incarnation: q.Incarnation, Gone: v.gone})
	})
}

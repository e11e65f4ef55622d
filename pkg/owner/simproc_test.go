package owner_test

import (
	"fmt"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// proc is one entry process: a Follower, a Decider while it leads, and the calls that it forwards.
type proc struct {
	sim       *simulation
	id        assign.ProcessID
	clock     clock
	runNumber int
	up        bool
	paused    bool
	deferred  []func()
	follower  *owner.Follower
	decider   *owner.Decider
	// termEnd is when the term ends, in simulated time. The process leads until then.
	termEnd      time.Duration
	term         uint64
	serverClocks map[assign.ServerID]*lease.ServerClock
	lastReadings map[assign.ServerID]serverReading
	calls        []*simCall
	ackedVersion uint64
	// recovered is set while the process may promise a term as an elector: it has not restarted, or
	// has since received the tables of a majority of the others.
	recovered bool
}

// serverReading is the last clock reading of a server and the time at which it arrived.
type serverReading struct {
	receivedAt time.Time
	reading    time.Time
}

// simCall is one call in flight.
type simCall struct {
	key      uint64
	server   *simServer
	fence    lease.Fence
	version  uint64
	deadline time.Time
}

func (p *proc) incarnation() string { return fmt.Sprintf("%s.%d", p.id, p.runNumber) }

func (p *proc) read() time.Time { return p.clock.read(p.sim.now) }

// run calls do now, or when the pause of the process ends. It does nothing if the process has
// restarted by then.
func (p *proc) run(do func()) {
	number := p.runNumber
	p.runAs(number, do)
}

func (p *proc) runAs(number int, do func()) {
	switch {
	case !p.up || number != p.runNumber:
	case p.paused:
		p.deferred = append(p.deferred, func() { p.runAs(number, do) })
	default:
		do()
	}
}

// send passes a message to the network a moment later. The process may be paused in between, after
// it checked the term but before the message is sent.
func (p *proc) send(to string, deliver func()) {
	number := p.runNumber
	p.sim.after(p.sim.randomDuration(0, 200*time.Microsecond), func() {
		p.runAs(number, func() { p.sim.transmit(string(p.id), to, true, deliver) })
	})
}

func (p *proc) start() {
	p.runNumber++
	p.up = true
	p.paused = false
	p.follower = owner.NewFollower(p.incarnation())
	p.serverClocks = make(map[assign.ServerID]*lease.ServerClock)
	for _, v := range p.sim.servers {
		p.serverClocks[v.id] = lease.NewServerClock(lease.DefaultMargin)
	}
	p.lastReadings = make(map[assign.ServerID]serverReading)
	p.calls = nil
	p.deferred = nil
	p.decider = nil
	p.termEnd = 0
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
	number := p.runNumber
	p.sim.after(length, func() {
		if number == p.runNumber && p.paused {
			p.resume()
		}
	})
}

func (p *proc) resume() {
	p.sim.log("%s resumes", p.id)
	p.paused = false
	waiting := p.deferred
	p.deferred = nil
	for _, do := range waiting {
		do()
	}
}

// leads reports whether the process holds its term.
func (p *proc) leads() bool { return p.decider != nil && p.sim.now < p.termEnd }

// decide steps the decider if the term is held.
func (p *proc) decide(e owner.DeciderEvent) {
	number, term := p.runNumber, p.term
	p.runAs(number, func() {
		if term == p.term && p.leads() {
			p.perform(p.decider.Step(p.read(), e))
			p.recordAck()
		}
	})
}

// recordAck records the decider's table once a majority has acknowledged it.
func (p *proc) recordAck() {
	t := p.decider.Table()
	if t != nil && t.Version > p.ackedVersion && p.decider.Committed(t.Version) {
		p.ackedVersion = t.Version
		p.sim.checker.acknowledge(t)
	}
}

func (p *proc) perform(actions []owner.DeciderAction) {
	for _, a := range actions {
		p.trace(a)
		switch a := a.(type) {
		case owner.SendHeartbeat:
			p.sendHeartbeat(a)
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
			p.termEnd = p.sim.now
		case owner.Note:
			// Only in the trace.
		}
	}
}

// trace logs an action. It prints the version of a table, because its address differs between runs.
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

func (p *proc) sendHeartbeat(b owner.SendHeartbeat) {
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
	received := owner.ProcessAnswered{
		Process: p.id, Incarnation: a.Incarnation, Term: a.Term, Sent: a.Sent, Version: a.Version, InFlight: a.InFlight,
	}
	p.send(string(a.To), func() { to.decide(received) })
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

// observe records a server's clock reading. It skips an older reading that arrives late, which
// lease.ServerClock would take for a clock that went back and then discard its state.
func (p *proc) observe(v *simServer, sent, reading time.Time) {
	last := p.lastReadings[v.id]
	if sent.Before(last.receivedAt) && reading.Before(last.reading) {
		return
	}
	p.lastReadings[v.id] = serverReading{receivedAt: p.read(), reading: reading}
	p.serverClocks[v.id].Observe(p.read(), reading)
}

// request sends a request to a server. Like a connection, it is bound to the server's process at
// the time of sending. Calls are not repeated: a connection delivers them once, and a server of a
// kind that checks nothing could not detect a repetition.
func (p *proc) request(v *simServer, mayRepeat bool, handle func(answer func(func())), refused func()) {
	number := p.runNumber
	sent := p.read()
	respond := func(do func()) {
		reading := v.read()
		p.sim.transmit(string(v.id), string(p.id), mayRepeat, func() {
			p.runAs(number, func() {
				p.observe(v, sent, reading)
				do()
			})
		})
	}
	p.sim.after(p.sim.randomDuration(0, 200*time.Microsecond), func() {
		p.runAs(number, func() {
			to := v.runNumber
			p.sim.transmit(string(p.id), string(v.id), mayRepeat, func() {
				v.receive(to, func() { handle(respond) }, func() { p.runAs(number, refused) })
			})
		})
	})
}

func (p *proc) sendGrant(g owner.SendGrant) {
	v := p.sim.server(g.Server)
	limit, ok := p.serverClocks[v.id].NotAfter(g.Deadline)
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
	}, noop)
}

func (p *proc) sendRevoke(r owner.SendRevoke) {
	v := p.sim.server(r.Server)
	p.request(v, true, func(answer func(func())) {
		v.revoke(r.Spans, func() {
			answer(func() { p.decide(owner.RevokeAnswered{Server: v.id, Version: r.Version, OK: true}) })
		})
	}, noop)
}

func (p *proc) probe(q owner.ProbeServer) {
	v := p.sim.server(q.Server)
	asked := p.read()
	p.request(v, true, func(answer func(func())) {
		received := owner.ServerAnswered{
			Server: v.id, Incarnation: v.incarnation(), ProbedAt: asked, Idle: len(v.running) == 0, Draining: v.draining,
		}
		answer(func() { p.decide(received) })
	}, func() {
		p.decide(owner.ServerEnded{Server: v.id, Incarnation: q.Incarnation, Gone: v.gone})
	})
}

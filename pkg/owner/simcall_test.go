package owner_test

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// traffic makes a call, and after the last fault one for each key.
func (p *proc) traffic() {
	if p.sim.faults {
		p.call(p.sim.keys[p.sim.rng.IntN(len(p.sim.keys))])
		return
	}
	for _, key := range p.sim.keys {
		p.call(key)
	}
}

// call makes one call: it checks lease and table, and sends a moment later.
func (p *proc) call(key uint64) {
	t := p.follower.Table()
	if !p.follower.Serves(p.read()) {
		return
	}
	h, ok := t.Lookup(service, key)
	if !ok || !h.Open {
		return
	}
	v := p.sim.server(h.Owner())
	c := &simCall{key: key, server: v, fence: h.Fence(), version: t.Version}
	c.deadline = p.read().Add(p.sim.between(100*time.Millisecond, 3*time.Second))
	if e := p.follower.Expires(); e.Before(c.deadline) {
		c.deadline = e
	}
	limit, known := p.clocks[v.id].NotAfter(c.deadline)
	if !known && p.sim.kind == assign.Deadlines {
		p.learn(v)
		return
	}
	p.calls = append(p.calls, c)
	p.expire(c)
	p.forward(c, limit)
}

// learn reads the server's clock.
func (p *proc) learn(v *simServer) {
	p.request(v, true, func(answer func(func())) { answer(nothing) }, nothing)
}

func (p *proc) forward(c *simCall, limit time.Time) {
	length := p.sim.between(time.Millisecond, 60*time.Millisecond)
	if p.sim.chance(0.05) {
		length = p.sim.between(100*time.Millisecond, 1500*time.Millisecond)
	}
	number := p.number
	done := func() { p.runAs(number, func() { p.finish(c) }) }
	p.request(c.server, false, func(answer func(func())) {
		c.server.call(c.key, c.fence, limit, length, func(ran bool) {
			at := p.sim.now
			answer(func() {
				if ran {
					p.sim.history.served[c.key] = at
				}
				p.finish(c)
			})
		})
	}, done)
}

// expire drops a call to a server of kind deadlines once its deadline has passed.
func (p *proc) expire(c *simCall) {
	if p.sim.kind != assign.Deadlines {
		return
	}
	number := p.number
	p.sim.after(p.clock.until(c.deadline)-p.sim.now+time.Microsecond, func() {
		p.runAs(number, func() { p.finish(c) })
	})
}

// finish removes a call, and reports the count where the call was still awaited.
func (p *proc) finish(c *simCall) {
	for i, o := range p.calls {
		if o != c {
			continue
		}
		p.calls = append(p.calls[:i:i], p.calls[i+1:]...)
		if t := p.follower.Table(); t != nil && c.version < t.Version {
			p.count()
		}
		return
	}
}

package owner_test

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// makeCalls makes one call to a random key, or after the last fault one call to each key.
func (p *proc) makeCalls() {
	if p.sim.faults {
		p.call(p.sim.keys[p.sim.rng.IntN(len(p.sim.keys))])
		return
	}
	for _, key := range p.sim.keys {
		p.call(key)
	}
}

// call makes one call. It checks the lease and the table, and sends the call a moment later.
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
	c.deadline = p.read().Add(p.sim.randomDuration(100*time.Millisecond, 3*time.Second))
	if e := p.follower.Expires(); e.Before(c.deadline) {
		c.deadline = e
	}
	limit, known := p.serverClocks[v.id].NotAfter(c.deadline)
	if !known && p.sim.fencing == assign.Deadlines {
		p.readServerClock(v)
		return
	}
	p.calls = append(p.calls, c)
	p.dropAtDeadline(c)
	p.forward(c, limit)
}

// readServerClock sends a request that only returns the server's clock.
func (p *proc) readServerClock(v *simServer) {
	p.request(v, true, func(answer func(func())) { answer(noop) }, noop)
}

func (p *proc) forward(c *simCall, limit time.Time) {
	length := p.sim.randomDuration(time.Millisecond, 60*time.Millisecond)
	if p.sim.chance(0.05) {
		length = p.sim.randomDuration(100*time.Millisecond, 1500*time.Millisecond)
	}
	number := p.runNumber
	done := func() { p.runAs(number, func() { p.finish(c) }) }
	p.request(c.server, false, func(answer func(func())) {
		c.server.call(c.key, c.fence, limit, length, func(ran bool) {
			at := p.sim.now
			answer(func() {
				if ran {
					p.sim.checker.lastServed[c.key] = at
				}
				p.finish(c)
			})
		})
	}, done)
}

// dropAtDeadline removes a call to a server of kind deadlines after its deadline has passed.
func (p *proc) dropAtDeadline(c *simCall) {
	if p.sim.fencing != assign.Deadlines {
		return
	}
	number := p.runNumber
	p.sim.after(p.clock.simTimeAt(c.deadline)-p.sim.now+time.Microsecond, func() {
		p.runAs(number, func() { p.finish(c) })
	})
}

// finish removes a call. If a newer table was applied since the call was sent, it reports the new
// count.
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

package owner_test

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// play runs a schedule of faults, ends them with a last loss, and checks that every key is served
// again within repairTime.
func (s *simulation) play() {
	for range 2 + s.rng.IntN(7) {
		s.after(s.between(0, faultEnd), s.fault)
	}
	s.run(faultEnd)
	s.heal()
	s.lastLoss()
	for t := faultEnd + settleTime; t < faultEnd+repairTime && !s.settled(); t += beat {
		s.run(t)
	}
	if s.kind != assign.None && s.history.violation == "" && !s.settled() {
		s.run(faultEnd + repairTime)
		s.history.repaired(faultEnd)
	}
}

// settled reports whether the schedule has nothing more to show: a decider is active and every key
// was served after the last fault.
func (s *simulation) settled() bool {
	if s.now < faultEnd+settleTime || s.leader == nil || !s.leader.up || s.leader.paused || !s.leader.leads() {
		return false
	}
	t := s.leader.decider.Table()
	if t == nil || !s.leader.decider.Committed(t.Version) {
		return false
	}
	for _, key := range s.keys {
		if h, ok := t.Lookup(service, key); !ok || !h.Open || s.history.served[key] < faultEnd {
			return false
		}
	}
	return true
}

// fault makes one fault happen, or two at the same time.
func (s *simulation) fault() {
	s.oneFault()
	if s.chance(0.3) {
		s.oneFault()
	}
}

func (s *simulation) oneFault() {
	length := s.between(50*time.Millisecond, 3500*time.Millisecond)
	p := s.procs[s.rng.IntN(len(s.procs))]
	v := s.servers[s.rng.IntN(len(s.servers))]
	switch s.rng.IntN(16) {
	case 0:
		s.cutLink(string(p.id), string(v.id), length)
	case 1:
		s.cutLink(string(p.id), string(s.procs[s.rng.IntN(len(s.procs))].id), length)
	case 2:
		s.isolate(p, length)
	case 3, 4:
		p.pause(length)
	case 5:
		s.restartProcess(p, length)
	case 6, 7:
		v.freeze(length)
	case 8:
		s.killServer(v, length/2)
	case 9:
		s.storeDown(length)
	case 10:
		s.resign()
	case 11:
		s.drain(v, length)
	case 12:
		s.skewLoad()
	case 13:
		s.tangle(p, v, length)
	case 14:
		s.island(p, v)
	case 15:
		if s.chance(0.25) {
			s.forget(termLen + 60*time.Millisecond)
		}
	}
}

func (s *simulation) cutLink(a, b string, length time.Duration) {
	s.log("cut %s -> %s for %v", a, b, length)
	links := [][2]string{{a, b}}
	switch s.rng.IntN(3) {
	case 0:
		links = append(links, [2]string{b, a})
	case 1:
		links[0] = [2]string{b, a}
	}
	for _, l := range links {
		s.cut[l] = true
		s.after(length, func() { delete(s.cut, l) })
	}
}

// isolate cuts a process from the other processes but not from the servers.
func (s *simulation) isolate(p *proc, length time.Duration) {
	for _, o := range s.procs {
		if o != p {
			s.cutLink(string(p.id), string(o.id), length)
		}
	}
}

// restartProcess keeps to the tolerated loss: all other electors still have their tables.
func (s *simulation) restartProcess(p *proc, length time.Duration) {
	for _, e := range s.voting() {
		if e != p && (!e.up || !e.recovered) {
			return
		}
	}
	if !p.up {
		return
	}
	p.kill()
	s.after(length, func() {
		if !p.up {
			p.start()
			s.log("%s starts", p.incarnation())
		}
	})
}

// tangle restarts a process and, when it may just have got its first lease, cuts it from the others,
// changes the decider and drains a server.
func (s *simulation) tangle(p *proc, v *simServer, length time.Duration) {
	s.restartProcess(p, s.between(0, 50*time.Millisecond))
	s.after(s.between(100*time.Millisecond, 600*time.Millisecond), func() {
		if !s.faults {
			return
		}
		s.isolate(p, length)
		s.resign()
		s.drain(v, length)
	})
}

// island restarts a process and cuts it and the leader from all others but each other; a server is
// drained when another decider has started.
func (s *simulation) island(p *proc, v *simServer) {
	l := s.leader
	if l == nil || l == p {
		return
	}
	s.restartProcess(p, s.between(0, 50*time.Millisecond))
	for _, o := range s.procs {
		for _, inside := range []*proc{p, l} {
			if o != p && o != l {
				s.cutBoth(string(inside.id), string(o.id), 2500*time.Millisecond)
			}
		}
	}
	s.after(s.between(1100*time.Millisecond, 2*time.Second), func() {
		if s.faults {
			s.drain(v, 2*time.Second)
		}
	})
}

func (s *simulation) cutBoth(a, b string, length time.Duration) {
	s.log("cut %s - %s for %v", a, b, length)
	for _, l := range [][2]string{{a, b}, {b, a}} {
		s.cut[l] = true
		s.after(length, func() { delete(s.cut, l) })
	}
}

func (s *simulation) killServer(v *simServer, length time.Duration) {
	if !v.up {
		return
	}
	v.kill(s.chance(0.3) && s.remaining() > 2)
	s.after(length, v.restart)
}

// remaining counts the servers that still exist.
func (s *simulation) remaining() int {
	n := 0
	for _, v := range s.servers {
		if !v.gone {
			n++
		}
	}
	return n
}

func (s *simulation) storeDown(length time.Duration) {
	s.log("store down for %v", length)
	s.store.down = true
	s.after(length, func() { s.store.down = false })
}

func (s *simulation) resign() {
	if s.leader != nil && s.now < s.leader.until {
		s.log("%s resigns", s.leader.id)
		s.leader.until = s.now
	}
}

func (s *simulation) drain(v *simServer, length time.Duration) {
	s.log("%s drains", v.id)
	v.draining = true
	s.after(length, func() { v.draining = false })
}

// skewLoad makes the decider rebalance.
func (s *simulation) skewLoad() {
	if s.leader == nil {
		return
	}
	load := make(map[assign.Span]float64)
	for i := range s.keys {
		load[assign.Span{From: uint64(i) << 62, To: uint64(i)<<62 | (1<<62 - 1)}] = s.rng.Float64()
	}
	hot := map[uint64]float64{s.keys[s.rng.IntN(len(s.keys))]: 1}
	s.leader.decide(owner.LoadReported{Process: s.leader.id, Service: service, Spans: load, Keys: hot})
}

// heal ends all faults but the loss of VMs.
func (s *simulation) heal() {
	s.log("heal")
	s.faults = false
	s.cut = make(map[[2]string]bool)
	s.store.down = false
	for _, p := range s.procs {
		if !p.up {
			p.start()
			s.log("%s starts", p.incarnation())
		} else if p.paused {
			p.resume()
		}
	}
	for _, v := range s.servers {
		v.draining = false
		v.restart()
		v.thaw()
	}
}

// lastLoss loses a server, the leader, or both, for good.
func (s *simulation) lastLoss() {
	v := s.servers[s.rng.IntN(len(s.servers))]
	if s.chance(0.6) && !v.gone && s.remaining() > 1 {
		if s.chance(0.7) {
			v.freeze(time.Hour)
		} else {
			v.kill(false)
		}
	}
	for _, e := range s.voting() {
		if !e.recovered {
			return
		}
	}
	p := s.procs[s.rng.IntN(len(s.procs))]
	if s.leader != nil && s.chance(0.5) {
		p = s.leader
	}
	switch s.rng.IntN(4) {
	case 0:
		p.pause(time.Hour)
	case 1:
		p.kill()
	case 2:
		s.resign()
	}
}

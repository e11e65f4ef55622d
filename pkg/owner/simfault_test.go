package owner_test

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// runSchedule runs a schedule of faults, ends them with a final loss, and checks that every key is
// served again within maxRepairTime.
func (s *simulation) runSchedule() {
	for range 2 + s.rng.IntN(7) {
		s.after(s.randomDuration(0, faultEnd), s.injectFaults)
	}
	s.run(faultEnd)
	s.endFaults()
	s.finalLoss()
	for t := faultEnd + settleTime; t < faultEnd+maxRepairTime && !s.settled(); t += heartbeatInterval {
		s.run(t)
	}
	if s.fencing != assign.None && s.checker.violation == "" && !s.settled() {
		s.run(faultEnd + maxRepairTime)
		s.checker.checkRepaired(faultEnd)
	}
}

// settled reports whether the schedule can end early: a decider is active, and every key was served
// after the last fault.
func (s *simulation) settled() bool {
	if s.now < faultEnd+settleTime || s.leader == nil || !s.leader.up || s.leader.paused || !s.leader.leads() {
		return false
	}
	t := s.leader.decider.Table()
	if t == nil || !s.leader.decider.Committed(t.Version) {
		return false
	}
	for _, key := range s.keys {
		if h, ok := t.Lookup(service, key); !ok || !h.Open || s.checker.lastServed[key] < faultEnd {
			return false
		}
	}
	return true
}

// injectFaults injects one fault, or two at the same time.
func (s *simulation) injectFaults() {
	s.injectFault()
	if s.chance(0.3) {
		s.injectFault()
	}
}

func (s *simulation) injectFault() {
	length := s.randomDuration(50*time.Millisecond, 3500*time.Millisecond)
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
		s.endTerm()
	case 11:
		s.drain(v, length)
	case 12:
		s.skewLoad()
	case 13:
		s.restartThenIsolate(p, v, length)
	case 14:
		s.isolateWithLeader(p, v)
	case 15:
		if s.chance(0.25) {
			s.restartAll(termLength + 60*time.Millisecond)
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
		s.cutLinks[l] = true
		s.after(length, func() { delete(s.cutLinks, l) })
	}
}

// isolate cuts a process off from the other processes, but not from the servers.
func (s *simulation) isolate(p *proc, length time.Duration) {
	for _, o := range s.procs {
		if o != p {
			s.cutLink(string(p.id), string(o.id), length)
		}
	}
}

// restartProcess restarts a process only while all other electors still have their tables, because
// the cell tolerates no greater loss.
func (s *simulation) restartProcess(p *proc, length time.Duration) {
	for _, e := range s.electorProcs() {
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

// restartThenIsolate restarts a process. At about the time of its first lease, it cuts the process
// off from the others, ends the leader's term and drains a server.
func (s *simulation) restartThenIsolate(p *proc, v *simServer, length time.Duration) {
	s.restartProcess(p, s.randomDuration(0, 50*time.Millisecond))
	s.after(s.randomDuration(100*time.Millisecond, 600*time.Millisecond), func() {
		if !s.faults {
			return
		}
		s.isolate(p, length)
		s.endTerm()
		s.drain(v, length)
	})
}

// isolateWithLeader restarts a process and cuts it and the leader off from all processes but each
// other. It drains a server after another decider has had time to start.
func (s *simulation) isolateWithLeader(p *proc, v *simServer) {
	l := s.leader
	if l == nil || l == p {
		return
	}
	s.restartProcess(p, s.randomDuration(0, 50*time.Millisecond))
	for _, o := range s.procs {
		for _, inside := range []*proc{p, l} {
			if o != p && o != l {
				s.cutBothWays(string(inside.id), string(o.id), 2500*time.Millisecond)
			}
		}
	}
	s.after(s.randomDuration(1100*time.Millisecond, 2*time.Second), func() {
		if s.faults {
			s.drain(v, 2*time.Second)
		}
	})
}

func (s *simulation) cutBothWays(a, b string, length time.Duration) {
	s.log("cut %s - %s for %v", a, b, length)
	for _, l := range [][2]string{{a, b}, {b, a}} {
		s.cutLinks[l] = true
		s.after(length, func() { delete(s.cutLinks, l) })
	}
}

func (s *simulation) killServer(v *simServer, length time.Duration) {
	if !v.up {
		return
	}
	v.kill(s.chance(0.3) && s.existingServers() > 2)
	s.after(length, v.restart)
}

// existingServers returns the number of servers whose VM still exists.
func (s *simulation) existingServers() int {
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

func (s *simulation) endTerm() {
	if s.leader != nil && s.now < s.leader.termEnd {
		s.log("term of %s ends early", s.leader.id)
		s.leader.termEnd = s.now
	}
}

func (s *simulation) drain(v *simServer, length time.Duration) {
	s.log("%s drains", v.id)
	v.draining = true
	s.after(length, func() { v.draining = false })
}

// skewLoad reports an uneven load, so that the decider rebalances.
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

// endFaults ends all faults except the loss of VMs.
func (s *simulation) endFaults() {
	s.log("all faults end")
	s.faults = false
	s.cutLinks = make(map[[2]string]bool)
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
		v.unfreeze()
	}
}

// finalLoss may lose a server, a process such as the leader, or both, for the rest of the schedule.
func (s *simulation) finalLoss() {
	v := s.servers[s.rng.IntN(len(s.servers))]
	if s.chance(0.6) && !v.gone && s.existingServers() > 1 {
		if s.chance(0.7) {
			v.freeze(time.Hour)
		} else {
			v.kill(false)
		}
	}
	for _, e := range s.electorProcs() {
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
		s.endTerm()
	}
}

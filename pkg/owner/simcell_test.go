package owner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// newSimulation returns a cell whose processes have a first table and whose record is stored.
func newSimulation(seed uint64, kind assign.Fencing) *simulation {
	s := &simulation{
		seed:     seed,
		rng:      rand.New(rand.NewPCG(seed, uint64(kind))),
		fencing:  kind,
		cutLinks: make(map[[2]string]bool),
		faults:   true,
	}
	s.checker = newChecker(s)
	s.store = &simStore{sim: s}
	for i := range 3 + s.rng.IntN(2) {
		s.servers = append(s.servers, s.newServer(i))
	}
	electors := 3
	if s.chance(0.3) {
		electors = 5
	}
	for i := range electors + s.rng.IntN(2) {
		p := &proc{sim: s, id: assign.ProcessID(fmt.Sprintf("p%d", i)), clock: s.newClock()}
		s.procs = append(s.procs, p)
		p.start()
	}
	s.firstTable(electors)
	if s.chance(0.02) {
		s.restartAll(0)
		s.store.record, s.store.version = nil, 0
	}
	s.scheduleEvents()
	return s
}

func (s *simulation) newServer(i int) *simServer {
	return &simServer{
		sim:       s,
		id:        assign.ServerID(fmt.Sprintf("s%d", i)),
		clock:     s.newClock(),
		up:        true,
		grants:    make(map[uint64]simGrant),
		minFences: make(map[uint64]lease.Fence),
		running:   make(map[*simRun]bool),
	}
}

// firstTable gives every process a table. The table has only a few spans, so that a schedule runs
// fast.
func (s *simulation) firstTable(electors int) {
	const spans = 4
	t := &assign.Table{Version: 1, Services: make(map[assign.ServiceID][]assign.Holding)}
	r := &assign.Record{Cell: "cell", Token: "first", NextFence: 100, Services: make(map[assign.ServiceID][]assign.Place)}
	for i := range spans {
		place := assign.Place{Span: assign.Span{From: uint64(i) << 62, To: uint64(i)<<62 | (1<<62 - 1)}, Base: 10}
		for rank := range min(4, len(s.servers)) {
			place.Owners = append(place.Owners, s.servers[(i+rank)%len(s.servers)].id)
		}
		s.keys = append(s.keys, place.Span.From+7)
		t.Services[service] = append(t.Services[service], assign.Holding{Place: place, Open: true})
		r.Services[service] = append(r.Services[service], place)
	}
	for i, p := range s.procs {
		t.Processes = append(t.Processes, p.id)
		t.Runs = append(t.Runs, assign.Run{Process: p.id, Incarnation: p.incarnation()})
		if i < electors {
			t.Electors = append(t.Electors, p.id)
		}
	}
	for i := range 4 {
		n := len(s.procs)
		t.Buckets = append(t.Buckets, assign.Bucket{
			Generation: 1, Recorders: []assign.ProcessID{s.procs[i%n].id, s.procs[(i+1)%n].id},
		})
	}
	r.Electors, r.Buckets = t.Electors, t.Buckets
	s.store.record, s.store.version = r, 1
	s.electors = t.Electors
	for _, p := range s.procs {
		p.recovered = true
		p.follow(owner.TableLearned{Table: t})
	}
}

// restartAll restarts every process at once, so that all tables are lost. Processes that restarted
// do not promise a term before wait has passed.
func (s *simulation) restartAll(wait time.Duration) {
	s.log("all processes restart")
	s.checker.acknowledged = make(map[uint64]assignment)
	for _, p := range s.procs {
		if p.up {
			p.kill()
		}
		p.start()
		number := p.runNumber
		s.after(wait, func() { p.recovered = p.recovered || number == p.runNumber })
	}
}

func (s *simulation) scheduleEvents() {
	s.every(50*time.Millisecond, s.elect)
	for _, p := range s.procs {
		s.every(heartbeatInterval, func() { p.decide(owner.Tick{}) })
		s.every(s.randomDuration(40*time.Millisecond, 120*time.Millisecond), func() {
			p.run(p.makeCalls)
		})
	}
}

func (s *simulation) proc(id assign.ProcessID) *proc {
	return s.procs[slices.IndexFunc(s.procs, func(p *proc) bool { return p.id == id })]
}

func (s *simulation) server(id assign.ServerID) *simServer {
	return s.servers[slices.IndexFunc(s.servers, func(v *simServer) bool { return v.id == id })]
}

// electorProcs returns the electors, which the simulation never changes.
func (s *simulation) electorProcs() []*proc {
	var ps []*proc
	for _, id := range s.electors {
		ps = append(ps, s.proc(id))
	}
	return ps
}

// elect renews the term of the leader, or starts a new term after the old one has ended. It
// replaces pkg/elect: the properties that matter here are that terms do not overlap, and that a
// majority of the electors refuses the old term and returns its tables.
func (s *simulation) elect() {
	s.recoverElectors()
	if s.leader != nil && s.now < s.leader.termEnd {
		if len(s.reachableElectors(s.leader)) > len(s.electorProcs())/2 {
			s.leader.termEnd = s.now + termLength
		}
		return
	}
	if s.leader != nil {
		s.leader.termEnd = 0
	}
	candidates := s.electorProcs()
	p := candidates[s.rng.IntN(len(candidates))]
	if voters := s.reachableElectors(p); len(voters) > len(candidates)/2 {
		s.rng.Shuffle(len(voters), func(i, j int) { voters[i], voters[j] = voters[j], voters[i] })
		s.startTerm(p, voters[:len(candidates)/2+1])
	}
}

// reachableElectors returns the electors that can promise a term to p.
func (s *simulation) reachableElectors(p *proc) []*proc {
	if !p.up || p.paused {
		return nil
	}
	var ps []*proc
	for _, e := range s.electorProcs() {
		if e.up && !e.paused && e.recovered && s.connected(string(p.id), string(e.id)) {
			ps = append(ps, e)
		}
	}
	return ps
}

// recoverElectors gives each restarted elector the highest table of a majority of the others.
func (s *simulation) recoverElectors() {
	for _, p := range s.electorProcs() {
		if !p.up || p.paused || p.recovered {
			continue
		}
		voters := s.reachableElectors(p)
		if 2*len(voters) <= len(s.electorProcs())-1 {
			continue
		}
		var best *assign.Table
		for _, e := range voters {
			if t := e.follower.Table(); t != nil && (best == nil || t.Version > best.Version) {
				best = t
			}
		}
		p.recovered = true
		p.follow(owner.TableLearned{Table: best})
	}
}

func (s *simulation) startTerm(p *proc, voters []*proc) {
	s.term++
	s.leader = p
	p.term = s.term
	p.termEnd = s.now + termLength
	p.decider = owner.NewDecider(owner.Config{Cell: "cell", Self: p.id, ChurnBudget: 0.5})
	started := owner.Started{Term: s.term, RecordUnread: true, Servers: s.listedServers(), Electors: s.electors}
	for _, e := range voters {
		e.follow(owner.TermPromised{Term: s.term})
		started.Tables = append(started.Tables, e.follower.Table())
	}
	for _, o := range s.procs {
		started.Processes = append(started.Processes, owner.Process{ID: o.id})
	}
	if !s.store.down && s.chance(0.7) {
		started.Record, started.RecordVersion, started.RecordUnread = s.store.record, s.store.version, false
	}
	s.log("%s wins term %d", p.id, s.term)
	p.perform(p.decider.Step(p.read(), started))
	if t := p.decider.Table(); t != nil {
		s.checker.checkInherited(t)
	}
}

// listedServers returns the servers that the platform lists.
func (s *simulation) listedServers() []assign.Server {
	var listed []assign.Server
	for i, v := range s.servers {
		if !v.gone {
			listed = append(listed, assign.Server{ID: v.id, Service: service, Fencing: s.fencing, FailureDomain: fmt.Sprint(i % 3)})
		}
	}
	return listed
}

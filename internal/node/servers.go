package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/entry"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/limit"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
	"github.com/samphiredrum/samphiredrum/pkg/pick"
)

const (
	// watchInterval is the time between two looks of each process at each server of a service
	// without owners.
	watchInterval = 2 * time.Second
	// drainPoll is the time between two looks whether the calls to a removed server have ended.
	drainPoll = 100 * time.Millisecond
	// vmInterval is the time between two reads of the VM list by the decider.
	vmInterval = 2 * time.Second
	// longShare is the part of a server's slots that long work may use: 2 of 6.
	longShare = 3
)

// servers holds the runtime state of services and servers. It belongs to the control goroutine.
type servers struct {
	node     *Node
	services map[assign.ServiceID]*entry.Service
	members  map[assign.ServerID]*member
	// leaving are the servers that leave by the list of VMs, ordered those that operators drain. The
	// decider tells both in its heartbeats, so that they outlive it.
	leaving map[assign.ServerID]bool
	ordered map[assign.ServerID]bool
}

// member is a server with the watcher of its health.
type member struct {
	*entry.Server
	client  back.Server
	watcher *watcher
	granter *granter
}

func newServers(n *Node) *servers {
	return &servers{
		node:     n,
		services: make(map[assign.ServiceID]*entry.Service),
		members:  make(map[assign.ServerID]*member),
		leaving:  make(map[assign.ServerID]bool),
		ordered:  make(map[assign.ServerID]bool),
	}
}

func (s *servers) get(id assign.ServerID) *entry.Server {
	if m := s.members[id]; m != nil {
		return m.Server
	}
	return nil
}

// update takes over the services in force. Runtime state of servers that stay is kept.
func (s *servers) update(services []conf.Service, processes int) {
	next := make(map[assign.ServiceID]*entry.Service, len(services))
	used := make(map[assign.ServerID]bool)
	for _, settings := range services {
		service := s.service(settings)
		next[settings.ID] = service
		for _, server := range settings.Servers {
			used[server.ID] = true
			service.Members[server.ID] = s.member(service, server, processes).Server
		}
		if service.Picker != nil {
			service.Picker.Update(s.node.clock.Now(), s.listed(settings))
		}
	}
	for id, m := range s.members {
		if !used[id] {
			m.watcher.cancel()
			delete(s.members, id)
		}
	}
	s.services = next
}

// service returns the runtime state of a service, with the run times of an earlier one.
func (s *servers) service(settings conf.Service) *entry.Service {
	service := &entry.Service{Service: settings, Members: make(map[assign.ServerID]*entry.Server)}
	if old := s.services[settings.ID]; old != nil && old.Exclusive == settings.Exclusive {
		service.Calls, service.Picker = old.Calls, old.Picker
		return service
	}
	service.Calls = limit.NewCalls(limit.CallsConfig{Share: s.node.settings.Limits.RetryBudget})
	if !settings.Exclusive {
		random := rand.New(rand.NewPCG(s.node.incarnation, assign.Hash(string(settings.ID))))
		service.Picker = pick.NewSharedPicker(pick.Config{FailureDomain: s.node.settings.FailureDomain}, random)
	}
	return service
}

// member returns the runtime state of a server. A server with another address is another one.
func (s *servers) member(service *entry.Service, server assign.Server, processes int) *member {
	connections := max(1, service.Connections/max(1, processes))
	if m := s.members[server.ID]; m != nil {
		if m.Address == server.Address && m.Fencing == server.Fencing && m.Service == server.Service {
			m.Gate.SetCeiling(connections)
			return m
		}
		m.watcher.cancel()
	}
	client := s.node.dial(server, connections)
	gate := limit.NewGate(limit.GateConfig{
		Server: server.ID, Ceiling: connections, QueueLength: s.node.settings.Limits.QueueLength,
	}, service.Calls, s.node.clock)
	m := &member{Server: entry.NewServer(server, client, gate, s.node.settings.Timing.Margin), client: client}
	m.watcher = newWatcher(s.node, m.Server, service.Picker)
	m.granter = newGranter(m.watcher.ctx, s.node, m.Server)
	s.node.group.Go(m.watcher.loop)
	s.node.group.Go(m.granter.loop)
	s.members[server.ID] = m
	return m
}

// listed returns the servers of a service, marked as draining where the platform says they leave.
func (s *servers) listed(settings conf.Service) []assign.Server {
	list := make([]assign.Server, len(settings.Servers))
	for i, server := range settings.Servers {
		server.Draining = server.Draining || s.leaving[server.ID] || s.ordered[server.ID]
		list[i] = server
	}
	return list
}

// refresh tells the choice of servers which of them drain.
func (s *servers) refresh() {
	for _, service := range s.services {
		if service.Picker != nil {
			service.Picker.Update(s.node.clock.Now(), s.listed(service.Service))
		}
	}
}

func (s *servers) close() {
	for _, m := range s.members {
		m.watcher.cancel()
	}
}

// watcher looks at the health of one server for this process.
type watcher struct {
	node   *Node
	server *entry.Server
	choice *pick.SharedPicker
	ctx    context.Context
	cancel context.CancelFunc
}

func newWatcher(n *Node, server *entry.Server, choice *pick.SharedPicker) *watcher {
	ctx, cancel := context.WithCancel(n.ctx)
	return &watcher{node: n, server: server, choice: choice, ctx: ctx, cancel: cancel}
}

// loop looks at servers of services without owners, whose load is compared. The clock of a server
// that owns keys is read with answers to calls and before a call after a pause, see entry, so an
// idle process sends nothing to it unless calls without an answer are to be settled.
func (w *watcher) loop() {
	for w.ctx.Err() == nil {
		if w.choice != nil || w.server.Pending() > 0 {
			w.look()
		}
		wait(w.ctx, watchInterval)
	}
	// A server that was taken out of the settings may still have calls in flight.
	for w.server.Gate.Load().InFlight > 0 && w.node.ctx.Err() == nil {
		wait(w.node.ctx, drainPoll)
	}
	if closer, ok := w.server.Client.(interface{ Close() error }); ok {
		_ = closer.Close()
	}
}

func (w *watcher) look() {
	ctx, cancel := context.WithTimeout(w.ctx, serverTime)
	defer cancel()
	health, err := w.server.Client.Health(ctx)
	if err != nil {
		return
	}
	w.server.Observe(health.Receipt)
	w.server.ResolvePending(w.ctx)
	if w.choice == nil {
		return
	}
	w.choice.Report(w.node.clock.Now(), w.server.ID, pick.Report{
		Load:     health.Load,
		Cold:     health.Status == back.StatusCold,
		Draining: health.Status == back.StatusDraining,
	})
}

// publishView puts the table, the services and the buckets in force for traffic.
func (c *control) publishView() {
	table := c.follower.Table()
	if table != nil {
		// Buckets come from a table that a majority of the electors holds: another decider could
		// give the same generation of a bucket to other recorders.
		shown := *table
		shown.Buckets = nil
		if c.held != nil {
			shown.Buckets = c.held.Buckets
		}
		table = &shown
	}
	c.node.router.Publish(&entry.View{Table: table, Services: c.servers.services, Versions: c.teams.versions()})
}

// processCount returns the number of processes that share the connections of a server.
func (c *control) processCount() int {
	return len(c.node.settings.Peers)
}

// updateKeepers tells the keepers of long work the processes and servers in force.
func (c *control) updateKeepers() {
	if c.held == nil {
		return
	}
	tokens := make(map[assign.ServerID]int)
	longest := time.Second
	for _, s := range c.servers.services {
		for _, server := range s.Servers {
			tokens[server.ID] = max(1, s.Slots/longShare)
		}
		for _, o := range s.Operations {
			if o.Class == conf.Long {
				longest = max(longest, o.Timeout)
			}
		}
	}
	c.node.keepers.update(c.held.Processes, tokens, longest)
}

// exclusiveServers returns the servers of services whose keys are owned.
func (c *control) exclusiveServers() []assign.Server {
	var list []assign.Server
	for _, service := range c.teams.services() {
		if service.Exclusive {
			list = append(list, c.servers.listed(service)...)
		}
	}
	return list
}

func (c *control) listServers() {
	budgets := make(map[assign.ServiceID]float64)
	for _, service := range c.teams.services() {
		budgets[service.ID] = service.ChurnBudget
	}
	c.decide(owner.ServersListed{Servers: c.exclusiveServers(), Budgets: budgets})
}

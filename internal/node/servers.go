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
	// healthInterval is the time between two health checks of each process at each server of a service without
	// owners.
	healthInterval = 2 * time.Second
	// drainPollInterval is the time between two checks whether the calls to a removed server have ended.
	drainPollInterval = 100 * time.Millisecond
	// vmInterval is the time between two reads of the VM list by the decider.
	vmInterval = 2 * time.Second
	// longWorkDivisor limits long work to a third of a server's slots, 2 of 6.
	longWorkDivisor = 3
)

// servers is the runtime state of services and servers. Only the control goroutine accesses it.
type servers struct {
	node     *Node
	services map[assign.ServiceID]*entry.Service
	members  map[assign.ServerID]*member
	// leaving contains the servers that leave according to the VM list, drainRequested those that operators
	// drain. The decider sends both in its heartbeats, so that they survive the loss of the decider.
	leaving        map[assign.ServerID]bool
	drainRequested map[assign.ServerID]bool
}

// member is a server with its health watcher and its grant sender.
type member struct {
	*entry.Server
	client  back.Server
	watcher *watcher
	grants  *grantSender
}

func newServers(n *Node) *servers {
	return &servers{
		node:           n,
		services:       make(map[assign.ServiceID]*entry.Service),
		members:        make(map[assign.ServerID]*member),
		leaving:        make(map[assign.ServerID]bool),
		drainRequested: make(map[assign.ServerID]bool),
	}
}

func (s *servers) get(id assign.ServerID) *entry.Server {
	if m := s.members[id]; m != nil {
		return m.Server
	}
	return nil
}

// update replaces the services in force. It keeps the runtime state of servers that remain.
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
			service.Picker.Update(s.node.clock.Now(), s.withDraining(settings))
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

// service returns the runtime state of a service, with the call statistics and picker of its predecessor.
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

// member returns the runtime state of a server. A server whose address, fencing or service changes is replaced.
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
	m.grants = newGrantSender(m.watcher.ctx, s.node, m.Server)
	s.node.group.Go(m.watcher.loop)
	s.node.group.Go(m.grants.loop)
	s.members[server.ID] = m
	return m
}

// withDraining returns the servers of a service, marked as draining if they leave or an operator drains them.
func (s *servers) withDraining(settings conf.Service) []assign.Server {
	list := make([]assign.Server, len(settings.Servers))
	for i, server := range settings.Servers {
		server.Draining = server.Draining || s.leaving[server.ID] || s.drainRequested[server.ID]
		list[i] = server
	}
	return list
}

// updateDraining updates which servers are draining in the pickers.
func (s *servers) updateDraining() {
	for _, service := range s.services {
		if service.Picker != nil {
			service.Picker.Update(s.node.clock.Now(), s.withDraining(service.Service))
		}
	}
}

func (s *servers) close() {
	for _, m := range s.members {
		m.watcher.cancel()
	}
}

// watcher checks the health of one server for this process.
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

// loop checks the servers of services without owners, as their loads are compared. The clock of a server
// that owns keys is read from its answers to calls, and before a call after a pause (see package entry). An
// idle process therefore sends nothing to it unless calls without an answer are to be resolved.
func (w *watcher) loop() {
	for w.ctx.Err() == nil {
		if w.choice != nil || w.server.Pending() > 0 {
			w.checkHealth()
		}
		sleep(w.ctx, healthInterval)
	}
	// A server that was removed from the configuration may still have calls in flight.
	for w.server.Gate.Load().InFlight > 0 && w.node.ctx.Err() == nil {
		sleep(w.node.ctx, drainPollInterval)
	}
	if closer, ok := w.server.Client.(interface{ Close() error }); ok {
		_ = closer.Close()
	}
}

func (w *watcher) checkHealth() {
	ctx, cancel := context.WithTimeout(w.ctx, serverTimeout)
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

// publishView publishes the table, services and buckets in force to the router.
func (c *control) publishView() {
	table := c.follower.Table()
	if table != nil {
		// The buckets come from a table that a majority of the electors holds: otherwise another decider
		// could assign the same generation of a bucket to other recorders.
		published := *table
		published.Buckets = nil
		if c.committed != nil {
			published.Buckets = c.committed.Buckets
		}
		table = &published
	}
	c.node.router.Publish(&entry.View{Table: table, Services: c.servers.services, Versions: c.teams.versions()})
}

// processCount returns the number of processes that share the connections of a server.
func (c *control) processCount() int {
	return len(c.node.settings.Peers)
}

// updateIssuers passes the processes and servers in force to the token issuers of long work.
func (c *control) updateIssuers() {
	if c.committed == nil {
		return
	}
	tokenCounts := make(map[assign.ServerID]int)
	maxTimeout := time.Second
	for _, s := range c.servers.services {
		for _, server := range s.Servers {
			tokenCounts[server.ID] = max(1, s.Slots/longWorkDivisor)
		}
		for _, o := range s.Operations {
			if o.Class == conf.Long {
				maxTimeout = max(maxTimeout, o.Timeout)
			}
		}
	}
	c.node.issuers.update(c.committed.Processes, tokenCounts, maxTimeout)
}

// exclusiveServers returns the servers of exclusive services, whose keys have owners.
func (c *control) exclusiveServers() []assign.Server {
	var list []assign.Server
	for _, service := range c.teams.services() {
		if service.Exclusive {
			list = append(list, c.servers.withDraining(service)...)
		}
	}
	return list
}

func (c *control) updateServerList() {
	budgets := make(map[assign.ServiceID]float64)
	for _, service := range c.teams.services() {
		budgets[service.ID] = service.ChurnBudget
	}
	c.stepDecider(owner.ServersListed{Servers: c.exclusiveServers(), Budgets: budgets})
}

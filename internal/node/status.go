package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// statusInterval is the time between two snapshots of the control state.
const statusInterval = 50 * time.Millisecond

// Status is a snapshot of a process's control state.
type Status struct {
	Process assign.ProcessID `json:"process"`
	// Decider is the process whose heartbeat was last accepted.
	Decider  assign.ProcessID  `json:"decider"`
	Term     uint64            `json:"term"`
	Leading  bool              `json:"leading"`
	Serving  bool              `json:"serving"`
	Draining bool              `json:"draining"`
	Version  uint64            `json:"table-version"`
	Teams    map[string]uint64 `json:"teams"`
	Owners   []Owner           `json:"owners"`
	Servers  []ServerStatus    `json:"servers"`
	// Recording reports whether a table with the recorders of bookings is in force.
	Recording bool `json:"recording"`
	// Identifiers is the number of booking identifiers stored by this process.
	Identifiers int `json:"identifiers"`

	takenAt time.Time
	table   *assign.Table
}

// Owner is the ownership of one span.
type Owner struct {
	Service assign.ServiceID `json:"service"`
	From    uint64           `json:"from"`
	To      uint64           `json:"to"`
	Server  assign.ServerID  `json:"server"`
	Fence   lease.Fence      `json:"fence"`
	Open    bool             `json:"open"`
}

// ServerStatus is a server as this process sees it.
type ServerStatus struct {
	Server   assign.ServerID `json:"server"`
	Leaving  bool            `json:"leaving"`
	InFlight int             `json:"in-flight"`
	Queued   int             `json:"queued"`
	Allowed  int             `json:"allowed"`
}

// publishStatus publishes a snapshot if the last one is older than statusInterval.
func (c *control) publishStatus() {
	now := c.node.clock.Now()
	if now.Sub(c.node.status.Load().takenAt) < statusInterval {
		return
	}
	s := &Status{
		Process:     c.node.settings.Name,
		Decider:     c.election.Leader(),
		Term:        c.election.Term(),
		Leading:     c.leading != nil,
		Serving:     c.node.router.Serves(),
		Draining:    c.draining,
		Version:     c.follower.Version(),
		Teams:       c.teams.versions(),
		Recording:   c.committed != nil,
		Identifiers: c.node.recorder.size(),
		takenAt:     now,
		table:       c.follower.Table(),
	}
	for id, m := range c.servers.members {
		load := m.Gate.Load()
		s.Servers = append(s.Servers, ServerStatus{
			Server: id, Leaving: c.servers.leaving[id] || c.servers.drainRequested[id], InFlight: load.InFlight, Queued: load.Queued, Allowed: load.Allowed,
		})
	}
	sortServers(s.Servers)
	c.node.status.Store(s)
}

func owners(t *assign.Table) []Owner {
	var list []Owner
	for _, id := range sortedServices(t) {
		for _, h := range t.Services[id] {
			list = append(list, Owner{
				Service: id, From: h.Span.From, To: h.Span.To, Server: h.Owner(), Fence: h.Fence(), Open: h.Open,
			})
		}
	}
	return list
}

func sortedServices(t *assign.Table) []assign.ServiceID {
	return slices.Sorted(maps.Keys(t.Services))
}

func sortServers(list []ServerStatus) {
	slices.SortFunc(list, func(a, b ServerStatus) int { return cmp.Compare(a.Server, b.Server) })
}

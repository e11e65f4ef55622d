package owner

import (
	"math"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// start begins a term from the stored record and the tables of a majority of electors. A table
// holds more than the record wherever both exist: ranks that a majority held, and the runs of
// processes. The highest version is enough. A rank is granted only after a majority held it
// closed, and any two majorities share an elector.
func (d *Decider) start(now time.Time, e Started) {
	d.state = state{
		running:   true,
		term:      e.Term,
		wonAt:     now,
		electors:  slices.Clone(e.Electors),
		processes: sortedProcesses(e.Processes),
		current:   make(map[assign.ProcessID]*run),
		dead:      make(map[assign.Run]bool),
		servers:   make(map[assign.ServerID]*server),
	}
	d.listServers(now, e.Servers)
	if t := highest(e.Tables); t != nil {
		d.adoptTable(now, t)
	}
	if !e.RecordUnread {
		d.recordRead(now, RecordRead{Record: e.Record, Version: e.RecordVersion})
	}
}

func highest(tables []*assign.Table) *assign.Table {
	var best *assign.Table
	for _, t := range tables {
		if t != nil && (best == nil || t.Version > best.Version) {
			best = t
		}
	}
	return best
}

// assumed returns the granter's count of a lease that an earlier decider may have given until this
// term was won.
func (d *Decider) assumed(length time.Duration) lease.Granted {
	var given lease.Granted
	given.Extend(d.wonAt, length, d.config.Margin)
	return given
}

func (d *Decider) adoptTable(now time.Time, t *assign.Table) {
	d.electors = slices.Clone(t.Electors)
	d.buckets = slices.Clone(t.Buckets)
	d.dirty = true
	for _, key := range t.Runs {
		r := &run{Run: key, heard: now, given: d.assumed(d.config.ServingLease)}
		d.runs = append(d.runs, r)
	}
	d.spans = make(map[assign.ServiceID][]*span, len(t.Services))
	for id, holdings := range t.Services {
		for _, h := range holdings {
			d.spans[id] = append(d.spans[id], d.adoptHolding(id, h))
		}
	}
	for id := range t.Services {
		d.adoptServers(now, id)
	}
}

// adoptHolding takes over a holding of an earlier decider. All ranks up to that of a closed span
// may have been granted; before a span opened, the gates of the earlier ranks were open.
func (d *Decider) adoptHolding(id assign.ServiceID, h assign.Holding) *span {
	s := &span{Holding: h, service: id, used: true, granted: d.assumed(d.config.Grant)}
	if h.Open {
		return s
	}
	for rank := 0; rank < h.Rank && rank < len(h.Owners); rank++ {
		s.leaves = append(s.leaves, &leave{
			server: h.Owners[rank],
			fence:  h.Base + lease.Fence(rank),
			given:  d.assumed(d.config.Grant),
		})
	}
	return s
}

// adoptServers makes the servers known that are named in places and no longer listed, with the
// fencing kind of their service.
func (d *Decider) adoptServers(now time.Time, id assign.ServiceID) {
	kind, known := d.serviceKind(id)
	if !known {
		return
	}
	for _, s := range d.spans[id] {
		for _, owner := range s.Owners {
			if d.servers[owner] == nil {
				l := assign.Server{ID: owner, Service: id, Fencing: kind, Draining: true}
				d.servers[owner] = &server{Server: l, heard: now}
			}
		}
	}
}

func (d *Decider) serviceKind(id assign.ServiceID) (assign.Fencing, bool) {
	for _, server := range d.serverIDs() {
		if s := d.servers[server]; s.Service == id {
			return s.Fencing, true
		}
	}
	return assign.None, false
}

// adoptRecord starts from a record alone, where no elector had a table. If this term did not
// create it, earlier owners and runs are not known: every place gets fences above all that were
// reserved, and nothing opens before all leases of earlier deciders have lapsed.
func (d *Decider) adoptRecord(r assign.Record, own bool) {
	d.spans = make(map[assign.ServiceID][]*span, len(r.Services))
	d.buckets = slices.Clone(r.Buckets)
	d.dirty = true
	for id, places := range r.Services {
		for _, p := range places {
			holding := assign.Holding{Place: p, Cold: !own}
			d.spans[id] = append(d.spans[id], &span{Holding: holding, service: id})
		}
	}
	if own {
		return
	}
	for i := range d.buckets {
		d.buckets[i].Recorders = nil
	}
}

// allLapsed returns the time at which every lease and grant of earlier deciders has lapsed.
func (d *Decider) allLapsed() time.Time {
	longest := max(d.config.ServingLease, d.config.Grant)
	given := d.assumed(longest)
	return given.Expires()
}

// firstRecord returns the cell's first record.
func (d *Decider) firstRecord() assign.Record {
	r := assign.Record{Services: make(map[assign.ServiceID][]assign.Place)}
	for _, id := range d.listedServices() {
		r.Services[id] = assign.Initial(d.listedServers(id), 1)
	}
	r.Buckets = d.firstBuckets()
	return r
}

// rebased returns the record with fences above all that it reserves.
func rebased(r assign.Record) assign.Record {
	services := make(map[assign.ServiceID][]assign.Place, len(r.Services))
	for id, places := range r.Services {
		places = slices.Clone(places)
		for i := range places {
			places[i].Base = r.NextFence
		}
		services[id] = places
	}
	r.Services = services
	return r
}

// nextFence returns a fence above all that the places reserve.
func nextFence(services map[assign.ServiceID][]assign.Place, least lease.Fence) lease.Fence {
	next := least
	for _, places := range services {
		for _, p := range places {
			next = max(next, p.Base+lease.Fence(len(p.Owners)))
		}
	}
	if next == math.MaxUint64 {
		panic("owner: fencing numbers are used up")
	}
	return next
}

func (d *Decider) listedServices() []assign.ServiceID {
	var ids []assign.ServiceID
	for _, s := range d.servers {
		if s.listed && !slices.Contains(ids, s.Service) {
			ids = append(ids, s.Service)
		}
	}
	slices.Sort(ids)
	return ids
}

// listedServers returns the servers of a service that may get spans.
func (d *Decider) listedServers(id assign.ServiceID) []assign.Server {
	var servers []assign.Server
	for _, server := range d.serverIDs() {
		if s := d.servers[server]; s.Service == id && s.usable() {
			servers = append(servers, s.Server)
		}
	}
	return servers
}

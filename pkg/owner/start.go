package owner

import (
	"math"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// start begins a term from the stored record and the tables of a majority of the electors. If both
// exist, the table contains more than the record: the ranks that a majority acknowledged, and the
// runs of processes. The table with the highest version suffices, because a rank is granted only
// after a majority has acknowledged it as closed, and any two majorities have an elector in common.
func (d *Decider) start(now time.Time, e Started) {
	d.state = state{
		running:     true,
		term:        e.Term,
		wonAt:       now,
		electors:    slices.Clone(e.Electors),
		processes:   sortedProcesses(e.Processes),
		currentRuns: make(map[assign.ProcessID]*run),
		endedRuns:   make(map[assign.Run]bool),
		servers:     make(map[assign.ServerID]*server),
	}
	d.setServers(now, e.Servers)
	if t := latestTable(e.Tables); t != nil {
		d.adoptTable(now, t)
	}
	if !e.RecordUnread {
		d.recordRead(now, RecordRead{Record: e.Record, Version: e.RecordVersion})
	}
}

func latestTable(tables []*assign.Table) *assign.Table {
	var best *assign.Table
	for _, t := range tables {
		if t != nil && (best == nil || t.Version > best.Version) {
			best = t
		}
	}
	return best
}

// assumedLease returns a lease or grant that an earlier decider may have extended until this term
// was won.
func (d *Decider) assumedLease(length time.Duration) lease.Granted {
	var granted lease.Granted
	granted.Extend(d.wonAt, length, d.config.Margin)
	return granted
}

func (d *Decider) adoptTable(now time.Time, t *assign.Table) {
	d.electors = slices.Clone(t.Electors)
	d.buckets = slices.Clone(t.Buckets)
	d.tableDirty = true
	for _, key := range t.Runs {
		r := &run{Run: key, answeredAt: now, lease: d.assumedLease(d.config.ServingLease)}
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

// adoptHolding takes over a holding of an earlier decider. All ranks up to the current one of a
// closed span may have been granted. For an open span, the owners of the earlier ranks have
// stopped.
func (d *Decider) adoptHolding(id assign.ServiceID, h assign.Holding) *span {
	s := &span{Holding: h, service: id, mayRun: true, granted: d.assumedLease(d.config.Grant)}
	if h.Open {
		return s
	}
	for rank := 0; rank < h.Rank && rank < len(h.Owners); rank++ {
		s.formerOwners = append(s.formerOwners, &formerOwner{
			server:  h.Owners[rank],
			fence:   h.Base + lease.Fence(rank),
			granted: d.assumedLease(d.config.Grant),
		})
	}
	return s
}

// adoptServers adds the servers that places name but that are no longer listed, with the fencing
// kind of their service.
func (d *Decider) adoptServers(now time.Time, id assign.ServiceID) {
	kind, known := d.serviceFencing(id)
	if !known {
		return
	}
	for _, s := range d.spans[id] {
		for _, owner := range s.Owners {
			if d.servers[owner] == nil {
				l := assign.Server{ID: owner, Service: id, Fencing: kind, Draining: true}
				d.servers[owner] = &server{Server: l, answeredAt: now}
			}
		}
	}
}

func (d *Decider) serviceFencing(id assign.ServiceID) (assign.Fencing, bool) {
	for _, server := range d.serverIDs() {
		if s := d.servers[server]; s.Service == id {
			return s.Fencing, true
		}
	}
	return assign.None, false
}

// adoptRecord starts from the record alone because no elector had a table. Unless this term created
// the record, earlier owners and runs are unknown. Then every place has fences above all reserved
// ones, and nothing opens before all leases of earlier deciders have lapsed.
func (d *Decider) adoptRecord(r assign.Record, created bool) {
	d.spans = make(map[assign.ServiceID][]*span, len(r.Services))
	d.buckets = slices.Clone(r.Buckets)
	d.tableDirty = true
	for id, places := range r.Services {
		for _, p := range places {
			holding := assign.Holding{Place: p, Cold: !created}
			d.spans[id] = append(d.spans[id], &span{Holding: holding, service: id})
		}
	}
	if created {
		return
	}
	for i := range d.buckets {
		d.buckets[i].Recorders = nil
	}
}

// allLapsedAt returns the time at which all leases and grants of earlier deciders have lapsed.
func (d *Decider) allLapsedAt() time.Time {
	longest := max(d.config.ServingLease, d.config.Grant)
	granted := d.assumedLease(longest)
	return granted.Expires()
}

// initialRecord returns the first record of the cell.
func (d *Decider) initialRecord() assign.Record {
	r := assign.Record{Services: make(map[assign.ServiceID][]assign.Place)}
	for _, id := range d.listedServices() {
		r.Services[id] = assign.Initial(d.usableServers(id), 1)
	}
	r.Buckets = d.initialBuckets()
	return r
}

// withNewFences returns the record with fences above all that it reserves.
func withNewFences(r assign.Record) assign.Record {
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

// fenceAbove returns the lowest fence that is at least minFence and above all that the places
// reserve.
func fenceAbove(services map[assign.ServiceID][]assign.Place, minFence lease.Fence) lease.Fence {
	next := minFence
	for _, places := range services {
		for _, p := range places {
			next = max(next, p.Base+lease.Fence(len(p.Owners)))
		}
	}
	if next == math.MaxUint64 {
		panic("owner: no fencing number is left")
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

// usableServers returns the servers of a service that spans may be assigned to.
func (d *Decider) usableServers(id assign.ServiceID) []assign.Server {
	var servers []assign.Server
	for _, server := range d.serverIDs() {
		if s := d.servers[server]; s.Service == id && s.usable() {
			servers = append(servers, s.Server)
		}
	}
	return servers
}

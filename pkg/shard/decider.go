package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

const (
	// GrantTimeout is the timeout of a Grant. The hold time of a grant without an answer is counted from
	// the end of this time.
	GrantTimeout = 500 * time.Millisecond
	// ReleaseTimeout is the timeout of one attempt of a Release. The server answers a release only after the
	// running requests for the keys have ended.
	ReleaseTimeout = 2 * time.Second
	// planInterval is the time between two planning passes.
	planInterval = 100 * time.Millisecond
	// renewalsPerHold is the number of times that a grant is renewed during its hold time.
	renewalsPerHold = 3
	// retryInterval is the time from an order without an answer to its next attempt, for each row and owner.
	retryInterval = 300 * time.Millisecond
	// probeInterval is the time between two releases to a server that did not answer the last one, whatever the
	// number of rows that wait for its release.
	probeInterval = 600 * time.Millisecond
	// suspectThreshold is the number of consecutive grants without an answer after which the owner becomes
	// suspect and is replaced.
	suspectThreshold = 3
	// activeWindow is how long a server counts as active after a report that it ran requests.
	activeWindow = 1500 * time.Millisecond
	// suspectDuration is how long a suspect server gets no keys. It is also how long the entry of an unresponsive
	// server is kept after a release to it has become due without being sent.
	suspectDuration = 5 * time.Second
)

// clockMargin bounds how much longer than its hold time a server may hold keys, as seen by the decider's clock.
// The rate covers a server clock that runs 2% slow, the slack covers the transmission of the grant.
var clockMargin = lease.Margin{Rate: 0.021, Slack: 100 * time.Millisecond}

// Config configures a Decider.
type Config struct {
	// Hold is the hold time of a grant while the store is reachable.
	Hold time.Duration
	// LongestHold is the longest hold time that any Decider grants. It is used while the store is down,
	// when no other Decider can take over.
	LongestHold time.Duration
}

// Decider assigns the keys of all partitioned services to servers. It is not safe for concurrent use.
type Decider struct {
	config   Config
	services map[assign.ServiceID]*service
	// lastWrite is the number of the last Write, lastStored that of the last one known to be stored.
	lastWrite, lastStored uint64
	// dirty reports that rows have changed since the last Write and must be stored.
	dirty bool
	// lastPlan is the time of the last planning pass.
	lastPlan  time.Time
	storeDown bool
	// version increases with each change of the rows that View returns.
	version uint64
	// started is the event with which this process became the leader, at startedAt, and latestEnd is when the grants of
	// earlier leaders have expired.
	started   Started
	startedAt time.Time
	latestEnd time.Time
	// limits has the requests per second of the servers with limits.
	limits map[Run]float64
	// cold has the cold runs with their rates.
	cold map[Run]ColdRun
}

// service is the state of one service.
type service struct {
	id        assign.ServiceID
	nextFence lease.Fence
	// rows is sorted by key and has no overlaps.
	rows []*row
	// listed reports whether the last Listed event contained the service.
	listed  bool
	servers map[assign.ServerID]assign.Server
	// evacuated has the evacuated failure domains.
	evacuated map[string]bool
	// unresponsive has the servers that did not answer a release, each with the time of the next release to it.
	unresponsive map[Run]time.Time
	// suspects has the servers that get no keys because they did not answer grants or have ended, each with the
	// time until which it is suspect.
	suspects     map[Run]time.Time
	usage        usage
	requestTimes requestTimes
	// lastActive has the time at which each server was last reported to have run requests.
	lastActive map[assign.ServerID]time.Time
	// shedding has the servers whose load exceeds what they can run.
	shedding map[assign.ServerID]bool
	// lastBalance is the time of the last balancing.
	lastBalance time.Time
	// serversChanged is the time at which the set of listed servers last changed.
	serversChanged time.Time
	// recovery is nil once the owners in the tables are confirmed.
	recovery *recovery
	// silent are the servers that did not answer the last recovery.
	silent []Holder
}

// row is a Row with the state of the orders to its owners. Its earlier owners are in priorOwners. Row.Prior is nil
// here and is set only in copies.
type row struct {
	Row
	priorOwners []*priorOwner
	// write is the number of the Write that makes the row durable.
	write uint64
	// current is the row in force until that Write is stored, nil if no owner was in force.
	current *Row
	// version is the Decider's version at the last change of what View returns for the row.
	version uint64
	// inFlight reports that a grant to the owner is in flight.
	inFlight bool
	// failures is the number of consecutive grants without an answer.
	failures int
	// nextOrder is the earliest time of the next grant.
	nextOrder time.Time
	// heldUntil is the time until which the owner may hold the keys because of grants that have ended, that is
	// whose outcome was reported with Granted. A later grant with a shorter hold time does not reduce it.
	heldUntil time.Time
	// pendingUntil is the time until which the owner may hold the keys because of the grant that is in flight,
	// the zero time if there is none.
	pendingUntil time.Time
	// handover is what an earlier owner returned with its release for the new owner.
	handover string
	// storedFence is the fencing number that the row is stored with as of the Write fenceWrite, if it is above Fence. See
	// Decider.merge.
	storedFence lease.Fence
	fenceWrite  uint64
}

// priorOwner is an earlier owner of a row that may still hold some of its keys. Until the row is stored,
// the one that is in force gets renewals of its grant. After that, all of them get releases. The fields inFlight and
// nextOrder apply to orders of both kinds. The fields heldUntil and pendingUntil concern its grants, as in row.
type priorOwner struct {
	Holder
	// fence is the fencing number of its last grant, zero if the owner was loaded from a stored table.
	fence        lease.Fence
	heldUntil    time.Time
	pendingUntil time.Time
	inFlight     bool
	nextOrder    time.Time
}

// NewDecider returns a Decider without tables. Its first event must be Started.
func NewDecider(c Config) *Decider {
	return &Decider{config: c, services: map[assign.ServiceID]*service{}}
}

// Version increases with each change of the rows that View returns.
func (d *Decider) Version() uint64 { return d.version }

// View returns the tables in force, by which requests are sent to servers.
func (d *Decider) View() map[assign.ServiceID]Table {
	tables := make(map[assign.ServiceID]Table, len(d.services))
	for id, rows := range d.Since(0) {
		tables[id] = Table{Rows: rows}
	}
	return tables
}

// Since returns the rows in force that changed after the given version, sorted by key. Version 0 returns all rows.
func (d *Decider) Since(version uint64) map[assign.ServiceID][]Row {
	changed := map[assign.ServiceID][]Row{}
	for id, s := range d.services {
		for _, r := range s.rows {
			if r.version <= version && version > 0 {
				continue
			}
			visible := r.Row
			if d.writePending(r) && r.current != nil {
				visible = *r.current
			}
			for _, h := range r.priorHolders() {
				if !visible.Open || !h.sameRun(visible.Owner) {
					visible.Prior = append(visible.Prior, h)
				}
			}
			changed[id] = append(changed[id], visible)
		}
	}
	return changed
}

// bumpVersion records a change of what View returns for a row.
func (d *Decider) bumpVersion(r *row) {
	d.version++
	r.version = d.version
}

// priorHolders returns the earlier owners of a row.
func (r *row) priorHolders() []Holder {
	var list []Holder
	for _, p := range r.priorOwners {
		list = append(list, p.Holder)
	}
	return list
}

// Tables returns the tables to store and the number of the last Write. Once the tables are stored, the caller passes
// this number to Step with Stored.
func (d *Decider) Tables() (map[assign.ServiceID]Table, uint64) {
	tables := make(map[assign.ServiceID]Table, len(d.services))
	for id, s := range d.services {
		t := Table{NextFence: s.nextFence, Rows: make([]Row, len(s.rows))}
		for i, r := range s.rows {
			t.Rows[i] = r.Row
			t.Rows[i].Fence = max(r.Fence, r.storedFence)
			t.Rows[i].Prior = r.priorHolders()
		}
		if s.recovery != nil {
			t.Holders = s.recovery.unconfirmed()
		}
		tables[id] = t
	}
	return tables, d.lastWrite
}

// Unstored reports whether a requested Write is not known to be stored yet.
func (d *Decider) Unstored() bool { return d.lastWrite > d.lastStored }

// Step handles an event and returns the actions that are due.
func (d *Decider) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Started:
		d.handleStarted(now, e)
	case Listed:
		d.handleListed(now, e)
	case Stored:
		d.handleStored(e.Write)
	case Granted:
		d.handleGranted(now, e)
	case Released:
		d.handleReleased(now, e)
	case KeysRequested:
		if s := d.services[e.Service]; s != nil {
			s.usage.add(now, e.Keys, e.Over)
		}
	case WorkDone:
		if s := d.services[e.Service]; s != nil {
			s.requestTimes.add(e.Work, s.shedding)
			for id := range e.Work {
				s.lastActive[id] = now
			}
		}
	case Restored:
		d.handleRestored(e)
	case Reported:
		d.handleReported(now, e)
	case Limited:
		d.limits = e.Rates
	case Cold:
		d.cold = e.Runs
	case Tick:
		if e.StoreDown && !d.storeDown {
			d.renewAll(now)
		}
		d.storeDown = e.StoreDown
	}
	return d.dueActions(now)
}

// handleStored records that the tables are stored up to the given Write. Rows that were waiting for it come into
// force, which changes what View returns for them. Their keys have no owner until the prior owners have released
// them, so the releases are due at once.
func (d *Decider) handleStored(write uint64) {
	previous := d.lastStored
	d.lastStored = max(d.lastStored, write)
	for _, s := range d.services {
		for _, r := range s.rows {
			if r.write <= previous || r.write > d.lastStored {
				continue
			}
			d.bumpVersion(r)
			for _, p := range r.priorOwners {
				p.nextOrder = time.Time{}
			}
		}
	}
}

// renewAll makes every renewal due at once, so that the owners get the longest hold time before this process loses
// the leadership, which it cannot renew while the store is down.
func (d *Decider) renewAll(now time.Time) {
	for _, s := range d.services {
		for _, r := range s.rows {
			r.nextOrder = now
		}
	}
}

// handleStarted replaces all state by the stored tables. Every owner in them, earlier ones included, may have got a
// grant of the longest hold time when an earlier leader sent its last ones.
func (d *Decider) handleStarted(now time.Time, e Started) {
	d.services = map[assign.ServiceID]*service{}
	d.dirty = false
	d.lastStored = d.lastWrite
	d.lastPlan = time.Time{}
	lastArrival := now
	if a := e.LastGrant.Add(GrantTimeout); !e.LastGrant.IsZero() && a.Before(now) {
		lastArrival = a
	}
	latestEnd := lastArrival.Add(clockMargin.AddTo(d.config.LongestHold))
	d.started, d.startedAt, d.latestEnd = e, now, latestEnd
	for id, t := range e.Tables {
		s := d.service(id)
		s.nextFence = t.NextFence
		for _, r := range t.Rows {
			loaded := &row{Row: r, heldUntil: latestEnd, write: d.lastStored}
			loaded.Prior = nil
			for _, h := range r.Prior {
				loaded.priorOwners = append(loaded.priorOwners, &priorOwner{Holder: h, heldUntil: latestEnd})
			}
			d.bumpVersion(loaded)
			s.rows = append(s.rows, loaded)
		}
		if e.Unknown {
			d.startRecovery(s, e, latestEnd)
			s.addSweeps(t.Holders)
		}
	}
}

// service returns the state of a service, which it creates if there is none.
func (d *Decider) service(id assign.ServiceID) *service {
	s := d.services[id]
	if s == nil {
		s = &service{id: id, nextFence: 1, unresponsive: map[Run]time.Time{}, suspects: map[Run]time.Time{}, shedding: map[assign.ServerID]bool{}, lastActive: map[assign.ServerID]time.Time{}}
		d.services[id] = s
	}
	return s
}

// writePending reports whether the last change of the row is not stored yet.
func (d *Decider) writePending(r *row) bool { return r.write > d.lastStored }

// scheduleWrite records a change of a row that must be stored before it takes effect.
func (d *Decider) scheduleWrite(r *row) {
	r.write = d.lastWrite + 1
	d.dirty = true
	d.bumpVersion(r)
}

// allocateFence returns the lowest unused fencing number and marks it as used.
func (s *service) allocateFence() lease.Fence {
	f := s.nextFence
	s.nextFence++
	return f
}

// find returns the row with exactly the given range, nil if there is none.
func (s *service) find(keys Range) *row {
	i, ok := slices.BinarySearchFunc(s.rows, keys.First, func(r *row, first uint16) int { return cmp.Compare(r.First, first) })
	if !ok || s.rows[i].Range != keys {
		return nil
	}
	return s.rows[i]
}

// dueActions runs a planning pass if one is due, and returns the orders that are due and a Write if rows have changed.
func (d *Decider) dueActions(now time.Time) []Action {
	var actions []Action
	planDue := !d.storeDown && now.Sub(d.lastPlan) >= planInterval
	if planDue {
		d.lastPlan = now
	}
	for _, id := range slices.Sorted(maps.Keys(d.services)) {
		s := d.services[id]
		if !s.listed {
			continue
		}
		if s.recovery != nil {
			actions = append(actions, d.recover(now, s)...)
		}
		if s.recovery != nil {
			continue
		}
		if planDue {
			d.plan(now, s)
		}
		for _, r := range s.rows {
			actions = append(actions, d.dueOrders(now, s, r)...)
		}
	}
	if d.dirty {
		d.dirty = false
		d.lastWrite++
		actions = append(actions, Write{Number: d.lastWrite})
	}
	return actions
}

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
	// OrderTimeout bounds a grant. A grant without an answer is counted from the end of this time.
	OrderTimeout = 500 * time.Millisecond
	// ReleaseTimeout bounds one try of a release, whose answer comes when running work has ended.
	ReleaseTimeout = 2 * time.Second
	// planEvery is the time between plans.
	planEvery = 100 * time.Millisecond
	// renewals is the number of times that a grant is renewed in its hold.
	renewals = 3
	// retryEvery is the time between tries of an order that had no answer.
	retryEvery = 300 * time.Millisecond
	// silentFor is the time between tries of releases at a server that did not answer one.
	silentFor = 600 * time.Millisecond
	// suspectAfter is the number of orders without an answer in a row after which the owner is
	// replaced.
	suspectAfter = 3
	// workingFor is how long a report of requests that a server ran says that it works.
	workingFor = 1500 * time.Millisecond
	// suspectFor is how long a server that did not answer gets no further keys.
	suspectFor = 5 * time.Second
)

// clockMargin is how much longer than asked for a server may hold keys: its clock may run 2% slow,
// and the slack covers the way of the grant.
var clockMargin = lease.Margin{Rate: 0.021, Slack: 100 * time.Millisecond}

// Config configures a Decider.
type Config struct {
	// Hold is the usual time of a grant.
	Hold time.Duration
	// LongestHold is the longest time that any Decider grants keys for. It applies while the store
	// is away, when nobody could take over.
	LongestHold time.Duration
}

// Decider decides who owns the keys of the partitioned services. It is not safe for concurrent use.
type Decider struct {
	config   Config
	services map[assign.ServiceID]*service
	// writes is the number of the last Write, stored that of the last one that succeeded.
	writes, stored uint64
	dirty          bool
	planned        time.Time
	away           bool
	// version rises with each change of what View returns.
	version uint64
}

// service is the state of one service.
type service struct {
	id      assign.ServiceID
	next    lease.Fence
	rows    []*row
	listed  bool
	servers map[assign.ServerID]assign.Server
	// silent are servers that did not answer a release, with the time of the next one.
	silent map[assign.ServerID]time.Time
	// suspects are servers that did not answer orders, with the end of the suspicion.
	suspects map[assign.ServerID]time.Time
	use      usage
	pace     pace
	// worked is when a server was last reported to have run a request.
	worked map[assign.ServerID]time.Time
	// shedding are the servers whose load exceeds what they can run.
	shedding map[assign.ServerID]bool
	balanced time.Time
	// settled is since when the set of listed servers is the same.
	settled time.Time
}

// row is a Row with what the Decider knows of its orders.
type row struct {
	Row
	prior []*prior
	// write is the number of the Write that makes the row durable.
	write uint64
	// current is the row in force until then, nil where no owner was in force.
	current *Row
	// version is that of the Decider at the last change of what View returns for the row.
	version uint64
	// sending reports that an order to the owner is under way.
	sending  bool
	failures int
	next     time.Time
	// until is when the owner can no longer hold the keys by the grants that have ended. A later grant
	// with a shorter time does not shorten it.
	until time.Time
	// pending is the same for the grant that is under way, the zero time where there is none.
	pending  time.Time
	handover string
}

// prior is an earlier owner of a row.
type prior struct {
	Holder
	fence   lease.Fence
	until   time.Time
	pending time.Time
	sending bool
	next    time.Time
}

// NewDecider returns a Decider that knows nothing until it gets Began.
func NewDecider(c Config) *Decider {
	return &Decider{config: c, services: map[assign.ServiceID]*service{}}
}

// Version rises with each change of View.
func (d *Decider) Version() uint64 { return d.version }

// View returns the tables in force, for those who send requests.
func (d *Decider) View() map[assign.ServiceID]Table {
	tables := make(map[assign.ServiceID]Table, len(d.services))
	for id, rows := range d.Since(0) {
		tables[id] = Table{Rows: rows}
	}
	return tables
}

// Since returns the rows in force that changed after a version, in order of their keys.
func (d *Decider) Since(version uint64) map[assign.ServiceID][]Row {
	changed := map[assign.ServiceID][]Row{}
	for id, s := range d.services {
		for _, r := range s.rows {
			if r.version <= version && version > 0 {
				continue
			}
			shown := r.Row
			if d.staged(r) && r.current != nil {
				shown = *r.current
			}
			changed[id] = append(changed[id], shown)
		}
	}
	return changed
}

// touch records a change of what View returns for a row.
func (d *Decider) touch(r *row) {
	d.version++
	r.version = d.version
}

// Tables returns the tables to store, and the number of the Write that they answer.
func (d *Decider) Tables() (map[assign.ServiceID]Table, uint64) {
	tables := make(map[assign.ServiceID]Table, len(d.services))
	for id, s := range d.services {
		t := Table{NextFence: s.next, Rows: make([]Row, len(s.rows))}
		for i, r := range s.rows {
			t.Rows[i] = r.Row
			for _, p := range r.prior {
				t.Rows[i].Prior = append(t.Rows[i].Prior, p.Holder)
			}
		}
		tables[id] = t
	}
	return tables, d.writes
}

// Unstored reports whether a Write was asked for that is not known to be stored.
func (d *Decider) Unstored() bool { return d.writes > d.stored }

// Step handles an event and returns what to do.
func (d *Decider) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Started:
		d.begin(now, e)
	case Listed:
		d.list(now, e)
	case Stored:
		d.store(e.Write)
	case Granted:
		d.granted(now, e)
	case Released:
		d.released(now, e)
	case KeysRequested:
		if s := d.services[e.Service]; s != nil {
			s.use.add(now, e.Keys)
		}
	case WorkDone:
		if s := d.services[e.Service]; s != nil {
			s.pace.add(e.Work, s.shedding)
			for id := range e.Work {
				s.worked[id] = now
			}
		}
	case Tick:
		if e.StoreDown && !d.away {
			d.renewAll(now)
		}
		d.away = e.StoreDown
	}
	return d.act(now)
}

// store puts the rows in force whose write is known to be stored.
func (d *Decider) store(write uint64) {
	before := d.stored
	d.stored = max(d.stored, write)
	for _, s := range d.services {
		for _, r := range s.rows {
			if before < r.write && r.write <= d.stored {
				d.touch(r)
			}
		}
	}
}

// renewAll makes every renewal due, so that the owners get the longest hold before the lead lapses.
func (d *Decider) renewAll(now time.Time) {
	for _, s := range d.services {
		for _, r := range s.rows {
			r.next = now
		}
	}
}

func (d *Decider) begin(now time.Time, e Started) {
	d.services = map[assign.ServiceID]*service{}
	d.dirty = false
	d.stored = d.writes
	d.planned = time.Time{}
	longest := now.Add(clockMargin.AddTo(d.config.LongestHold))
	for id, t := range e.Tables {
		s := d.service(id)
		s.next = t.NextFence
		for _, r := range t.Rows {
			x := &row{Row: r, until: longest, write: d.stored}
			x.Prior = nil
			for _, h := range r.Prior {
				x.prior = append(x.prior, &prior{Holder: h, until: longest})
			}
			d.touch(x)
			s.rows = append(s.rows, x)
		}
	}
}

func (d *Decider) service(id assign.ServiceID) *service {
	s := d.services[id]
	if s == nil {
		s = &service{id: id, next: 1, silent: map[assign.ServerID]time.Time{}, suspects: map[assign.ServerID]time.Time{}, shedding: map[assign.ServerID]bool{}, worked: map[assign.ServerID]time.Time{}}
		d.services[id] = s
	}
	return s
}

func (d *Decider) list(now time.Time, e Listed) {
	for _, s := range d.services {
		s.listed = false
	}
	for id, servers := range e.Services {
		s := d.service(id)
		s.listed = true
		if len(s.servers) != len(servers) {
			s.settled = now
		}
		s.servers = make(map[assign.ServerID]assign.Server, len(servers))
		for _, a := range servers {
			s.servers[a.ID] = a
		}
		for _, r := range s.rows {
			s.forget(now, r)
		}
		s.forgetServers(now)
	}
}

// forgetServers drops what was learned of servers that are not listed any more.
func (s *service) forgetServers(now time.Time) {
	for id := range s.pace.server {
		if _, ok := s.servers[id]; !ok {
			delete(s.pace.server, id)
			delete(s.worked, id)
		}
	}
	for id, until := range s.suspects {
		if !now.Before(until) {
			delete(s.suspects, id)
		}
	}
	for id, until := range s.silent {
		if now.Sub(until) > suspectFor {
			delete(s.silent, id)
		}
	}
}

// forget drops holders that the list proves to have ended: the server has started again.
func (s *service) forget(now time.Time, r *row) {
	r.prior = slices.DeleteFunc(r.prior, func(p *prior) bool { return s.ended(p.Holder) })
	if s.ended(r.Owner) {
		r.until = now
	}
}

func (s *service) ended(h Holder) bool {
	a, ok := s.servers[h.Server]
	return ok && a.Born != h.Born
}

// usable reports whether the holder may own keys.
func (s *service) usable(now time.Time, h Holder) bool {
	a, ok := s.servers[h.Server]
	return ok && !a.Draining && a.Born == h.Born && !now.Before(s.suspects[h.Server])
}

// serving reports whether the holder may go on with the keys that it has.
func (s *service) serving(now time.Time, h Holder) bool {
	a, ok := s.servers[h.Server]
	return ok && a.Born == h.Born && !now.Before(s.suspects[h.Server])
}

// staged reports whether the row is not stored yet.
func (d *Decider) staged(r *row) bool { return r.write > d.stored }

// stage records a change of a row that must be stored before it is acted on.
func (d *Decider) stage(r *row) {
	r.write = d.writes + 1
	d.dirty = true
	d.touch(r)
}

func (s *service) take() lease.Fence {
	f := s.next
	s.next++
	return f
}

func (s *service) find(k Range) *row {
	i, ok := slices.BinarySearchFunc(s.rows, k.First, func(r *row, first uint16) int { return cmp.Compare(r.First, first) })
	if !ok || s.rows[i].Range != k {
		return nil
	}
	return s.rows[i]
}

// act plans moves and returns the orders that are due.
func (d *Decider) act(now time.Time) []Action {
	var actions []Action
	plans := !d.away && now.Sub(d.planned) >= planEvery
	if plans {
		d.planned = now
	}
	for _, id := range slices.Sorted(maps.Keys(d.services)) {
		s := d.services[id]
		if !s.listed {
			continue
		}
		if plans {
			d.plan(now, s)
		}
		for _, r := range s.rows {
			actions = append(actions, d.order(now, s, r)...)
		}
	}
	if d.dirty {
		d.dirty = false
		d.writes++
		actions = append(actions, Write{Number: d.writes})
	}
	return actions
}

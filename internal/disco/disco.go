// Package disco discovers the backend servers from the entries that they write to the store.
//
// The entry of a server lapses when the server does not renew it, which also happens to running servers
// while the store is unavailable. After an outage of the store, a server without an entry therefore stays
// listed until it has had time to write its entry again.
//
// # Usage
//
//	directory := disco.New()
//	directory.MarkStale()          // the store was unavailable for so long that entries may have lapsed
//	directory.Update(now, servers) // the entries in the store
//	servers := directory.Servers()
//
// A Cold knows which of them are cold:
//
//	cold := disco.NewCold(lag)
//	cold.Observe(now, servers, directory.ListsCopies(now)) // the entries in the store
//	until := cold.Until(servers[0])
package disco

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// RecoveryTime is how long a server without an entry stays listed after an outage of the store. Servers
// whose entries lapsed write them again within about 2 s after the store is available.
const RecoveryTime = 2400 * time.Millisecond

const (
	// copyLifetime is how long after its return a store that came back from an older copy may list servers that have left.
	// Their entries lapse after three heartbeat intervals of silence.
	copyLifetime = 4500 * time.Millisecond
	// staleEntryTime is how long an entry of an earlier run than the known one is ignored. The store may carry out a write of
	// a run late, after the next run has registered. That one writes its entry again within a heartbeat interval.
	staleEntryTime = 2 * time.Second
	// departureMemory is how long a server that has left is remembered. A copy is a few seconds old.
	departureMemory = 2 * time.Minute
)

// Directory is the list of servers. It is not safe for concurrent use.
type Directory struct {
	// servers is sorted by ID.
	servers []assign.Server
	// stale is set until the first list after entries may have lapsed in an outage of the store.
	stale bool
	// recovered is the time of that list.
	recovered time.Time
	known     bool
	changes   []Change
	// departed has the runs that were removed, with the time of their removal, which is zero until the next Update.
	departed map[run]time.Time
	// restored is when the store came back from an older copy.
	restored time.Time
	// confirmed is the latest time at which the list is known to have been current.
	confirmed time.Time
	// earlier has the listed runs that started earlier than the known runs of their servers, each with the time at which it
	// was first listed.
	earlier map[run]time.Time
	// leaving has the draining servers, each with the earliest time at which it may have begun to drain.
	leaving map[run]time.Time
}

// run identifies one run of a server.
type run struct {
	id   assign.ServerID
	born int64
}

func runOf(s assign.Server) run { return run{id: s.ID, born: s.Born} }

// Change is a server that was added, removed or changed, for example because it started draining.
type Change struct {
	Server assign.Server
	// Gone reports whether the server was removed.
	Gone bool
}

// New returns a Directory without servers.
func New() *Directory { return &Directory{departed: map[run]time.Time{}} }

// Known reports whether the Directory has received a list of servers.
func (d *Directory) Known() bool { return d.known }

// Servers returns the servers sorted by ID. The caller must not change the slice.
func (d *Directory) Servers() []assign.Server { return d.servers }

// Leaving returns the known servers that drain and those that have left not long ago. Of the latter, only ID and Born are
// set.
func (d *Directory) Leaving() []assign.Server {
	var list []assign.Server
	for _, s := range d.servers {
		if s.Draining {
			list = append(list, s)
		}
	}
	for r := range d.departed {
		list = append(list, assign.Server{ID: r.id, Born: r.born})
	}
	return list
}

// Confirm records that the list was current at a time.
func (d *Directory) Confirm(at time.Time) { d.confirmed = at }

// LeavingSince returns the earliest time at which a listed server may have begun to drain: the list that was current then
// did not say so. It returns the zero time if the server does not drain.
func (d *Directory) LeavingSince(s assign.Server) time.Time { return d.leaving[runOf(s)] }

// MarkStale records that the store was unavailable for so long that entries of running servers may have
// lapsed.
func (d *Directory) MarkStale() { d.stale = true }

// MarkRestored records that the store came back from an older copy: entries of servers that had left are listed again, and
// those of servers that had joined are missing, until the servers and the store have written their entries anew.
func (d *Directory) MarkRestored(now time.Time) {
	d.restored = now
	d.stale = true
}

// ListsCopies reports whether the store may list older copies of entries, since it came back from an older copy.
func (d *Directory) ListsCopies(now time.Time) bool { return now.Sub(d.restored) < copyLifetime }

// Update sets the servers to those that the store lists, in any order, and reports whether they changed.
// It keeps missing servers for some time after an outage of the store.
func (d *Directory) Update(now time.Time, listed []assign.Server) bool {
	if d.stale {
		d.stale = false
		d.recovered = now
	}
	next := slices.Clone(listed)
	slices.SortFunc(next, compareID)
	d.noteDepartures(now)
	if d.ListsCopies(now) {
		next = d.dropDeparted(next)
	}
	d.keepLaterRuns(now, next)
	d.keepDraining(next)
	if d.known && now.Sub(d.recovered) < RecoveryTime {
		next = d.keepMissing(next)
	}
	return d.Replace(next)
}

// Replace sets the servers, which must be sorted by ID, and reports whether they changed. The first
// list always counts as a change, a WarmUp that differs does not.
func (d *Directory) Replace(servers []assign.Server) bool {
	first := !d.known
	d.changes = d.changes[:0]
	for _, s := range servers {
		if i, ok := slices.BinarySearchFunc(d.servers, s, compareID); !ok || !equal(d.servers[i], s) {
			d.changes = append(d.changes, Change{Server: s})
		}
	}
	for _, s := range d.servers {
		if _, ok := slices.BinarySearchFunc(servers, s, compareID); !ok {
			d.changes = append(d.changes, Change{Server: s, Gone: true})
			d.departed[runOf(s)] = time.Time{}
		}
	}
	for _, s := range servers {
		delete(d.departed, runOf(s))
	}
	d.known = true
	d.servers = servers
	d.noteLeaving()
	return first || len(d.changes) > 0
}

// noteLeaving sets the times of the servers that have begun to drain, and forgets those that are not listed any more.
func (d *Directory) noteLeaving() {
	leaving := map[run]time.Time{}
	for _, s := range d.servers {
		if !s.Draining {
			continue
		}
		since, known := d.leaving[runOf(s)]
		if !known {
			since = d.confirmed
		}
		leaving[runOf(s)] = since
	}
	d.leaving = leaving
}

// Changes returns the changes of the last Replace or Update. The slice is valid until the next call of
// either.
func (d *Directory) Changes() []Change { return d.changes }

// noteDepartures sets the time of the servers that have been removed since its last call, and forgets old ones.
func (d *Directory) noteDepartures(now time.Time) {
	for r, at := range d.departed {
		switch {
		case at.IsZero():
			d.departed[r] = now
		case now.Sub(at) > departureMemory:
			delete(d.departed, r)
		}
	}
}

// dropDeparted removes the servers that this process knows to have left.
func (d *Directory) dropDeparted(next []assign.Server) []assign.Server {
	return slices.DeleteFunc(next, func(s assign.Server) bool {
		_, ok := d.departed[runOf(s)]
		return ok
	})
}

// keepLaterRuns replaces the entries of earlier runs by the known ones, until they have been listed for staleEntryTime: a
// new run on a VM whose clock is behind has an earlier start time too.
func (d *Directory) keepLaterRuns(now time.Time, next []assign.Server) {
	earlier := map[run]time.Time{}
	for i, s := range next {
		j, ok := slices.BinarySearchFunc(d.servers, s, compareID)
		if !ok || s.Born >= d.servers[j].Born {
			continue
		}
		since, listed := d.earlier[runOf(s)]
		if !listed {
			since = now
		}
		earlier[runOf(s)] = since
		if now.Sub(since) < staleEntryTime {
			next[i] = d.servers[j]
		}
	}
	d.earlier = earlier
}

// keepDraining marks the servers that this process knows to be draining. A run that drains does not get ready again, so an
// entry that says so is older.
func (d *Directory) keepDraining(next []assign.Server) {
	for i, s := range next {
		j, ok := slices.BinarySearchFunc(d.servers, s, compareID)
		if ok && d.servers[j].Draining && d.servers[j].Born == s.Born && s.Born != 0 {
			next[i].Draining = true
		}
	}
}

// keepMissing adds the known servers that are missing in next, unless another server has their address.
func (d *Directory) keepMissing(next []assign.Server) []assign.Server {
	kept := next
	for _, s := range d.servers {
		if _, ok := slices.BinarySearchFunc(next, s, compareID); ok {
			continue
		}
		if !slices.ContainsFunc(next, func(a assign.Server) bool { return a.Address == s.Address }) {
			kept = append(kept, s)
		}
	}
	slices.SortFunc(kept, compareID)
	return kept
}

func compareID(a, b assign.Server) int { return cmp.Compare(a.ID, b.ID) }

// equal reports whether two servers are the same except for WarmUp.
func equal(a, b assign.Server) bool {
	a.WarmUp, b.WarmUp = 0, 0
	return a == b
}

// Package disco decides which servers exist, from the entries that they write to the store.
//
// An entry lapses when its server is silent, also where the silence is the store's. So an entry
// that is missing shortly after the store was away is kept until its server has had the time to
// write it again.
//
// # Usage
//
//	directory := disco.New()
//	directory.Failed()             // the store was away for long
//	directory.Update(now, servers) // a list
//	servers := directory.Servers()
package disco

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// ReturnTime is how long after the return of the store a missing entry is kept. Entries that lapsed
// are back about two seconds after the store.
const ReturnTime = 2400 * time.Millisecond

// Directory is the list of servers. It is not safe for concurrent use.
type Directory struct {
	servers  []assign.Server
	away     bool
	returned time.Time
	known    bool
	changes  []Change
}

// Change is a server that came, began to leave, went, or changed otherwise.
type Change struct {
	Server assign.Server
	// Gone reports that there is no entry any more.
	Gone bool
}

// New returns a Directory that knows no server.
func New() *Directory { return &Directory{} }

// Known reports whether there was a list.
func (d *Directory) Known() bool { return d.known }

// Servers returns the servers in order of their names. The slice must not be changed.
func (d *Directory) Servers() []assign.Server { return d.servers }

// MarkStale records that the store was away for so long that entries may have lapsed.
func (d *Directory) MarkStale() { d.away = true }

// Update takes a list of the store and reports whether the servers changed.
func (d *Directory) Update(now time.Time, listed []assign.Server) bool {
	if d.away {
		d.away = false
		d.returned = now
	}
	next := slices.Clone(listed)
	slices.SortFunc(next, byName)
	if d.known && now.Sub(d.returned) < ReturnTime {
		next = d.keepMissing(next)
	}
	return d.Replace(next)
}

// Replace sets the servers, which are in order of their names, and reports whether they changed. A
// warm-up time that only runs down is no change.
func (d *Directory) Replace(servers []assign.Server) bool {
	first := !d.known
	d.changes = d.changes[:0]
	for _, s := range servers {
		if i, ok := slices.BinarySearchFunc(d.servers, s, byName); !ok || !equal(d.servers[i], s) {
			d.changes = append(d.changes, Change{Server: s})
		}
	}
	for _, s := range d.servers {
		if _, ok := slices.BinarySearchFunc(servers, s, byName); !ok {
			d.changes = append(d.changes, Change{Server: s, Gone: true})
		}
	}
	d.known = true
	d.servers = servers
	return first || len(d.changes) > 0
}

// Changes returns what the last Replace or Update changed. It is valid until the next one.
func (d *Directory) Changes() []Change { return d.changes }

// keepMissing adds the known servers that are not in the list, unless their address is taken.
func (d *Directory) keepMissing(next []assign.Server) []assign.Server {
	kept := next
	for _, s := range d.servers {
		if _, ok := slices.BinarySearchFunc(next, s, byName); ok {
			continue
		}
		if !slices.ContainsFunc(next, func(a assign.Server) bool { return a.Address == s.Address }) {
			kept = append(kept, s)
		}
	}
	slices.SortFunc(kept, byName)
	return kept
}

func byName(a, b assign.Server) int { return cmp.Compare(a.ID, b.ID) }

func equal(a, b assign.Server) bool {
	a.WarmUp, b.WarmUp = 0, 0
	return a == b
}

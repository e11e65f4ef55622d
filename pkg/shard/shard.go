// Package shard decides which server owns which keys of a partitioned service.
//
// Keys are numbers from 0 to 65535. A Table has rows, each a range of keys with its owner and a
// fencing number. The Decider is a state machine: events go in, actions come out, and the time is
// passed in. A table is stored before it is acted on, so that a Decider that takes over knows
// every server that may hold a key.
//
// A key moves in four steps: the row with its new owner is stored, the earlier owner is asked to
// release the keys, the new owner gets a grant with a higher fencing number, and the row opens. An
// earlier owner that does not answer is waited for until every grant that it may have taken has
// lapsed, counted with the largest rate error of its clock.
//
// # Usage
//
//	decider := shard.NewDecider(shard.Config{Hold: 6 * time.Second, LongestHold: 10 * time.Second})
//	actions := decider.Step(now, shard.Began{Tables: stored})
//	actions = decider.Step(now, shard.Listed{Services: services})
//	for _, a := range actions {
//		switch a := a.(type) {
//		case shard.Write:
//			// store decider.Tables(), then Step with Stored
//		case shard.Grant:
//			// send the grant, then Step with Granted
//		case shard.Release:
//			// send the release, then Step with Released
//		}
//	}
package shard

import (
	"cmp"
	"net/netip"
	"slices"
	"sort"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// ShedSteps is the number of steps of Row.Shed.
const ShedSteps = 16

// LastKey is the highest key. The lowest is 0.
const LastKey = 65535

// Range is an inclusive range of keys.
type Range struct {
	First uint16 `json:"first"`
	Last  uint16 `json:"last"`
}

// Contains reports whether the key is in the range.
func (r Range) Contains(key uint16) bool { return r.First <= key && key <= r.Last }

// Width returns the number of keys.
func (r Range) Width() int { return int(r.Last) - int(r.First) + 1 }

// Holder is one run of a server.
type Holder struct {
	Server assign.ServerID `json:"server"`
	// Born tells runs of the server apart, as assign.Server.Born does.
	Born    int64          `json:"born,omitempty"`
	Address netip.AddrPort `json:"address"`
}

// HolderOf returns the present run of a listed server.
func HolderOf(s assign.Server) Holder {
	return Holder{Server: s.ID, Born: s.Born, Address: s.Address}
}

// same reports whether both are one run of one server.
func (h Holder) same(o Holder) bool { return h.Server == o.Server && h.Born == o.Born }

// Row is a range of keys with its owner.
type Row struct {
	Range
	Owner Holder `json:"owner"`
	// Fence is the fencing number of the owner's grant.
	Fence lease.Fence `json:"fence"`
	// Open reports that the owner has confirmed its grant.
	Open bool `json:"open"`
	// Shed is the part of the requests, out of ShedSteps, that are to be refused at once, because the
	// owner could not run all of them. It is not stored.
	Shed uint8 `json:"-"`
	// Prior are earlier owners that may still hold some of the keys.
	Prior []Holder `json:"prior,omitempty"`
}

// Table is the rows of one service in order of their keys, without overlaps.
type Table struct {
	// NextFence is the lowest fencing number that no row has had.
	NextFence lease.Fence `json:"next-fence"`
	Rows      []Row       `json:"rows"`
}

// Lookup returns the row that contains the key.
func (t Table) Lookup(key uint16) (Row, bool) {
	i := sort.Search(len(t.Rows), func(i int) bool { return t.Rows[i].Last >= key })
	if i == len(t.Rows) || !t.Rows[i].Contains(key) {
		return Row{}, false
	}
	return t.Rows[i], true
}

// Overlay returns the table with the given rows in place of what it had for their keys.
func (t Table) Overlay(rows []Row) Table {
	result := Table{NextFence: t.NextFence, Rows: make([]Row, 0, len(t.Rows)+len(rows))}
	for _, old := range t.Rows {
		result.Rows = append(result.Rows, old.outside(rows)...)
	}
	result.Rows = append(result.Rows, rows...)
	slices.SortFunc(result.Rows, func(a, b Row) int { return cmp.Compare(a.First, b.First) })
	return result
}

// outside returns the parts of the row whose keys are in none of the given rows.
func (r Row) outside(rows []Row) []Row {
	parts := []Row{r}
	for _, cut := range rows {
		var next []Row
		for _, p := range parts {
			next = append(next, p.without(cut.Range)...)
		}
		parts = next
	}
	return parts
}

// without returns the parts of the row whose keys are not in the range.
func (r Row) without(k Range) []Row {
	if k.Last < r.First || r.Last < k.First {
		return []Row{r}
	}
	var parts []Row
	if r.First < k.First {
		before := r
		before.Last = k.First - 1
		parts = append(parts, before)
	}
	if k.Last < r.Last {
		after := r
		after.First = k.Last + 1
		parts = append(parts, after)
	}
	return parts
}

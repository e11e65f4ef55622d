// Package shard assigns the keys of partitioned services to servers, one owner for each key.
//
// Keys are numbers from 0 to 65535. A Table consists of rows, each of which is a range of keys with
// its owner and a fencing number. The Decider is a deterministic state machine: the caller passes in
// events and the current time, and carries out the actions that it returns. A table is stored before
// any of its changes takes effect, so that a Decider in another process that takes over knows every
// server that may hold a key.
//
// A key moves in four steps: the row with its new owner is stored, the earlier owner is asked to
// release the keys, the new owner gets a grant with a higher fencing number, and the row opens. If
// the earlier owner does not answer, the new owner gets its grant only after every grant that the
// earlier one may hold has expired, even if its clock runs slow by the largest allowed rate error.
//
// # Usage
//
//	decider := shard.NewDecider(shard.Config{Hold: 6 * time.Second, LongestHold: 10 * time.Second})
//	actions := decider.Step(now, shard.Started{Tables: stored})
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

// ShedSteps is the denominator of Row.Shed.
const ShedSteps = 16

// LastKey is the highest key. The lowest key is 0.
const LastKey = 65535

// Range is an inclusive range of keys.
type Range struct {
	First uint16 `json:"first"`
	Last  uint16 `json:"last"`
}

// Contains reports whether the range includes the key.
func (r Range) Contains(key uint16) bool { return r.First <= key && key <= r.Last }

// Width returns the number of keys in the range.
func (r Range) Width() int { return int(r.Last) - int(r.First) + 1 }

// Holder identifies one run of a server that holds keys or may hold them. Orders reach whichever run of the server is at
// the address: a later run there takes the grants of an earlier one, and answers its releases. Therefore the list of servers
// never proves that a holder holds no keys any more. Only an answer from its address proves that, or the time.
type Holder struct {
	Server assign.ServerID `json:"server"`
	// Born is the start time of the run in Unix ms, which distinguishes the runs of a server. See assign.Server.
	Born    int64          `json:"born,omitempty"`
	Address netip.AddrPort `json:"address"`
}

// HolderOf returns the current run of a listed server.
func HolderOf(s assign.Server) Holder {
	return Holder{Server: s.ID, Born: s.Born, Address: s.Address}
}

// sameRun reports whether both are the same run of the same server.
func (h Holder) sameRun(o Holder) bool { return h == o }

// Row assigns a range of keys to an owner.
type Row struct {
	Range
	Owner Holder `json:"owner"`
	// Fence is the fencing number of the owner's grant.
	Fence lease.Fence `json:"fence"`
	// Open reports that the owner has confirmed its grant, so that requests may be sent to it.
	Open bool `json:"open"`
	// Shed is the share of the requests to refuse at once, in units of 1/ShedSteps, because the owner is
	// overloaded. It is not stored.
	Shed uint8 `json:"-"`
	// Prior lists the earlier owners that may still hold some of the keys.
	Prior []Holder `json:"prior,omitempty"`
}

// Table holds the rows of one service, sorted by key and without overlaps.
type Table struct {
	// NextFence is the lowest fencing number that no row has used.
	NextFence lease.Fence `json:"next-fence"`
	Rows      []Row       `json:"rows"`
	// Holders are servers that may hold any keys besides the ones that they own, see Started.Unknown.
	Holders []Holder `json:"holders,omitempty"`
}

// Lookup returns the row that contains the key.
func (t Table) Lookup(key uint16) (Row, bool) {
	i := sort.Search(len(t.Rows), func(i int) bool { return t.Rows[i].Last >= key })
	if i == len(t.Rows) || !t.Rows[i].Contains(key) {
		return Row{}, false
	}
	return t.Rows[i], true
}

// Holding returns the servers that may hold keys, each of their runs once.
func (t Table) Holding() []Holder {
	var list []Holder
	known := map[Run]bool{}
	add := func(h Holder) {
		if !known[runOf(h)] {
			known[runOf(h)] = true
			list = append(list, h)
		}
	}
	for _, r := range t.Rows {
		add(r.Owner)
		for _, h := range r.Prior {
			add(h)
		}
	}
	for _, h := range t.Holders {
		add(h)
	}
	return list
}

// Overlay returns a copy of the table in which the given rows, which must not overlap each other, replace the earlier rows, or
// parts of rows, for their keys.
func (t Table) Overlay(rows []Row) Table {
	next := slices.SortedFunc(slices.Values(rows), compareRows)
	result := Table{NextFence: t.NextFence, Rows: make([]Row, 0, len(t.Rows)+len(rows))}
	first := 0
	for _, old := range t.Rows {
		for first < len(next) && next[first].Last < old.First {
			first++
		}
		end := first
		for end < len(next) && next[end].First <= old.Last {
			end++
		}
		if first == end {
			result.Rows = append(result.Rows, old)
			continue
		}
		result.Rows = append(result.Rows, old.withoutRows(next[first:end])...)
	}
	result.Rows = append(result.Rows, next...)
	slices.SortFunc(result.Rows, compareRows)
	return result
}

func compareRows(a, b Row) int { return cmp.Compare(a.First, b.First) }

// withoutRows returns the parts of the row whose keys are in none of the given rows.
func (r Row) withoutRows(rows []Row) []Row {
	parts := []Row{r}
	for _, other := range rows {
		var remaining []Row
		for _, p := range parts {
			remaining = append(remaining, p.withoutRange(other.Range)...)
		}
		parts = remaining
	}
	return parts
}

// withoutRange returns the parts of the row whose keys are not in the given range.
func (r Row) withoutRange(keys Range) []Row {
	if keys.Last < r.First || r.Last < keys.First {
		return []Row{r}
	}
	var parts []Row
	if r.First < keys.First {
		before := r
		before.Last = keys.First - 1
		parts = append(parts, before)
	}
	if keys.Last < r.Last {
		after := r
		after.First = keys.Last + 1
		parts = append(parts, after)
	}
	return parts
}

// Package assign describes which backend server owns which keys.
//
// Keys are hashed, and the hash space of a service is divided in spans. A Place is a span with its
// ordered owners as it is stored; a Holding is a Place in force, with the rank of the owner that
// is active. A Table is every Holding of a cell at one version, and is never changed once it is
// published. A Record is what the object API keeps.
//
// # Usage
//
//	holding, ok := table.Lookup("depot/ledger", assign.Hash("yard-17"))
//	if ok && holding.Open {
//		forward(holding.Owner(), holding.Fence())
//	}
//
// The planner proposes places for a service and does not act on them. A plan is stored first, then
// its moves are made:
//
//	places := assign.Initial(servers, 1)
//	// later, with the holdings in force and the servers that are left
//	plan := assign.Repair(holdings, servers)
//	plan = assign.Rebalance(holdings, servers, load, 0.05) // repair, and moves of at most 5% of the keys
//	holdings, ok := assign.SplitHot(holdings, assign.Hash("yard-17"))
//	holdings = assign.MergeCold(holdings, load, 10, assign.SpansPerServer*len(servers))
package assign

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

//go:generate enumer -type=Fencing -transform=kebab -text -output=fencing_enumer.go

// ProcessID names one entry process.
type ProcessID string

// ServerID names one backend server.
type ServerID string

// ServiceID names a service as "team/service".
type ServiceID string

// Fencing says what a backend server checks before it runs a call.
type Fencing int

const (
	// Grants is a server that checks fencing numbers and its own grant.
	Grants Fencing = iota
	// Deadlines is a server that checks no grant, but neither starts nor finishes work after its
	// deadline.
	Deadlines
	// None is a server that checks nothing.
	None
)

// Server is one backend server.
type Server struct {
	ID            ServerID
	Service       ServiceID
	Address       netip.AddrPort
	FailureDomain string
	Fencing       Fencing
	Draining      bool
	// Slots is the number of requests that the server runs at once, 0 where it is not known.
	Slots int
	// WarmUp is how much longer the server stays slow after its start.
	WarmUp time.Duration
	// Born is the start of the server's process as Unix time in ms, 0 where it is not known. A server
	// that started again under its name has another one and holds nothing of before.
	Born int64
}

// Span is an inclusive range of key hashes.
type Span struct {
	From uint64
	To   uint64
}

// Contains reports whether hash is in the span.
func (s Span) Contains(hash uint64) bool {
	return s.From <= hash && hash <= s.To
}

// Place is a span with its owners in order of succession, as it is stored.
type Place struct {
	Span   Span
	Owners []ServerID
	// Base is the fencing number of the first owner; the owner of rank r has Base+r.
	Base lease.Fence
}

// Bucket is a part of the booking identifiers with the processes that remember them.
type Bucket struct {
	// Generation rises with each change of the recorders.
	Generation uint64
	// Horizon is the table version since which the recorders' memory is unbroken.
	Horizon uint64
	// Recorders are the processes that remember the bucket's identifiers. Survivors of the
	// previous generation come first.
	Recorders []ProcessID
	// Copying is set while only the first recorder is known to hold the bucket. If that one is
	// lost, the bucket's memory is lost.
	Copying bool
	// Incarnations are those of the Recorders, in the same order. A recorder that restarted has
	// forgotten what it remembered, so it answers only when its present incarnation is listed.
	Incarnations []uint64
	// Joined are the generations since which the Recorders are listed without a break, in the
	// same order. A recorder without memory since then copies the bucket before it answers.
	Joined []uint64
	// Start is the generation that came with the last rise of Horizon. Recorders that joined at
	// Start begin with an empty memory.
	Start uint64
}

// Run is one run of a process, from its start to its end. A process that starts again has another
// incarnation.
type Run struct {
	Process     ProcessID
	Incarnation string
}

// Record is the assignment of a cell as the object API keeps it.
type Record struct {
	Cell    string
	Term    uint64
	Decider ProcessID
	// Token identifies the write, so that a writer whose answer was lost recognises its own.
	Token     string
	Electors  []ProcessID
	NextFence lease.Fence
	Services  map[ServiceID][]Place
	Buckets   []Bucket
}

// Holding is a Place in force.
type Holding struct {
	Place
	// Rank is the index of the active owner. It only rises for one stored Place.
	Rank int
	// Open reports whether calls may be forwarded to the active owner.
	Open bool
	// Cold is set on a closed holding whose earlier owners are not known, because all tables were
	// lost. It may not open before every lease of earlier deciders has lapsed.
	Cold bool
}

// Owner returns the active owner, or "" where the succession is used up.
func (h Holding) Owner() ServerID {
	if h.Rank >= len(h.Owners) {
		return ""
	}
	return h.Owners[h.Rank]
}

// Fence returns the fencing number of the active owner.
func (h Holding) Fence() lease.Fence {
	return h.Base + lease.Fence(h.Rank)
}

// Table is the assignment of a cell in force. It is immutable once published.
type Table struct {
	Version  uint64
	Term     uint64
	Services map[ServiceID][]Holding
	Buckets  []Bucket
	Electors []ProcessID
	// Processes are those that take part, sorted by name.
	Processes []ProcessID
	// Runs are the runs of processes that may hold a serving lease or still have calls at a server.
	// A run gets its first lease only when a majority of the electors holds a table that lists it,
	// so that a new decider knows every lease and call it has to wait for. A run that has ended
	// stays listed while a server may still work on its calls.
	Runs []Run
}

// Hash returns the position of a key in the hash space.
func Hash(key string) uint64 {
	return xxhash.Sum64String(key)
}

// Lookup returns the holding that covers hash in the service. It reports false where the service
// owns no keys.
func (t *Table) Lookup(service ServiceID, hash uint64) (Holding, bool) {
	holdings := t.Services[service]
	i, found := slices.BinarySearchFunc(holdings, hash, func(h Holding, hash uint64) int {
		if h.Span.Contains(hash) {
			return 0
		}
		return cmp.Compare(h.Span.From, hash)
	})
	if !found {
		return Holding{}, false
	}
	return holdings[i], true
}

// Bucket returns the bucket of a booking identifier and its index. It reports false where the
// table has no buckets.
func (t *Table) Bucket(identifier string) (Bucket, int, bool) {
	if len(t.Buckets) == 0 {
		return Bucket{}, 0, false
	}
	i := int(Hash(identifier) % uint64(len(t.Buckets)))
	return t.Buckets[i], i, true
}

// Clone returns a copy that can be changed and published as a later version.
func (t *Table) Clone() *Table {
	services := make(map[ServiceID][]Holding, len(t.Services))
	for id, holdings := range t.Services {
		services[id] = slices.Clone(holdings)
	}
	return &Table{
		Version:   t.Version,
		Term:      t.Term,
		Services:  services,
		Buckets:   slices.Clone(t.Buckets),
		Electors:  slices.Clone(t.Electors),
		Processes: slices.Clone(t.Processes),
		Runs:      slices.Clone(t.Runs),
	}
}

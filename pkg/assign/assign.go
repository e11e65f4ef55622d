// Package assign describes which backend server owns which keys.
//
// Keys are hashed, and the hash space of each service is divided into spans. A Place is a span and its
// owners in order of succession, as stored. A Holding is a Place in force, with the rank of the active
// owner. A Table contains all Holdings of a cell, which is a group of entry processes with one decider,
// at one version. It does not change once it is published. A Record is the stored form of the
// assignment.
//
// # Usage
//
//	holding, ok := table.Lookup("depot/ledger", assign.Hash("yard-17"))
//	if ok && holding.Open {
//		forward(holding.Owner(), holding.Fence())
//	}
//
// The planner computes places for a service without side effects. The caller stores a plan before it
// makes the moves:
//
//	places := assign.Initial(servers, 1)
//	// later, with the holdings in force and the remaining servers
//	plan := assign.Repair(holdings, servers)
//	plan = assign.Rebalance(holdings, servers, load, 0.05) // repairs, and moves at most 5% of the keys
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

// ProcessID is the name of an entry process.
type ProcessID string

// ServerID is the name of a backend server.
type ServerID string

// ServiceID is the name of a service in the form "team/service".
type ServiceID string

// Fencing is what a backend server checks before it runs a call.
type Fencing int

const (
	// Grants means that the server checks the fencing number and that it holds a grant.
	Grants Fencing = iota
	// Deadlines means that the server checks no grant, but neither starts nor finishes a call after its
	// deadline.
	Deadlines
	// None means that the server checks nothing.
	None
)

// Server describes a backend server.
type Server struct {
	ID            ServerID
	Service       ServiceID
	Address       netip.AddrPort
	FailureDomain string
	Fencing       Fencing
	Draining      bool
	// Slots is the number of requests that the server runs concurrently, 0 if it is unknown.
	Slots int
	// WarmUp is the remaining time for which the server is slow after its start.
	WarmUp time.Duration
	// Born is the start of the server's process as Unix time in ms, 0 if it is unknown. A server that
	// restarts under the same ID has another start time and no longer owns the keys that it had.
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

// Place is a span with its owners in order of succession, as stored.
type Place struct {
	Span   Span
	Owners []ServerID
	// Base is the fencing number of the first owner. The owner of rank r has Base+r.
	Base lease.Fence
}

// Bucket is a shard of the booking identifiers with the processes that record them. The recorders keep
// the identifiers in memory only.
type Bucket struct {
	// Generation increases with each change of the recorders.
	Generation uint64
	// Horizon is the table version since which the recorders have recorded the bucket without a gap.
	Horizon uint64
	// Recorders are the processes that record the bucket's identifiers. Those of the previous
	// generation that remain come first.
	Recorders []ProcessID
	// Copying is set while only the first recorder is known to have a copy of the bucket. If it is
	// lost, the identifiers of the bucket are lost.
	Copying bool
	// Incarnations are the incarnations of the Recorders, in the same order. A recorder that restarted
	// has lost its copy, so it answers only once its current incarnation is listed.
	Incarnations []uint64
	// Joined has, for each of the Recorders, the generation since which it has been listed without
	// interruption. A recorder whose copy does not go back to that generation copies the bucket before
	// it answers.
	Joined []uint64
	// Start is the generation in which Horizon last increased. Recorders that joined in that generation
	// begin with an empty copy.
	Start uint64
}

// Run identifies one run of a process, from its start to its end. A process that restarts gets another
// incarnation.
type Run struct {
	Process     ProcessID
	Incarnation string
}

// Record is the assignment of a cell as stored by the object API.
type Record struct {
	Cell    string
	Term    uint64
	Decider ProcessID
	// Token identifies the write, so that a writer that received no answer recognises its own write.
	Token     string
	Electors  []ProcessID
	NextFence lease.Fence
	Services  map[ServiceID][]Place
	Buckets   []Bucket
}

// Holding is a Place in force.
type Holding struct {
	Place
	// Rank is the index of the active owner. It never decreases while the stored Place stays the same.
	Rank int
	// Open reports whether calls may be forwarded to the active owner.
	Open bool
	// Cold is set on a closed holding whose previous owners are unknown because all tables were lost. It
	// may not open before all leases granted by earlier deciders have lapsed.
	Cold bool
}

// Owner returns the active owner, or "" if no owner is left in the order of succession.
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

// Table is the assignment in force in a cell. It is immutable once published.
type Table struct {
	Version  uint64
	Term     uint64
	Services map[ServiceID][]Holding
	Buckets  []Bucket
	Electors []ProcessID
	// Processes are the entry processes of the cell, sorted by name.
	Processes []ProcessID
	// Runs are the process runs that may hold a serving lease or still have calls in flight at a server.
	// A run gets its first lease only after a majority of the electors holds a table that lists it, so
	// that a new decider knows all leases and calls that it has to wait for. A run that has ended stays
	// listed while a server may still be running its calls.
	Runs []Run
}

// Hash returns the position of a key in the hash space.
func Hash(key string) uint64 {
	return xxhash.Sum64String(key)
}

// Lookup returns the holding of the service whose span contains hash. It returns false if the service
// has no holdings.
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

// Bucket returns the bucket of a booking identifier and the index of the bucket. It returns false if
// the table has no buckets.
func (t *Table) Bucket(identifier string) (Bucket, int, bool) {
	if len(t.Buckets) == 0 {
		return Bucket{}, 0, false
	}
	i := int(Hash(identifier) % uint64(len(t.Buckets)))
	return t.Buckets[i], i, true
}

// Clone returns a copy that may be changed and published as a later version.
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

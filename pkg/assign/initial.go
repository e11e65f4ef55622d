package assign

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

const (
	// SpansPerServer is the number of spans that each server owns in a new service.
	SpansPerServer = 16
	// Successors is the number of servers that are listed after the owner of a place.
	Successors = 3
	// MaxSpans bounds the number of spans of a cell, and with it the size of a table.
	MaxSpans = 4096
	// MaxHotSpans bounds the number of spans of a cell that contain a single hash.
	MaxHotSpans = 512
)

// Initial returns the places of a new service: SpansPerServer spans of equal width for each server that
// is not draining. The servers own the spans in turn, and the successors are in other failure domains if
// possible. All places start with the fencing number base. Initial returns nil if there is no
// such server.
func Initial(servers []Server, base lease.Fence) []Place {
	live := usable(servers)
	if len(live) == 0 {
		return nil
	}
	n := min(SpansPerServer*len(live), MaxSpans)
	chooser := newChooser(live)
	places := make([]Place, n)
	for i := range places {
		owner := live[i%len(live)].ID
		places[i] = Place{Span: equalSpan(i, n), Owners: []ServerID{owner}, Base: base}
		chooser.ownedSpans[owner]++
	}
	for i := range places {
		places[i].Owners = chooser.withSuccessors(places[i].Owners)
	}
	return places
}

// equalSpan returns span i of n spans that divide the hash space evenly.
func equalSpan(i, n int) Span {
	span := Span{From: spanStart(i, n), To: math.MaxUint64}
	if i+1 < n {
		span.To = spanStart(i+1, n) - 1
	}
	return span
}

// spanStart returns the first hash of span i of n equal spans, i*2^64/n.
func spanStart(i, n int) uint64 {
	q, _ := bits.Div64(uint64(i), 0, uint64(n))
	return q
}

// usable returns the servers that are not draining, sorted by ID and without duplicates.
func usable(servers []Server) []Server {
	live := slices.DeleteFunc(slices.Clone(servers), func(s Server) bool { return s.Draining })
	slices.SortFunc(live, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(live, func(a, b Server) bool { return a.ID == b.ID })
}

// chooser selects owners and successors so that they are spread evenly over the servers.
type chooser struct {
	servers []Server
	// failureDomain maps each server to its failure domain.
	failureDomain map[ServerID]string
	// ownedSpans counts the spans of each owner.
	ownedSpans      map[ServerID]int
	successorCounts map[successorKey]int
}

// successorKey is the key of a count: how often a server is the successor at a position. The count is for the
// spans of one owner, so that the load of a lost server is spread, or for all spans if owner is empty.
type successorKey struct {
	owner    ServerID
	position int
	server   ServerID
}

func newChooser(servers []Server) *chooser {
	c := &chooser{
		servers:         servers,
		failureDomain:   make(map[ServerID]string, len(servers)),
		ownedSpans:      make(map[ServerID]int, len(servers)),
		successorCounts: make(map[successorKey]int, len(servers)),
	}
	for _, s := range servers {
		c.failureDomain[s.ID] = s.FailureDomain
	}
	return c
}

// withSuccessors extends owners to one owner and Successors successors, or fewer if there are too few
// servers.
func (c *chooser) withSuccessors(owners []ServerID) []ServerID {
	return c.extend(owners, 1+Successors)
}

// extend appends usable servers to a copy of owners until it has length n or no server is left.
func (c *chooser) extend(owners []ServerID, n int) []ServerID {
	owners = slices.Clone(owners)
	for len(owners) < n {
		next, ok := c.bestSuccessor(owners)
		if !ok {
			break
		}
		c.countSuccessor(owners, next)
		owners = append(owners, next)
	}
	return owners
}

// countSuccessor counts id as the successor that follows owners.
func (c *chooser) countSuccessor(owners []ServerID, id ServerID) {
	c.successorCounts[keyForOwner(owners, id)]++
	c.successorCounts[successorKey{"", len(owners), id}]++
}

// keyForOwner returns the key of the count for the spans of the first of owners.
func keyForOwner(owners []ServerID, id ServerID) successorKey {
	key := successorKey{position: len(owners), server: id}
	if len(owners) > 0 {
		key.owner = owners[0]
	}
	return key
}

// bestSuccessor returns the best server to append to owners, in the order of compare. It returns false if
// owners contains all servers.
func (c *chooser) bestSuccessor(owners []ServerID) (ServerID, bool) {
	best, found := ServerID(""), false
	for _, s := range c.servers {
		if slices.Contains(owners, s.ID) {
			continue
		}
		if !found || c.compare(owners, s.ID, best) < 0 {
			best, found = s.ID, true
		}
	}
	return best, found
}

// compare prefers, in this order, the server whose failure domain has the fewest of owners, the one that
// is least often at this position for spans of the same owner, the one that is least often at this
// position for all spans, the one that owns the fewest spans, and the next ID after the last of owners,
// starting over at the lowest.
func (c *chooser) compare(owners []ServerID, a, b ServerID) int {
	last := owners[max(0, len(owners)-1):]
	return cmp.Or(
		cmp.Compare(c.sameDomain(owners, a), c.sameDomain(owners, b)),
		cmp.Compare(c.successorCounts[keyForOwner(owners, a)], c.successorCounts[keyForOwner(owners, b)]),
		cmp.Compare(c.successorCounts[successorKey{"", len(owners), a}], c.successorCounts[successorKey{"", len(owners), b}]),
		cmp.Compare(c.ownedSpans[a], c.ownedSpans[b]),
		cmp.Compare(sortsBefore(a, last), sortsBefore(b, last)),
		cmp.Compare(a, b),
	)
}

// sameDomain returns the number of owners in the failure domain of id.
func (c *chooser) sameDomain(owners []ServerID, id ServerID) int {
	n := 0
	for _, o := range owners {
		if d, known := c.failureDomain[o]; known && d == c.failureDomain[id] {
			n++
		}
	}
	return n
}

// sortsBefore returns 1 if id sorts before the last owner, which is the only element of last, and 0 otherwise.
func sortsBefore(id ServerID, last []ServerID) int {
	if len(last) > 0 && id < last[0] {
		return 1
	}
	return 0
}

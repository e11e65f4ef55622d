package assign

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

const (
	// SpansPerServer is the number of spans of one server in a new service.
	SpansPerServer = 16
	// Successors is the number of servers listed after the owner of a place.
	Successors = 3
	// MaxSpans bounds the spans of a cell, and with it the size of a table.
	MaxSpans = 4096
	// MaxHotSpans bounds the spans of width one of a cell.
	MaxHotSpans = 512
)

// Initial returns the places of a new service: SpansPerServer spans of equal width for each server
// that is not draining, owners in turn, successors in other failure domains where possible. All
// places have the fence base. It returns nil where there is no such server.
func Initial(servers []Server, base lease.Fence) []Place {
	live := usable(servers)
	if len(live) == 0 {
		return nil
	}
	n := min(SpansPerServer*len(live), MaxSpans)
	choice := newChoice(live)
	places := make([]Place, n)
	for i := range places {
		owner := live[i%len(live)].ID
		places[i] = Place{Span: equalSpan(i, n), Owners: []ServerID{owner}, Base: base}
		choice.owned[owner]++
	}
	for i := range places {
		places[i].Owners = choice.succession(places[i].Owners)
	}
	return places
}

// equalSpan returns span i of n spans that divide the hash space evenly.
func equalSpan(i, n int) Span {
	span := Span{From: cut(i, n), To: math.MaxUint64}
	if i+1 < n {
		span.To = cut(i+1, n) - 1
	}
	return span
}

// cut returns i*2^64/n.
func cut(i, n int) uint64 {
	q, _ := bits.Div64(uint64(i), 0, uint64(n))
	return q
}

// usable returns the servers that may own spans, sorted by ID.
func usable(servers []Server) []Server {
	live := slices.DeleteFunc(slices.Clone(servers), func(s Server) bool { return s.Draining })
	slices.SortFunc(live, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(live, func(a, b Server) bool { return a.ID == b.ID })
}

// choice picks owners and successors so that they are spread evenly.
type choice struct {
	servers []Server
	domain  map[ServerID]string
	owned   map[ServerID]int
	named   map[naming]int
}

// naming counts how often a server is the successor at a position: for all spans, where owner is
// empty, or for those of one owner. The latter spreads the load of a lost server.
type naming struct {
	owner    ServerID
	position int
	server   ServerID
}

func newChoice(servers []Server) *choice {
	c := &choice{
		servers: servers,
		domain:  make(map[ServerID]string, len(servers)),
		owned:   make(map[ServerID]int, len(servers)),
		named:   make(map[naming]int, len(servers)),
	}
	for _, s := range servers {
		c.domain[s.ID] = s.FailureDomain
	}
	return c
}

// succession extends owners to one owner and Successors successors, as far as there are servers.
func (c *choice) succession(owners []ServerID) []ServerID {
	return c.extend(owners, 1+Successors)
}

// extend appends usable servers to owners until it has length n or none is left.
func (c *choice) extend(owners []ServerID, n int) []ServerID {
	owners = slices.Clone(owners)
	for len(owners) < n {
		next, ok := c.next(owners)
		if !ok {
			break
		}
		c.name(owners, next)
		owners = append(owners, next)
	}
	return owners
}

// name notes that id follows owners.
func (c *choice) name(owners []ServerID, id ServerID) {
	c.named[ofOwner(owners, id)]++
	c.named[naming{"", len(owners), id}]++
}

func ofOwner(owners []ServerID, id ServerID) naming {
	n := naming{position: len(owners), server: id}
	if len(owners) > 0 {
		n.owner = owners[0]
	}
	return n
}

// next returns the server that is best added to owners: one of the failure domain that occurs
// least among them, then the one that least often has this position for spans of the same owner,
// then for all spans, then the lowest ID after the last owner.
func (c *choice) next(owners []ServerID) (ServerID, bool) {
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

func (c *choice) compare(owners []ServerID, a, b ServerID) int {
	last := owners[max(0, len(owners)-1):]
	return cmp.Or(
		cmp.Compare(c.shared(owners, a), c.shared(owners, b)),
		cmp.Compare(c.named[ofOwner(owners, a)], c.named[ofOwner(owners, b)]),
		cmp.Compare(c.named[naming{"", len(owners), a}], c.named[naming{"", len(owners), b}]),
		cmp.Compare(c.owned[a], c.owned[b]),
		cmp.Compare(before(a, last), before(b, last)),
		cmp.Compare(a, b),
	)
}

// shared counts the owners in the failure domain of id.
func (c *choice) shared(owners []ServerID, id ServerID) int {
	n := 0
	for _, o := range owners {
		if d, known := c.domain[o]; known && d == c.domain[id] {
			n++
		}
	}
	return n
}

// before returns 1 where id sorts before the only element of last, else 0.
func before(id ServerID, last []ServerID) int {
	if len(last) > 0 && id < last[0] {
		return 1
	}
	return 0
}

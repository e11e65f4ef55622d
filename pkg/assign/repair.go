package assign

import (
	"math"
	"slices"
)

// Plan is a change to the holdings of one service. It is stored first; then the moves are made.
type Plan struct {
	// Places has one place for each holding, in the same order and with the same span.
	Places []Place
	// Moves are the indexes of the places that pass to their first successor, in order.
	Moves []int
}

// Owners returns the owner of each place after the moves, "" where there is none.
func (p Plan) Owners() []ServerID {
	owners := make([]ServerID, len(p.Places))
	for i, place := range p.Places {
		rank := 0
		if slices.Contains(p.Moves, i) {
			rank = 1
		}
		if rank < len(place.Owners) {
			owners[i] = place.Owners[rank]
		}
	}
	return owners
}

// Repair returns places whose successors are usable servers, as far as there are enough, and moves the spans whose owner is
// not usable: draining or not in servers. No other span moves. An open holding is stored from its
// active owner on. A closed one keeps its list, because servers of earlier ranks may still run
// calls; it is extended where no later owner is usable.
func Repair(holdings []Holding, servers []Server) Plan {
	r := newRepair(holdings, servers)
	plan := Plan{Places: make([]Place, len(holdings))}
	for i, h := range holdings {
		plan.Places[i] = r.place(h)
		owners := plan.Places[i].Owners
		if h.Open && !r.usable(h.Owner()) && len(owners) > 1 && r.usable(owners[1]) {
			plan.Moves = append(plan.Moves, i)
		}
	}
	return plan
}

type repair struct{ choice *choice }

func newRepair(holdings []Holding, servers []Server) repair {
	c := newChoice(usable(servers))
	for _, h := range holdings {
		c.count(h)
	}
	return repair{choice: c}
}

// count adds the owner and the successors of a holding to the spread.
func (c *choice) count(h Holding) {
	if h.Rank >= len(h.Owners) {
		return
	}
	owners := h.Owners[h.Rank:]
	c.owned[owners[0]]++
	for i := 1; i < len(owners); i++ {
		c.name(owners[:i], owners[i])
	}
}

func (r repair) usable(id ServerID) bool {
	_, ok := r.choice.domain[id]
	return ok
}

func (r repair) place(h Holding) Place {
	if !h.Open {
		return r.extended(h)
	}
	owners := []ServerID{h.Owner()}
	for _, id := range h.Owners[h.Rank+1:] {
		if r.usable(id) && !slices.Contains(owners, id) && len(owners) <= Successors {
			owners = append(owners, id)
		}
	}
	owners = r.keep(r.choice.succession(owners), h.Owners[h.Rank+1:])
	return Place{Span: h.Span, Owners: owners, Base: h.Fence()}
}

// keep appends earlier successors that are not usable now, where there are too few that are: they
// may return while nothing can be stored.
func (r repair) keep(owners, earlier []ServerID) []ServerID {
	for _, id := range earlier {
		if len(owners) <= Successors && !slices.Contains(owners, id) {
			owners = append(owners, id)
		}
	}
	return owners
}

// extended returns the place of a closed holding.
func (r repair) extended(h Holding) Place {
	rest := h.Owners[min(h.Rank, len(h.Owners)):]
	if slices.ContainsFunc(rest, r.usable) {
		return h.Place
	}
	more := r.choice.extend(rest, len(rest)+1+Successors)[len(rest):]
	place := h.Place
	place.Owners = append(slices.Clone(h.Owners), more...)
	return place
}

// Share returns the part of the hash space that the span covers, between 0 and 1.
func (s Span) Share() float64 {
	return (float64(s.To-s.From) + 1) / float64(math.MaxUint64)
}

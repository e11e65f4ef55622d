package assign

import (
	"math"
	"slices"
)

// Plan is a change to the holdings of one service. Its places are stored before the moves are made.
type Plan struct {
	// Places has one place for each holding, in the same order and with the same span.
	Places []Place
	// Moves has the indexes of the places that move to their first successor, in ascending order.
	Moves []int
}

// Owners returns the owner of each place after the moves, "" if there is none.
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

// Repair returns a plan that replaces successors that are not usable, if there are enough usable servers,
// and moves only the spans whose owner is not usable. A server is not usable if it is draining or not in
// servers. The place of an open holding starts with the active owner. A closed holding keeps all its
// owners, because those of earlier ranks may still run calls, and gets new successors if none of its
// remaining owners is usable.
func Repair(holdings []Holding, servers []Server) Plan {
	r := newRepairer(holdings, servers)
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

// repairer plans the places of holdings for a set of usable servers.
type repairer struct{ chooser *chooser }

func newRepairer(holdings []Holding, servers []Server) repairer {
	c := newChooser(usable(servers))
	for _, h := range holdings {
		c.countOwners(h)
	}
	return repairer{chooser: c}
}

// countOwners adds the active owner and the successors of a holding to the counts.
func (c *chooser) countOwners(h Holding) {
	if h.Rank >= len(h.Owners) {
		return
	}
	owners := h.Owners[h.Rank:]
	c.ownedSpans[owners[0]]++
	for i := 1; i < len(owners); i++ {
		c.countSuccessor(owners[:i], owners[i])
	}
}

// usable reports whether a server is listed and not draining.
func (r repairer) usable(id ServerID) bool {
	_, ok := r.chooser.failureDomain[id]
	return ok
}

// place returns the place of a holding, with successors that are usable if there are enough.
func (r repairer) place(h Holding) Place {
	if !h.Open {
		return r.extendClosed(h)
	}
	owners := []ServerID{h.Owner()}
	for _, id := range h.Owners[h.Rank+1:] {
		if r.usable(id) && !slices.Contains(owners, id) && len(owners) <= Successors {
			owners = append(owners, id)
		}
	}
	owners = r.appendEarlier(r.chooser.withSuccessors(owners), h.Owners[h.Rank+1:])
	return Place{Span: h.Span, Owners: owners, Base: h.Fence()}
}

// appendEarlier fills the list of owners up with earlier successors that are not usable now, because they may
// return while the store cannot be written.
func (r repairer) appendEarlier(owners, earlier []ServerID) []ServerID {
	for _, id := range earlier {
		if len(owners) <= Successors && !slices.Contains(owners, id) {
			owners = append(owners, id)
		}
	}
	return owners
}

// extendClosed returns the place of a closed holding, with new successors if none of its remaining owners is
// usable.
func (r repairer) extendClosed(h Holding) Place {
	remaining := h.Owners[min(h.Rank, len(h.Owners)):]
	if slices.ContainsFunc(remaining, r.usable) {
		return h.Place
	}
	added := r.chooser.extend(remaining, len(remaining)+1+Successors)[len(remaining):]
	place := h.Place
	place.Owners = append(slices.Clone(h.Owners), added...)
	return place
}

// Share returns the fraction of the hash space that the span covers, between 0 and 1.
func (s Span) Share() float64 {
	return (float64(s.To-s.From) + 1) / float64(math.MaxUint64)
}

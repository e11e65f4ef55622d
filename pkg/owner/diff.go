package owner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// openDifference returns the parts of spans that are open in a but not open at the same server with
// the same fence in b, sorted by service and span. A nil table has no open spans.
func openDifference(a, b *assign.Table) []Assignment {
	if a == nil {
		return nil
	}
	var parts []Assignment
	for _, id := range slices.Sorted(maps.Keys(a.Services)) {
		for _, h := range a.Services[id] {
			if !h.Open {
				continue
			}
			parts = append(parts, uncoveredParts(id, h, b)...)
		}
	}
	return parts
}

// uncoveredParts returns the parts of the open holding h that are not open at the same server with
// the same fence in b.
func uncoveredParts(id assign.ServiceID, h assign.Holding, b *assign.Table) []Assignment {
	whole := Assignment{Service: id, Span: h.Span, Server: h.Owner(), Fence: h.Fence()}
	if b == nil {
		return []Assignment{whole}
	}
	var parts []Assignment
	next, covered := h.Span.From, false
	for _, o := range overlapping(b.Services[id], h.Span) {
		if !o.Open || o.Owner() != whole.Server || o.Fence() != whole.Fence {
			continue
		}
		if o.Span.From > next {
			part := whole
			part.Span = assign.Span{From: next, To: o.Span.From - 1}
			parts = append(parts, part)
		}
		if o.Span.To >= h.Span.To {
			covered = true
			break
		}
		next = o.Span.To + 1
	}
	if !covered {
		part := whole
		part.Span = assign.Span{From: next, To: h.Span.To}
		parts = append(parts, part)
	}
	return parts
}

// overlapping returns the holdings that have a hash in common with the span.
func overlapping(holdings []assign.Holding, s assign.Span) []assign.Holding {
	first, _ := slices.BinarySearchFunc(holdings, s.From, func(h assign.Holding, from uint64) int {
		return cmp.Compare(h.Span.To, from)
	})
	last := first
	for last < len(holdings) && holdings[last].Span.From <= s.To {
		last++
	}
	return holdings[first:last]
}

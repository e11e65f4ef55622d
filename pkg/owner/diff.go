package owner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// leaving returns the parts that are open in a and not open at the same server with the same fence
// in b, in the order of service and span. A nil table has no open span.
func leaving(a, b *assign.Table) []Closing {
	if a == nil {
		return nil
	}
	var parts []Closing
	for _, id := range slices.Sorted(maps.Keys(a.Services)) {
		for _, h := range a.Services[id] {
			if !h.Open {
				continue
			}
			parts = append(parts, uncovered(id, h, b)...)
		}
	}
	return parts
}

// uncovered returns the parts of the open holding h that b does not keep as they are.
func uncovered(id assign.ServiceID, h assign.Holding, b *assign.Table) []Closing {
	whole := Closing{Service: id, Span: h.Span, Server: h.Owner(), Fence: h.Fence()}
	if b == nil {
		return []Closing{whole}
	}
	var parts []Closing
	next, done := h.Span.From, false
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
			done = true
			break
		}
		next = o.Span.To + 1
	}
	if !done {
		part := whole
		part.Span = assign.Span{From: next, To: h.Span.To}
		parts = append(parts, part)
	}
	return parts
}

// overlapping returns the holdings that share a hash with the span.
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

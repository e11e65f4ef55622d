package event

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// Filter reports whether an event is selected.
type Filter func(e Event) bool

// Merge returns the events of several processes as one timeline, sorted by logical time, then by
// process, then in the given order. A cause comes before its effect. The order of unrelated events
// is stable but does not show which happened first.
func Merge(rings ...[]Event) []Event {
	timeline := slices.Concat(rings...)
	slices.SortStableFunc(timeline, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Logical, b.Logical), cmp.Compare(a.Process, b.Process))
	})
	return timeline
}

// Select returns the events that all filters select, in the given order.
func Select(events []Event, filters ...Filter) []Event {
	var selected []Event
	for _, e := range events {
		if matchesAll(e, filters) {
			selected = append(selected, e)
		}
	}
	return selected
}

func matchesAll(e Event, filters []Filter) bool {
	for _, f := range filters {
		if !f(e) {
			return false
		}
	}
	return true
}

// ByKey selects events whose span covers a key hash. Events without a span are not selected.
func ByKey(hash uint64) Filter {
	return func(e Event) bool { return e.HasSpan && e.Span.Contains(hash) }
}

// ByService selects events of one service.
func ByService(service assign.ServiceID) Filter {
	return func(e Event) bool { return e.Service == service }
}

// ByServer selects events of one server.
func ByServer(server assign.ServerID) Filter {
	return func(e Event) bool { return e.Server == server }
}

// ByProcess selects events of one process.
func ByProcess(process assign.ProcessID) Filter {
	return func(e Event) bool { return e.Process == process }
}

// ByKinds selects events of any of the kinds.
func ByKinds(kinds ...Kind) Filter {
	return func(e Event) bool { return slices.Contains(kinds, e.Kind) }
}

// Between selects events from a time, inclusive, to another, exclusive. A zero time means no bound.
// The bounds are compared with times of each process's own clock, so for several processes the
// selection is inexact by the difference of their clocks.
func Between(from, to time.Time) Filter {
	return func(e Event) bool {
		return (from.IsZero() || !e.Time.Before(from)) && (to.IsZero() || e.Time.Before(to))
	}
}

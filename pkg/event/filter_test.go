package event_test

import (
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/event"
)

var _ = Describe("filters in text form", func() {
	hash := assign.Hash("yard-17")
	events := []event.Event{
		event.Event{Kind: event.Move, Process: "entry-1", Server: "ledger-1", Service: "yards/ledger", Time: start}.OnKey(hash),
		{Kind: event.Drain, Process: "entry-2", Server: "ledger-2", Service: "yards/returns", Time: start.Add(time.Second)},
	}
	parse := func(values map[string]string) ([]event.Filter, error) {
		return event.ParseFilters(func(name string) string { return values[name] })
	}

	// Guards against a filter that is parsed as another one or ignored.
	DescribeTable("select the first event only", func(name, value string) {
		filters, err := parse(map[string]string{name: value})
		Expect(err).NotTo(HaveOccurred())
		Expect(event.Select(events, filters...)).To(Equal(events[:1]))
	},
		Entry(nil, "key", "yard-17"),
		Entry(nil, "key-hash", "00e0715ea3c39546"),
		Entry(nil, "key-hash", "E0715EA3C39546"),
		Entry(nil, "service", "yards/ledger"),
		Entry(nil, "server", "ledger-1"),
		Entry(nil, "process", "entry-1"),
		Entry(nil, "kind", "move, lapse"),
		Entry(nil, "to", "2026-01-01T00:00:01Z"),
	)

	// Guards against a lower bound that is taken for an upper one, and against filters of which only one
	// applies.
	It("select the events that match all of them", func() {
		filters, err := parse(map[string]string{"from": "2026-01-01T00:00:01Z", "kind": "move,drain"})
		Expect(err).NotTo(HaveOccurred())
		Expect(filters).To(HaveLen(2))
		Expect(event.Select(events, filters...)).To(Equal(events[1:]))
		filters, err = parse(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(filters).To(BeEmpty())
	})

	// Guards against a mistyped filter that selects all events or none without an error.
	DescribeTable("are refused with an error that says how to correct them", func(name, value, want string) {
		_, err := parse(map[string]string{name: value})
		Expect(err).To(MatchError(ContainSubstring(want)))
		Expect(errorx.IsOfType(err, event.WrongFilter)).To(BeTrue())
	},
		Entry(nil, "key-hash", "yard", "up to 16 hex digits"),
		Entry(nil, "kind", "move,moved", `"moved" is no kind of event; use grant, lapse`),
		Entry(nil, "from", "yesterday", "write it as 2026"),
		Entry(nil, "to", "1", "write it as 2026"),
	)
})

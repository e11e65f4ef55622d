package event_test

import (
	"fmt"
	"os"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/event"
)

// The message from entry-1 to entry-2 orders their events.
func ExampleMerge() {
	c := clock.NewManual(time.Unix(0, 0))
	first, second := new(event.Clock), new(event.Clock)
	one := event.NewRing("entry-1", 16, c, first)
	two := event.NewRing("entry-2", 16, c, second)
	one.Add(event.Event{Kind: event.Grant, Server: "ledger-3"})
	second.Witness(first.Tick())
	two.Add(event.Event{Kind: event.Move, Server: "ledger-3"})
	for _, e := range event.Merge(two.Events(), one.Events()) {
		fmt.Fprintln(os.Stdout, e.Process, e.Kind, e.Server)
	}
	// Output:
	// entry-1 grant ledger-3
	// entry-2 move ledger-3
}

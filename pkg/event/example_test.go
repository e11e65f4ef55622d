package event_test

import (
	"fmt"
	"os"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/event"
)

// The message from entry-1 to entry-2 puts the event of entry-1 before that of entry-2.
func ExampleMerge() {
	c := clock.NewManual(time.Unix(0, 0))
	clock1, clock2 := new(event.Clock), new(event.Clock)
	ring1 := event.NewRing("entry-1", 16, c, clock1)
	ring2 := event.NewRing("entry-2", 16, c, clock2)
	ring1.Add(event.Event{Kind: event.Grant, Server: "ledger-3"})
	clock2.Witness(clock1.Tick())
	ring2.Add(event.Event{Kind: event.Move, Server: "ledger-3"})
	for _, e := range event.Merge(ring2.Events(), ring1.Events()) {
		fmt.Fprintln(os.Stdout, e.Process, e.Kind, e.Server)
	}
	// Output:
	// entry-1 grant ledger-3
	// entry-2 move ledger-3
}

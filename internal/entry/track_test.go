package entry

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// holdingOf returns a holding of the whole hash space by a server.
func holdingOf(server assign.ServerID, fence lease.Fence, open bool) assign.Holding {
	place := assign.Place{Span: assign.Span{To: ^uint64(0)}, Owners: []assign.ServerID{server}, Base: fence}
	return assign.Holding{Place: place, Open: open}
}

func tableOf(holding assign.Holding) *assign.Table {
	return &assign.Table{Version: 1, Services: map[assign.ServiceID][]assign.Holding{"yards/ledger": {holding}}}
}

// traffic counts calls in flight while a table is counted.
type traffic struct {
	tracker *Tracker
	fences  int
}

func (t *traffic) run() {
	for fence := range t.fences {
		t.tracker.enter("yards/ledger", holdingOf("ledger-1", lease.Fence(fence+1), true)).leave()
	}
}

var _ = Describe("the tracker", func() {
	// Guards against a table that is acknowledged while a call under a closed span is in flight.
	It("counts a call under a closed span until it has ended", func() {
		tracker := NewTracker()
		f := tracker.enter("yards/ledger", holdingOf("ledger-1", 1, true))
		Expect(tracker.InFlight(tableOf(holdingOf("ledger-1", 1, true)))).To(BeEmpty())
		next := tableOf(holdingOf("ledger-2", 2, false))
		Expect(tracker.InFlight(next)).To(Equal(map[assign.ServerID]int{"ledger-1": 1}))
		f.leave()
		Expect(tracker.InFlight(next)).To(BeEmpty())
	})

	// Guards against a data race between calls and the control goroutine, seen under the race
	// detector in one of three runs over a whole user.
	It("is counted while calls enter", func() {
		tracker := NewTracker()
		var group conc.WaitGroup
		for range 4 {
			group.Go((&traffic{tracker: tracker, fences: 200}).run)
		}
		for range 200 {
			tracker.InFlight(tableOf(holdingOf("ledger-1", 1, true)))
			tracker.TakeLoad()
		}
		group.Wait()
		Expect(tracker.InFlight(tableOf(holdingOf("ledger-1", 1, true)))).To(BeEmpty())
	})
})

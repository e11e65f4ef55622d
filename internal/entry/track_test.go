package entry

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// holdingOf returns a holding of the whole hash space.
func holdingOf(server assign.ServerID, fence lease.Fence, open bool) assign.Holding {
	place := assign.Place{Span: assign.Span{To: ^uint64(0)}, Owners: []assign.ServerID{server}, Base: fence}
	return assign.Holding{Place: place, Open: open}
}

func tableOf(holding assign.Holding) *assign.Table {
	return &assign.Table{Version: 1, Services: map[assign.ServiceID][]assign.Holding{"yards/ledger": {holding}}}
}

// traffic starts and finishes one call under each of several fencing numbers.
type traffic struct {
	tracker *Tracker
	fences  int
}

func (t *traffic) run() {
	for fence := range t.fences {
		t.tracker.start("yards/ledger", holdingOf("ledger-1", lease.Fence(fence+1), true)).finish()
	}
}

var _ = Describe("the tracker", func() {
	// Guards against the acknowledgment of a table while a call under a closed span is in flight.
	It("counts a call under a closed span until it has ended", func() {
		tracker := NewTracker()
		counter := tracker.start("yards/ledger", holdingOf("ledger-1", 1, true))
		Expect(tracker.InFlight(tableOf(holdingOf("ledger-1", 1, true)))).To(BeEmpty())
		next := tableOf(holdingOf("ledger-2", 2, false))
		Expect(tracker.InFlight(next)).To(Equal(map[assign.ServerID]int{"ledger-1": 1}))
		counter.finish()
		Expect(tracker.InFlight(next)).To(BeEmpty())
	})

	// Guards against a data race between calls and the control goroutine. The race detector saw it in one
	// of three runs of a whole user.
	It("can be read while calls start", func() {
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

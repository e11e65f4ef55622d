package audit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/audit"
	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

func TestAudit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "audit")
}

// promises returns the promise of each fault.
func promises(faults []audit.Fault) []audit.Promise {
	broken := []audit.Promise{}
	for _, f := range faults {
		broken = append(broken, f.Promise)
	}
	return broken
}

func run(id, server string, fence uint64, start, end int64) stand.Run {
	return stand.Run{
		RequestID: id + "~random.1", Service: "yards/ledger", KeyHash: "00000000000000aa", Fence: fence,
		Start: start, End: end, Outcome: stand.RunFinished, Server: server,
	}
}

func lookup(id, outcome string) audit.Attempt {
	return audit.Attempt{RequestID: id, Outcome: outcome, Own: true}
}

func booking(id, outcome, answer string) audit.Attempt {
	return audit.Attempt{RequestID: id, Booking: "b", Outcome: outcome, Own: true, Answer: answer}
}

// Each entry guards against a broken promise that Check does not report, or a fault that Check reports
// although no promise is broken.
var _ = DescribeTable("Check",
	func(runs []stand.Run, attempts []audit.Attempt, broken ...audit.Promise) {
		Expect(promises(audit.Check(runs, attempts))).To(Equal(append([]audit.Promise{}, broken...)))
	},
	Entry("a call that ran",
		[]stand.Run{run("a", "s1", 1, 10, 20)}, []audit.Attempt{lookup("a", caller.Ran)}),
	Entry("a key that changes its owner between two runs",
		[]stand.Run{run("a", "s1", 1, 10, 20), run("b", "s2", 2, 20, 30)}, nil),
	Entry("a run of the previous owner that overlaps a run of the new owner",
		[]stand.Run{run("a", "s1", 1, 10, 25), run("b", "s2", 2, 20, 30)}, nil, audit.SoleOwner),
	Entry("two servers that use the same fence",
		[]stand.Run{run("a", "s1", 1, 10, 20), run("b", "s2", 1, 30, 40)}, nil, audit.SoleOwner),
	Entry("a run under a lower fence that has not ended",
		[]stand.Run{
			{RequestID: "a", KeyHash: "aa", Fence: 1, Start: 10, Outcome: stand.RunRunning, Server: "s1"},
			{RequestID: "b", KeyHash: "aa", Fence: 2, Start: 20, End: 30, Outcome: stand.RunFinished, Server: "s2"},
		}, nil, audit.SoleOwner),
	Entry("a call that ran but got the outcome not-run",
		[]stand.Run{run("a", "s1", 1, 10, 20)}, []audit.Attempt{lookup("a", caller.NotRun)}, audit.NotRun),
	Entry("a call that ran and got the outcome unknown",
		[]stand.Run{run("a", "s1", 1, 10, 20)}, []audit.Attempt{lookup("a", caller.Unknown)}),
	Entry("an answer that belongs to another request",
		[]stand.Run{run("a", "s1", 1, 10, 20)},
		[]audit.Attempt{{RequestID: "a", Outcome: caller.Ran}}, audit.WholeAnswer),
	Entry("a call that got the outcome ran but did not run",
		nil, []audit.Attempt{lookup("a", caller.Ran)}, audit.NotLost),
	Entry("a booking that ran again after a lost answer",
		[]stand.Run{run("b0", "s1", 1, 10, 20), run("b1", "s1", 1, 30, 40)},
		[]audit.Attempt{booking("b0", caller.Unknown, ""), booking("b1", caller.Ran, "x")}, audit.AtMostOnce),
	Entry("a retried booking that gets the answer of its only run",
		[]stand.Run{run("b0", "s1", 1, 10, 20)},
		[]audit.Attempt{booking("b0", caller.Ran, "x"), booking("b1", caller.Ran, "x")}),
	Entry("a retried booking that gets a different answer",
		[]stand.Run{run("b0", "s1", 1, 10, 20)},
		[]audit.Attempt{booking("b0", caller.Ran, "x"), booking("b1", caller.Ran, "y")}, audit.SameAnswer),
)

var _ = Describe("Leaving", func() {
	from := time.UnixMicro(1_000_000)

	// Guards against a run after the bound that is not reported, and against a fault for an earlier run.
	It("reports only runs that start after the bound", func() {
		runs := []stand.Run{
			run("a", "s1", 1, 1_500_000, 9_000_000),
			run("b", "s1", 1, 4_000_001, 5_000_000),
			run("c", "s2", 1, 5_000_000, 6_000_000),
		}
		faults := audit.Leaving(runs, "s1", from, 3*time.Second)
		Expect(promises(faults)).To(Equal([]audit.Promise{audit.LeavingServer}))
		Expect(faults[0].Detail).To(ContainSubstring("request=b~"))
	})
})

var _ = Describe("Cuts", func() {
	// Guards against an interrupted call that is not reported, and against a fault for a killed process.
	It("reports interrupted calls unless the entry process was killed", func() {
		attempts := []audit.Attempt{
			{RequestID: "a", Entry: "entry-1", Cut: true},
			{RequestID: "b", Entry: "entry-2", Cut: true},
			{RequestID: "c", Entry: "entry-2"},
		}
		faults := audit.Cuts(attempts, map[assign.ProcessID]bool{"entry-1": true})
		Expect(promises(faults)).To(Equal([]audit.Promise{audit.Uninterrupted}))
		Expect(faults[0].Detail).To(ContainSubstring("request=b "))
	})
})

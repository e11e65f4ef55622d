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

// promises returns the promises that a record breaks.
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

// Each entry guards against a broken promise that the check passes over, or a kept one that it
// reports.
var _ = DescribeTable("the check of a record",
	func(runs []stand.Run, attempts []audit.Attempt, broken ...audit.Promise) {
		Expect(promises(audit.Check(runs, attempts))).To(Equal(append([]audit.Promise{}, broken...)))
	},
	Entry("a call that ran",
		[]stand.Run{run("a", "s1", 1, 10, 20)}, []audit.Attempt{lookup("a", caller.Ran)}),
	Entry("two owners one after the other",
		[]stand.Run{run("a", "s1", 1, 10, 20), run("b", "s2", 2, 20, 30)}, nil),
	Entry("an older owner that works on under the newer one",
		[]stand.Run{run("a", "s1", 1, 10, 25), run("b", "s2", 2, 20, 30)}, nil, audit.SoleOwner),
	Entry("two servers with one fence",
		[]stand.Run{run("a", "s1", 1, 10, 20), run("b", "s2", 1, 30, 40)}, nil, audit.SoleOwner),
	Entry("an older run that has not ended",
		[]stand.Run{
			{RequestID: "a", KeyHash: "aa", Fence: 1, Start: 10, Outcome: stand.RunRunning, Server: "s1"},
			{RequestID: "b", KeyHash: "aa", Fence: 2, Start: 20, End: 30, Outcome: stand.RunFinished, Server: "s2"},
		}, nil, audit.SoleOwner),
	Entry("a call that ran and was told not-run",
		[]stand.Run{run("a", "s1", 1, 10, 20)}, []audit.Attempt{lookup("a", caller.NotRun)}, audit.NotRun),
	Entry("a call that ran and was told unknown",
		[]stand.Run{run("a", "s1", 1, 10, 20)}, []audit.Attempt{lookup("a", caller.Unknown)}),
	Entry("an answer of another caller",
		[]stand.Run{run("a", "s1", 1, 10, 20)},
		[]audit.Attempt{{RequestID: "a", Outcome: caller.Ran}}, audit.WholeAnswer),
	Entry("a call that is said to have run and did not",
		nil, []audit.Attempt{lookup("a", caller.Ran)}, audit.NotLost),
	Entry("a booking that ran again after a lost answer",
		[]stand.Run{run("b0", "s1", 1, 10, 20), run("b1", "s1", 1, 30, 40)},
		[]audit.Attempt{booking("b0", caller.Unknown, ""), booking("b1", caller.Ran, "x")}, audit.AtMostOnce),
	Entry("a repeated booking with the answer of its one run",
		[]stand.Run{run("b0", "s1", 1, 10, 20)},
		[]audit.Attempt{booking("b0", caller.Ran, "x"), booking("b1", caller.Ran, "x")}),
	Entry("a repeated booking with another answer",
		[]stand.Run{run("b0", "s1", 1, 10, 20)},
		[]audit.Attempt{booking("b0", caller.Ran, "x"), booking("b1", caller.Ran, "y")}, audit.SameAnswer),
)

var _ = Describe("a leaving server", func() {
	from := time.UnixMicro(1_000_000)

	// Guards against work after the bound that is passed over, and against blame for work before.
	It("is blamed for work after the bound only", func() {
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

var _ = Describe("a cut call", func() {
	// Guards against a planned stop that cuts calls unseen, and against blame for a killed process.
	It("is reported unless its process was killed", func() {
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

package fleet_test

import (
	"context"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/audit"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/internal/stand"
)

// Guards against an operator who is told that nothing was written although the change took effect. This
// happens when the answer of the store is lost and another operator then changes the team.
var _ = It("does not refuse a change that took effect and was replaced", func() {
	plan, err := fleet.Load(os.DirFS("testdata"), "small")
	Expect(err).NotTo(HaveOccurred())
	f := fleet.New(plan)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	defer f.Stop()
	Expect(f.Start(ctx)).To(Succeed())
	text, version, err := f.Node("entry-1").Config(ctx, "desk")
	Expect(err).NotTo(HaveOccurred())

	f.Platform().SetFault(stand.PlatformFault{LoseAnswers: true})
	first := &change{node: f.Node("entry-1"), ctx: ctx, text: withContact(text, "a"), version: version}
	var group conc.WaitGroup
	group.Go(first.run)
	next := awaitChange(ctx, f, version)
	second := &change{node: f.Node("entry-2"), ctx: ctx, text: withContact(text, "b"), version: next}
	group.Go(second.run)
	awaitChange(ctx, f, next)
	f.Platform().SetFault(stand.PlatformFault{})
	group.Wait()

	Expect(second.err).NotTo(HaveOccurred())
	Expect(outcome(first.err)).NotTo(Equal(audit.Conflicted), "the first change is version %d: %v", next, first.err)
})

// awaitChange waits until a version later than the given one is stored, and returns it.
func awaitChange(ctx context.Context, f *fleet.Fleet, version uint64) uint64 {
	var stored uint64
	Eventually(func() uint64 {
		_, now, err := f.Node("entry-3").Config(ctx, "desk")
		if err == nil {
			stored = now
		}
		return stored
	}).WithTimeout(testTimeout).Should(BeNumerically(">", version))
	return stored
}

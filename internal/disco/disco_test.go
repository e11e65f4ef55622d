package disco_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/disco"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

func TestDisco(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "disco")
}

var _ = Describe("a directory", func() {
	var (
		now  time.Time
		d    *disco.Directory
		a, b = assign.Server{ID: "a", Address: netip.MustParseAddrPort("10.0.0.1:80")}, assign.Server{ID: "b", Address: netip.MustParseAddrPort("10.0.0.2:80")}
	)
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		d = disco.New()
		Expect(d.Update(now, []assign.Server{b, a})).To(BeTrue())
	})

	It("removes a server whose entry is missing", func() {
		Expect(d.Update(now.Add(time.Second), []assign.Server{a})).To(BeTrue())
		Expect(d.Servers()).To(Equal([]assign.Server{a}))
		Expect(d.Changes()).To(Equal([]disco.Change{{Server: b, Gone: true}}))
	})

	// Guards against requests to servers that had left, which an older copy of the store lists again.
	It("keeps what it knows of leaving servers when the store comes back from an older copy", func() {
		a, b := a, b
		a.Born, b.Born = 1, 1
		draining := a
		draining.Draining = true
		d.Update(now, []assign.Server{a, b})
		d.Update(now.Add(time.Second), []assign.Server{draining})
		d.MarkRestored(now.Add(2 * time.Second))
		d.Update(now.Add(2*time.Second), []assign.Server{a, b})
		Expect(d.Servers()).To(Equal([]assign.Server{draining}))
		Expect(d.Leaving()).To(ConsistOf(draining, assign.Server{ID: "b", Born: 1}))
		restarted := b
		restarted.Born = 2
		d.Update(now.Add(3*time.Second), []assign.Server{a, restarted})
		Expect(d.Servers()).To(Equal([]assign.Server{draining, restarted}))
		// An entry that is still there later has been written again.
		d.Update(now.Add(7*time.Second), []assign.Server{a, b})
		Expect(d.Servers()).To(Equal([]assign.Server{draining, restarted}))
		d.Update(now.Add(9*time.Second), []assign.Server{a, b})
		Expect(d.Servers()).To(Equal([]assign.Server{draining, b}))
	})

	// Guards against the end of a running server in the tables: the store carries out a write of its earlier run late.
	It("ignores an entry of an earlier run that the present one soon replaces", func() {
		present := a
		present.Born = 5000
		late := a
		late.Born, late.Draining = 1000, true
		d.Update(now, []assign.Server{present, b})
		Expect(d.Update(now.Add(time.Second), []assign.Server{late, b})).To(BeFalse())
		Expect(d.Update(now.Add(1900*time.Millisecond), []assign.Server{late, b})).To(BeFalse())
		Expect(d.Servers()).To(Equal([]assign.Server{present, b}))
		Expect(d.Update(now.Add(2*time.Second), []assign.Server{present, b})).To(BeFalse())
		// Another late write counts anew.
		Expect(d.Update(now.Add(6*time.Second), []assign.Server{late, b})).To(BeFalse())
	})

	// Guards against a new run that never gets requests, since the clock of its VM is behind that of its earlier run.
	It("accepts a new run with an earlier start time once its entry has stayed", func() {
		earlier, next := a, a
		earlier.Born, next.Born = 5000, 3000
		d.Update(now, []assign.Server{earlier, b})
		Expect(d.Update(now.Add(time.Second), []assign.Server{next, b})).To(BeFalse())
		Expect(d.Update(now.Add(3*time.Second), []assign.Server{next, b})).To(BeTrue())
		Expect(d.Servers()).To(Equal([]assign.Server{next, b}))
	})

	// Guards against the removal of running servers after an outage of the store, in which their entries
	// lapsed. The servers write them again within about 2 s.
	It("keeps missing servers for a limited time after an outage of the store", func() {
		d.MarkStale()
		restored := now.Add(5 * time.Second)
		Expect(d.Update(restored, []assign.Server{a})).To(BeFalse())
		Expect(d.Servers()).To(Equal([]assign.Server{a, b}))
		Expect(d.Update(restored.Add(disco.RecoveryTime), []assign.Server{a})).To(BeTrue())
		Expect(d.Servers()).To(Equal([]assign.Server{a}))
	})

	// Guards against two servers with the same address: the address of a server that ended may be reused.
	It("removes a missing server whose address another server uses", func() {
		d.MarkStale()
		other := assign.Server{ID: "c", Service: "other", Address: b.Address}
		d.Update(now.Add(time.Second), []assign.Server{a, other})
		Expect(d.Servers()).To(Equal([]assign.Server{a, other}))
	})

	// Guards against requests to a leaving owner after its drain time: a process that had lost its leader learned of it
	// 1.4 s late and counted from then.
	It("counts from the last list that did not say that a server drains", func() {
		draining := a
		draining.Draining = true
		d.Confirm(now.Add(time.Second))
		d.Update(now.Add(2400*time.Millisecond), []assign.Server{draining, b})
		d.Confirm(now.Add(2400 * time.Millisecond))
		Expect(d.LeavingSince(draining)).To(BeTemporally("==", now.Add(time.Second)))
		d.Update(now.Add(3*time.Second), []assign.Server{draining})
		Expect(d.LeavingSince(draining)).To(BeTemporally("==", now.Add(time.Second)))
		Expect(d.LeavingSince(b)).To(BeZero())
	})

	It("reports a change if a server starts draining, but not if only its warm-up time differs", func() {
		warm := a
		warm.WarmUp = time.Second
		Expect(d.Update(now.Add(time.Second), []assign.Server{warm, b})).To(BeFalse())
		leaving := a
		leaving.Draining = true
		Expect(d.Update(now.Add(2*time.Second), []assign.Server{leaving, b})).To(BeTrue())
	})
})

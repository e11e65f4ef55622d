package dedup_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/dedup"
)

var _ = Describe("identifiers", func() {
	// Guards against a recorder that takes an issued identifier for one that a caller chose, for example
	// after a copy.
	It("parse to the parts they were issued with", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			version := rapid.Uint64().Draw(t, "version")
			process := assign.ProcessID(rapid.String().Draw(t, "process"))
			var random [16]byte
			copy(random[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "random"))
			issued, ok := dedup.Parse(dedup.Issue(version, process, random))
			if !ok || issued != (dedup.Issued{Version: version, Process: process, Random: random}) {
				t.Fatalf("parsed as %v %v", issued, ok)
			}
		})
	})

	// Guards against two spellings of one identifier, which would be two bookings.
	It("do not parse if they are malformed or were not issued by this system", func() {
		valid := dedup.Issue(31, "entry-1", [16]byte{1})
		for _, text := range []string{
			"", "order-17", "sd1.", "sd1.1f", "sd1.1f..entry-1", "SD1" + valid[3:], "sd1.01f" + valid[6:],
			"sd1.1F" + valid[6:], "sd1.+1f" + valid[6:], "sd1.10000000000000000" + valid[6:], valid[:20],
		} {
			_, ok := dedup.Parse(text)
			Expect(ok).To(BeFalse(), text)
		}
		_, ok := dedup.Parse(valid)
		Expect(ok).To(BeTrue())
	})
})

var _ = Describe("reassigning a bucket", func() {
	members := []dedup.Member{{Process: "a", Incarnation: 1, Ready: true}, {Process: "b", Incarnation: 1, Ready: true}}
	first := dedup.Reassign(assign.Bucket{}, 5, members)

	It("leaves the horizon of a new bucket at 0", func() {
		Expect(first).To(Equal(assign.Bucket{
			Generation: 1, Start: 1,
			Recorders: []assign.ProcessID{"a", "b"}, Incarnations: []uint64{1, 1}, Joined: []uint64{1, 1},
		}))
	})

	It("keeps the version at which a remaining recorder joined and lets a new one copy", func() {
		next := dedup.Reassign(first, 6, []dedup.Member{members[1], {Process: "c", Incarnation: 4}})
		Expect(next.Generation).To(Equal(uint64(2)))
		Expect(next.Joined).To(Equal([]uint64{1, 2}))
		Expect(next.Horizon).To(BeZero())
	})

	// Guards against counting a recorder as a holder of the bucket after it restarted or before its
	// copy is complete.
	It("raises the horizon if no member holds the bucket", func() {
		next := dedup.Reassign(first, 7, []dedup.Member{
			{Process: "a", Incarnation: 2, Ready: true},
			{Process: "b", Incarnation: 1},
		})
		Expect(next.Horizon).To(Equal(uint64(7)))
		Expect(next.Start).To(Equal(next.Generation))
		Expect(next.Joined).To(Equal([]uint64{2, 2}))
	})
})

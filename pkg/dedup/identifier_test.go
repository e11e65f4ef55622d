package dedup_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/dedup"
)

var _ = Describe("identifiers", func() {
	// Guards against an identifier issued by us that is taken for a caller's own after a copy.
	It("are parsed as they were issued", func() {
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
	It("that were not issued by us, or are malformed, are a caller's own", func() {
		good := dedup.Issue(31, "entry-1", [16]byte{1})
		for _, text := range []string{
			"", "order-17", "sd1.", "sd1.1f", "sd1.1f..entry-1", "SD1" + good[3:], "sd1.01f" + good[6:],
			"sd1.1F" + good[6:], "sd1.+1f" + good[6:], "sd1.10000000000000000" + good[6:], good[:20],
		} {
			_, ok := dedup.Parse(text)
			Expect(ok).To(BeFalse(), text)
		}
		_, ok := dedup.Parse(good)
		Expect(ok).To(BeTrue())
	})
})

var _ = Describe("a new assignment of a bucket", func() {
	two := []dedup.Member{{Process: "a", Incarnation: 1, Ready: true}, {Process: "b", Incarnation: 1, Ready: true}}
	first := dedup.Reassign(assign.Bucket{}, 5, two)

	It("has no horizon at first, because nothing was forgotten", func() {
		Expect(first).To(Equal(assign.Bucket{
			Generation: 1, Start: 1,
			Recorders: []assign.ProcessID{"a", "b"}, Incarnations: []uint64{1, 1}, Joined: []uint64{1, 1},
		}))
	})

	It("keeps the survivor and lets a new one copy", func() {
		next := dedup.Reassign(first, 6, []dedup.Member{two[1], {Process: "c", Incarnation: 4}})
		Expect(next.Generation).To(Equal(uint64(2)))
		Expect(next.Joined).To(Equal([]uint64{1, 2}))
		Expect(next.Horizon).To(BeZero())
	})

	// Guards against a restarted recorder, or one that had not copied yet, that counts as survivor.
	It("raises the horizon where no member holds the bucket", func() {
		next := dedup.Reassign(first, 7, []dedup.Member{
			{Process: "a", Incarnation: 2, Ready: true},
			{Process: "b", Incarnation: 1},
		})
		Expect(next.Horizon).To(Equal(uint64(7)))
		Expect(next.Start).To(Equal(next.Generation))
		Expect(next.Joined).To(Equal([]uint64{2, 2}))
	})
})

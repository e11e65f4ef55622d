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

	It("drops a server whose entry has gone", func() {
		Expect(d.Update(now.Add(time.Second), []assign.Server{a})).To(BeTrue())
		Expect(d.Servers()).To(Equal([]assign.Server{a}))
		Expect(d.Changes()).To(Equal([]disco.Change{{Server: b, Gone: true}}))
	})

	// Entries lapse while the store is away, and are back about two seconds after it.
	It("keeps missing servers for a while after the store was away, and then drops them", func() {
		d.MarkStale()
		back := now.Add(5 * time.Second)
		Expect(d.Update(back, []assign.Server{a})).To(BeFalse())
		Expect(d.Servers()).To(Equal([]assign.Server{a, b}))
		Expect(d.Update(back.Add(disco.ReturnTime), []assign.Server{a})).To(BeTrue())
		Expect(d.Servers()).To(Equal([]assign.Server{a}))
	})

	// The address of a server that ended may be another one's.
	It("drops a missing server whose address is taken", func() {
		d.MarkStale()
		other := assign.Server{ID: "c", Service: "other", Address: b.Address}
		d.Update(now.Add(time.Second), []assign.Server{a, other})
		Expect(d.Servers()).To(Equal([]assign.Server{a, other}))
	})

	It("takes a warm-up time that runs down for no change, and a state for one", func() {
		warm := a
		warm.WarmUp = time.Second
		Expect(d.Update(now.Add(time.Second), []assign.Server{warm, b})).To(BeFalse())
		leaving := a
		leaving.Draining = true
		Expect(d.Update(now.Add(2*time.Second), []assign.Server{leaving, b})).To(BeTrue())
	})
})

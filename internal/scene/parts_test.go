package scene

import (
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/stand"
)

// echo is a server that sends back the bytes it reads from each connection.
type echo struct{ listener net.Listener }

func (e *echo) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(c, c)
		c.Close()
	}
}

var _ = Describe("a relay", func() {
	var (
		rs    *relays
		near  net.Conn
		group conc.WaitGroup
		e     *echo
	)

	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		e = &echo{listener: l}
		group.Go(e.run)
		rs = newRelays()
		address, err := rs.open("a", "b", netip.MustParseAddrPort(l.Addr().String()))
		Expect(err).NotTo(HaveOccurred())
		near, err = net.Dial("tcp", address.String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			near.Close()
			rs.close()
			l.Close()
			group.Wait()
		})
	})

	// exchange sends a byte and reports whether it comes back in time.
	exchange := func() bool {
		_, err := near.Write([]byte{1})
		Expect(err).NotTo(HaveOccurred())
		Expect(near.SetReadDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
		_, err = near.Read(make([]byte, 1))
		return err == nil
	}

	// Guards against a cut that blocks no bytes: scenarios with cuts would then test nothing.
	DescribeTable("blocks", func(name string, in, out bool) {
		Expect(exchange()).To(BeTrue())
		rs.block("a", name == "a" && in, name == "a" && out)
		rs.block("b", name == "b" && in, name == "b" && out)
		Expect(exchange()).To(BeFalse())
		rs.block("a", false, false)
		rs.block("b", false, false)
		Expect(near.SetReadDeadline(time.Now().Add(waitTimeout))).To(Succeed())
		_, err := near.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred(), "the byte arrives after the cut")
	},
		Entry("what the near side sends", "a", false, true),
		Entry("what the near side receives", "a", true, false),
		Entry("what the far side sends", "b", false, true),
		Entry("what the far side receives", "b", true, false),
	)
})

var _ = Describe("a history file", func() {
	// Guards against runs that are lost or counted twice, and against unfinished runs of a killed server that
	// the audit would report as work of a second owner.
	It("returns each run once and ends unfinished runs at the kill of their server", func() {
		file := filepath.Join(GinkgoT().TempDir(), "history")
		text := `{"request-id":"a","start":1000,"end":0,"outcome":"running","incarnation":"1"}
{"request-id":"b","start":2000,"end":0,"outcome":"running","incarnation":"1"}
{"request-id":"a","start":1000,"end":1500,"outcome":"finished","incarnation":"1"}
{"request-id":"c","start":9000,"end":0,"outcome":"running","incarnation":"1"}
{"request-id":"d","sta`
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		runs, err := readHistory(file, []time.Time{time.UnixMicro(3000)})
		Expect(err).NotTo(HaveOccurred())
		Expect(runs).To(Equal([]stand.Run{
			{RequestID: "a", Start: 1000, End: 1500, Outcome: stand.RunFinished, Incarnation: "1"},
			{RequestID: "b", Start: 2000, End: 3000, Outcome: stand.RunKilled, Incarnation: "1"},
			{RequestID: "c", Start: 9000, End: 9000, Outcome: stand.RunKilled, Incarnation: "1"},
		}))
	})

	// Guards against treating an unfinished run of a server that was not killed as ended.
	It("keeps runs of a server that was not killed unfinished", func() {
		file := filepath.Join(GinkgoT().TempDir(), "history")
		text := `{"request-id":"a","start":1000,"end":0,"outcome":"running","incarnation":"1"}` + "\n"
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		runs, err := readHistory(file, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(runs).To(ConsistOf(HaveField("Outcome", stand.RunRunning)))
	})
})

var _ = Describe("an edit of settings", func() {
	const text = "[team.yards]\ncontact = a\n[team.yards.service.ledger]\nslots = 6\nservers = a, \\\n  b, \\\n  c\nfencing = grants\n[team.yards.service.ledger.operation.x]\nmatch = GET /\n[team.yards.service.history]\nslots = 6\n"

	// Guards against keeping the servers of the example, and against losing other settings.
	It("replaces a setting with its continuation lines", func() {
		Expect(setKey(text, "team.yards.service.ledger", "servers", "d")).To(Equal(
			"[team.yards]\ncontact = a\n[team.yards.service.ledger]\nservers = d\nslots = 6\nfencing = grants\n[team.yards.service.ledger.operation.x]\nmatch = GET /\n[team.yards.service.history]\nslots = 6\n"))
	})

	// Guards against services that stay in the settings although none of their servers runs.
	It("removes a section with its subsections", func() {
		Expect(dropSection(text, "team.yards.service.ledger")).To(Equal(
			"[team.yards]\ncontact = a\n[team.yards.service.history]\nslots = 6\n"))
	})
})

package fleet_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/examples"
	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/internal/testca"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

var _ = Describe("a complete deployment with TLS", Ordered, func() {
	var f *fleet.Fleet
	var authority *testca.Authority
	var folder string
	var client *caller.Client

	// issue writes the certificate files of one process and replaces existing ones.
	issue := func(name assign.ProcessID) conf.TLS {
		GinkgoHelper()
		request := testca.Request{Name: string(name), Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")}}
		files, err := authority.Write(folder, request)
		Expect(err).NotTo(HaveOccurred())
		return conf.TLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority, Callers: true}
	}

	BeforeAll(func() {
		var err error
		folder = GinkgoT().TempDir()
		authority, err = testca.New()
		Expect(err).NotTo(HaveOccurred())
		plan, err := fleet.Load(examples.Files, "khangai")
		Expect(err).NotTo(HaveOccurred())
		f = fleet.New(plan, fleet.WithTLS(func(p conf.Process) conf.TLS { return issue(p.Name) }))
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		DeferCleanup(cancel)
		DeferCleanup(f.Stop)
		Expect(f.Start(ctx)).To(Succeed())
		client = caller.New(caller.Options{TLS: &tls.Config{RootCAs: authority.Pool()}})
		DeferCleanup(client.Close)
	})

	lookup := caller.Call{Method: http.MethodGet, Path: "/yards/ledger/balances/yard-1", Timeout: 10 * time.Second}

	// Guards against a process that elects, serves or forwards only in plain text.
	It("serves calls of every process over TLS and none in plain text", func() {
		plain := caller.New(caller.Options{})
		defer plain.Close()
		for _, name := range f.Names() {
			address := f.Node(name).CallerAddress()
			expectRun(client, address, lookup)
			_, err := plain.Do(address, lookup)
			Expect(err).To(HaveOccurred())
		}
	})

	// Guards against bookings whose identifiers cannot be sent to their recorders over TLS.
	It("runs a booking", func() {
		expectRun(client, f.Node("entry-2").CallerAddress(), caller.Call{
			Method: http.MethodPost, Path: "/yards/ledger/postings/yard-1", Timeout: 10 * time.Second,
		})
	})

	// Guards against accepting control messages from a sender without a certificate.
	It("answers no control message in plain text", func() {
		before := f.Node("entry-1").Status().Term
		link := peer.NewLink(f.Node("entry-1").Settings().PeerAddress)
		defer link.Close()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_, err := link.Claim(ctx, peer.ClaimRequest{Header: peer.Header{From: "entry-2"}, Term: before + 100})
		Expect(err).To(HaveOccurred())
		Consistently(func() uint64 { return f.Node("entry-1").Status().Term }).Should(BeNumerically("<", before+100))
	})

	// Guards against a certificate renewal that takes effect only after a restart.
	It("presents a renewed certificate without a restart", func() {
		address := f.Node("entry-3").CallerAddress().String()
		first := serial(address, authority)
		issue("entry-3")
		Eventually(func() string { return serial(address, authority) }).WithTimeout(testTimeout).ShouldNot(Equal(first))
		expectRun(client, f.Node("entry-3").CallerAddress(), lookup)
	})

	// Guards against a restarted process that cannot rejoin its peers over TLS.
	It("lets a restarted process rejoin", func() {
		f.Kill("entry-5")
		Expect(f.Restart("entry-5")).To(Succeed())
		Eventually(func() bool { return f.Node("entry-5").Status().Serving }).WithTimeout(testTimeout).Should(BeTrue())
	})
})

// expectRun repeats a call until it ran. Some calls may time out on a slow machine.
func expectRun(client *caller.Client, address netip.AddrPort, call caller.Call) {
	GinkgoHelper()
	attempts := 0
	Eventually(func() string {
		attempts++
		call.IdempotencyKey = fmt.Sprintf("%s-%d", address, attempts)
		answer, err := client.Do(address, call)
		if err != nil {
			return err.Error()
		}
		return answer.Outcome + " " + answer.Reason
	}).WithTimeout(testTimeout).Should(HavePrefix(caller.Ran))
}

// serial returns the serial number of the certificate that the address presents.
func serial(address string, authority *testca.Authority) string {
	GinkgoHelper()
	conn, err := tls.Dial("tcp", address, &tls.Config{RootCAs: authority.Pool()})
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

package peer_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/certs"
	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/internal/testca"
)

var loopback = netip.MustParseAddr("127.0.0.1")

var _ = Describe("a server with TLS", func() {
	var authority *testca.Authority
	var store *certs.Store
	var messages *handler
	var server *peer.Server
	var refused, opened atomic.Int64
	var good *peer.Link

	BeforeEach(func() {
		var err error
		authority, err = testca.New()
		Expect(err).NotTo(HaveOccurred())
		files, err := authority.Write(GinkgoT().TempDir(), testca.Request{Name: "entry-1", Addresses: []netip.Addr{loopback}})
		Expect(err).NotTo(HaveOccurred())
		store, err = certs.Load(files)
		Expect(err).NotTo(HaveOccurred())
		messages = new(handler)
		refused.Store(0)
		opened.Store(0)
		server = listen(messages, peer.WithServerTLS(store.PeerConfig(), func(net.Addr, error) { refused.Add(1) }))
		good = newLink(server.Address(), peer.WithLinkTLS(func() *tls.Config {
			opened.Add(1)
			return store.DialConfig("entry-1", loopback)
		}))
		Expect(ask(good, patience, 1)).To(Succeed())
	})

	// expectUndisturbed checks that no message but those of the good link was handled, and that this
	// link still uses its first connection.
	expectUndisturbed := func() {
		GinkgoHelper()
		Eventually(refused.Load).WithTimeout(patience).Should(Equal(int64(1)))
		Expect(messages.count.Load()).To(Equal(int64(1)))
		Expect(ask(good, patience, 2)).To(Succeed())
		Expect(opened.Load()).To(Equal(int64(1)))
	}

	// present returns a configuration that trusts every server and presents a certificate.
	present := func(a *testca.Authority, r testca.Request) *tls.Config {
		GinkgoHelper()
		pair, err := a.Issue(r)
		Expect(err).NotTo(HaveOccurred())
		certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
		Expect(err).NotTo(HaveOccurred())
		return &tls.Config{
			InsecureSkipVerify: true,
			// The server names the authorities it accepts; a hostile peer presents its own anyway.
			GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &certificate, nil },
		}
	}

	// expectRefused sends a message with the configuration and checks that it was not handled.
	expectRefused := func(config *tls.Config) {
		GinkgoHelper()
		err := ask(newLink(server.Address(), peer.WithLinkTLS(func() *tls.Config { return config })), patience, 3)
		Expect(errorx.IsOfType(err, peer.ErrUnreachable)).To(BeTrue())
		Expect(peer.Refused(err)).To(BeFalse())
		expectUndisturbed()
	}

	// Guards against control messages of a process of another cell or of an intruder.
	It("refuses a peer with a certificate of another authority", func() {
		foreign, err := testca.New()
		Expect(err).NotTo(HaveOccurred())
		expectRefused(present(foreign, testca.Request{Name: "entry-1", Addresses: []netip.Addr{loopback}}))
	})

	It("refuses a peer without a certificate", func() {
		expectRefused(&tls.Config{InsecureSkipVerify: true})
	})

	It("refuses a peer with an expired certificate", func() {
		expectRefused(present(authority, testca.Request{Name: "entry-1", NotAfter: time.Now().Add(-time.Minute)}))
	})

	// Guards against a process whose settings lack certificates, and against messages in plain text.
	It("refuses a peer in plain text", func() {
		err := ask(newLink(server.Address()), patience, 3)
		Expect(errorx.IsOfType(err, peer.ErrUnreachable)).To(BeTrue())
		expectUndisturbed()
	})

	// Guards against connections without a handshake that pile up.
	It("closes a connection that sends nothing", func() {
		conn, err := net.Dial("tcp", server.Address().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(conn.SetDeadline(time.Now().Add(patience))).To(Succeed())
		_, err = conn.Read(make([]byte, 1))
		var timeout net.Error
		Expect(err).To(HaveOccurred())
		if errors.As(err, &timeout) {
			Expect(timeout.Timeout()).To(BeFalse())
		}
		expectUndisturbed()
	})

	// Guards against a sender that waits for the handshake of a frozen peer beyond its context.
	It("is waited for no longer than the context of a message", func() {
		l := newLink(silent(), peer.WithLinkTLS(func() *tls.Config { return store.DialConfig("entry-1", loopback) }))
		err := ask(l, short, 1)
		Expect(errorx.IsOfType(err, peer.ErrUnreachable)).To(BeTrue())
		Expect(peer.Refused(err)).To(BeFalse())
	})

	// Guards against a sender that waits beyond its context while another one waits for a frozen peer.
	It("delays a message during a handshake no longer than its context", func() {
		entered, gate := make(chan struct{}), make(chan struct{})
		l := newLink(server.Address(), peer.WithLinkTLS(func() *tls.Config {
			close(entered)
			<-gate
			return store.DialConfig("entry-1", loopback)
		}))
		first := &message{link: l, ctx: context.Background(), done: make(chan error, 1)}
		var group conc.WaitGroup
		group.Go(first.run)
		Eventually(entered).WithTimeout(patience).Should(BeClosed())
		ctx, cancel := context.WithCancel(context.Background())
		second := &message{link: l, ctx: ctx, done: make(chan error, 1)}
		group.Go(second.run)
		cancel()
		Eventually(second.done).WithTimeout(patience).Should(Receive(HaveOccurred()))
		close(gate)
		Eventually(first.done).WithTimeout(patience).Should(Receive(BeNil()))
		group.Wait()
	})

	// Guards against a link that falls back to plain text or trusts a server of another authority.
	It("gets no message of a link that does not trust it", func() {
		foreign, err := testca.New()
		Expect(err).NotTo(HaveOccurred())
		files, err := foreign.Write(GinkgoT().TempDir(), testca.Request{Name: "entry-1"})
		Expect(err).NotTo(HaveOccurred())
		other, err := certs.Load(files)
		Expect(err).NotTo(HaveOccurred())
		expectRefused(other.DialConfig("entry-1", loopback))
	})
})

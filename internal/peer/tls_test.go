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
	var received *handler
	var server *peer.Server
	var refused, opened atomic.Int64
	var trusted *peer.Link

	BeforeEach(func() {
		var err error
		authority, err = testca.New()
		Expect(err).NotTo(HaveOccurred())
		files, err := authority.Write(GinkgoT().TempDir(), testca.Request{Name: "entry-1", Addresses: []netip.Addr{loopback}})
		Expect(err).NotTo(HaveOccurred())
		store, err = certs.Load(files)
		Expect(err).NotTo(HaveOccurred())
		received = new(handler)
		refused.Store(0)
		opened.Store(0)
		server = listen(received, peer.WithServerTLS(store.PeerConfig(), func(net.Addr, error) { refused.Add(1) }))
		trusted = newLink(server.Address(), peer.WithLinkTLS(func() *tls.Config {
			opened.Add(1)
			return store.DialConfig("entry-1", loopback)
		}))
		Expect(sendState(trusted, waitTimeout, 1)).To(Succeed())
	})

	// expectUndisturbed checks that one connection was refused, that only messages of the trusted link
	// were handled, and that this link still uses its first connection.
	expectUndisturbed := func() {
		GinkgoHelper()
		Eventually(refused.Load).WithTimeout(waitTimeout).Should(Equal(int64(1)))
		Expect(received.count.Load()).To(Equal(int64(1)))
		Expect(sendState(trusted, waitTimeout, 2)).To(Succeed())
		Expect(opened.Load()).To(Equal(int64(1)))
	}

	// clientConfig returns a configuration that trusts every server and presents a certificate from a.
	clientConfig := func(a *testca.Authority, r testca.Request) *tls.Config {
		GinkgoHelper()
		pair, err := a.Issue(r)
		Expect(err).NotTo(HaveOccurred())
		certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
		Expect(err).NotTo(HaveOccurred())
		return &tls.Config{
			InsecureSkipVerify: true,
			// Without this function, the client presents no certificate that the server's list of
			// authorities excludes. A hostile peer ignores that list.
			GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &certificate, nil },
		}
	}

	// expectRefused sends a message over a link with the configuration and checks that it is not handled.
	expectRefused := func(config *tls.Config) {
		GinkgoHelper()
		err := sendState(newLink(server.Address(), peer.WithLinkTLS(func() *tls.Config { return config })), waitTimeout, 3)
		Expect(errorx.IsOfType(err, peer.ErrUnreachable)).To(BeTrue())
		Expect(peer.Refused(err)).To(BeFalse())
		expectUndisturbed()
	}

	// Guards against control messages from a process of another cell or from an attacker.
	It("refuses a peer with a certificate of another authority", func() {
		foreign, err := testca.New()
		Expect(err).NotTo(HaveOccurred())
		expectRefused(clientConfig(foreign, testca.Request{Name: "entry-1", Addresses: []netip.Addr{loopback}}))
	})

	It("refuses a peer without a certificate", func() {
		expectRefused(&tls.Config{InsecureSkipVerify: true})
	})

	It("refuses a peer with an expired certificate", func() {
		expectRefused(clientConfig(authority, testca.Request{Name: "entry-1", NotAfter: time.Now().Add(-time.Minute)}))
	})

	// Guards against plain-text messages, such as those of a process whose settings lack certificates.
	It("refuses a peer in plain text", func() {
		err := sendState(newLink(server.Address()), waitTimeout, 3)
		Expect(errorx.IsOfType(err, peer.ErrUnreachable)).To(BeTrue())
		expectUndisturbed()
	})

	// Guards against an accumulation of connections that never start a handshake.
	It("closes a connection that sends nothing", func() {
		conn, err := net.Dial("tcp", server.Address().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(conn.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
		_, err = conn.Read(make([]byte, 1))
		var timeout net.Error
		Expect(err).To(HaveOccurred())
		if errors.As(err, &timeout) {
			Expect(timeout.Timeout()).To(BeFalse())
		}
		expectUndisturbed()
	})

	// Guards against a sender that waits for the handshake of a frozen peer after its context has ended.
	It("does not delay a message beyond its context if the server never completes the handshake", func() {
		l := newLink(listenUnresponsive(), peer.WithLinkTLS(func() *tls.Config { return store.DialConfig("entry-1", loopback) }))
		err := sendState(l, shortTimeout, 1)
		Expect(errorx.IsOfType(err, peer.ErrUnreachable)).To(BeTrue())
		Expect(peer.Refused(err)).To(BeFalse())
	})

	// Guards against a sender that waits after its context has ended, while another message waits for the
	// same handshake.
	It("does not delay a message beyond its context during the handshake of another message", func() {
		entered, proceed := make(chan struct{}), make(chan struct{})
		l := newLink(server.Address(), peer.WithLinkTLS(func() *tls.Config {
			close(entered)
			<-proceed
			return store.DialConfig("entry-1", loopback)
		}))
		first := &pendingMessage{link: l, ctx: context.Background(), done: make(chan error, 1)}
		var group conc.WaitGroup
		group.Go(first.run)
		Eventually(entered).WithTimeout(waitTimeout).Should(BeClosed())
		ctx, cancel := context.WithCancel(context.Background())
		second := &pendingMessage{link: l, ctx: ctx, done: make(chan error, 1)}
		group.Go(second.run)
		cancel()
		Eventually(second.done).WithTimeout(waitTimeout).Should(Receive(HaveOccurred()))
		close(proceed)
		Eventually(first.done).WithTimeout(waitTimeout).Should(Receive(BeNil()))
		group.Wait()
	})

	// Guards against a link that falls back to plain text or trusts a server whose certificate is of
	// another authority.
	It("gets no message from a link that does not trust it", func() {
		foreign, err := testca.New()
		Expect(err).NotTo(HaveOccurred())
		files, err := foreign.Write(GinkgoT().TempDir(), testca.Request{Name: "entry-1"})
		Expect(err).NotTo(HaveOccurred())
		other, err := certs.Load(files)
		Expect(err).NotTo(HaveOccurred())
		expectRefused(other.DialConfig("entry-1", loopback))
	})
})

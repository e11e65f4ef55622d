package certs_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/certs"
	"github.com/samphiredrum/samphiredrum/internal/testca"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
)

func TestCerts(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "certs")
}

// patience bounds a handshake. The machine may be slow.
const patience = 30 * time.Second

var loopback = netip.MustParseAddr("127.0.0.1")

func newAuthority() *testca.Authority {
	GinkgoHelper()
	a, err := testca.New()
	Expect(err).NotTo(HaveOccurred())
	return a
}

func write(a *testca.Authority, folder string, r testca.Request) certs.Files {
	GinkgoHelper()
	files, err := a.Write(folder, r)
	Expect(err).NotTo(HaveOccurred())
	return files
}

func load(files certs.Files, options ...certs.Option) *certs.Store {
	GinkgoHelper()
	s, err := certs.Load(files, options...)
	Expect(err).NotTo(HaveOccurred())
	return s
}

// exchange is one TLS connection over which the server sends one byte.
type exchange struct {
	server, client       *tls.Conn
	serverErr, clientErr error
}

func (e *exchange) run() {
	if e.serverErr = e.server.Handshake(); e.serverErr == nil {
		_, e.serverErr = e.server.Write([]byte{1})
	}
	e.server.NetConn().Close()
}

// connect makes a connection and returns the errors of both ends. The client reads one byte, since
// with TLS 1.3 a refusal of its certificate arrives after its handshake.
func connect(server, client *tls.Config) *exchange {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer dialed.Close()
	accepted, err := listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	e := &exchange{server: tls.Server(accepted, server), client: tls.Client(dialed, client)}
	Expect(accepted.SetDeadline(time.Now().Add(patience))).To(Succeed())
	Expect(dialed.SetDeadline(time.Now().Add(patience))).To(Succeed())
	var group conc.WaitGroup
	group.Go(e.run)
	if e.clientErr = e.client.HandshakeContext(context.Background()); e.clientErr == nil {
		_, e.clientErr = e.client.Read(make([]byte, 1))
	}
	dialed.Close()
	group.Wait()
	return e
}

// serial returns the serial number of the certificate that the server presents to callers.
func serial(s *certs.Store, a *testca.Authority) *big.Int {
	GinkgoHelper()
	e := connect(s.CallerConfig(), &tls.Config{RootCAs: a.Pool(), ServerName: "127.0.0.1"})
	Expect(e.clientErr).NotTo(HaveOccurred())
	return e.client.ConnectionState().PeerCertificates[0].SerialNumber
}

var _ = Describe("loading", func() {
	var folder string
	var authority *testca.Authority

	BeforeEach(func() {
		folder = GinkgoT().TempDir()
		authority = newAuthority()
	})

	// Guards against a process that starts with files with which no peer would accept it.
	It("refuses a certificate that peers would refuse", func() {
		request := testca.Request{Name: "entry-1"}
		files := write(authority, folder, request)
		other := write(authority, GinkgoT().TempDir(), request)
		foreign := write(newAuthority(), GinkgoT().TempDir(), request)
		_, err := certs.Load(certs.Files{Certificate: files.Certificate, Key: other.Key, Authority: files.Authority})
		Expect(errorx.IsOfType(err, certs.ErrPair)).To(BeTrue())
		Expect(err).To(MatchError(ContainSubstring(other.Key)))
		_, err = certs.Load(certs.Files{Certificate: files.Certificate, Key: files.Key, Authority: foreign.Authority})
		Expect(errorx.IsOfType(err, certs.ErrPair)).To(BeTrue())
		_, err = certs.Load(write(authority, folder, testca.Request{Name: "expired", NotAfter: time.Now().Add(-time.Minute)}))
		Expect(errorx.IsOfType(err, certs.ErrPair)).To(BeTrue())
		_, err = certs.Load(write(authority, folder, testca.Request{Name: "server", Usages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}))
		Expect(errorx.IsOfType(err, certs.ErrPair)).To(BeTrue())
	})

	// Guards against an error that doesn't name the file to correct.
	It("names a file that is missing or no PEM", func() {
		files := write(authority, folder, testca.Request{Name: "entry-1"})
		Expect(os.WriteFile(files.Authority, []byte("no PEM"), 0o600)).To(Succeed())
		_, err := certs.Load(files)
		Expect(errorx.IsOfType(err, certs.ErrFile)).To(BeTrue())
		Expect(err).To(MatchError(ContainSubstring(files.Authority)))
		Expect(os.Remove(files.Key)).To(Succeed())
		_, err = certs.Load(files)
		Expect(errorx.IsOfType(err, certs.ErrFile)).To(BeTrue())
		Expect(err).To(MatchError(ContainSubstring(files.Key)))
	})
})

var _ = Describe("reloading", func() {
	var folder string
	var authority *testca.Authority
	var request testca.Request
	var files certs.Files
	var manual *clock.Manual
	var log bytes.Buffer
	var store *certs.Store

	BeforeEach(func() {
		folder = GinkgoT().TempDir()
		authority = newAuthority()
		request = testca.Request{Name: "entry-1", Addresses: []netip.Addr{loopback}}
		files = write(authority, folder, request)
		manual = clock.NewManual(time.Now())
		log.Reset()
		store = load(files, certs.WithClock(manual), certs.WithLog(zerolog.New(&log)))
	})

	// Guards against a renewal that needs a restart, and against reading files at every handshake.
	It("puts renewed files in force after a second", func() {
		first := serial(store, authority)
		write(authority, folder, request)
		manual.Advance(999 * time.Millisecond)
		Expect(serial(store, authority)).To(Equal(first))
		manual.Advance(time.Millisecond)
		Expect(serial(store, authority)).NotTo(Equal(first))
		Expect(store.Failures()).To(BeZero())
	})

	// Guards against a renewal in two steps or a broken file that cuts the process off, and against a log
	// line for each handshake meanwhile.
	It("keeps the last good pair, logs once and counts where files are bad", func() {
		first := serial(store, authority)
		good, err := os.ReadFile(files.Key)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(files.Key, []byte("half a k"), 0o600)).To(Succeed())
		for range 3 {
			manual.Advance(time.Second)
			Expect(serial(store, authority)).To(Equal(first))
		}
		Expect(store.Failures()).To(Equal(uint64(3)))
		Expect(bytes.Count(log.Bytes(), []byte("certificate reload failed"))).To(Equal(1))
		Expect(os.WriteFile(files.Key, good, 0o600)).To(Succeed())
		manual.Advance(time.Second)
		Expect(serial(store, authority)).To(Equal(first))
		Expect(store.Failures()).To(Equal(uint64(3)))
	})

	// Guards against peers that are still accepted by an authority that was replaced.
	It("puts a replaced authority in force", func() {
		old := load(write(authority, GinkgoT().TempDir(), request))
		Expect(connect(store.PeerConfig(), old.DialConfig("entry-1", loopback)).clientErr).NotTo(HaveOccurred())
		write(newAuthority(), folder, request)
		manual.Advance(time.Second)
		Expect(connect(store.PeerConfig(), old.DialConfig("entry-1", loopback)).clientErr).To(HaveOccurred())
	})
})

var _ = Describe("the configurations", func() {
	var authority *testca.Authority
	var server, client *certs.Store

	BeforeEach(func() {
		authority = newAuthority()
		folder := GinkgoT().TempDir()
		server = load(write(authority, folder, testca.Request{Name: "entry-1", Addresses: []netip.Addr{loopback}}))
		client = load(write(authority, folder, testca.Request{Name: "entry-2"}))
	})

	// Guards against a check that a correct fleet can't pass: certificates may carry names or addresses.
	It("accept a peer by its address or its name", func() {
		Expect(connect(server.PeerConfig(), client.DialConfig("other", loopback)).clientErr).NotTo(HaveOccurred())
		Expect(connect(client.PeerConfig(), server.DialConfig("entry-2", loopback)).clientErr).NotTo(HaveOccurred())
	})

	// Guards against a process that takes messages meant for another.
	It("refuse to dial a peer with the certificate of another", func() {
		e := connect(client.PeerConfig(), server.DialConfig("entry-3", loopback))
		Expect(errorx.IsOfType(e.clientErr, certs.ErrPeer)).To(BeTrue())
		e = connect(client.PeerConfig(), server.DialConfig("", loopback))
		Expect(errorx.IsOfType(e.clientErr, certs.ErrPeer)).To(BeTrue())
	})

	// Guards against a peer of another authority, on either end.
	It("refuse a peer of another authority", func() {
		foreign := load(write(newAuthority(), GinkgoT().TempDir(), testca.Request{Name: "entry-1"}))
		e := connect(foreign.PeerConfig(), client.DialConfig("entry-1", loopback))
		Expect(errorx.IsOfType(e.clientErr, certs.ErrPeer)).To(BeTrue())
		trusting := foreign.DialConfig("entry-1", loopback)
		trusting.VerifyConnection = nil
		Expect(connect(server.PeerConfig(), trusting).serverErr).To(MatchError(ContainSubstring("unknown authority")))
	})

	// Guards against a downgrade between processes to versions with weaker handshakes.
	It("take TLS 1.3 between processes and 1.2 from callers", func() {
		low := client.DialConfig("entry-1", loopback)
		low.MinVersion, low.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
		Expect(connect(server.PeerConfig(), low).serverErr).To(HaveOccurred())
		Expect(connect(server.CallerConfig(), low).serverErr).NotTo(HaveOccurred())
		low.MinVersion, low.MaxVersion = tls.VersionTLS11, tls.VersionTLS11
		Expect(connect(server.CallerConfig(), low).serverErr).To(HaveOccurred())
	})
})

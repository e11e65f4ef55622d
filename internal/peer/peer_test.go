package peer_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/peer"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

// patience bounds waits for things that must happen at some time. The machine may be slow.
const patience = 30 * time.Second

// short is the context of messages that must not get an answer.
const short = 200 * time.Millisecond

// handler counts the messages that reach it.
type handler struct {
	count atomic.Int64
}

func (h *handler) Claim(peer.ClaimRequest) (a peer.ClaimAnswer) { h.count.Add(1); return a }

func (h *handler) Beat(peer.BeatRequest) (a peer.BeatAnswer) { h.count.Add(1); return a }

func (h *handler) Release(peer.ReleaseRequest) (a peer.ReleaseAnswer) { h.count.Add(1); return a }

func (h *handler) Events(peer.EventsRequest) (a peer.EventsAnswer) { h.count.Add(1); return a }

func (h *handler) Changed(peer.ChangedRequest) (a peer.ChangedAnswer) { h.count.Add(1); return a }

func (h *handler) Drain(peer.DrainRequest) (a peer.DrainAnswer) { h.count.Add(1); return a }

func (h *handler) Token(peer.TokenRequest) (a peer.TokenAnswer) { h.count.Add(1); return a }

func (h *handler) Reserve(peer.ReserveRequest) (a peer.ReserveAnswer) { h.count.Add(1); return a }

func (h *handler) Finish(peer.FinishRequest) (a peer.FinishAnswer) { h.count.Add(1); return a }

func (h *handler) Export(peer.ExportRequest) (a peer.ExportAnswer) { h.count.Add(1); return a }

// State answers with the logical time of the request, so that answers can be told apart.
func (h *handler) State(r peer.StateRequest) (a peer.StateAnswer) {
	h.count.Add(1)
	a.Header = r.Header
	return a
}

// anywhere is a free port of the loopback address.
var anywhere = netip.MustParseAddrPort("127.0.0.1:0")

func listen(h *handler, options ...peer.ServerOption) *peer.Server {
	GinkgoHelper()
	s, err := peer.Listen(anywhere, h, options...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Stop)
	return s
}

func newLink(address netip.AddrPort, options ...peer.LinkOption) *peer.Link {
	l := peer.NewLink(address, options...)
	DeferCleanup(l.Close)
	return l
}

// ask sends one message and returns its error, having checked the answer.
func ask(l *peer.Link, bound time.Duration, logical uint64) error {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	answer, err := l.State(ctx, peer.StateRequest{Header: peer.Header{Logical: logical}})
	if err == nil {
		Expect(answer.Logical).To(Equal(logical))
	}
	return err
}

// silent returns the address of a listener that takes connections and never answers.
func silent() netip.AddrPort {
	GinkgoHelper()
	listener, err := net.Listen("tcp", anywhere.String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

var _ = Describe("a link without TLS", func() {
	// Guards against a message that is lost or answered with another's answer.
	It("gets the answer to its message", func() {
		h := new(handler)
		l := newLink(listen(h).Address())
		for i := range uint64(3) {
			Expect(ask(l, patience, i)).To(Succeed())
		}
		Expect(h.count.Load()).To(Equal(int64(3)))
	})

	// Guards against a peer that counts as ended although only its answer is missing, and the reverse:
	// an ended process is replaced without waiting for its silence.
	It("tells a refused connection from a missing answer", func() {
		ended := listen(new(handler))
		address := ended.Address()
		ended.Stop()
		err := ask(newLink(address), patience, 1)
		Expect(errorx.IsOfType(err, peer.ErrUnreachable)).To(BeTrue())
		Expect(peer.Refused(err)).To(BeTrue())
		err = ask(newLink(silent()), short, 1)
		Expect(errorx.IsOfType(err, peer.ErrUnreachable)).To(BeTrue())
		Expect(peer.Refused(err)).To(BeFalse())
		Expect(peer.Refused(nil)).To(BeFalse())
	})

	// Guards against a sender that waits for a frozen peer beyond its context.
	It("ends a message with its context", func() {
		l := newLink(silent())
		ctx, cancel := context.WithCancel(context.Background())
		sent := &message{link: l, ctx: ctx, done: make(chan error, 1)}
		var group conc.WaitGroup
		group.Go(sent.run)
		Consistently(sent.done, short).ShouldNot(Receive())
		cancel()
		Eventually(sent.done).WithTimeout(patience).Should(Receive(MatchError(ContainSubstring("context canceled"))))
		group.Wait()
	})

	// Guards against a link that stays on a connection which has ended with its peer's process.
	It("opens a new connection after the peer has restarted", func() {
		first := listen(new(handler))
		l := newLink(first.Address())
		Expect(ask(l, patience, 1)).To(Succeed())
		first.Stop()
		Expect(ask(l, patience, 2)).NotTo(Succeed())
		second, err := peer.Listen(first.Address(), new(handler))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(second.Stop)
		Expect(ask(l, patience, 3)).To(Succeed())
	})

	// Guards against messages over a link that was closed.
	It("sends nothing after it was closed", func() {
		h := new(handler)
		l := newLink(listen(h).Address())
		l.Close()
		Expect(ask(l, patience, 1)).NotTo(Succeed())
		Expect(h.count.Load()).To(BeZero())
	})
})

// Guards against an error that doesn't name the setting to correct.
var _ = It("refuses an address that is in use", func() {
	_, err := peer.Listen(listen(new(handler)).Address(), new(handler))
	Expect(errorx.IsOfType(err, peer.ErrListen)).To(BeTrue())
	Expect(err).To(MatchError(ContainSubstring("peer-address")))
})

// message is one message on its way.
type message struct {
	link *peer.Link
	ctx  context.Context
	done chan error
}

func (m *message) run() {
	_, err := m.link.State(m.ctx, peer.StateRequest{})
	m.done <- err
}

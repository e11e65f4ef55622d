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

// waitTimeout limits waits for events that must happen eventually. It is long because the machine may be slow.
const waitTimeout = 30 * time.Second

// shortTimeout is the timeout of messages that must not get an answer.
const shortTimeout = 200 * time.Millisecond

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

// State returns the header of the request, so that a test can match an answer to its request.
func (h *handler) State(r peer.StateRequest) (a peer.StateAnswer) {
	h.count.Add(1)
	a.Header = r.Header
	return a
}

// anyPort is a loopback address with port 0, which makes the system choose a free port.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

func listen(h *handler, options ...peer.ServerOption) *peer.Server {
	GinkgoHelper()
	s, err := peer.Listen(anyPort, h, options...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Stop)
	return s
}

func newLink(address netip.AddrPort, options ...peer.LinkOption) *peer.Link {
	l := peer.NewLink(address, options...)
	DeferCleanup(l.Close)
	return l
}

// sendState sends one State message, checks that the answer belongs to it, and returns the error.
func sendState(l *peer.Link, bound time.Duration, logical uint64) error {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	answer, err := l.State(ctx, peer.StateRequest{Header: peer.Header{Logical: logical}})
	if err == nil {
		Expect(answer.Logical).To(Equal(logical))
	}
	return err
}

// listenUnresponsive returns the address of a listener that accepts connections and never answers.
func listenUnresponsive() netip.AddrPort {
	GinkgoHelper()
	listener, err := net.Listen("tcp", anyPort.String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

var _ = Describe("a link without TLS", func() {
	// Guards against a message that is lost or gets the answer to another message.
	It("gets the answer to its message", func() {
		h := new(handler)
		l := newLink(listen(h).Address())
		for i := range uint64(3) {
			Expect(sendState(l, waitTimeout, i)).To(Succeed())
		}
		Expect(h.count.Load()).To(Equal(int64(3)))
	})

	// Guards against treating a peer as ended when only its answer is missing. Also guards against the
	// reverse: the replacement of an ended process must not wait for a timeout.
	It("distinguishes a refused connection from a missing answer", func() {
		ended := listen(new(handler))
		address := ended.Address()
		ended.Stop()
		err := sendState(newLink(address), waitTimeout, 1)
		Expect(errorx.IsOfType(err, peer.ErrUnreachable)).To(BeTrue())
		Expect(peer.Refused(err)).To(BeTrue())
		err = sendState(newLink(listenUnresponsive()), shortTimeout, 1)
		Expect(errorx.IsOfType(err, peer.ErrUnreachable)).To(BeTrue())
		Expect(peer.Refused(err)).To(BeFalse())
		Expect(peer.Refused(nil)).To(BeFalse())
	})

	// Guards against a sender that waits for a frozen peer after its context has ended.
	It("stops waiting for an answer when the context ends", func() {
		l := newLink(listenUnresponsive())
		ctx, cancel := context.WithCancel(context.Background())
		sent := &pendingMessage{link: l, ctx: ctx, done: make(chan error, 1)}
		var group conc.WaitGroup
		group.Go(sent.run)
		Consistently(sent.done, shortTimeout).ShouldNot(Receive())
		cancel()
		Eventually(sent.done).WithTimeout(waitTimeout).Should(Receive(MatchError(ContainSubstring("context canceled"))))
		group.Wait()
	})

	// Guards against a link that keeps a connection whose peer process has ended.
	It("opens a new connection after the peer has restarted", func() {
		first := listen(new(handler))
		l := newLink(first.Address())
		Expect(sendState(l, waitTimeout, 1)).To(Succeed())
		first.Stop()
		Expect(sendState(l, waitTimeout, 2)).NotTo(Succeed())
		second, err := peer.Listen(first.Address(), new(handler))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(second.Stop)
		Expect(sendState(l, waitTimeout, 3)).To(Succeed())
	})

	// Guards against messages that are sent over a closed link.
	It("sends nothing after it was closed", func() {
		h := new(handler)
		l := newLink(listen(h).Address())
		l.Close()
		Expect(sendState(l, waitTimeout, 1)).NotTo(Succeed())
		Expect(h.count.Load()).To(BeZero())
	})
})

// Guards against an error that doesn't name the setting to correct.
var _ = It("refuses an address that is in use", func() {
	_, err := peer.Listen(listen(new(handler)).Address(), new(handler))
	Expect(errorx.IsOfType(err, peer.ErrListen)).To(BeTrue())
	Expect(err).To(MatchError(ContainSubstring("peer-address")))
})

// pendingMessage is one message in flight.
type pendingMessage struct {
	link *peer.Link
	ctx  context.Context
	done chan error
}

func (m *pendingMessage) run() {
	_, err := m.link.State(m.ctx, peer.StateRequest{})
	m.done <- err
}

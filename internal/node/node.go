// Package node runs one entry process: it joins the state machines of the process to the network,
// the platform and the pipeline of calls.
//
// One control goroutine owns all control state: the election, the follower, the decider while this
// process is it, the configuration, and the list of servers. It handles one message at a time and
// never waits; what takes time is done by tasks, which post their result as a message. Traffic
// goroutines read a view that the control goroutine publishes.
//
// # Usage
//
//	n := node.New(settings, node.WithLog(log))
//	if err := n.Start(); err != nil {
//		return err
//	}
//	defer n.Stop(ctx)
package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/certs"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/entry"
	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/event"
)

// inboxLength is the number of messages that may wait for the control goroutine. Senders wait
// beyond it, so that an overloaded process slows its peers instead of growing.
const inboxLength = 1024

// Node is one entry process.
type Node struct {
	settings    conf.Process
	incarnation uint64
	clock       clock.Clock
	log         zerolog.Logger
	api         store.API
	dial        func(assign.Server, int) back.Server
	routing     []entry.Option

	logical  *event.Clock
	ring     *event.Ring
	router   *entry.Router
	recorder *recorder
	keepers  *keepers
	links    map[assign.ProcessID]*links
	meter    *Meter

	// certs is nil where the process uses plain text.
	certs  *certs.Store
	server *peer.Server
	http   *entry.HTTP

	inbox   chan message
	group   conc.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	stopped chan struct{}
	status  atomic.Pointer[Status]
}

// links are the connections to one other process: control messages never wait behind those of
// bookings.
type links struct {
	control *peer.Link
	traffic *peer.Link
}

// Option changes a Node.
type Option func(*Node)

// WithLog sets the logger of control events.
func WithLog(log zerolog.Logger) Option {
	return func(n *Node) { n.log = log }
}

// WithClock sets the clock.
func WithClock(c clock.Clock) Option {
	return func(n *Node) { n.clock = c }
}

// WithStore sets the adapter of the object API.
func WithStore(api store.API) Option {
	return func(n *Node) { n.api = api }
}

// WithBackend sets the adapter of backend servers. The number is that of connections.
func WithBackend(dial func(server assign.Server, connections int) back.Server) Option {
	return func(n *Node) { n.dial = dial }
}

// WithRouter adds options to the router of calls.
func WithRouter(options ...entry.Option) Option {
	return func(n *Node) { n.routing = append(n.routing, options...) }
}

// New returns a Node that does not run yet.
func New(settings conf.Process, options ...Option) *Node {
	n := &Node{
		settings:    settings,
		incarnation: rand.Uint64(),
		clock:       clock.System(),
		log:         zerolog.Nop(),
		logical:     new(event.Clock),
		links:       make(map[assign.ProcessID]*links),
		meter:       NewMeter(),
		inbox:       make(chan message, inboxLength),
		stopped:     make(chan struct{}),
	}
	for _, o := range options {
		o(n)
	}
	if n.api == nil {
		n.api = store.NewClient(settings.PlatformAddress, store.Options{Timeout: settings.Timing.StoreTimeout, Clock: n.clock})
	}
	if n.dial == nil {
		n.dial = n.connect
	}
	for _, p := range settings.Others() {
		n.links[p.Name] = &links{control: n.newLink(p), traffic: n.newLink(p)}
	}
	n.ring = event.NewRing(settings.Name, settings.Limits.Events, n.clock, n.logical)
	n.recorder = newRecorder(n)
	n.keepers = newKeepers(n)
	n.router = entry.NewRouter(entry.Config{
		Self:        settings.Name,
		Incarnation: n.incarnation,
		Clock:       n.clock,
		Recorders:   n.recorder,
		Tokens:      n.keepers,
		Suspect:     n.suspect,
	}, n.routing...)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.meter.registry.MustRegister(newStateCollector(n))
	n.status.Store(&Status{Process: settings.Name})
	return n
}

func (n *Node) connect(server assign.Server, connections int) back.Server {
	return back.NewClient(string(server.ID), server.Address, back.Options{
		Connections: connections,
		BodyBytes:   n.settings.Limits.BodyBytes,
		Clock:       n.clock,
	})
}

// Start begins to take calls and messages. Its errors name the address or the certificate file that
// can't be used.
func (n *Node) Start() error {
	if err := n.loadCertificates(); err != nil {
		return err
	}
	server, err := peer.Listen(n.settings.PeerAddress, n, n.serverOptions()...)
	if err != nil {
		return err
	}
	n.server = server
	n.http, err = entry.ListenHTTP(n.settings.CallerAddress.String(), n.router, entry.HTTPConfig{
		Limits:       n.settings.Limits,
		BookingTime:  n.settings.Timing.BookingWindow / windowParts,
		TableVersion: n.recorder.version,
		TLS:          n.callerTLS(),
		Done:         n.meter.call,
	})
	if err != nil {
		n.server.Stop()
		return err
	}
	c := newControl(n)
	n.group.Go(c.loop)
	n.log.Info().Str("process", string(n.settings.Name)).Str("failure-domain", n.settings.FailureDomain).
		Stringer("caller-address", n.settings.CallerAddress).Stringer("peer-address", n.settings.PeerAddress).
		Msg("started")
	return nil
}

// Stop stops the process gracefully: it reports unready, refuses new calls after the drain notice,
// waits for the calls in flight, hands its tasks over and ends. The context bounds the wait.
func (n *Node) Stop(ctx context.Context) {
	n.log.Info().Msg("draining")
	n.router.SetUnready()
	wait(ctx, n.settings.Timing.DrainNotice)
	n.router.Stop()
	n.awaitCalls(ctx)
	n.router.Wait()
	n.handOver(ctx)
	n.end()
	n.log.Info().Msg("stopped")
}

// Kill ends the process at once, as a loss does.
func (n *Node) Kill() {
	n.router.Stop()
	n.end()
}

func (n *Node) end() {
	n.cancel()
	n.server.Stop()
	for _, l := range n.links {
		l.control.Close()
		l.traffic.Close()
	}
	n.http.Stop()
	n.group.Wait()
}

// awaitCalls waits until no call is in the pipeline.
func (n *Node) awaitCalls(ctx context.Context) {
	for n.router.Active() > 0 && ctx.Err() == nil {
		wait(ctx, pollInterval)
	}
}

// handOver moves the booking identifiers that this process records, then its term if it has one.
func (n *Node) handOver(ctx context.Context) {
	reply := make(chan struct{})
	if !n.post(drainSelf{done: reply}) {
		return
	}
	select {
	case <-reply:
	case <-ctx.Done():
	}
}

// pollInterval is the time between two looks at a condition that changes in milliseconds.
const pollInterval = 5 * time.Millisecond

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// post hands a message to the control goroutine. It reports false where the node has ended.
func (n *Node) post(m message) bool {
	select {
	case n.inbox <- m:
		return true
	case <-n.ctx.Done():
		return false
	}
}

func (n *Node) suspect(id assign.ServerID) {
	select {
	case n.inbox <- serverSuspected{server: id}:
	default:
		// The next probe finds out as well.
	}
}

func (n *Node) header() peer.Header {
	return peer.Header{From: n.settings.Name, Logical: n.logical.Tick()}
}

// run returns the text of this process's incarnation.
func (n *Node) run() string {
	return strconv.FormatUint(n.incarnation, 10)
}

// CallerAddress returns the address that callers connect to.
func (n *Node) CallerAddress() netip.AddrPort {
	return netip.MustParseAddrPort(n.http.Address())
}

// Settings returns the settings of the process.
func (n *Node) Settings() conf.Process {
	return n.settings
}

// LocalEvents returns the control events of the process, oldest first.
func (n *Node) LocalEvents() []event.Event {
	return n.ring.Events()
}

// Meter returns the counts of the process.
func (n *Node) Meter() *Meter {
	return n.meter
}

// Status returns the last snapshot of the process's control state.
func (n *Node) Status() *Status {
	status := *n.status.Load()
	if status.table != nil {
		status.Owners = owners(status.table)
	}
	return &status
}

// Package peer exchanges messages between entry processes, over net/rpc with its gob codec.
//
// A Server answers messages through a Handler. A Link sends messages to one peer over one
// connection. It opens the connection on demand and replaces it after an error or a timeout, because
// a connection without answers may be broken without an error; a new one shows whether the peer is
// reachable.
//
// The leader that the messages refer to is the process that package elect elects. Settings and status
// output call it the decider.
//
// With TLS, the server reads no message before it has verified the sender's certificate. A failed
// handshake ends only its own connection.
//
// # Usage
//
//	server, err := peer.Listen(address, handler)
//	defer server.Stop()
//
//	link := peer.NewLink(other)
//	defer link.Close()
//	answer, err := link.Beat(ctx, peer.BeatRequest{...})
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"
)

// serviceName is the net/rpc name under which the methods are registered.
const serviceName = "Peer"

// dialTimeout limits the time to open a connection, without the TLS handshake. It is below the time without an
// answer after which a peer counts as unreachable.
const dialTimeout = 500 * time.Millisecond

// Errors of this package.
var (
	namespace = errorx.NewNamespace("peer")
	// ErrUnreachable is the error type of a message that got no answer. The peer may have handled the
	// message.
	ErrUnreachable = namespace.NewType("unreachable", errorx.Timeout())
	// ErrListen is the error type of a listen address that can't be used.
	ErrListen = namespace.NewType("listen")
)

// Handler answers messages of peers. Its methods are called concurrently.
type Handler interface {
	Claim(ClaimRequest) ClaimAnswer
	Beat(BeatRequest) BeatAnswer
	Release(ReleaseRequest) ReleaseAnswer
	State(StateRequest) StateAnswer
	Events(EventsRequest) EventsAnswer
	Changed(ChangedRequest) ChangedAnswer
	Drain(DrainRequest) DrainAnswer
	Token(TokenRequest) TokenAnswer
	Reserve(ReserveRequest) ReserveAnswer
	Finish(FinishRequest) FinishAnswer
	Export(ExportRequest) ExportAnswer
}

// service adapts a Handler to the method signatures of net/rpc.
type service struct {
	handler Handler
}

// Claim is the net/rpc method of Handler.Claim.
func (s *service) Claim(request ClaimRequest, answer *ClaimAnswer) error {
	*answer = s.handler.Claim(request)
	return nil
}

// Beat is the net/rpc method of Handler.Beat.
func (s *service) Beat(request BeatRequest, answer *BeatAnswer) error {
	*answer = s.handler.Beat(request)
	return nil
}

// Release is the net/rpc method of Handler.Release.
func (s *service) Release(request ReleaseRequest, answer *ReleaseAnswer) error {
	*answer = s.handler.Release(request)
	return nil
}

// State is the net/rpc method of Handler.State.
func (s *service) State(request StateRequest, answer *StateAnswer) error {
	*answer = s.handler.State(request)
	return nil
}

// Events is the net/rpc method of Handler.Events.
func (s *service) Events(request EventsRequest, answer *EventsAnswer) error {
	*answer = s.handler.Events(request)
	return nil
}

// Changed is the net/rpc method of Handler.Changed.
func (s *service) Changed(request ChangedRequest, answer *ChangedAnswer) error {
	*answer = s.handler.Changed(request)
	return nil
}

// Drain is the net/rpc method of Handler.Drain.
func (s *service) Drain(request DrainRequest, answer *DrainAnswer) error {
	*answer = s.handler.Drain(request)
	return nil
}

// Token is the net/rpc method of Handler.Token.
func (s *service) Token(request TokenRequest, answer *TokenAnswer) error {
	*answer = s.handler.Token(request)
	return nil
}

// Reserve is the net/rpc method of Handler.Reserve.
func (s *service) Reserve(request ReserveRequest, answer *ReserveAnswer) error {
	*answer = s.handler.Reserve(request)
	return nil
}

// Finish is the net/rpc method of Handler.Finish.
func (s *service) Finish(request FinishRequest, answer *FinishAnswer) error {
	*answer = s.handler.Finish(request)
	return nil
}

// Export is the net/rpc method of Handler.Export.
func (s *service) Export(request ExportRequest, answer *ExportAnswer) error {
	*answer = s.handler.Export(request)
	return nil
}

// Server answers messages on one address.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	group    conc.WaitGroup
	// config is nil for plain-text connections.
	config           *tls.Config
	onHandshakeError func(address net.Addr, err error)

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]struct{}
}

// Listen starts a Server. It returns ErrListen if the address can't be used.
func Listen(address netip.AddrPort, handler Handler, options ...ServerOption) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, ErrListen.Wrap(err, "set peer-address to a free address of this VM, not %s", address)
	}
	s := &Server{rpc: rpc.NewServer(), listener: listener, conns: make(map[net.Conn]struct{})}
	for _, o := range options {
		o(s)
	}
	if err := s.rpc.RegisterName(serviceName, &service{handler: handler}); err != nil {
		return nil, ErrListen.Wrap(err, "register the peer methods with net/rpc")
	}
	s.group.Go(s.run)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Stop closes the listener and every connection, and waits for the server's goroutines.
func (s *Server) Stop() {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

func (s *Server) run() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Accept may fail temporarily, for example if the process is out of file descriptors.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if !s.add(conn) {
			conn.Close()
			return
		}
		c := &serverConn{server: s, conn: conn}
		s.group.Go(c.run)
	}
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// serverConn is one accepted connection.
type serverConn struct {
	server *Server
	conn   net.Conn
}

// run serves the connection. A failed handshake or a message that is not valid gob ends only this
// connection.
func (c *serverConn) run() {
	defer c.server.remove(c.conn)
	conn, err := c.server.handshake(c.conn)
	if err != nil {
		c.conn.Close()
		c.server.onHandshakeError(c.conn.RemoteAddr(), err)
		return
	}
	c.server.rpc.ServeConn(conn)
}

// Link sends messages to one peer. It is safe for concurrent use.
type Link struct {
	address netip.AddrPort
	// config is nil for plain-text connections.
	config func() *tls.Config
	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup

	mu     sync.Mutex
	client *rpc.Client
	// dialing is nil unless a connection is being opened.
	dialing *dialAttempt
	closed  bool
}

// NewLink returns a Link to the peer at address. The first message opens the connection.
func NewLink(address netip.AddrPort, options ...LinkOption) *Link {
	l := &Link{address: address}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	for _, o := range options {
		o(l)
	}
	return l
}

// Close closes the link's connection. Messages in flight fail with ErrUnreachable.
func (l *Link) Close() {
	l.cancel()
	l.mu.Lock()
	l.closed = true
	if l.client != nil {
		l.client.Close()
	}
	l.mu.Unlock()
	l.group.Wait()
}

// call sends one message and waits for its answer until the context ends. After an error the caller
// must not read answer: net/rpc may still decode a late answer into it.
func (l *Link) call(ctx context.Context, method string, request, answer any) error {
	client, err := l.connect(ctx)
	if err != nil {
		return ErrUnreachable.Wrap(err, "no connection to peer %s; check that it runs and that the certificates of both processes are valid", l.address)
	}
	call := client.Go(serviceName+"."+method, request, answer, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		l.discard(client)
		return ErrUnreachable.Wrap(err, "peer %s did not answer %s; check the process and the network to it", l.address, method)
	}
	return nil
}

// connect returns the open connection, or waits for a new one until the context ends.
func (l *Link) connect(ctx context.Context) (*rpc.Client, error) {
	l.mu.Lock()
	if l.closed || l.client != nil {
		defer l.mu.Unlock()
		if l.closed {
			return nil, net.ErrClosed
		}
		return l.client, nil
	}
	if l.dialing == nil {
		l.dialing = &dialAttempt{link: l, done: make(chan struct{})}
		l.group.Go(l.dialing.run)
	}
	attempt := l.dialing
	l.mu.Unlock()
	select {
	case <-attempt.done:
		return attempt.client, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// discard closes the client's connection, so that the next message opens a new one.
func (l *Link) discard(client *rpc.Client) {
	client.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == client {
		l.client = nil
	}
}

// Refused reports whether an error of a Link means that the peer's address refused a connection,
// which proves that the peer's process has ended.
func Refused(err error) bool {
	for err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		e := errorx.Cast(err)
		if e == nil {
			return false
		}
		err = e.Cause()
	}
	return false
}

package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"time"
)

// handshakeTimeout limits a handshake on both ends, so that a peer that sends nothing does not occupy
// a connection. It is far above the usual duration of a handshake: with a shorter timeout on a busy
// machine, all processes repeat handshakes and none of them completes.
const handshakeTimeout = 3 * time.Second

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithServerTLS makes the server accept only TLS connections. The configuration must require and
// verify client certificates. After a failed handshake the connection is closed and onHandshakeError
// is called with its address and error. Calls of onHandshakeError may be concurrent.
func WithServerTLS(config *tls.Config, onHandshakeError func(address net.Addr, err error)) ServerOption {
	return func(s *Server) { s.config, s.onHandshakeError = config, onHandshakeError }
}

// LinkOption configures a Link.
type LinkOption func(*Link)

// WithLinkTLS makes the link use TLS. The function is called for each connection that the link opens
// and must return a configuration that verifies the peer.
func WithLinkTLS(config func() *tls.Config) LinkOption {
	return func(l *Link) { l.config = config }
}

// tlsConn is a TLS connection that closes immediately. Close of tls.Conn may block for 5 s to send a
// close notification to a peer that has stopped reading.
type tlsConn struct {
	*tls.Conn
}

// Close implements net.Conn.
func (c tlsConn) Close() error {
	return c.NetConn().Close()
}

// handshake performs the TLS handshake of an accepted connection. Without TLS it returns conn.
func (s *Server) handshake(conn net.Conn) (net.Conn, error) {
	if s.config == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	secured := tls.Server(conn, s.config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return tlsConn{secured}, nil
}

// dialAttempt is one attempt to open the connection of a link. It continues after the context of the
// message that started it has ended: a handshake may take longer than a message waits, and the next
// message uses the result.
type dialAttempt struct {
	link *Link
	done chan struct{}
	// client and err are set when done is closed.
	client *rpc.Client
	err    error
}

func (a *dialAttempt) run() {
	defer close(a.done)
	l := a.link
	conn, err := l.dial()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = nil
	switch {
	case err != nil:
		a.err = err
	case l.closed:
		conn.Close()
		a.err = net.ErrClosed
	default:
		a.client = rpc.NewClient(conn)
		l.client = a.client
	}
}

// dial opens a connection to the peer, including the handshake if the link uses TLS.
func (l *Link) dial() (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(l.ctx, "tcp", l.address.String())
	if err != nil || l.config == nil {
		return conn, err
	}
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	secured := tls.Client(conn, l.config())
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return tlsConn{secured}, nil
}

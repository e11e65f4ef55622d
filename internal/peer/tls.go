package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"time"
)

// handshakeTimeout bounds a handshake on both ends, so that a peer that sends nothing does not hold a
// connection. It is far above the time of a handshake: on a busy machine a shorter one lets all
// processes repeat handshakes that none of them completes.
const handshakeTimeout = 3 * time.Second

// ServerOption changes a Server.
type ServerOption func(*Server)

// WithServerTLS lets the server take TLS connections only. The configuration must require and verify
// client certificates. A connection with a broken handshake is closed, and its address and error are
// passed to refused; refused is called concurrently.
func WithServerTLS(config *tls.Config, refused func(address net.Addr, err error)) ServerOption {
	return func(s *Server) { s.config, s.refused = config, refused }
}

// LinkOption changes a Link.
type LinkOption func(*Link)

// WithLinkTLS lets the link use TLS. The function is called for each connection that the link opens,
// and must return a configuration that verifies the peer.
func WithLinkTLS(config func() *tls.Config) LinkOption {
	return func(l *Link) { l.config = config }
}

// tlsConn is a TLS connection that closes at once. Close of tls.Conn may wait for 5 s to tell a peer
// that has stopped reading.
type tlsConn struct {
	*tls.Conn
}

// Close implements net.Conn.
func (c tlsConn) Close() error {
	return c.NetConn().Close()
}

// secure makes the handshake of an accepted connection where the server uses TLS.
func (s *Server) secure(conn net.Conn) (net.Conn, error) {
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

// opening is one attempt to open the connection of a link. It does not end with the message that
// began it: a handshake may take longer than a message waits, and the next one uses its result.
type opening struct {
	link *Link
	done chan struct{}
	// client and err are set when done is closed.
	client *rpc.Client
	err    error
}

func (o *opening) run() {
	defer close(o.done)
	l := o.link
	conn, err := l.open()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opening = nil
	switch {
	case err != nil:
		o.err = err
	case l.closed:
		conn.Close()
		o.err = net.ErrClosed
	default:
		o.client = rpc.NewClient(conn)
		l.client = o.client
	}
}

// open opens a connection to the peer, with its handshake where the link uses TLS.
func (l *Link) open() (net.Conn, error) {
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

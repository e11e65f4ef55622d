package entry

import (
	"errors"
	"net"
	"sync"
	"time"
)

// acceptRetryDelay is the delay before Accept is tried again after an error.
const acceptRetryDelay = 10 * time.Millisecond

// listener tracks the open connections of callers, so that a planned stop can close idle ones. The HTTP
// server alone would wait for them as long as callers keep them open.
type listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, conns: make(map[*callerConn]struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	for err != nil && !errors.Is(err, net.ErrClosed) {
		// The process may be out of file descriptors for a while. The HTTP server stops for good if Accept
		// returns an error, so Accept retries.
		time.Sleep(acceptRetryDelay)
		conn, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// closeConns closes every open connection.
func (l *listener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Conn.Close()
	}
	clear(l.conns)
}

// callerConn is a connection of a caller that removes itself from its listener when it is closed.
type callerConn struct {
	net.Conn
	listener *listener
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

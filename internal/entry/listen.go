package entry

import (
	"errors"
	"net"
	"sync"
	"time"
)

// acceptPause is the time between two attempts to accept a connection after an error.
const acceptPause = 10 * time.Millisecond

// listener remembers the open connections of callers, so that the idle ones can be closed at the
// end of a planned stop: a server waits for them otherwise, for as long as callers keep them open.
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
		// Out of file descriptors, for example. The HTTP server would stop for good on an error.
		time.Sleep(acceptPause)
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

// callerConn is one connection of a caller.
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

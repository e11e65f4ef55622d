package stand

import (
	"net"
	"sync"
	"time"
)

// gatedListener limits the number of open connections and stops accepting while the server is frozen.
type gatedListener struct {
	net.Listener
	backend *Backend
}

// Accept implements net.Listener. It resets connections above the limit instead of refusing them, because
// clients take a refused connection as proof that the process has ended.
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.backend.admitConn(c) {
			return &gatedConn{Conn: c, backend: l.backend}, nil
		}
		reset(c)
	}
}

func (b *Backend) admitConn(c net.Conn) bool {
	b.lock()
	defer b.mu.Unlock()
	if b.killed || len(b.conns) >= b.options.Connections {
		return false
	}
	b.conns[c] = struct{}{}
	return true
}

func (b *Backend) removeConn(c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, c)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// SetLinger fails only if the connection is already closed.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// gatedConn blocks reads and writes while the server is frozen.
type gatedConn struct {
	net.Conn
	backend     *Backend
	connectOnce sync.Once
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	c.connectOnce.Do(func() { time.Sleep(c.backend.options.Connect) })
	n, err := c.Conn.Read(p)
	c.backend.waitUnfrozen()
	return n, err
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.backend.waitUnfrozen()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.backend.removeConn(c.Conn)
	return c.Conn.Close()
}

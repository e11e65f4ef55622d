package stand

import (
	"net"
	"sync"
	"time"
)

// gatedListener bounds the number of connections and stops accepting while the server is frozen.
type gatedListener struct {
	net.Listener
	backend *Backend
}

// Accept implements net.Listener. It closes connections above the limit at once. They are reset
// and not refused: a refused connection would look like the end of the process.
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.backend.admit(c) {
			return &gatedConn{Conn: c, backend: l.backend}, nil
		}
		reset(c)
	}
}

func (b *Backend) admit(c net.Conn) bool {
	b.lock()
	defer b.mu.Unlock()
	if b.killed || len(b.conns) >= b.options.Connections {
		return false
	}
	b.conns[c] = struct{}{}
	return true
}

func (b *Backend) dismiss(c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, c)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// gatedConn hands no byte on while the server is frozen.
type gatedConn struct {
	net.Conn
	backend *Backend
	opening sync.Once
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	c.opening.Do(func() { time.Sleep(c.backend.options.Connect) })
	n, err := c.Conn.Read(p)
	c.backend.thawed()
	return n, err
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.backend.thawed()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.backend.dismiss(c.Conn)
	return c.Conn.Close()
}

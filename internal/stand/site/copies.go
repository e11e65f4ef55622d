package site

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
)

// wholeCopyPercent is the percentage of copies of answers that are sent whole.
const wholeCopyPercent = 50

// copyListener accepts connections on which some answers are sent again, late, whole or cut at any byte.
type copyListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l copyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &copyConn{Conn: c, server: l.server}, nil
}

// copyConn is a connection that sends the copy of an answer when the next request arrives.
type copyConn struct {
	net.Conn
	server *Server
	mu     sync.Mutex
	copied []byte
}

// Read implements net.Conn.
func (c *copyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.copied != nil {
		// An error shows again at the next write.
		_, _ = c.Conn.Write(c.copied)
		c.copied = nil
	}
	return n, err
}

// Write implements net.Conn. It gets each small answer whole.
func (c *copyConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if c.server.drawCopy() {
		c.copied = bytes.Clone(b[:copyLength(len(b))])
	}
	return n, err
}

// copyLength draws how many bytes of an answer its copy has.
func copyLength(length int) int {
	if length == 0 || rand.IntN(100) < wholeCopyPercent {
		return length
	}
	return 1 + rand.IntN(length)
}

// CopyAnswers makes the server send the given percentage of its answers again, whole or cut, where the next answer on the
// connection is expected.
func (s *Server) CopyAnswers(percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copyPercent = percent
}

func (s *Server) drawCopy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.IntN(100) < s.copyPercent
}

// Reject makes the server reject the given percentage of the requests as a full one does.
func (s *Server) Reject(percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectPercent = percent
}

func (s *Server) drawReject() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.IntN(100) < s.rejectPercent
}

package relay

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// acceptBackoff is the delay after a failed accept, for example when no file descriptor is free.
const acceptBackoff = 50 * time.Millisecond

// Server accepts HTTP/1.1 requests from callers.
type Server struct {
	relay    *Relay
	listener net.Listener
	group    conc.WaitGroup
	// draining is set once the last response of each connection has to close it.
	draining atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]struct{}
	// callers has the number of open connections of each address.
	callers map[netip.Addr]int
	// closed is set once no new connection is accepted.
	closed atomic.Bool
}

// Listen starts a Server that accepts requests for r on the address. It returns an error of type ErrListen
// if that fails.
func Listen(address netip.AddrPort, r *Relay) (*Server, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, ErrListen.Wrap(err, "cannot listen on %s for requests; free the address", address)
	}
	s := &Server{relay: r, listener: l, conns: map[*conn]struct{}{}, callers: map[netip.Addr]int{}}
	s.group.Go(s.run)
	return s, nil
}

// Address returns the address that callers connect to.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

func (s *Server) run() {
	for {
		netConn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.relay.options.Log.Warn().Err(err).Msg("accept-failed")
			time.Sleep(acceptBackoff)
			continue
		}
		c := newConn(s, netConn)
		if !s.add(c) {
			netConn.Close()
			continue
		}
		s.group.Go(c.run)
	}
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed.Load() {
		return false
	}
	s.conns[c] = struct{}{}
	s.callers[c.caller]++
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.callers[c.caller]--
	if s.callers[c.caller] == 0 {
		delete(s.callers, c.caller)
	}
}

// connectionsFrom returns the number of open connections of an address.
func (s *Server) connectionsFrom(a netip.Addr) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callers[a]
}

// addressOf returns the address of the caller of a connection, the zero Addr if it has none.
func addressOf(c net.Conn) netip.Addr {
	a, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}

// Drain begins a graceful shutdown that ends at the given time: from now on, the last response of each connection closes it, and
// requests that may last longer are rejected.
func (s *Server) Drain(end time.Time) {
	s.draining.Store(true)
	s.relay.SetEnd(end)
}

// StopAccepting closes the listener and the connections without a request in flight.
func (s *Server) StopAccepting() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed.Store(true)
	for c := range s.conns {
		c.notify()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

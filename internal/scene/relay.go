package scene

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// relayBuffer is the size in bytes of the copy buffer.
	relayBuffer = 32 << 10
	// relayDial is the timeout for connecting to the target of a relay.
	relayDial = time.Second
)

// relays forwards the connections between entry processes and can block each direction of a process. Blocked bytes
// arrive after the cut, as with TCP. A relay whose target has ended accepts connections and closes them instead of
// refusing them, so a process that connects through a relay can't detect from a refused connection that the other
// has ended.
type relays struct {
	group conc.WaitGroup

	mu        sync.Mutex
	changed   *sync.Cond
	closed    bool
	listeners []net.Listener
	conns     map[net.Conn]bool
	// in and out tell for each process whether the bytes that it receives or sends are blocked.
	in, out map[assign.ProcessID]bool
}

func newRelays() *relays {
	r := &relays{
		conns: make(map[net.Conn]bool),
		in:    make(map[assign.ProcessID]bool),
		out:   make(map[assign.ProcessID]bool),
	}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// open starts a relay for the connections that one process opens to another, and returns the address to connect
// to.
func (r *relays) open(from, to assign.ProcessID, target netip.AddrPort) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	r.mu.Lock()
	r.listeners = append(r.listeners, l)
	r.mu.Unlock()
	r.group.Go((&relay{relays: r, listener: l, from: from, to: to, target: target}).run)
	return netip.ParseAddrPort(l.Addr().String())
}

// block sets which directions of a process are blocked.
func (r *relays) block(name assign.ProcessID, in, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.in[name], r.out[name] = in, out
	r.changed.Broadcast()
}

// waitUnblocked waits until bytes may pass from one process to another. It returns false once the relays are
// closed.
func (r *relays) waitUnblocked(from, to assign.ProcessID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed && (r.out[from] || r.in[to]) {
		r.changed.Wait()
	}
	return !r.closed
}

func (r *relays) add(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

func (r *relays) remove(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	c.Close()
}

// close ends all relays and their connections.
func (r *relays) close() {
	r.mu.Lock()
	r.closed = true
	for _, l := range r.listeners {
		l.Close()
	}
	for c := range r.conns {
		c.Close()
	}
	r.changed.Broadcast()
	r.mu.Unlock()
	r.group.Wait()
}

// relay accepts the connections from one process to another.
type relay struct {
	relays   *relays
	listener net.Listener
	from, to assign.ProcessID
	target   netip.AddrPort
}

func (r *relay) run() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.relays.add(client) {
			r.relays.group.Go((&relayConn{relay: r, client: client}).run)
		}
	}
}

// relayConn is one relayed connection.
type relayConn struct {
	relay  *relay
	client net.Conn
}

func (c *relayConn) run() {
	rs := c.relay.relays
	defer rs.remove(c.client)
	target, err := net.DialTimeout("tcp", c.relay.target.String(), relayDial)
	if err != nil || !rs.add(target) {
		return
	}
	defer rs.remove(target)
	var group conc.WaitGroup
	group.Go((&stream{relays: rs, reader: c.client, writer: target, from: c.relay.from, to: c.relay.to}).run)
	group.Go((&stream{relays: rs, reader: target, writer: c.client, from: c.relay.to, to: c.relay.from}).run)
	group.Wait()
}

// stream is one direction of a connection.
type stream struct {
	relays         *relays
	reader, writer net.Conn
	from, to       assign.ProcessID
}

// run copies until either side is closed, and then closes both.
func (s *stream) run() {
	defer s.reader.Close()
	defer s.writer.Close()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := s.reader.Read(buffer)
		if err != nil || !s.relays.waitUnblocked(s.from, s.to) {
			return
		}
		if _, err := s.writer.Write(buffer[:n]); err != nil {
			return
		}
	}
}

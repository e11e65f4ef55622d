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
	// relayBuffer is the number of bytes passed on at a time.
	relayBuffer = 32 << 10
	// relayDial bounds opening the connection behind a relay.
	relayDial = time.Second
)

// relays pass the messages between entry processes on and can hold back each direction of a process.
// Bytes that are held back arrive after the cut, as with TCP. A relay whose process has ended closes
// connections, but does not refuse them: through a relay nobody sees the proof that it has ended.
type relays struct {
	group conc.WaitGroup

	mu        sync.Mutex
	changed   *sync.Cond
	closed    bool
	listeners []net.Listener
	conns     map[net.Conn]bool
	// held holds back what each process sends (out) or receives (in).
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

// open starts the relay for the connections that one process opens to another. It returns the
// address to connect to.
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

// hold begins or ends the cut of both directions of a process.
func (r *relays) hold(name assign.ProcessID, in, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.in[name], r.out[name] = in, out
	r.changed.Broadcast()
}

// pass waits until bytes may go from one process to another. It reports false at the end.
func (r *relays) pass(from, to assign.ProcessID) bool {
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

// relay takes the connections from one process to another.
type relay struct {
	relays   *relays
	listener net.Listener
	from, to assign.ProcessID
	target   netip.AddrPort
}

func (r *relay) run() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.relays.add(near) {
			r.relays.group.Go((&relayed{relay: r, near: near}).run)
		}
	}
}

// relayed is one connection.
type relayed struct {
	relay *relay
	near  net.Conn
}

func (d *relayed) run() {
	rs := d.relay.relays
	defer rs.remove(d.near)
	far, err := net.DialTimeout("tcp", d.relay.target.String(), relayDial)
	if err != nil || !rs.add(far) {
		return
	}
	defer rs.remove(far)
	var group conc.WaitGroup
	group.Go((&stream{relays: rs, reader: d.near, writer: far, from: d.relay.from, to: d.relay.to}).run)
	group.Go((&stream{relays: rs, reader: far, writer: d.near, from: d.relay.to, to: d.relay.from}).run)
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
		if err != nil || !s.relays.pass(s.from, s.to) {
			return
		}
		if _, err := s.writer.Write(buffer[:n]); err != nil {
			return
		}
	}
}

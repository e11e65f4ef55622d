// Package mangle spoils what a stand-in server writes on its connections, as faulty servers do.
//
// It works on bytes, below the message types of the server and its clients. Each write to a connection counts as one
// answer. The faults are drawn from a seeded source. A server whose answers are spoiled still tells the truth: no fault
// makes up a field or a status.
//
// # Usage
//
//	m := mangle.New(seed)
//	listener = m.Listen(listener)
//	m.Set(mangle.Faults{Copy: 10, Cut: 2})
//	m.Set(mangle.Faults{}) // no more faults
package mangle

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// endlessBytes is the largest number of bytes that follow an answer without end, and endlessBlock the size of one write.
	endlessBytes = 32 << 20
	endlessBlock = 32 << 10
	// sliceDelay is the pause between two pieces of an answer.
	sliceDelay = time.Millisecond
	// maxSlice is the largest piece of an answer that is sent in pieces.
	maxSlice = 40
)

// Faults are the percentages of answers that have a fault. Their sum is at most 100.
type Faults struct {
	// Copy is the percentage of answers that are sent again where the next one is expected. Half of the copies are cut at
	// any byte, so that the next answer follows in the middle of them.
	Copy int
	// Join is the percentage of answers that are followed at once by a part of a copy.
	Join int
	// Cut is the percentage of answers that end at any byte. Half of these connections are closed, the others stay open.
	Cut int
	// Endless is the percentage of answers that change at any byte of the header, or at their end, into bytes without end. Bytes
	// that replace those of a body cannot be told from them.
	Endless int
	// Fields is the percentage of answers whose fields are in another order or case, doubled, or without the request ID.
	Fields int
	// Slice is the percentage of answers that come in small pieces.
	Slice int
}

// Mangler spoils the answers on the connections of its listeners. It is safe for concurrent use.
type Mangler struct {
	mu     sync.Mutex
	random *rand.Rand
	faults Faults
}

// New returns a Mangler without faults.
func New(seed uint64) *Mangler {
	return &Mangler{random: rand.New(rand.NewPCG(seed, 0))}
}

// Set replaces the faults.
func (m *Mangler) Set(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Listen returns a listener whose connections have the faults.
func (m *Mangler) Listen(l net.Listener) net.Listener { return listener{l, m} }

// intN returns a random number below n.
func (m *Mangler) intN(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.IntN(n)
}

// draw returns the fault of the next answer.
func (m *Mangler) draw() fault {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.random.IntN(100)
	for f, percent := range []int{m.faults.Copy, m.faults.Join, m.faults.Cut, m.faults.Endless, m.faults.Fields, m.faults.Slice} {
		if n < percent {
			return fault(f)
		}
		n -= percent
	}
	return none
}

//go:generate enumer -type=fault -transform=kebab -output=fault_enumer.go

// fault is the fault of one answer, in the order of the fields of Faults.
type fault int

const (
	sendCopy fault = iota
	join
	cut
	endless
	fields
	slice
	none
)

type listener struct {
	net.Listener
	mangler *Mangler
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, mangler: l.mangler}, nil
}

// conn is a connection whose answers may have faults.
type conn struct {
	net.Conn
	mangler *Mangler
	mu      sync.Mutex
	// late is sent when the next request arrives.
	late []byte
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.late != nil {
		// An error shows again at the next write.
		_, _ = c.Conn.Write(c.late)
		c.late = nil
	}
	return n, err
}

// Write implements net.Conn. It reports the length of the answer even if other bytes were sent.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(b) == 0 {
		return c.Conn.Write(b)
	}
	return len(b), c.send(b, c.mangler.draw())
}

func (c *conn) send(b []byte, f fault) error {
	switch f {
	case sendCopy:
		c.late = c.part(b)
	case join:
		b = append(append([]byte(nil), b...), c.part(b)...)
	case cut:
		return c.sendCut(b)
	case endless:
		return c.sendEndless(b)
	case fields:
		b = c.mangler.rearrange(b)
	case slice:
		return c.sendSlices(b)
	case none:
	}
	_, err := c.Conn.Write(b)
	return err
}

// part returns a copy of an answer, which is whole in half of the cases and else cut at any byte.
func (c *conn) part(b []byte) []byte {
	length := len(b)
	if c.mangler.intN(2) == 0 {
		length = 1 + c.mangler.intN(len(b))
	}
	return append([]byte(nil), b[:length]...)
}

func (c *conn) sendCut(b []byte) error {
	_, err := c.Conn.Write(b[:c.mangler.intN(len(b))])
	if err == nil && c.mangler.intN(2) == 0 {
		err = c.Close()
	}
	return err
}

func (c *conn) sendEndless(b []byte) error {
	if head := bytes.Index(b, []byte(blockEnd)); head > 0 && c.mangler.intN(4) > 0 {
		b = b[:c.mangler.intN(head)]
	}
	if _, err := c.Conn.Write(b); err != nil {
		return err
	}
	fillers := []string{"x", "0", "X-Filler: abc\r\n", "4\r\nabcd\r\n", "\xff", "HTTP/1.1 100 Continue\r\n\r\n"}
	filler := fillers[c.mangler.intN(len(fillers))]
	block := make([]byte, 0, endlessBlock+len(filler))
	for len(block) < endlessBlock {
		block = append(block, filler...)
	}
	for sent := 0; sent < endlessBytes; sent += len(block) {
		if _, err := c.Conn.Write(block); err != nil {
			return err
		}
	}
	return c.Close()
}

func (c *conn) sendSlices(b []byte) error {
	for len(b) > 0 {
		n := min(len(b), 1+c.mangler.intN(maxSlice))
		if _, err := c.Conn.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
		time.Sleep(sliceDelay)
	}
	return nil
}

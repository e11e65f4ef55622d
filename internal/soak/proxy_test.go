package soak_test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// mode is what a proxy does to its connections.
type mode int

const (
	pass mode = iota
	// delay holds every piece of data back for a while.
	delay
	// reset resets open connections and new ones.
	reset
	// silent forwards nothing any more, on open connections and on new ones. They stay silent for good.
	silent
	// oneWay forwards requests and no answers.
	oneWay
)

// delayTime is shorter than the time after which a process counts an order as lost.
const delayTime = 200 * time.Millisecond

// proxy forwards connections from an address on loopback to another one.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort
	group    conc.WaitGroup
	mu       sync.Mutex
	mode     mode
	links    map[*link]struct{}
	// harmed is when the mode was last other than pass.
	harmed time.Time
}

// link is one connection through a proxy.
type link struct {
	proxy            *proxy
	caller, callee   net.Conn
	requests, answer bool // forwarded no more
}

func newProxy(target netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, links: map[*link]struct{}{}}
	p.group.Go(p.run)
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		callee, err := net.Dial("tcp", p.target.String())
		if err != nil {
			abort(c)
			continue
		}
		l := &link{proxy: p, caller: c, callee: callee}
		p.mu.Lock()
		p.links[l] = struct{}{}
		p.harm(l)
		p.mu.Unlock()
		p.group.Go(pipe{l, c, callee, false}.run)
		p.group.Go(pipe{l, callee, c, true}.run)
	}
}

// harm does to a link what the mode asks for. The caller holds the lock.
func (p *proxy) harm(l *link) {
	switch p.mode {
	case pass, delay:
	case reset:
		abort(l.caller)
		abort(l.callee)
	case silent:
		l.requests, l.answer = true, true
	case oneWay:
		l.answer = true
	}
}

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.harmed = time.Now()
	for l := range p.links {
		p.harm(l)
	}
}

// clean reports whether the proxy forwarded everything since a time.
func (p *proxy) clean(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == pass && p.harmed.Before(since)
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	for l := range p.links {
		abort(l.caller)
		abort(l.callee)
	}
	p.mu.Unlock()
	p.group.Wait()
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// pipe is one direction of a link.
type pipe struct {
	link     *link
	from, to net.Conn
	answers  bool
}

func (p pipe) run() {
	buffer := make([]byte, 16<<10)
	for {
		n, err := p.from.Read(buffer)
		dropped, wait := p.state()
		time.Sleep(wait)
		if n > 0 && !dropped {
			if _, err := p.to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if errors.Is(err, io.EOF) && !dropped {
			break
		}
		if err != nil {
			if dropped {
				return
			}
			break
		}
	}
	p.link.end()
}

func (p pipe) state() (dropped bool, wait time.Duration) {
	x := p.link.proxy
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.mode == delay {
		wait = delayTime
	}
	if p.answers {
		return p.link.answer, wait
	}
	return p.link.requests, wait
}

func (l *link) end() {
	l.caller.Close()
	l.callee.Close()
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	delete(l.proxy.links, l)
}

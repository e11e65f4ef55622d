package fleet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// Fleets use ports below the kernel's ephemeral range for outgoing connections (32768 and up). An
// outgoing connection could occupy a port from that range after it was found free and before it is used.
const (
	firstPort = 12000
	blockSize = 100
	blocks    = 200
	// maxBlockTries bounds the search for a block that no other process has reserved.
	maxBlockTries = 1000
)

// ports allocates the ports of this process.
var ports portBlocks

// portBlocks allocates ports from blocks. A listener on the first port of each block reserves it for this
// process until the process ends. Without the reservation, two processes that start fleets at the same
// time find the same ports free before either uses them.
type portBlocks struct {
	mu     sync.Mutex
	guards []net.Listener
	next   uint16
	end    uint16
}

// ListenFree returns a listener on a free loopback port that it has not returned before. If no block of
// ports can be reserved, it returns the error of the last attempt.
func ListenFree() (net.Listener, error) {
	return ports.listen()
}

func (p *portBlocks) listen() (net.Listener, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next == p.end {
			if err := p.reserveBlock(); err != nil {
				return nil, err
			}
		}
		port := p.next
		p.next++
		if listener, err := listenOn(port); err == nil {
			return listener, nil
		}
	}
}

// reserveBlock reserves another block of ports.
func (p *portBlocks) reserveBlock() error {
	var err error
	for range maxBlockTries {
		first := uint16(firstPort + blockSize*rand.IntN(blocks))
		var guard net.Listener
		if guard, err = listenOn(first); err == nil {
			p.guards = append(p.guards, guard)
			p.next, p.end = first+1, first+blockSize
			return nil
		}
	}
	return err
}

func listenOn(port uint16) (net.Listener, error) {
	return net.Listen("tcp", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port).String())
}

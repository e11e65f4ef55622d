package fleet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// The ports that fleets use are below those that the kernel gives to outgoing connections (32768 and
// up). A port from that range could be taken by a connection between the moment it is found free and
// its use.
const (
	firstPort = 12000
	blockSize = 100
	blocks    = 200
	// blockTries bounds the search for a block that no other process holds.
	blockTries = 1000
)

// ports gives out the free ports of this process.
var ports portBlocks

// portBlocks takes ports from blocks that this process holds by a listener on the first port of each,
// until it ends. Two processes that start fleets at the same time otherwise find the same ports free
// before either uses them.
type portBlocks struct {
	mu    sync.Mutex
	guard []net.Listener
	next  uint16
	end   uint16
}

// ListenFree returns a listener on a free port of the loopback address that was not returned before.
// The error is that of the last of many tries.
func ListenFree() (net.Listener, error) {
	return ports.listen()
}

func (p *portBlocks) listen() (net.Listener, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next == p.end {
			if err := p.take(); err != nil {
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

// take gets another block.
func (p *portBlocks) take() error {
	var err error
	for range blockTries {
		first := uint16(firstPort + blockSize*rand.IntN(blocks))
		var guard net.Listener
		if guard, err = listenOn(first); err == nil {
			p.guard = append(p.guard, guard)
			p.next, p.end = first+1, first+blockSize
			return nil
		}
	}
	return err
}

func listenOn(port uint16) (net.Listener, error) {
	return net.Listen("tcp", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port).String())
}

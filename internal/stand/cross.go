package stand

import (
	"sync"
	"time"
)

// crossWait is how long an answer waits for another one to be swapped with.
const crossWait = 100 * time.Millisecond

// crossing swaps pairs of answers.
type crossing struct {
	mu      sync.Mutex
	waiting *parked
}

type parked struct {
	mine  reply
	other chan reply
}

// swap returns the answer of another call that ends at about the same time, or r where there is
// none.
func (c *crossing) swap(r reply) reply {
	p := &parked{mine: r, other: make(chan reply, 1)}
	c.mu.Lock()
	if w := c.waiting; w != nil {
		c.waiting = nil
		c.mu.Unlock()
		w.other <- r
		return w.mine
	}
	c.waiting = p
	c.mu.Unlock()
	select {
	case other := <-p.other:
		return other
	case <-time.After(crossWait):
		return c.withdraw(p)
	}
}

func (c *crossing) withdraw(p *parked) reply {
	c.mu.Lock()
	if c.waiting == p {
		c.waiting = nil
		c.mu.Unlock()
		return p.mine
	}
	c.mu.Unlock()
	return <-p.other
}

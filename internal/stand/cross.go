package stand

import (
	"sync"
	"time"
)

// swapTimeout is the time that an answer waits for another one to be swapped with.
const swapTimeout = 100 * time.Millisecond

// answerSwapper swaps the answers of pairs of calls.
type answerSwapper struct {
	mu      sync.Mutex
	waiting *pendingReply
}

type pendingReply struct {
	own   reply
	other chan reply
}

// swap returns the answer of another call that ends within swapTimeout, or r if there is
// none.
func (s *answerSwapper) swap(r reply) reply {
	p := &pendingReply{own: r, other: make(chan reply, 1)}
	s.mu.Lock()
	if w := s.waiting; w != nil {
		s.waiting = nil
		s.mu.Unlock()
		w.other <- r
		return w.own
	}
	s.waiting = p
	s.mu.Unlock()
	select {
	case other := <-p.other:
		return other
	case <-time.After(swapTimeout):
		return s.withdraw(p)
	}
}

func (s *answerSwapper) withdraw(p *pendingReply) reply {
	s.mu.Lock()
	if s.waiting == p {
		s.waiting = nil
		s.mu.Unlock()
		return p.own
	}
	s.mu.Unlock()
	return <-p.other
}

package store

import (
	"sync"
	"sync/atomic"
	"time"
)

// Counts is the number of calls sent, by operation. Calls that the client's own rate limit
// refused are in Refused only.
type Counts struct {
	Sent    map[Operation]uint64
	Refused uint64
}

type counter struct {
	sent    [VMs + 1]atomic.Uint64
	refused atomic.Uint64
}

func (c *counter) read() Counts {
	counts := Counts{Sent: map[Operation]uint64{}, Refused: c.refused.Load()}
	for _, o := range OperationValues() {
		counts.Sent[o] = c.sent[o].Load()
	}
	return counts
}

// bucket is a token bucket that holds the tokens of one second.
type bucket struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	filled time.Time
}

func newBucket(rate int) *bucket {
	return &bucket{rate: float64(rate), tokens: float64(rate)}
}

func (b *bucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.filled.IsZero() {
		b.tokens = min(b.rate, b.tokens+now.Sub(b.filled).Seconds()*b.rate)
	}
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

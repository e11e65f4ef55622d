package store

import (
	"sync"
	"sync/atomic"
	"time"
)

// Counts holds the number of calls sent, by operation, and the number of calls that the client's
// own rate limit refused. Refused calls were not sent, so Sent does not include them.
type Counts struct {
	Sent    map[Operation]uint64
	Refused uint64
}

type counter struct {
	sent    [VMs + 1]atomic.Uint64
	refused atomic.Uint64
}

func (c *counter) snapshot() Counts {
	counts := Counts{Sent: map[Operation]uint64{}, Refused: c.refused.Load()}
	for _, o := range OperationValues() {
		counts.Sent[o] = c.sent[o].Load()
	}
	return counts
}

// tokenBucket is a rate limiter whose capacity is the number of tokens added in one second.
type tokenBucket struct {
	mu       sync.Mutex
	rate     float64
	tokens   float64
	refilled time.Time
}

func newTokenBucket(rate int) *tokenBucket {
	return &tokenBucket{rate: float64(rate), tokens: float64(rate)}
}

func (b *tokenBucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.refilled.IsZero() {
		b.tokens = min(b.rate, b.tokens+now.Sub(b.refilled).Seconds()*b.rate)
	}
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

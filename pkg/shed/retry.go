package shed

import (
	"math/rand/v2"
	"sync"
	"time"
)

// retrySpread is the ratio of the longest to the least Retry-After time for the same reason, less one. Callers that are
// rejected at the same time return over that span.
const retrySpread = 1.0

// Spread chooses Retry-After times that differ from caller to caller, so that callers that were rejected together do not
// return together. It is safe for concurrent use.
type Spread struct {
	mu     sync.Mutex
	random *rand.Rand
}

// NewSpread returns a Spread. No other code may use random afterwards.
func NewSpread(random *rand.Rand) *Spread { return &Spread{random: random} }

// After returns a time of at least base, by which a retry has a chance. It returns less than that only if the time would
// otherwise exceed longest.
func (s *Spread) After(base, longest time.Duration) time.Duration {
	base = min(base, longest)
	latest := min(longest, scale(base, 1+retrySpread))
	earliest := min(base, scale(latest, 1/(1+retrySpread)))
	return s.between(earliest, latest)
}

// Within returns the given time, which already differs from caller to caller, or a shorter one if it exceeds longest.
func (s *Spread) Within(after, longest time.Duration) time.Duration {
	if after <= longest {
		return after
	}
	return s.between(scale(longest, 1/(1+retrySpread)), longest)
}

func (s *Spread) between(earliest, latest time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, earliest+scale(latest-earliest, s.random.Float64()))
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

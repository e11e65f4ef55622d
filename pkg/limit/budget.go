package limit

const (
	defaultBudgetShare = 0.1
	defaultBurst       = 10
)

// Budget is a token bucket of retries. Each call adds a share of a token, each retry takes one, so
// that retries cannot multiply the load of servers that fail.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full Budget. The share is the number of retries for each call, 0.1 for 0 or
// less; the burst is the largest number of saved retries, 10 for 0 or less.
func NewBudget(share, burst float64) *Budget {
	if share <= 0 {
		share = defaultBudgetShare
	}
	if burst <= 0 {
		burst = defaultBurst
	}
	return &Budget{share: share, burst: burst, tokens: burst}
}

// Call counts a call that is not a retry.
func (b *Budget) Call() { b.tokens = min(b.burst, b.tokens+b.share) }

// Take takes a token for a retry. It reports false where there is none.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

package limit

const (
	defaultBudgetShare = 0.1
	defaultBudgetBurst = 10
)

// Budget is a token bucket for retries. Each call adds a fraction of a token and each retry takes one,
// so that retries cannot multiply the load on servers that fail.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full Budget. share is the number of retries earned by each call, by default 0.1;
// burst is the largest number of saved retries, by default 10. Values of 0 or less mean the default.
func NewBudget(share, burst float64) *Budget {
	if share <= 0 {
		share = defaultBudgetShare
	}
	if burst <= 0 {
		burst = defaultBudgetBurst
	}
	return &Budget{share: share, burst: burst, tokens: burst}
}

// CountCall counts a call that is not a retry.
func (b *Budget) CountCall() { b.tokens = min(b.burst, b.tokens+b.share) }

// Take takes a token for a retry. It reports false if there is none.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

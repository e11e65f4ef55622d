package limit

import "time"

// CallsConfig configures a Calls. Zero values mean the defaults.
type CallsConfig struct {
	// Share is the number of retries for each call; 0.1 by default.
	Share float64
	// Burst is the largest number of saved retries; 10 by default.
	Burst float64
}

// Calls knows the run times of the operations of one service and its retry budget. It is safe for
// concurrent use.
type Calls struct{}

// NewCalls returns a Calls with a full retry budget and no run times.
func NewCalls(c CallsConfig) *Calls { return &Calls{} }

// Started counts a call, not a retry, for the retry budget.
func (c *Calls) Started() {}

// Retry takes a token of the retry budget. It reports false where the budget is used up.
func (c *Calls) Retry() bool { return true }

// Class returns the class of an operation: declared, or Long where it was observed to run over 10
// times the median of short calls. A Booking stays a Booking in the queue order, see Runs.Class.
func (c *Calls) Class(operation string, declared Class) Class { return declared }

// Observe records the run time of a call that ran.
func (c *Calls) Observe(operation string, class Class, run time.Duration) {}

// Estimate returns the expected run time of an operation, 0 where nothing is known.
func (c *Calls) Estimate(operation string) time.Duration { return 0 }

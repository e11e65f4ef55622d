package limit

import (
	"sync"
	"time"
)

// CallsConfig configures a Calls. Zero values mean the defaults.
type CallsConfig struct {
	// Share is the number of retries earned by each call; 0.1 by default.
	Share float64
	// Burst is the largest number of saved retries; 10 by default.
	Burst float64
}

// Calls holds the RunTimes and the retry Budget of one service. It is safe for concurrent use.
type Calls struct {
	mu       sync.Mutex
	budget   *Budget
	runTimes *RunTimes
}

// NewCalls returns a Calls with a full retry budget and no recorded run times.
func NewCalls(c CallsConfig) *Calls {
	return &Calls{budget: NewBudget(c.Share, c.Burst), runTimes: NewRunTimes()}
}

// Started counts a call that is not a retry for the retry budget.
func (c *Calls) Started() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.CountCall()
}

// AllowRetry takes a token of the retry budget. It reports false if the budget is used up.
func (c *Calls) AllowRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Take()
}

// Class calls RunTimes.Class.
func (c *Calls) Class(operation string, declared Class) Class {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runTimes.Class(operation, declared)
}

// Observe calls RunTimes.Observe. Ticket.Done calls it.
func (c *Calls) Observe(operation string, run time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runTimes.Observe(operation, run)
}

// Estimate calls RunTimes.Estimate.
func (c *Calls) Estimate(operation string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runTimes.Estimate(operation)
}

// estimates returns RunTimes.Mean and RunTimes.Estimate.
func (c *Calls) estimates(operation string) (mean, estimate time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runTimes.Mean(operation), c.runTimes.Estimate(operation)
}

// BaseLatency calls RunTimes.BaseLatency.
func (c *Calls) BaseLatency(operation string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runTimes.BaseLatency(operation)
}

package limit

import (
	"sync"
	"time"
)

// CallsConfig configures a Calls. Zero values mean the defaults.
type CallsConfig struct {
	// Share is the number of retries for each call; 0.1 by default.
	Share float64
	// Burst is the largest number of saved retries; 10 by default.
	Burst float64
}

// Calls joins a Runs and a Budget for one service. It is safe for concurrent use.
type Calls struct {
	mu     sync.Mutex
	budget *Budget
	runs   *Runs
}

// NewCalls returns a Calls with a full retry budget and no run times.
func NewCalls(c CallsConfig) *Calls {
	return &Calls{budget: NewBudget(c.Share, c.Burst), runs: NewRuns()}
}

// Started counts a call, not a retry, for the retry budget.
func (c *Calls) Started() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Call()
}

// AllowRetry takes a token of the retry budget. It reports false where the budget is used up.
func (c *Calls) AllowRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Take()
}

// Class is Runs.Class.
func (c *Calls) Class(operation string, declared Class) Class {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs.Class(operation, declared)
}

// Observe is Runs.Observe. Ticket.Done calls it.
func (c *Calls) Observe(operation string, run time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.Observe(operation, run)
}

// Estimate is Runs.Estimate.
func (c *Calls) Estimate(operation string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs.Estimate(operation)
}

// estimates returns Runs.Mean and Runs.Estimate.
func (c *Calls) estimates(operation string) (mean, estimate time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs.Mean(operation), c.runs.Estimate(operation)
}

// Usual is Runs.Usual.
func (c *Calls) Usual(operation string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs.Usual(operation)
}

package owner

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// Process is one entry process of the cell.
type Process struct {
	ID            assign.ProcessID
	FailureDomain string
}

// Config holds the settings of a Decider.
type Config struct {
	// Cell is the name of the cell.
	Cell string
	// Self is the name of this process.
	Self assign.ProcessID
	// ServingLease, Grant, Beat, Silence and StoreTimeout are the settings of the same names; zero
	// values stand for their defaults.
	ServingLease time.Duration
	Grant        time.Duration
	Beat         time.Duration
	Silence      time.Duration
	StoreTimeout time.Duration
	// Margin bounds the errors of clocks; its zero value stands for lease.DefaultMargin.
	Margin lease.Margin
	// ChurnBudget is the share of a service's keys that voluntary moves may move in ChurnPeriod.
	// The default is 0.05 in 10 s.
	ChurnBudget float64
	ChurnPeriod time.Duration
}

// Decider decides which server owns which span of a cell during one term. It is not safe for
// concurrent use.
type Decider struct {
	config Config
	table  *assign.Table
}

// NewDecider returns a Decider that has no term.
func NewDecider(c Config) *Decider {
	return &Decider{config: c}
}

// Step handles an event and returns the actions to take in order. The term must be held at now, a
// reading of clock.Clock.Now: the caller reads now, then checks the term, then steps. Otherwise a
// process that was paused could grant after the next decider has started.
func (d *Decider) Step(now time.Time, e DeciderEvent) []DeciderAction {
	return nil
}

// Table returns the latest published table, nil before the first.
func (d *Decider) Table() *assign.Table {
	return d.table
}

// Held reports whether a majority of electors holds the version, so that it is in force.
func (d *Decider) Held(version uint64) bool {
	return false
}

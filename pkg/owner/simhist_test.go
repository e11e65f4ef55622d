package owner_test

import (
	"fmt"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// checker checks the guarantees for runs at the servers while the simulation executes.
type checker struct {
	sim        *simulation
	violation  string
	runs       []*simRun
	newestRuns map[uint64]*simRun
	// lastServed is when the last call of each key finished.
	lastServed map[uint64]time.Duration
	// acknowledged is the highest assignment of each key that was open in a table that a majority
	// acknowledged.
	acknowledged map[uint64]assignment
}

type assignment struct {
	fence lease.Fence
	owner assign.ServerID
}

func newChecker(s *simulation) *checker {
	return &checker{
		sim:          s,
		newestRuns:   make(map[uint64]*simRun),
		lastServed:   make(map[uint64]time.Duration),
		acknowledged: make(map[uint64]assignment),
	}
}

func (c *checker) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf("seed %d, kind %s, at %v: ", c.sim.seed, c.sim.fencing, c.sim.now) + fmt.Sprintf(format, args...)
	}
}

// runStarted checks a run against earlier ones. A run at a frozen server is checked when the server
// resumes, because nothing takes effect before that. Merged spans have the higher of two fences. A
// process that does not know this yet may use the lower fence at the same server if the server does
// not check fences.
func (c *checker) runStarted(r *simRun) {
	if n := c.newestRuns[r.key]; n != nil {
		unchecked := r.server == n.server && c.sim.fencing != assign.Grants
		if r.fence < n.fence && !unchecked {
			c.fail("run of key %x starts under fence %d at %s after fence %d at %s", r.key, r.fence, r.server.id, n.fence, n.server.id)
		}
		if r.fence == n.fence && r.server != n.server {
			c.fail("fence %d of key %x is used by %s and %s", r.fence, r.key, r.server.id, n.server.id)
		}
	}
	c.removeEnded()
	for _, o := range c.runs {
		if o.key == r.key && o.fence < r.fence && o.server != r.server {
			c.checkOverlap(o, r)
		}
	}
	c.newestRuns[r.key] = r
	c.runs = append(c.runs, r)
}

func (c *checker) checkOverlap(o, r *simRun) {
	if o.server.frozen {
		o.superseded = true
		return
	}
	c.fail("run of key %x under fence %d at %s overlaps one under fence %d at %s", r.key, o.fence, o.server.id, r.fence, r.server.id)
}

func (c *checker) removeEnded() {
	kept := c.runs[:0]
	for _, r := range c.runs {
		if r.server.running[r] {
			kept = append(kept, r)
		}
	}
	c.runs = kept
}

// acknowledge records the open assignments of a table that a majority has acknowledged.
func (c *checker) acknowledge(t *assign.Table) {
	for _, key := range c.sim.keys {
		holding, ok := t.Lookup(service, key)
		if ok && holding.Open && holding.Fence() >= c.acknowledged[key].fence {
			c.acknowledged[key] = assignment{holding.Fence(), holding.Owner()}
		}
	}
}

// checkInherited checks the first table of a new decider against the acknowledged assignments.
func (c *checker) checkInherited(t *assign.Table) {
	for _, key := range c.sim.keys {
		was, known := c.acknowledged[key]
		holding, ok := t.Lookup(service, key)
		if !known {
			continue
		}
		if !ok || holding.Fence() < was.fence || holding.Fence() == was.fence && holding.Owner() != was.owner {
			c.fail("key %x was acknowledged at %s with fence %d, the new decider has %s with fence %d",
				key, was.owner, was.fence, holding.Owner(), holding.Fence())
		}
	}
}

// checkRepaired checks that every key was served after the last fault.
func (c *checker) checkRepaired(since time.Duration) {
	for _, key := range c.sim.keys {
		if c.lastServed[key] < since {
			if c.sim.leader != nil && c.sim.leader.decider.Table() != nil {
				holding, _ := c.sim.leader.decider.Table().Lookup(service, key)
				c.sim.log("key %x: %+v", key, holding)
			}
			c.fail("key %x was last served at %v, the last fault ended at %v", key, c.lastServed[key], since)
		}
	}
}

package owner_test

import (
	"fmt"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// history checks the runs at the servers while they happen.
type history struct {
	sim       *simulation
	violation string
	runs      []*simRun
	newest    map[uint64]*simRun
	// served is the time of the last finished call of each key.
	served map[uint64]time.Duration
	// acked is the highest assignment of each key that was open in a table held by a majority.
	acked map[uint64]acked
}

type acked struct {
	fence lease.Fence
	owner assign.ServerID
}

func newHistory(s *simulation) *history {
	return &history{
		sim:    s,
		newest: make(map[uint64]*simRun),
		served: make(map[uint64]time.Duration),
		acked:  make(map[uint64]acked),
	}
}

func (h *history) fail(format string, args ...any) {
	if h.violation == "" {
		h.violation = fmt.Sprintf("seed %d, kind %s, at %v: ", h.sim.seed, h.sim.kind, h.sim.now) + fmt.Sprintf(format, args...)
	}
}

// started checks a run against those before it. A run of a frozen server is checked when the
// server thaws, because nothing takes effect before. Joined spans have the higher of two fences; a
// process that does not know yet may then use the lower one at the same server, where the server
// does not check fences.
func (h *history) started(r *simRun) {
	if n := h.newest[r.key]; n != nil {
		unchecked := r.server == n.server && h.sim.kind != assign.Grants
		if r.fence < n.fence && !unchecked {
			h.fail("run of key %x starts under fence %d at %s after fence %d at %s", r.key, r.fence, r.server.id, n.fence, n.server.id)
		}
		if r.fence == n.fence && r.server != n.server {
			h.fail("fence %d of key %x is used by %s and %s", r.fence, r.key, r.server.id, n.server.id)
		}
	}
	h.prune()
	for _, o := range h.runs {
		if o.key == r.key && o.fence < r.fence && o.server != r.server {
			h.overtaken(o, r)
		}
	}
	h.newest[r.key] = r
	h.runs = append(h.runs, r)
}

func (h *history) overtaken(o, r *simRun) {
	if o.server.frozen {
		o.superseded = true
		return
	}
	h.fail("run of key %x under fence %d at %s overlaps one under fence %d at %s", r.key, o.fence, o.server.id, r.fence, r.server.id)
}

func (h *history) prune() {
	kept := h.runs[:0]
	for _, r := range h.runs {
		if r.server.active[r] {
			kept = append(kept, r)
		}
	}
	h.runs = kept
}

// acknowledge notes what a table that a majority holds has open.
func (h *history) acknowledge(t *assign.Table) {
	for _, key := range h.sim.keys {
		holding, ok := t.Lookup(service, key)
		if ok && holding.Open && holding.Fence() >= h.acked[key].fence {
			h.acked[key] = acked{holding.Fence(), holding.Owner()}
		}
	}
}

// inherits checks the first table of a new decider against what was acknowledged.
func (h *history) inherits(t *assign.Table) {
	for _, key := range h.sim.keys {
		was, known := h.acked[key]
		holding, ok := t.Lookup(service, key)
		if !known {
			continue
		}
		if !ok || holding.Fence() < was.fence || holding.Fence() == was.fence && holding.Owner() != was.owner {
			h.fail("key %x was acknowledged at %s with fence %d, the new decider has %s with fence %d",
				key, was.owner, was.fence, holding.Owner(), holding.Fence())
		}
	}
}

// repaired checks that every key was served after the last fault.
func (h *history) repaired(since time.Duration) {
	for _, key := range h.sim.keys {
		if h.served[key] < since {
			if h.sim.leader != nil && h.sim.leader.decider.Table() != nil {
				holding, _ := h.sim.leader.decider.Table().Lookup(service, key)
				h.sim.log("key %x: %+v", key, holding)
			}
			h.fail("key %x was last served at %v, the last fault ended at %v", key, h.served[key], since)
		}
	}
}

package pick

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// Shared is a Set that is safe for concurrent use.
type Shared struct {
	mu  sync.Mutex
	set *Set
}

// NewShared returns a Shared without servers. The random source must not be used elsewhere.
func NewShared(c Config, random *rand.Rand) *Shared {
	return &Shared{set: New(c, random)}
}

// Update is Set.Update.
func (h *Shared) Update(now time.Time, servers []assign.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set.Update(now, servers)
}

// Report is Set.Report.
func (h *Shared) Report(now time.Time, id assign.ServerID, r Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set.Report(now, id, r)
}

// Take is Set.Pick and Set.Start in one step, so that concurrent choices see each other.
func (h *Shared) Take(now time.Time, avoid assign.ServerID) (assign.ServerID, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, ok := h.set.Pick(now, avoid)
	if ok {
		h.set.Start(id)
	}
	return id, ok
}

// Done is Set.Done.
func (h *Shared) Done(now time.Time, id assign.ServerID, r Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set.Done(now, id, r)
}

// Ejected is Set.Ejected.
func (h *Shared) Ejected(now time.Time) []assign.ServerID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.set.Ejected(now)
}

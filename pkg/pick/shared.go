package pick

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// SharedPicker is a Set that is safe for concurrent use.
type SharedPicker struct {
	mu  sync.Mutex
	set *Set
}

// NewSharedPicker returns a Shared without servers. The random source must not be used elsewhere.
func NewSharedPicker(c Config, random *rand.Rand) *SharedPicker {
	return &SharedPicker{set: New(c, random)}
}

// Update is Set.Update.
func (h *SharedPicker) Update(now time.Time, servers []assign.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set.Update(now, servers)
}

// Report is Set.Report.
func (h *SharedPicker) Report(now time.Time, id assign.ServerID, r Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set.Report(now, id, r)
}

// Take is Set.Pick and Set.Start in one step, so that concurrent choices see each other.
func (h *SharedPicker) Take(now time.Time, avoid assign.ServerID) (assign.ServerID, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, ok := h.set.Pick(now, avoid)
	if ok {
		h.set.Start(id)
	}
	return id, ok
}

// Done is Set.Done.
func (h *SharedPicker) Done(now time.Time, id assign.ServerID, r Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set.Done(now, id, r)
}

// Ejected is Set.Ejected.
func (h *SharedPicker) Ejected(now time.Time) []assign.ServerID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.set.Ejected(now)
}

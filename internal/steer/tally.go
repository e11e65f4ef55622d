package steer

import (
	"sync"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// maxTally bounds the keys that are kept for one service until they are reported.
const maxTally = 4096

// tally collects the keys of requests until they are reported. It is safe for concurrent use.
type tally struct {
	mu   sync.Mutex
	keys map[assign.ServiceID][]uint16
}

func newTally() *tally { return &tally{keys: map[assign.ServiceID][]uint16{}} }

func (t *tally) add(service assign.ServiceID, key uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.keys[service]; len(k) < maxTally {
		t.keys[service] = append(k, key)
	}
}

// take returns the keys and forgets them.
func (t *tally) take() map[assign.ServiceID][]uint16 {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := t.keys
	t.keys = make(map[assign.ServiceID][]uint16, len(keys))
	return keys
}

package steer

import (
	"sync"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// maxTally bounds the keys that are kept for one service until they are reported.
const maxTally = 4096

// Load is what a process saw of the requests to partitioned services since its last report.
type Load struct {
	// Keys are the keys of the requests, one entry a request.
	Keys map[assign.ServiceID][]uint16
	// Work is what the servers ran.
	Work map[assign.ServiceID]map[assign.ServerID]shard.Work
}

// tally collects a Load until it is reported. It is safe for concurrent use.
type tally struct {
	mu   sync.Mutex
	load Load
}

func newTally() *tally {
	t := &tally{}
	t.take()
	return t
}

func (t *tally) use(service assign.ServiceID, key uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.load.Keys[service]; len(k) < maxTally {
		t.load.Keys[service] = append(k, key)
	}
}

func (t *tally) ran(service assign.ServiceID, server assign.ServerID, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := t.load.Work[service]
	if servers == nil {
		servers = map[assign.ServerID]shard.Work{}
		t.load.Work[service] = servers
	}
	w := servers[server]
	w.Requests++
	w.Time += took
	servers[server] = w
}

// take returns the load and forgets it.
func (t *tally) take() Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	load := t.load
	t.load = Load{
		Keys: make(map[assign.ServiceID][]uint16),
		Work: make(map[assign.ServiceID]map[assign.ServerID]shard.Work),
	}
	return load
}

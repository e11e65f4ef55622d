package steer

import (
	"sync"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// maxCountedKeys bounds the keys of one service between two reports. Further requests are not counted.
const maxCountedKeys = 4096

// Load is the load of the partitioned services that a process saw since its last report.
type Load struct {
	// Keys has the key of each request.
	Keys map[assign.ServiceID][]uint16
	// Over is the time since the last report.
	Over time.Duration
	// Work has the number and the run time of the requests that each server ran.
	Work map[assign.ServiceID]map[assign.ServerID]shard.Work
}

// loadCounter collects a Load until it is reported. It is safe for concurrent use.
type loadCounter struct {
	mu   sync.Mutex
	load Load
	// taken is the time of the last report, or of the start.
	taken time.Time
}

func newLoadCounter(now time.Time) *loadCounter {
	c := &loadCounter{}
	c.take(now)
	return c
}

func (c *loadCounter) countKey(service assign.ServiceID, key uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.load.Keys[service]; len(k) < maxCountedKeys {
		c.load.Keys[service] = append(k, key)
	}
}

func (c *loadCounter) countRun(service assign.ServiceID, server assign.ServerID, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	servers := c.load.Work[service]
	if servers == nil {
		servers = map[assign.ServerID]shard.Work{}
		c.load.Work[service] = servers
	}
	w := servers[server]
	w.Requests++
	w.Time += took
	servers[server] = w
}

// take returns the collected load and resets the counter.
func (c *loadCounter) take(now time.Time) Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	load := c.load
	load.Over = now.Sub(c.taken)
	c.taken = now
	c.load = Load{
		Keys: make(map[assign.ServiceID][]uint16),
		Work: make(map[assign.ServiceID]map[assign.ServerID]shard.Work),
	}
	return load
}

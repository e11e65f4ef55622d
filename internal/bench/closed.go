package bench

import (
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// closedLoop keeps a fixed number of calls in flight. It measures a capacity, never a latency.
type closedLoop struct {
	sender  sender
	workers int
	length  time.Duration

	until time.Time
	ran   atomic.Int64
}

// rate returns the calls a second that ran.
func (c *closedLoop) rate() float64 {
	started := time.Now()
	c.until = started.Add(c.length)
	var group conc.WaitGroup
	for range c.workers {
		group.Go(c.run)
	}
	group.Wait()
	defer c.sender.close()
	return float64(c.ran.Load()) / time.Since(started).Seconds()
}

func (c *closedLoop) run() {
	for n := 0; time.Now().Before(c.until); n++ {
		if c.sender.send(shot{number: n}).ran {
			c.ran.Add(1)
		}
	}
}

package bench

import (
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// closedLoop keeps a fixed number of calls in flight to measure a capacity. It does not measure latencies: a closed
// loop hides stalls.
type closedLoop struct {
	sender  sender
	workers int
	length  time.Duration

	end time.Time
	ran atomic.Int64
}

// rate sends calls for the set length and returns the number of calls a second that ran.
func (c *closedLoop) rate() float64 {
	started := time.Now()
	c.end = started.Add(c.length)
	var group conc.WaitGroup
	for range c.workers {
		group.Go(c.run)
	}
	group.Wait()
	defer c.sender.close()
	return float64(c.ran.Load()) / time.Since(started).Seconds()
}

func (c *closedLoop) run() {
	for n := 0; time.Now().Before(c.end); n++ {
		if c.sender.send(arrival{number: n}).ran {
			c.ran.Add(1)
		}
	}
}

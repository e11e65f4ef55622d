package main

import "time"

const (
	// overlapLimit is how long two servers may hold the same key.
	overlapLimit = 500 * time.Millisecond
	// ownerInterval is the time between two looks at what the servers hold.
	ownerInterval = 20 * time.Millisecond
)

// ownerCheck looks at what the servers hold: two servers that are up must not hold the same key for over half a second.
type ownerCheck struct {
	world *world
	// longest is the longest time for which two servers have held a key, and text says which.
	longest time.Duration
	text    string
	// keys is the largest number of keys that two servers have held for longer than overlapLimit at once.
	keys int
}

// watch looks until the given time.
func (c *ownerCheck) watch(end time.Time) {
	since := make([]time.Time, keyCount)
	owner, buffer := make([]*server, keyCount), make([]bool, keyCount)
	for time.Now().Before(end) {
		double := make([]bool, keyCount)
		clear(owner)
		names := map[int]string{}
		now := time.Now()
		for _, s := range c.world.allServers() {
			if !s.partitioned {
				continue
			}
			s.held(buffer)
			for k, h := range buffer {
				switch {
				case !h:
				case owner[k] == nil:
					owner[k] = s
				default:
					double[k] = true
					names[k] = owner[k].id + " and " + s.id
				}
			}
		}
		count := 0
		for k, d := range double {
			if !d {
				since[k] = time.Time{}
				continue
			}
			if since[k].IsZero() {
				since[k] = now
			}
			took := now.Sub(since[k])
			if took > overlapLimit {
				count++
			}
			if took > c.longest {
				c.longest = took
				c.text = names[k]
			}
		}
		c.keys = max(c.keys, count)
		time.Sleep(ownerInterval)
	}
}

// verdict writes the result to the record.
func (c *ownerCheck) verdict() int {
	if c.longest <= overlapLimit {
		c.world.log.say("OWNER held: two servers held a key for at most %.2f s", c.longest.Seconds())
		return held
	}
	c.world.log.say("OWNER broken: %s held the same keys for %.2f s, up to %d keys at once", c.text, c.longest.Seconds(), c.keys)
	return broken
}

package dedup

import "time"

// closedTime is how long the end of an attempt is remembered after its identifier was freed. A
// Reserve that is delayed for longer leaves a reservation that nobody finishes: the identifier is
// then refused as in progress until its window ends, which is safe.
const closedTime = 30 * time.Second

// closedAttempts remembers attempts that freed their identifier, so that a delayed Reserve of the
// same attempt does not reserve it again. It is a convenience: forgetting an attempt is safe.
type closedAttempts struct {
	limit int
	until map[Attempt]time.Time
	order []Attempt
}

func (c *closedAttempts) has(a Attempt) bool {
	_, ok := c.until[a]
	return ok
}

func (c *closedAttempts) add(now time.Time, a Attempt) {
	if c.has(a) {
		return
	}
	if len(c.order) >= c.limit {
		c.forgetFirst()
	}
	c.until[a] = now.Add(closedTime)
	c.order = append(c.order, a)
}

func (c *closedAttempts) expire(now time.Time) {
	for len(c.order) > 0 && !now.Before(c.until[c.order[0]]) {
		c.forgetFirst()
	}
}

func (c *closedAttempts) forgetFirst() {
	delete(c.until, c.order[0])
	c.order = c.order[1:]
}

package disco

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// ColdRun is a run of a server that counts as cold.
type ColdRun struct {
	Server assign.ServerID
	// Born is the start time of the run in Unix ms.
	Born  int64
	Until time.Time
	// Firm reports that an entry of the server does not end the time earlier.
	Firm bool
}

// Cold knows until when each run of a server counts as cold. It is not safe for concurrent use.
//
// An entry says how long the server stays cold after it was written, but not when that was. The end is therefore computed as
// if the entry had been written when it was read, which is late by up to the lag of entries. Later entries of the same
// warm-up give slightly different ends, and do not change the first one. Followers thus hear of each warm-up once when it
// begins and once when it ends.
type Cold struct {
	lag  time.Duration
	runs map[run]ColdRun
}

// NewCold returns a Cold without runs. An entry is at most lag old when it is read, except after an outage of the store.
func NewCold(lag time.Duration) *Cold { return &Cold{lag: lag, runs: map[run]ColdRun{}} }

// Observe records the entries that were read from the store, and reports whether that changes more than the lag of entries
// explains. If the store may list older copies of the entries, they end no warm-up.
func (c *Cold) Observe(now time.Time, listed []assign.Server, copies bool) bool {
	c.prune(now)
	changed := false
	for _, s := range listed {
		changed = c.observe(now, s, copies) || changed
	}
	return changed
}

func (c *Cold) observe(now time.Time, s assign.Server, copies bool) bool {
	known, cold := c.runs[runOf(s)]
	until := now.Add(s.WarmUp)
	switch {
	case s.WarmUp <= 0:
		if !cold || known.Firm || copies {
			return false
		}
		delete(c.runs, runOf(s))
		return now.Before(known.Until)
	case !cold || until.After(known.Until.Add(c.lag)):
	case known.Firm || copies || !until.Before(known.Until.Add(-c.lag)):
		return false
	}
	c.runs[runOf(s)] = ColdRun{Server: s.ID, Born: s.Born, Until: until, Firm: known.Firm && now.Before(known.Until)}
	return true
}

// Hold counts a run as cold at least until the given time, whatever its entries say. It reports whether that is new.
func (c *Cold) Hold(s assign.Server, until time.Time) bool {
	known := c.runs[runOf(s)]
	if known.Firm && !until.After(known.Until) {
		return false
	}
	c.runs[runOf(s)] = ColdRun{Server: s.ID, Born: s.Born, Until: laterTime(known.Until, until), Firm: true}
	return true
}

// Replace sets the runs to those that the leader listed. If this process has read the entries later than the leader, it
// keeps what it knows besides.
func (c *Cold) Replace(now time.Time, list []ColdRun, keep bool) {
	if !keep {
		clear(c.runs)
	}
	for _, r := range list {
		key := run{id: r.Server, born: r.Born}
		known := c.runs[key]
		r.Until, r.Firm = laterTime(known.Until, r.Until), r.Firm || known.Firm
		c.runs[key] = r
	}
	c.prune(now)
}

// Until returns the time until which the run of a listed server counts as cold. It is in the past if the run does not.
func (c *Cold) Until(s assign.Server) time.Time { return c.runs[runOf(s)].Until }

// Runs returns the cold runs, sorted by server.
func (c *Cold) Runs(now time.Time) []ColdRun {
	c.prune(now)
	list := make([]ColdRun, 0, len(c.runs))
	for _, r := range c.runs {
		if now.Before(r.Until) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b ColdRun) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Born, b.Born))
	})
	return list
}

// prune forgets the runs whose time is over, once the entries of that warm-up have been replaced.
func (c *Cold) prune(now time.Time) {
	for key, r := range c.runs {
		if now.After(r.Until.Add(c.lag)) {
			delete(c.runs, key)
		}
	}
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

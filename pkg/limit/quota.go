package limit

import "time"

const (
	// quotaSteps is the number of steps that a window is counted in.
	quotaSteps = 20
	// quotaEdge is the number of steps by which repeats are counted for longer and calls for less long
	// than the window, since a step is counted as a whole.
	quotaEdge = 1
)

// Quota allows repeats for a share of the calls in a sliding window, and a number beyond that. In any
// window of that length there are no more repeats, whichever way the calls are spread over it. It is
// not safe for concurrent use.
type Quota struct {
	share  float64
	burst  float64
	step   time.Duration
	last   int64
	counts [quotaSteps + quotaEdge]struct{ calls, repeats int }
}

// NewQuota returns a Quota for repeats up to share of the calls plus burst in each window.
func NewQuota(share, burst float64, window time.Duration) *Quota {
	return &Quota{share: share, burst: burst, step: max(1, window/quotaSteps)}
}

// SetBurst changes the number of repeats beyond the share.
func (q *Quota) SetBurst(burst float64) { q.burst = burst }

// CountCall counts a call that is not a repeat.
func (q *Quota) CountCall(now time.Time) {
	q.advance(now)
	q.counts[q.index(0)].calls++
}

// Take counts a repeat and reports true, or reports false where there is no room for it.
func (q *Quota) Take(now time.Time) bool {
	q.advance(now)
	calls, repeats := 0, 0
	for i := range q.counts {
		c := q.counts[q.index(i)]
		repeats += c.repeats
		if i < quotaSteps-quotaEdge {
			calls += c.calls
		}
	}
	if float64(repeats+1) > q.share*float64(calls)+q.burst {
		return false
	}
	q.counts[q.index(0)].repeats++
	return true
}

// index returns the place of the step that lies back by so many steps.
func (q *Quota) index(back int) int {
	n := int64(len(q.counts))
	return int(((q.last-int64(back))%n + n) % n)
}

// advance forgets the steps that have left the window.
func (q *Quota) advance(now time.Time) {
	step := now.UnixNano() / int64(q.step)
	if step-q.last >= int64(len(q.counts)) {
		clear(q.counts[:])
		q.last = step
		return
	}
	for q.last < step {
		q.last++
		q.counts[q.index(0)] = struct{ calls, repeats int }{}
	}
}

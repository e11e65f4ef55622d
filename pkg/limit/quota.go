package limit

import "time"

const (
	// quotaSteps is the number of steps that the window is divided into.
	quotaSteps = 20
	// quotaMargin is the number of steps by which repeats count for longer, and calls for less long, than
	// the window. Steps count as a whole, so without it a window could have too many repeats.
	quotaMargin = 1
)

// Quota limits repeats in a sliding window to a share of the calls in it plus a fixed number. The limit
// holds in every window of that length, however the calls are spread over it. It is not safe for
// concurrent use.
type Quota struct {
	share      float64
	burst      float64
	stepLength time.Duration
	lastStep   int64
	counts     [quotaSteps + quotaMargin]struct{ calls, repeats int }
}

// NewQuota returns a Quota that allows share times the number of calls, plus burst, in each window.
func NewQuota(share, burst float64, window time.Duration) *Quota {
	return &Quota{share: share, burst: burst, stepLength: max(1, window/quotaSteps)}
}

// SetBurst changes the number of repeats beyond the share.
func (q *Quota) SetBurst(burst float64) { q.burst = burst }

// CountCall counts a call that is not a repeat.
func (q *Quota) CountCall(now time.Time) {
	q.advance(now)
	q.counts[q.index(0)].calls++
}

// Take counts a repeat and reports true, or reports false if the limit is reached.
func (q *Quota) Take(now time.Time) bool {
	q.advance(now)
	calls, repeats := 0, 0
	for i := range q.counts {
		c := q.counts[q.index(i)]
		repeats += c.repeats
		if i < quotaSteps-quotaMargin {
			calls += c.calls
		}
	}
	if float64(repeats+1) > q.share*float64(calls)+q.burst {
		return false
	}
	q.counts[q.index(0)].repeats++
	return true
}

// index returns the index in counts of the step that is back steps before the last one.
func (q *Quota) index(back int) int {
	n := int64(len(q.counts))
	return int(((q.lastStep-int64(back))%n + n) % n)
}

// advance moves the window to now and clears the steps that have left it.
func (q *Quota) advance(now time.Time) {
	step := now.UnixNano() / int64(q.stepLength)
	if step-q.lastStep >= int64(len(q.counts)) {
		clear(q.counts[:])
		q.lastStep = step
		return
	}
	for q.lastStep < step {
		q.lastStep++
		q.counts[q.index(0)] = struct{ calls, repeats int }{}
	}
}

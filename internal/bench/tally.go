package bench

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest latency that histograms hold; larger latencies are recorded as this value.
	maxLatency = time.Minute
	// digits is the number of significant decimal digits of recorded latencies.
	digits = 3
	// slotTime is the length of the time slots in which goodput is counted.
	slotTime = 250 * time.Millisecond
)

// tally counts the calls of one kind. It is safe for concurrent use.
type tally struct {
	// deadline is the latency up to which an answer counts as good.
	deadline time.Duration

	mu      sync.Mutex
	offered int
	ran     int
	good    int
	refused int
	failed  int
	reasons map[string]int
	// histogram holds the latencies of calls that ran, in microseconds from the intended start.
	histogram *hdrhistogram.Histogram
	slots     map[int64]*slot
}

// slot counts the calls whose intended start is in one time slot.
type slot struct {
	offered int
	good    int
}

func newTally(deadline time.Duration) *tally {
	return &tally{
		deadline:  deadline,
		reasons:   make(map[string]int),
		histogram: hdrhistogram.New(1, maxLatency.Microseconds(), digits),
		slots:     make(map[int64]*slot),
	}
}

func (t *tally) slot(at time.Time) *slot {
	index := at.UnixNano() / int64(slotTime)
	if t.slots[index] == nil {
		t.slots[index] = new(slot)
	}
	return t.slots[index]
}

// offer counts an arrival.
func (t *tally) offer(intended time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offered++
	t.slot(intended).offered++
}

// end counts the outcome of a call and records the latency of a call that ran.
func (t *tally) end(intended time.Time, a answer) {
	took := time.Since(intended)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case a.ran:
		t.ran++
		t.record(took)
		if took <= t.deadline {
			t.good++
			t.slot(intended).good++
		}
		return
	case a.refused:
		t.refused++
	default:
		t.failed++
	}
	t.reasons[a.reason]++
}

// recordLatency records a duration without counting a call.
func (t *tally) recordLatency(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(took)
}

func (t *tally) record(took time.Duration) {
	// The value is clamped to the bounds of the histogram, so recording it cannot fail.
	_ = t.histogram.RecordValue(min(max(1, took.Microseconds()), maxLatency.Microseconds()))
}

// percentile returns the latency at a percentile: for 99.9, the latency that one call in a thousand exceeds.
func (t *tally) percentile(p float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.histogram.ValueAtPercentile(p)) * time.Microsecond
}

// sortedSlots returns the slots in chronological order.
func (t *tally) sortedSlots() []slot {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []slot
	for _, index := range slices.Sorted(maps.Keys(t.slots)) {
		list = append(list, *t.slots[index])
	}
	return list
}

// commonReason returns the most frequent reason of calls that did not run and its count, or "none" if there is none.
func (t *tally) commonReason() (string, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	common, most := "none", 0
	for _, reason := range slices.Sorted(maps.Keys(t.reasons)) {
		if t.reasons[reason] > most {
			common, most = reason, t.reasons[reason]
		}
	}
	return common, most
}

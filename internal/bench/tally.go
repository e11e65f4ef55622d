package bench

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestLatency is the largest latency that histograms hold; larger ones count as this.
	longestLatency = time.Minute
	// digits is the number of significant decimal digits of latencies.
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

// slot counts the calls whose intended start is in one piece of time.
type slot struct {
	offered int
	good    int
}

func newTally(deadline time.Duration) *tally {
	return &tally{
		deadline:  deadline,
		reasons:   make(map[string]int),
		histogram: hdrhistogram.New(1, longestLatency.Microseconds(), digits),
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

// end counts the end of a call.
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

// latency records a time without a call.
func (t *tally) latency(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(took)
}

func (t *tally) record(took time.Duration) {
	// The value is within the bounds of the histogram.
	_ = t.histogram.RecordValue(min(max(1, took.Microseconds()), longestLatency.Microseconds()))
}

// percentile returns a latency; 99.9 is the latency that one call in a thousand exceeds.
func (t *tally) percentile(p float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.histogram.ValueAtPercentile(p)) * time.Microsecond
}

// inSlots returns the slots in the order of time.
func (t *tally) inSlots() []slot {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []slot
	for _, index := range slices.Sorted(maps.Keys(t.slots)) {
		list = append(list, *t.slots[index])
	}
	return list
}

// commonReason returns the most frequent reason of calls that did not run, "none" without any.
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

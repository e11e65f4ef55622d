package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// longRatio and shortRatio are the run times, relative to the median of short calls, above which
	// an operation becomes long and below which it stops being long. The run time of an operation is
	// its lowest median so far, because latencies include the time in the queue of the server: at a
	// congested server, short operations would otherwise be classified as long.
	longRatio  = 10
	shortRatio = 5
	// recentRuns is the number of recent run times kept for each operation.
	recentRuns = 16
	// minRuns is the number of calls of an operation before its class is corrected. It is small,
	// because each call of a long operation that is classified as short occupies a slot for long.
	minRuns = 3
	// shortMedianEvery is the number of calls between two updates of the median of short calls.
	shortMedianEvery = 8
	// arrivalsPerHalving is the number of arrivals after which the counts of earlier ones are halved.
	arrivalsPerHalving = 4096
	// runWeight is the weight of one call in the moving average of the run time.
	runWeight = 0.05
	// maxBaseWindow is the number of calls in a window of the base latency, after the first windows.
	maxBaseWindow = 64
	// firstBaseWindow is the number of calls in the first window. Each next one is twice as long, up to
	// maxBaseWindow.
	firstBaseWindow = 8
	// baseRise is the largest factor by which the base latency rises in one window, so that it follows an
	// operation that has become slower.
	baseRise = 1.05
	// lowestMedianRise is the largest factor by which the lowest median rises for each call.
	lowestMedianRise = 1.01
	// firstBaseRise replaces baseRise in the first windows, whose means are less certain.
	firstBaseRise = 1.25
	// staleEstimates is the number of estimates returned without a new run of the operation, after which
	// each further estimate is multiplied by staleFactor. Otherwise an estimate that was learned under
	// congestion could refuse all calls of an operation, and then never be corrected.
	staleEstimates = 16
	staleFactor    = 0.9
	// staleWeight is the least weight of the first call after stale estimates, because that call is better
	// evidence than the earlier ones.
	staleWeight = 0.5
	// maxOperations bounds the memory for operations whose names come from callers.
	maxOperations = 4096
)

// RunTimes learns the run times of the operations of one service.
type RunTimes struct {
	operations map[string]*operationStats
	// arrivals counts the calls that arrived and were not classified as Long, since the counts were last
	// halved. observed counts the calls that ran.
	arrivals int
	observed int
	// shortMedian is the median run time of short calls at a server without congestion, 0 if unknown.
	shortMedian time.Duration
}

type operationStats struct {
	count    int
	arrivals int
	long     bool
	mean     float64
	// deviation is the mean absolute deviation.
	deviation float64
	// baseSum is the total of the last baseCount run times, in a window of baseWindow calls.
	baseSum     float64
	baseCount   int
	baseWindow  int
	baseLatency float64
	// unconfirmed is the number of estimates returned since the last run.
	unconfirmed int
	// recent has the last run times.
	recent ring
	// lowestMedian is the lowest median of recent so far. It rises slowly.
	lowestMedian time.Duration
}

// NewRunTimes returns a RunTimes without operations.
func NewRunTimes() *RunTimes { return &RunTimes{operations: map[string]*operationStats{}} }

// Observe records the run time of a call: the time from sending to the complete answer.
func (r *RunTimes) Observe(operation string, run time.Duration) {
	o := r.statsOf(operation)
	if o == nil {
		return
	}
	o.add(float64(run))
	r.observed++
	if r.observed%shortMedianEvery == 0 {
		r.updateShortMedian()
	}
	if r.shortMedian <= 0 || o.count < minRuns {
		return
	}
	if o.long {
		o.long = o.lowestMedian >= shortRatio*r.shortMedian
	} else {
		o.long = o.lowestMedian > longRatio*r.shortMedian
	}
}

// risingMin returns the lower of v and before multiplied by rise, or v if before is 0.
func risingMin(before, v time.Duration, rise float64) time.Duration {
	if before == 0 || v < before {
		return v
	}
	return min(v, time.Duration(float64(before)*rise))
}

// ring is a ring buffer of the last run times.
type ring struct {
	times [recentRuns]time.Duration
	count int
}

func (g *ring) add(run time.Duration) {
	g.times[g.count%recentRuns] = run
	g.count++
}

func (g *ring) median() time.Duration {
	sorted := g.times
	n := min(g.count, recentRuns)
	slices.Sort(sorted[:n])
	return sorted[n/2]
}

func (r *RunTimes) statsOf(name string) *operationStats {
	o, ok := r.operations[name]
	if !ok && len(r.operations) < maxOperations {
		o = &operationStats{baseWindow: firstBaseWindow}
		r.operations[name] = o
	}
	return o
}

// updateShortMedian computes the median over the short calls that arrived, each with the run time of its
// operation. It does not count the calls that ran, because few short calls run at a server that is
// blocked by long ones.
func (r *RunTimes) updateShortMedian() {
	var short []*operationStats
	total := 0
	for _, o := range r.operations {
		if !o.long && o.lowestMedian > 0 {
			short = append(short, o)
			total += o.arrivals
		}
	}
	slices.SortFunc(short, func(a, b *operationStats) int { return cmp.Compare(a.lowestMedian, b.lowestMedian) })
	for _, o := range short {
		total -= 2 * o.arrivals
		if total <= 0 {
			r.shortMedian = o.lowestMedian
			return
		}
	}
}

// countArrival counts a call that arrived. Earlier calls count less.
func (r *RunTimes) countArrival(o *operationStats) {
	o.arrivals++
	r.arrivals++
	if r.arrivals < arrivalsPerHalving {
		return
	}
	r.arrivals = 0
	for _, o := range r.operations {
		o.arrivals /= 2
	}
}

func (o *operationStats) add(run float64) {
	o.recent.add(time.Duration(run))
	if o.recent.count >= minRuns {
		o.lowestMedian = risingMin(o.lowestMedian, o.recent.median(), lowestMedianRise)
	}
	o.count++
	weight := max(runWeight, 1/float64(o.count))
	if o.unconfirmed > staleEstimates {
		weight = max(weight, staleWeight)
	}
	o.unconfirmed = 0
	diff := run - o.mean
	o.mean += weight * diff
	if diff < 0 {
		diff = -diff
	}
	if o.count > 1 {
		o.deviation += weight * (diff - o.deviation)
	}
	o.updateBaseLatency(run)
}

// updateBaseLatency tracks the lowest mean of a window of calls. The minimum of single calls would be too
// low, because run times vary without congestion too. The first windows are shorter, because a Limit
// cannot detect congestion before the base latency is known.
func (o *operationStats) updateBaseLatency(run float64) {
	o.baseSum += run
	o.baseCount++
	if o.baseCount < o.baseWindow {
		return
	}
	mean := o.baseSum / float64(o.baseCount)
	o.baseSum, o.baseCount = 0, 0
	rise := baseRise
	if o.baseWindow < maxBaseWindow {
		rise = firstBaseRise
		o.baseWindow *= 2
	}
	if o.baseLatency == 0 || mean < o.baseLatency {
		o.baseLatency = mean
	} else {
		o.baseLatency = min(mean, o.baseLatency*rise)
	}
}

// Class returns Long for an operation that was observed to run for more than 10 times the median of
// short calls, whatever its declared class, until it runs for less than 5 times; else the declared class.
// Call it once for each call.
func (r *RunTimes) Class(operation string, declared Class) Class {
	o := r.statsOf(operation)
	switch {
	case o == nil || declared == Long:
		return declared
	case o.long:
		return Long
	}
	r.countArrival(o)
	return declared
}

// Estimate returns the run time that most calls of an operation do not exceed, 0 if unknown. It falls
// slowly with each call of Estimate while no run of the operation is observed.
func (r *RunTimes) Estimate(operation string) time.Duration {
	o, ok := r.operations[operation]
	if !ok {
		return 0
	}
	o.unconfirmed++
	decay := math.Pow(staleFactor, float64(max(0, o.unconfirmed-staleEstimates)))
	return time.Duration(decay * (o.mean + 2*o.deviation))
}

// Mean returns the mean run time of an operation, 0 if unknown.
func (r *RunTimes) Mean(operation string) time.Duration {
	o, ok := r.operations[operation]
	if !ok {
		return 0
	}
	return time.Duration(o.mean)
}

// BaseLatency returns the mean run time of an operation at a server without congestion, 0 if unknown.
func (r *RunTimes) BaseLatency(operation string) time.Duration {
	o, ok := r.operations[operation]
	if !ok {
		return 0
	}
	return time.Duration(o.baseLatency)
}

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
	// the lowest median seen, because latencies include time in the queue of the server: at a
	// congested server short operations would otherwise be taken for long ones.
	longRatio  = 10
	shortRatio = 5
	// recentRuns is the number of recent calls kept of each operation.
	recentRuns = 16
	// minRuns is the number of calls of an operation before its class is corrected. It is small,
	// because each call of an operation that is wrongly taken as short holds a slot for its long run.
	minRuns = 3
	// baselineEvery is the number of calls between two computations of the short median.
	baselineEvery = 8
	// arrivedLimit is the number of calls after which earlier ones count half.
	arrivedLimit = 4096
	// runWeight is the weight of one call in the mean run time.
	runWeight = 0.05
	// windowRuns is the number of calls in one window of the usual run time.
	windowRuns = 64
	// firstWindow is the number of calls in the first window.
	firstWindow = 8
	// usualRise lets the usual run time follow an operation that has become slower.
	usualRise = 1.05
	// lowRise is the rise for each call of an operation.
	lowRise = 1.01
	// firstRise is usualRise after the first windows, whose means are less certain.
	firstRise = 1.25
	// staleAsks is the number of estimates given without a new call of the operation, after which
	// each further estimate is staleFactor lower. Otherwise an estimate that was learned under
	// congestion could refuse all calls of an operation, and then never be corrected.
	staleAsks   = 16
	staleFactor = 0.9
	// staleWeight is the weight of the next call then, which says more than what was learned before.
	staleWeight = 0.5
	// operationLimit bounds the memory for operations whose names come from callers.
	operationLimit = 4096
)

// Runs learns the run times of the operations of one service.
type Runs struct {
	operations map[string]*runs
	// arrived and observed count the calls that asked for their class and that ran.
	arrived  int
	observed int
	// baseline is the median run time of short calls at a server without congestion.
	baseline time.Duration
}

type runs struct {
	count   int
	arrived int
	long    bool
	mean    float64
	// spread is the mean distance from the mean.
	spread float64
	// sum is the total of the last summed run times, of a window of that many.
	sum    float64
	summed int
	window int
	usual  float64
	// asked is the number of estimates given since the last call.
	asked int
	// recent are its last run times.
	recent ring
	// low is the lowest median of them, which rises slowly.
	low time.Duration
}

// NewRuns returns a Runs that knows no operation.
func NewRuns() *Runs { return &Runs{operations: map[string]*runs{}} }

// Observe records the run time of a call: the time from sending to the complete answer.
func (r *Runs) Observe(operation string, run time.Duration) {
	o := r.operation(operation)
	if o == nil {
		return
	}
	o.add(float64(run))
	r.observed++
	if r.observed%baselineEvery == 0 {
		r.setBaseline()
	}
	if r.baseline <= 0 || o.count < minRuns {
		return
	}
	if o.long {
		o.long = o.low >= shortRatio*r.baseline
	} else {
		o.long = o.low > longRatio*r.baseline
	}
}

// lowest returns the lower of a value and the lowest before, which rises by a factor.
func lowest(before, v time.Duration, rise float64) time.Duration {
	if before == 0 || v < before {
		return v
	}
	return min(v, time.Duration(float64(before)*rise))
}

// ring holds the last run times.
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

func (r *Runs) operation(name string) *runs {
	o, ok := r.operations[name]
	if !ok && len(r.operations) < operationLimit {
		o = &runs{window: firstWindow}
		r.operations[name] = o
	}
	return o
}

// setBaseline takes the median over the short calls that arrived, each with the run time of its
// operation. Calls that ran would be the wrong ones to count: at a server that is blocked by long
// calls, few short calls run.
func (r *Runs) setBaseline() {
	var shorts []*runs
	total := 0
	for _, o := range r.operations {
		if !o.long && o.low > 0 {
			shorts = append(shorts, o)
			total += o.arrived
		}
	}
	slices.SortFunc(shorts, func(a, b *runs) int { return cmp.Compare(a.low, b.low) })
	for _, o := range shorts {
		total -= 2 * o.arrived
		if total <= 0 {
			r.baseline = o.low
			return
		}
	}
}

// arrive counts a call. Older calls count less.
func (r *Runs) arrive(o *runs) {
	o.arrived++
	r.arrived++
	if r.arrived < arrivedLimit {
		return
	}
	r.arrived = 0
	for _, o := range r.operations {
		o.arrived /= 2
	}
}

func (o *runs) add(run float64) {
	o.recent.add(time.Duration(run))
	if o.recent.count >= minRuns {
		o.low = lowest(o.low, o.recent.median(), lowRise)
	}
	o.count++
	weight := max(runWeight, 1/float64(o.count))
	if o.asked > staleAsks {
		weight = max(weight, staleWeight)
	}
	o.asked = 0
	distance := run - o.mean
	o.mean += weight * distance
	if distance < 0 {
		distance = -distance
	}
	if o.count > 1 {
		o.spread += weight * (distance - o.spread)
	}
	o.addUsual(run)
}

// addUsual keeps the lowest mean of a window of calls. Single fast calls would make it too low,
// because run times vary without congestion too. The first windows are shorter, because a Limit
// cannot tell congestion before the usual run time is known.
func (o *runs) addUsual(run float64) {
	o.sum += run
	o.summed++
	if o.summed < o.window {
		return
	}
	mean := o.sum / float64(o.summed)
	o.sum, o.summed = 0, 0
	rise := usualRise
	if o.window < windowRuns {
		rise = firstRise
		o.window *= 2
	}
	if o.usual == 0 || mean < o.usual {
		o.usual = mean
	} else {
		o.usual = min(mean, o.usual*rise)
	}
}

// Class returns Long for an operation that was observed to run over 10 times the median of short
// calls, whatever its declared class; else the declared class. It is called once for each call.
func (r *Runs) Class(operation string, declared Class) Class {
	o := r.operation(operation)
	switch {
	case o == nil || declared == Long:
		return declared
	case o.long:
		return Long
	}
	r.arrive(o)
	return declared
}

// Estimate returns the run time that most calls of an operation do not exceed, 0 where nothing is
// known. It falls slowly while it is asked for and no call of the operation is observed.
func (r *Runs) Estimate(operation string) time.Duration {
	o, ok := r.operations[operation]
	if !ok {
		return 0
	}
	o.asked++
	fresh := math.Pow(staleFactor, float64(max(0, o.asked-staleAsks)))
	return time.Duration(fresh * (o.mean + 2*o.spread))
}

// Mean returns the mean run time of an operation, 0 where nothing is known.
func (r *Runs) Mean(operation string) time.Duration {
	o, ok := r.operations[operation]
	if !ok {
		return 0
	}
	return time.Duration(o.mean)
}

// Usual returns the mean run time of an operation at a server without congestion, 0 where it is
// not known.
func (r *Runs) Usual(operation string) time.Duration {
	o, ok := r.operations[operation]
	if !ok {
		return 0
	}
	return time.Duration(o.usual)
}

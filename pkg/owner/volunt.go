package owner

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// rebalanceInterval is the time between two planning passes for rebalancing.
	rebalanceInterval = time.Second
	// maxLoadAge is the age above which a load report is ignored.
	maxLoadAge = 10 * time.Second
	// loadTimeConstant is the time constant of the moving average of rates. The counts of a single
	// heartbeat interval are so low that their noise alone would move spans.
	loadTimeConstant = 5 * time.Second
	// negligibleRate is the rate in calls per second at or below which the previous average of a
	// span or key is dropped.
	negligibleRate = 0.01
	// hotKeyShare is the load of a key, relative to the mean load of a server, from which the key
	// gets a span of its own.
	hotKeyShare = 0.25
	// coldSpanShare is the load of a span, relative to the mean load of a span, below which it is
	// merged with a neighbour.
	coldSpanShare = 0.5
)

// rebalancing is the state for moves that balance the load, which repair nothing and can wait.
type rebalancing struct {
	// plannedAt is when the last planning pass was made.
	plannedAt time.Time
	// openedAt is when the last span opened.
	openedAt time.Time
	// periodStart and spentBudget account for the churn budget of each service.
	periodStart time.Time
	spentBudget map[assign.ServiceID]float64
	reports     map[reportKey]loadReport
}

type reportKey struct {
	service assign.ServiceID
	process assign.ProcessID
}

type loadReport struct {
	receivedAt time.Time
	spans      map[assign.Span]float64
	keys       map[uint64]float64
}

func (v *rebalancing) addReport(now time.Time, e LoadReported) {
	if v.reports == nil {
		v.reports = make(map[reportKey]loadReport)
	}
	key := reportKey{e.Service, e.Process}
	last := v.reports[key]
	if last.receivedAt.IsZero() || now.Sub(last.receivedAt) > maxLoadAge {
		v.reports[key] = loadReport{receivedAt: now, spans: e.Spans, keys: e.Keys}
		return
	}
	weight := 1 - math.Exp(-now.Sub(last.receivedAt).Seconds()/loadTimeConstant.Seconds())
	v.reports[key] = loadReport{
		receivedAt: now,
		spans:      averageSpans(last.spans, e.Spans, weight),
		keys:       averageKeys(last.keys, e.Keys, weight),
	}
}

// averageSpans returns the moving average of the rates. Spans that are no longer reported are
// dropped once their rate is negligible.
func averageSpans(last, next map[assign.Span]float64, weight float64) map[assign.Span]float64 {
	average := make(map[assign.Span]float64, len(next))
	for span, rate := range last {
		if remainder := rate * (1 - weight); remainder > negligibleRate {
			average[span] = remainder
		}
	}
	for span, rate := range next {
		average[span] += rate * weight
	}
	return average
}

// averageKeys is averageSpans for single keys.
func averageKeys(last, next map[uint64]float64, weight float64) map[uint64]float64 {
	average := make(map[uint64]float64, len(next))
	for key, rate := range last {
		if remainder := rate * (1 - weight); remainder > negligibleRate {
			average[key] = remainder
		}
	}
	for key, rate := range next {
		average[key] += rate * weight
	}
	return average
}

// load sums up the recent reports for a service. It adds them in the order of processes, because
// floating-point sums depend on the order and each run must give the same result.
func (v *rebalancing) load(now time.Time, id assign.ServiceID) (spans map[assign.Span]float64, keys map[uint64]float64) {
	spans = make(map[assign.Span]float64)
	keys = make(map[uint64]float64)
	var processes []assign.ProcessID
	for k, r := range v.reports {
		if k.service == id && now.Sub(r.receivedAt) <= maxLoadAge {
			processes = append(processes, k.process)
		}
	}
	slices.Sort(processes)
	for _, process := range processes {
		r := v.reports[reportKey{id, process}]
		for span, l := range r.spans {
			spans[span] += l
		}
		for key, l := range r.keys {
			keys[key] += l
		}
	}
	return spans, keys
}

// planService returns the next places of a service. It plans rebalancing only while all spans are
// open, so that it does not delay the repair of a loss.
func (d *Decider) planService(now time.Time, id assign.ServiceID) assign.Plan {
	holdings := d.holdings(id)
	servers := d.usableServers(id)
	left := d.budgetLeft(now, id)
	if left <= 0 || d.anyClosed(id) || !d.isSettled(now) {
		return assign.Repair(holdings, servers)
	}
	load, _ := d.rebalancing.load(now, id)
	plan := assign.Rebalance(holdings, servers, load, left)
	for _, i := range plan.Moves {
		if d.servers[holdings[i].Owner()].usable() {
			d.rebalancing.spentBudget[id] += holdings[i].Span.Share()
		}
	}
	return plan
}

// isSettled reports whether every run of a process answers and no span has opened recently. While a
// process does not answer, a span that moves away from a server without grants would stay closed
// and wait for it. A span that was just repaired should serve calls before it moves again.
func (d *Decider) isSettled(now time.Time) bool {
	if now.Sub(d.rebalancing.openedAt) < d.config.ServingLease {
		return false
	}
	return d.everyRun(func(r *run) bool { return !r.ended && now.Sub(r.answeredAt) < d.config.Silence })
}

func (d *Decider) budgetLeft(now time.Time, id assign.ServiceID) float64 {
	v := &d.rebalancing
	if v.spentBudget == nil || now.Sub(v.periodStart) >= d.config.ChurnPeriod {
		v.periodStart = now
		v.spentBudget = make(map[assign.ServiceID]float64)
	}
	budget, ok := d.churnBudgets[id]
	if !ok {
		budget = d.config.ChurnBudget
	}
	return budget - v.spentBudget[id]
}

func (d *Decider) anyClosed(id assign.ServiceID) bool {
	return slices.ContainsFunc(d.spans[id], func(s *span) bool { return !s.Open })
}

// splitAndMerge gives hot keys their own spans and merges cold neighbours. Neither changes the
// owner of a key.
func (d *Decider) splitAndMerge(now time.Time) {
	for _, id := range d.serviceIDs() {
		load, keys := d.rebalancing.load(now, id)
		total := 0.0
		for _, span := range slices.SortedFunc(maps.Keys(load), compareSpans) {
			total += load[span]
		}
		servers := len(d.usableServers(id))
		if total <= 0 || servers == 0 || d.anyClosed(id) {
			continue
		}
		d.splitHotKeys(id, keys, hotKeyShare*total/float64(servers))
		d.mergeColdSpans(id, load, total, servers)
	}
}

func compareSpans(a, b assign.Span) int {
	if a.From < b.From {
		return -1
	}
	if a.From > b.From {
		return 1
	}
	return 0
}

func (d *Decider) splitHotKeys(id assign.ServiceID, keys map[uint64]float64, minRate float64) {
	holdings := d.holdings(id)
	split := false
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if keys[key] < minRate || d.spanCount()+2 > assign.MaxSpans {
			continue
		}
		var ok bool
		holdings, ok = assign.SplitHot(holdings, key)
		split = split || ok
	}
	if split {
		d.setHoldings(id, holdings)
	}
}

func (d *Decider) mergeColdSpans(id assign.ServiceID, load map[assign.Span]float64, total float64, servers int) {
	target := assign.SpansPerServer * servers
	if len(d.spans[id]) <= target*3/2 {
		return
	}
	limit := coldSpanShare * total / float64(len(d.spans[id]))
	holdings := assign.MergeCold(d.holdings(id), load, limit, target)
	if len(holdings) < len(d.spans[id]) {
		d.setHoldings(id, holdings)
	}
}

func (d *Decider) spanCount() int {
	n := 0
	for _, spans := range d.spans {
		n += len(spans)
	}
	return n
}

// setHoldings replaces the spans of a service by others with the same owners. A new span takes the
// grant that lapses last among the spans that it overlaps.
func (d *Decider) setHoldings(id assign.ServiceID, holdings []assign.Holding) {
	spans := make([]*span, len(holdings))
	for i, h := range holdings {
		spans[i] = &span{Holding: h, service: id, mayRun: true}
		for _, old := range d.spans[id] {
			overlaps := old.Span.From <= h.Span.To && h.Span.From <= old.Span.To
			if overlaps && old.granted.Expires().After(spans[i].granted.Expires()) {
				spans[i].granted = old.granted
			}
		}
	}
	d.spans[id] = spans
	d.tableDirty = true
	d.record.dirty = true
}

package owner

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// planInterval is the time between two looks for voluntary moves.
	planInterval = time.Second
	// loadAge is the age above which a load report no longer counts.
	loadAge = 10 * time.Second
	// loadMemory is the time over which rates are averaged. The counts of one heartbeat interval are
	// so small that their noise alone would move spans.
	loadMemory = 5 * time.Second
	// negligibleRate is the rate in calls a second below which an average is forgotten.
	negligibleRate = 0.01
	// hotShare is the load of a key, over the mean load of a server, from which the key gets a span
	// of its own.
	hotShare = 0.25
	// coldShare is the load over the mean load of a span below which neighbours are joined.
	coldShare = 0.5
)

// voluntary is what the decider knows for moves that could wait.
type voluntary struct {
	// planned is the time of the last look for moves.
	planned time.Time
	// opened is the time at which the last span opened.
	opened time.Time
	// since and spent account for the churn budget of each service.
	since   time.Time
	spent   map[assign.ServiceID]float64
	reports map[reporter]report
}

type reporter struct {
	service assign.ServiceID
	process assign.ProcessID
}

type report struct {
	at    time.Time
	spans map[assign.Span]float64
	keys  map[uint64]float64
}

func (v *voluntary) report(now time.Time, e LoadReported) {
	if v.reports == nil {
		v.reports = make(map[reporter]report)
	}
	from := reporter{e.Service, e.Process}
	last := v.reports[from]
	if last.at.IsZero() || now.Sub(last.at) > loadAge {
		v.reports[from] = report{at: now, spans: e.Spans, keys: e.Keys}
		return
	}
	weight := 1 - math.Exp(-now.Sub(last.at).Seconds()/loadMemory.Seconds())
	v.reports[from] = report{
		at:    now,
		spans: blendSpans(last.spans, e.Spans, weight),
		keys:  blendKeys(last.keys, e.Keys, weight),
	}
}

// blendSpans returns the moving average of the rates. Spans that are gone are forgotten.
func blendSpans(last, next map[assign.Span]float64, weight float64) map[assign.Span]float64 {
	blended := make(map[assign.Span]float64, len(next))
	for span, rate := range last {
		if rest := rate * (1 - weight); rest > negligibleRate {
			blended[span] = rest
		}
	}
	for span, rate := range next {
		blended[span] += rate * weight
	}
	return blended
}

// blendKeys is blendSpans for single keys.
func blendKeys(last, next map[uint64]float64, weight float64) map[uint64]float64 {
	blended := make(map[uint64]float64, len(next))
	for key, rate := range last {
		if rest := rate * (1 - weight); rest > negligibleRate {
			blended[key] = rest
		}
	}
	for key, rate := range next {
		blended[key] += rate * weight
	}
	return blended
}

// load adds up the recent reports for a service, in the order of processes so that the sums are
// the same in each run.
func (v *voluntary) load(now time.Time, id assign.ServiceID) (spans map[assign.Span]float64, keys map[uint64]float64) {
	spans = make(map[assign.Span]float64)
	keys = make(map[uint64]float64)
	var from []assign.ProcessID
	for k, r := range v.reports {
		if k.service == id && now.Sub(r.at) <= loadAge {
			from = append(from, k.process)
		}
	}
	slices.Sort(from)
	for _, process := range from {
		r := v.reports[reporter{id, process}]
		for span, l := range r.spans {
			spans[span] += l
		}
		for key, l := range r.keys {
			keys[key] += l
		}
	}
	return spans, keys
}

// planService returns the next places of a service. It looks for voluntary moves while all spans
// are open, so that moves of one kind do not delay the repair of a loss.
func (d *Decider) planService(now time.Time, id assign.ServiceID) assign.Plan {
	holdings := d.holdings(id)
	servers := d.listedServers(id)
	left := d.budgetLeft(now, id)
	if left <= 0 || d.anyClosed(id) || !d.settled(now) {
		return assign.Repair(holdings, servers)
	}
	load, _ := d.voluntary.load(now, id)
	plan := assign.Rebalance(holdings, servers, load, left)
	for _, i := range plan.Moves {
		if d.servers[holdings[i].Owner()].usable() {
			d.voluntary.spent[id] += holdings[i].Span.Share()
		}
	}
	return plan
}

// settled reports whether every run of a process answers and no span has opened lately. While a
// process does not answer, a move away from a server without grants would wait for it with the span
// closed. A span that was just repaired should serve before it moves again.
func (d *Decider) settled(now time.Time) bool {
	if now.Sub(d.voluntary.opened) < d.config.ServingLease {
		return false
	}
	return d.everyRun(func(r *run) bool { return !r.ended && now.Sub(r.heard) < d.config.Silence })
}

func (d *Decider) budgetLeft(now time.Time, id assign.ServiceID) float64 {
	v := &d.voluntary
	if v.spent == nil || now.Sub(v.since) >= d.config.ChurnPeriod {
		v.since = now
		v.spent = make(map[assign.ServiceID]float64)
	}
	budget, ok := d.budgets[id]
	if !ok {
		budget = d.config.ChurnBudget
	}
	return budget - v.spent[id]
}

func (d *Decider) anyClosed(id assign.ServiceID) bool {
	return slices.ContainsFunc(d.spans[id], func(s *span) bool { return !s.Open })
}

// reshape gives hot keys spans of their own and joins cold neighbours. Neither moves a key.
func (d *Decider) reshape(now time.Time) {
	for _, id := range d.serviceIDs() {
		load, keys := d.voluntary.load(now, id)
		total := 0.0
		for _, span := range slices.SortedFunc(maps.Keys(load), compareSpans) {
			total += load[span]
		}
		servers := len(d.listedServers(id))
		if total <= 0 || servers == 0 || d.anyClosed(id) {
			continue
		}
		d.splitHot(id, keys, hotShare*total/float64(servers))
		d.joinCold(id, load, total, servers)
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

func (d *Decider) splitHot(id assign.ServiceID, keys map[uint64]float64, least float64) {
	holdings := d.holdings(id)
	split := false
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if keys[key] < least || d.spanCount()+2 > assign.MaxSpans {
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

func (d *Decider) joinCold(id assign.ServiceID, load map[assign.Span]float64, total float64, servers int) {
	target := assign.SpansPerServer * servers
	if len(d.spans[id]) <= target*3/2 {
		return
	}
	limit := coldShare * total / float64(len(d.spans[id]))
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

// setHoldings replaces the spans of a service by others with the same owners. The grants of a new
// span are counted by the latest of those it covers.
func (d *Decider) setHoldings(id assign.ServiceID, holdings []assign.Holding) {
	spans := make([]*span, len(holdings))
	for i, h := range holdings {
		spans[i] = &span{Holding: h, service: id, used: true}
		for _, old := range d.spans[id] {
			covers := old.Span.From <= h.Span.To && h.Span.From <= old.Span.To
			if covers && old.granted.Expires().After(spans[i].granted.Expires()) {
				spans[i].granted = old.granted
			}
		}
	}
	d.spans[id] = spans
	d.dirty = true
	d.record.dirty = true
}

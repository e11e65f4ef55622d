package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// zipfExponent and zipfKeys describe the mix of keys: the most frequent key gets about 14% of
	// all calls.
	zipfExponent = 1.1
	zipfKeys     = 10_000
	// zipfRate is the number of calls a second to the service with owners.
	zipfRate = 1500
	// rebalanceTime is the length of the Zipf load, in which the decider rebalances.
	rebalanceTime = 20 * time.Second
	// balanceServers is the number of servers of the service without owners.
	balanceServers = 6
	// balanceDemand is the demand on the service without owners, as a multiple of its capacity.
	balanceDemand = 0.15
	// reportInterval is the time between two readings of the reported loads.
	reportInterval = time.Second
	// A share of heavyShare of the calls runs heavyFactor times longer, so that equal numbers of calls are not
	// equal work.
	heavyShare  = 0.05
	heavyFactor = 10
)

// imbalance measures the ratio of the busiest server's load to the mean load.
func imbalance(s *session) error {
	if err := s.imbalanceOwned(); err != nil {
		return err
	}
	return s.imbalanceShared()
}

// imbalanceOwned compares the servers of the service with owners before and after rebalancing under
// a Zipf mix of keys.
func (s *session) imbalanceOwned() error {
	f, err := s.start(shape{user: s.options.User, processes: s.options.Processes})
	if err != nil {
		return err
	}
	defer f.Stop()
	s.warm(f)
	service := exclusiveService(f)
	kinds := []callKind{{operation: firstOperation(service, conf.Short), run: workTime, timeout: shortTimeout}}
	before := fleetOwners(f, service)
	t := newTally(shortTimeout)
	zipf := rand.NewZipf(s.random(zipfKeys), zipfExponent, 1, zipfKeys-1)
	l := s.newLoad(variant{"samphiredrum", newEntrySender(f, service, kinds)}, t, constant(zipfRate), rebalanceTime, 0)
	l.plan = func(*rand.Rand) (int, string) { return 0, fmt.Sprintf("key-%d", zipf.Uint64()) }
	started := time.Now()
	used := l.run()
	ended := time.Now()
	first := runsBetween(f, service, started, started.Add(s.options.Duration))
	last := runsBetween(f, service, ended.Add(-s.options.Duration), ended)
	after := fleetOwners(f, service)
	s.print("service=%s keys=zipf exponent=%.1f rate=%d servers=%d busiest-over-mean-first=%.3f busiest-over-mean-last=%.3f runs-first=%d runs-last=%d moved-share=%.4f rebalance-time=%s ran=%d of=%d cores=%.2f limit=%s",
		service.ID, zipfExponent, zipfRate, len(service.Servers), busiestOverMean(runsByServer(first), len(service.Servers)),
		busiestOverMean(runsByServer(last), len(service.Servers)), len(first), len(last), movedShare(before, after), rebalanceTime, t.ran, t.offered, used.cores(), used.limit())
	return nil
}

// fleetOwners returns the spans of a service and their owners as the first entry process reports them.
func fleetOwners(f *fleet.Fleet, service *conf.Service) []assign.Holding {
	var list []assign.Holding
	for _, o := range f.Node(f.Names()[0]).Status().Owners {
		if o.Service == service.ID {
			span := assign.Span{From: o.From, To: o.To}
			list = append(list, assign.Holding{Place: assign.Place{Span: span, Owners: []assign.ServerID{o.Server}}, Open: o.Open})
		}
	}
	return list
}

// movedShare estimates the share of the hash space that changed its owner from a sample of hashes.
func movedShare(before, after []assign.Holding) float64 {
	a := &assign.Table{Services: map[assign.ServiceID][]assign.Holding{churnService: before}}
	b := &assign.Table{Services: map[assign.ServiceID][]assign.Holding{churnService: after}}
	hashes := make([]uint64, zipfKeys)
	for i := range hashes {
		hashes[i] = assign.Hash(fmt.Sprintf("sample-%d", i))
	}
	return moved(hashes, &spanTable{table: a}, &spanTable{table: b})
}

// runsBetween returns the runs of a service that started between from (inclusive) and to (exclusive).
func runsBetween(f *fleet.Fleet, service *conf.Service, from, to time.Time) []stand.Run {
	var list []stand.Run
	for _, r := range f.History() {
		if r.Service == string(service.ID) && r.Start >= from.UnixMicro() && r.Start < to.UnixMicro() {
			list = append(list, r)
		}
	}
	return list
}

func runsByServer(runs []stand.Run) map[assign.ServerID]float64 {
	byServer := make(map[assign.ServerID]float64)
	for _, r := range runs {
		byServer[assign.ServerID(r.Server)]++
	}
	return byServer
}

// imbalanceShared compares load balancing policies for a service whose keys have no owners.
func (s *session) imbalanceShared() error {
	f, err := s.start(shape{user: s.options.User, processes: s.options.Processes, servers: balanceServers})
	if err != nil {
		return err
	}
	defer f.Stop()
	s.warm(f)
	service := sharedService(f)
	kinds := []callKind{
		{operation: firstOperation(service, conf.Short), run: workTime, timeout: shortTimeout},
		{operation: firstOperation(service, conf.Short), run: heavyFactor * workTime, timeout: shortTimeout},
	}
	rate := balanceDemand * float64(service.Slots*len(service.Servers)) / workTime.Seconds()
	least := newLeastReported(s.ctx, service.Servers)
	var group conc.WaitGroup
	group.Go(least.run)
	for _, v := range []variant{
		{"samphiredrum", newEntrySender(f, service, kinds)},
		{"random", newDirectSender(service, kinds, &randomChoice{servers: service.Servers, random: s.random(zipfKeys)}, 0)},
		{"round-robin", newDirectSender(service, kinds, &roundRobin{servers: service.Servers}, 0)},
		{"least-reported-load", newDirectSender(service, kinds, least, 0)},
	} {
		s.measureImbalance(f, service, v, rate)
	}
	least.cancel()
	group.Wait()
	return nil
}

func (s *session) measureImbalance(f *fleet.Fleet, service *conf.Service, v variant, rate float64) {
	light, heavy := newTally(shortTimeout), newTally(shortTimeout)
	l := s.newLoad(v, light, constant(rate), s.options.Duration, 0)
	l.tallies = []*tally{light, heavy}
	l.plan = func(r *rand.Rand) (int, string) {
		if r.Float64() < heavyShare {
			return 1, evenKey(r)
		}
		return 0, evenKey(r)
	}
	started := time.Now()
	used := l.run()
	runs := runsBetween(f, service, started, time.Now())
	s.print("service=%s way=%s servers=%d rate=%.0f heavy-share=%.2f busiest-over-mean-runs=%.3f busiest-over-mean-work=%.3f mean-of-busiest-over-mean-in-%s=%.3f ran=%d of=%d p50=%s p99=%s cores=%.2f limit=%s",
		service.ID, v.name, len(service.Servers), rate, heavyShare, busiestOverMean(runsByServer(runs), len(service.Servers)),
		busiestOverMean(workByServer(runs), len(service.Servers)), workWindow, meanWindowImbalance(runs, len(service.Servers)),
		light.ran+heavy.ran, light.offered+heavy.offered, light.percentile(50), light.percentile(99), used.cores(), used.limit())
}

// workWindow is the length of the time windows in which the work of servers is compared.
const workWindow = 50 * time.Millisecond

func workByServer(runs []stand.Run) map[assign.ServerID]float64 {
	byServer := make(map[assign.ServerID]float64)
	for _, r := range runs {
		byServer[assign.ServerID(r.Server)] += float64(max(0, r.End-r.Start))
	}
	return byServer
}

// meanWindowImbalance returns the ratio of the busiest server's work to the mean work, averaged over all windows
// with runs.
func meanWindowImbalance(runs []stand.Run, servers int) float64 {
	windows := make(map[int64][]stand.Run)
	for _, r := range runs {
		index := r.Start / workWindow.Microseconds()
		windows[index] = append(windows[index], r)
	}
	sum := 0.0
	for _, list := range windows {
		sum += busiestOverMean(workByServer(list), servers)
	}
	return sum / float64(max(1, len(windows)))
}

// randomChoice chooses servers at random with equal probability.
type randomChoice struct {
	servers []assign.Server
	mu      sync.Mutex
	random  *rand.Rand
}

func (r *randomChoice) pick() assign.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servers[r.random.IntN(len(r.servers))]
}

// leastReported chooses the server whose health endpoint last reported the lowest load.
type leastReported struct {
	ctx     context.Context
	cancel  context.CancelFunc
	servers []assign.Server
	clients []*back.Client
	mu      sync.Mutex
	best    int
}

func newLeastReported(ctx context.Context, servers []assign.Server) *leastReported {
	l := &leastReported{servers: servers}
	l.ctx, l.cancel = context.WithCancel(ctx)
	for _, s := range servers {
		l.clients = append(l.clients, back.NewClient(string(s.ID), s.Address, back.Options{Connections: 1}))
	}
	return l
}

func (l *leastReported) pick() assign.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servers[l.best]
}

// run reads the reported loads at each reportInterval until the context ends, then closes the clients.
func (l *leastReported) run() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for l.ctx.Err() == nil {
		l.read()
		select {
		case <-l.ctx.Done():
		case <-ticker.C:
		}
	}
	for _, c := range l.clients {
		c.Close()
	}
}

// read asks every server for its load and chooses the lowest. A server that does not answer is not chosen, unless
// none answers.
func (l *leastReported) read() {
	best, least := 0, -1.0
	for i, c := range l.clients {
		h, err := c.Health(l.ctx)
		if err == nil && (least < 0 || h.Load < least) {
			best, least = i, h.Load
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.best = best
}

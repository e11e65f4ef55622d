package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
)

const (
	// halfLoad is the demand, in capacities, at which added latency is defined.
	halfLoad = 0.5
	// latencyTarget is the target for the latency that an entry process adds, 99th percentile.
	latencyTarget = time.Millisecond
	// coresTarget and bytesTarget are the targets for the control cost of one node: 1.4% of a core
	// and 3 KB/s.
	coresTarget = 0.014
	bytesTarget = 3000
	// faultTime is how long platform calls are counted after a fault.
	faultTime = 4 * time.Second
)

// processCounts are the fleet sizes at which the control cost is measured.
var processCounts = []int{3, 5, 7, 11, 21, 33}

// tableServers are the numbers of servers with owners at which the control cost is measured. Each
// has 16 spans at the start.
var tableServers = []int{4, 8, 16, 32, 64}

const (
	// sizedServers is the number of servers with owners while the number of processes varies.
	sizedServers = 4
	// sizedProcesses is the number of processes while the number of servers varies.
	sizedProcesses = 5
)

// cost compares calls through entry processes with direct calls at half load, in turns, so that
// both see the same machine.
func cost(s *session) error {
	f, err := s.start(shape{user: s.options.User, processes: s.options.Processes, servers: s.options.Servers})
	if err != nil {
		return err
	}
	defer f.Stop()
	s.warm(f)
	service := shared(f)
	kinds := []kind{{operation: operation(service, conf.Short), run: workTime, timeout: goodDeadline}}
	rate := halfLoad * s.capacity(f, service, kinds)
	idle := takeUsage()
	s.pause(s.options.Duration)
	rest := takeUsage().since(idle)
	s.print("part=call idle-cores=%.3f", rest.cores())
	owned := exclusive(f)
	ownedKinds := []kind{{operation: operation(owned, conf.Short), run: workTime, timeout: goodDeadline}}
	for n := range s.options.Repeats {
		straight := s.callRun(way{"direct", newDirect(service, kinds, &rotation{servers: service.Servers}, 0)}, rate, rest, n)
		through := s.callRun(way{"entry", newEntries(f, service, kinds)}, rate, rest, n)
		s.compare("without-owners", straight, through)
		keyed := s.callRun(way{"entry-with-owners", newEntries(f, owned, ownedKinds)}, rate, rest, n)
		s.compare("with-owners", straight, keyed)
	}
	return nil
}

// callFigures are the figures of one call.
type callFigures struct {
	cpu         time.Duration
	allocations float64
	bytes       float64
	p50, p99    time.Duration
	ran         int
}

// callRun offers a load and returns the cost of one call above that of the idle fleet.
func (s *session) callRun(w way, rate float64, rest usage, n int) callFigures {
	t := newTally(goodDeadline)
	l := s.load(w, t, constant(rate), s.options.Duration, uint64(n))
	used := l.run()
	calls := float64(max(1, t.ran))
	share := used.elapsed.Seconds() / rest.elapsed.Seconds()
	c := callFigures{
		cpu:         time.Duration((used.cpu.Seconds() - share*rest.cpu.Seconds()) / calls * float64(time.Second)),
		allocations: (float64(used.allocations) - share*float64(rest.allocations)) / calls,
		bytes:       (float64(used.bytes) - share*float64(rest.bytes)) / calls,
		p50:         t.percentile(50),
		p99:         t.percentile(99),
		ran:         t.ran,
	}
	reason, count := t.commonReason()
	s.print("part=call run=%d way=%s rate=%.0f ran=%d of=%d cpu-per-call=%s allocations-per-call=%.1f bytes-per-call=%.0f p50=%s p99=%s cores=%.2f generator-late-p99=%s limit=%s reason=%q reason-count=%d",
		n, w.name, rate, t.ran, t.offered, c.cpu.Round(time.Microsecond), c.allocations, c.bytes, c.p50, c.p99, used.cores(), used.late, used.limit(), reason, count)
	return c
}

// compare prints what an entry process adds to a direct call.
func (s *session) compare(name string, straight, through callFigures) {
	if through.ran == 0 || straight.ran == 0 {
		s.print("part=call service=%s measured=false", name)
		return
	}
	added := through.p99 - straight.p99
	s.print("part=call service=%s added-cpu=%s added-allocations=%.1f added-bytes=%.0f added-p50=%s added-p99=%s target=%s met=%t",
		name, (through.cpu - straight.cpu).Round(time.Microsecond), through.allocations-straight.allocations,
		through.bytes-straight.bytes, through.p50-straight.p50, added, latencyTarget, added < latencyTarget)
}

// control measures idle fleets of several sizes, and how the cost rises with the size.
func control(s *session) error {
	var byProcesses, byServers []controlFigures
	own, err := s.idle(s.full())
	if err != nil {
		return err
	}
	s.print("part=control size=own cores-per-process=%.5f cores-target=%.3f met=%t bytes-per-second-per-process=%.0f bytes-target=%d met=%t",
		own.cores, coresTarget, own.cores <= coresTarget, own.written, bytesTarget, own.written <= bytesTarget)
	for _, n := range processCounts {
		c, err := s.idle(shape{user: s.options.User, processes: n, servers: 1, exclusive: sizedServers})
		if err != nil {
			return err
		}
		byProcesses = append(byProcesses, c)
	}
	for _, n := range tableServers {
		c, err := s.idle(shape{user: s.options.User, processes: sizedProcesses, servers: 1, exclusive: n})
		if err != nil {
			return err
		}
		byServers = append(byServers, c)
	}
	s.slopes("entry-processes", byProcesses, func(c controlFigures) float64 { return float64(c.processes) })
	s.slopes("servers", byServers, func(c controlFigures) float64 { return float64(c.servers) })
	return nil
}

// controlFigures are the control costs of one process of an idle fleet. The stand-ins' part of the
// exchanges is included.
type controlFigures struct {
	processes, servers int
	// cores is CPU in cores, written are bytes a second.
	cores, written float64
	// platform are calls a second of the whole fleet at rest, fault those after a loss.
	platform, fault float64
}

// idle measures an idle fleet, then a loss in it.
func (s *session) idle(sh shape) (controlFigures, error) {
	f, err := s.start(sh)
	if err != nil {
		return controlFigures{}, err
	}
	defer f.Stop()
	s.warm(f)
	c := controlFigures{processes: sh.processes, servers: len(exclusive(f).Servers)}
	calls := platformCalls(f)
	before := takeUsage()
	s.pause(s.options.Duration)
	used := takeUsage().since(before)
	n := float64(c.processes)
	c.cores = used.cores() / n
	c.written = float64(used.written) / used.elapsed.Seconds() / n
	c.platform = float64(platformCalls(f)-calls) / used.elapsed.Seconds()
	c.fault = s.faultCalls(f)
	spans := len(f.Node(f.Names()[0]).Status().Owners)
	s.print("part=control entry-processes=%d servers-with-owners=%d spans=%d cores-per-process=%.5f bytes-per-second-per-process=%.0f platform-calls-per-second=%.2f platform-calls-per-second-in-fault=%.2f",
		c.processes, c.servers, spans, c.cores, c.written, c.platform, c.fault)
	return c, nil
}

// faultCalls ends the decider and an owner, and returns the platform calls a second afterwards.
func (s *session) faultCalls(f *fleet.Fleet) float64 {
	calls := platformCalls(f)
	started := time.Now()
	var group conc.WaitGroup
	group.Go(f.Backend(f.Owners()[0]).Kill)
	if name := f.Decider(); name != "" {
		group.Go((&kill{fleet: f, name: name}).run)
	}
	s.pause(faultTime)
	group.Wait()
	return float64(platformCalls(f)-calls) / time.Since(started).Seconds()
}

func platformCalls(f *fleet.Fleet) uint64 {
	total := uint64(0)
	for _, n := range f.Platform().Calls() {
		total += n
	}
	return total
}

// slopes prints the least-squares lines of the control costs over a size.
func (s *session) slopes(size string, list []controlFigures, of func(controlFigures) float64) {
	figures := []struct {
		name  string
		value func(controlFigures) float64
	}{
		{"cores-of-fleet", func(c controlFigures) float64 { return c.cores * float64(c.processes) }},
		{"bytes-per-second-of-fleet", func(c controlFigures) float64 { return c.written * float64(c.processes) }},
		{"cores-per-process", func(c controlFigures) float64 { return c.cores }},
		{"bytes-per-second-per-process", func(c controlFigures) float64 { return c.written }},
		{"platform-calls-per-second", func(c controlFigures) float64 { return c.platform }},
		{"platform-calls-per-second-in-fault", func(c controlFigures) float64 { return c.fault }},
	}
	for _, f := range figures {
		var xs, ys []float64
		for _, c := range list {
			xs = append(xs, of(c))
			ys = append(ys, f.value(c))
		}
		slope, at, fit := line(xs, ys)
		s.print("part=slope figure=%s over=%s slope=%.6g intercept=%.6g r-squared=%.3f points=%d", f.name, size, slope, at, fit, len(xs))
	}
}

// line returns the least-squares line through the points, and the share of the variance that it
// explains.
func line(xs, ys []float64) (slope, intercept, fit float64) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy, syy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
		syy += ys[i] * ys[i]
	}
	vx, vy, cov := sxx-sx*sx/n, syy-sy*sy/n, sxy-sx*sy/n
	if vx == 0 {
		return 0, sy / n, 0
	}
	slope = cov / vx
	if vy > 0 {
		fit = cov * cov / (vx * vy)
	}
	return slope, (sy - slope*sx) / n, fit
}

// evenKey returns a key under an even load.
func evenKey(r *rand.Rand) string {
	return fmt.Sprintf("key-%d", r.IntN(loadKeys))
}

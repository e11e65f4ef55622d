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
	// halfLoad is the demand, as a multiple of the capacity, at which added latency is measured.
	halfLoad = 0.5
	// latencyTarget is the limit for the latency that an entry process adds at the 99th percentile.
	latencyTarget = time.Millisecond
	// coresTarget and bytesTarget are the highest acceptable control costs of one entry process: 1.4% of a core
	// and 3 KB/s.
	coresTarget = 0.014
	bytesTarget = 3000
	// faultWindow is the time after a fault in which platform calls are counted.
	faultWindow = 4 * time.Second
)

// processCounts are the fleet sizes at which the control cost is measured.
var processCounts = []int{3, 5, 7, 11, 21, 33}

// tableServers are the numbers of servers of the service with owners at which the control cost is measured. Each
// server has 16 spans at the start.
var tableServers = []int{4, 8, 16, 32, 64}

const (
	// fixedServers is the number of servers of the service with owners while the number of processes varies.
	fixedServers = 4
	// fixedProcesses is the number of processes while the number of servers varies.
	fixedProcesses = 5
)

// cost compares calls through entry processes with direct calls at half load. It alternates between them, so that
// both run under the same conditions on the machine.
func cost(s *session) error {
	f, err := s.start(shape{user: s.options.User, processes: s.options.Processes, servers: s.options.Servers})
	if err != nil {
		return err
	}
	defer f.Stop()
	s.warm(f)
	service := sharedService(f)
	kinds := []callKind{{operation: firstOperation(service, conf.Short), run: workTime, timeout: goodDeadline}}
	rate := halfLoad * s.capacity(f, service, kinds)
	idleStart := readUsage()
	s.pause(s.options.Duration)
	idleUsage := readUsage().since(idleStart)
	s.print("part=call idle-cores=%.3f", idleUsage.cores())
	owned := exclusiveService(f)
	ownedKinds := []callKind{{operation: firstOperation(owned, conf.Short), run: workTime, timeout: goodDeadline}}
	for n := range s.options.Repeats {
		directCost := s.measureCalls(variant{"direct", newDirectSender(service, kinds, &roundRobin{servers: service.Servers}, 0)}, rate, idleUsage, n)
		entryCost := s.measureCalls(variant{"entry", newEntrySender(f, service, kinds)}, rate, idleUsage, n)
		s.printOverhead("without-owners", directCost, entryCost)
		ownedCost := s.measureCalls(variant{"entry-with-owners", newEntrySender(f, owned, ownedKinds)}, rate, idleUsage, n)
		s.printOverhead("with-owners", directCost, ownedCost)
	}
	return nil
}

// callCost holds the average resources used by one call and the latency percentiles of a run.
type callCost struct {
	cpu         time.Duration
	allocations float64
	bytes       float64
	p50, p99    time.Duration
	ran         int
}

// measureCalls offers a load and returns the cost of one call, with the usage of the idle fleet subtracted.
func (s *session) measureCalls(v variant, rate float64, idleUsage usage, n int) callCost {
	t := newTally(goodDeadline)
	l := s.newLoad(v, t, constant(rate), s.options.Duration, uint64(n))
	used := l.run()
	calls := float64(max(1, t.ran))
	share := used.elapsed.Seconds() / idleUsage.elapsed.Seconds()
	c := callCost{
		cpu:         time.Duration((used.cpu.Seconds() - share*idleUsage.cpu.Seconds()) / calls * float64(time.Second)),
		allocations: (float64(used.allocations) - share*float64(idleUsage.allocations)) / calls,
		bytes:       (float64(used.bytes) - share*float64(idleUsage.bytes)) / calls,
		p50:         t.percentile(50),
		p99:         t.percentile(99),
		ran:         t.ran,
	}
	reason, count := t.commonReason()
	s.print("part=call run=%d way=%s rate=%.0f ran=%d of=%d cpu-per-call=%s allocations-per-call=%.1f bytes-per-call=%.0f p50=%s p99=%s cores=%.2f generator-late-p99=%s limit=%s reason=%q reason-count=%d",
		n, v.name, rate, t.ran, t.offered, c.cpu.Round(time.Microsecond), c.allocations, c.bytes, c.p50, c.p99, used.cores(), used.late, used.limit(), reason, count)
	return c
}

// printOverhead prints the cost and the latency that an entry process adds to a direct call.
func (s *session) printOverhead(name string, directCost, entryCost callCost) {
	if entryCost.ran == 0 || directCost.ran == 0 {
		s.print("part=call service=%s measured=false", name)
		return
	}
	added := entryCost.p99 - directCost.p99
	s.print("part=call service=%s added-cpu=%s added-allocations=%.1f added-bytes=%.0f added-p50=%s added-p99=%s target=%s met=%t",
		name, (entryCost.cpu - directCost.cpu).Round(time.Microsecond), entryCost.allocations-directCost.allocations,
		entryCost.bytes-directCost.bytes, entryCost.p50-directCost.p50, added, latencyTarget, added < latencyTarget)
}

// control measures the control cost of idle fleets of several sizes, and how it grows with the size.
func control(s *session) error {
	var byProcesses, byServers []controlCost
	own, err := s.measureIdle(s.userShape())
	if err != nil {
		return err
	}
	s.print("part=control size=own cores-per-process=%.5f cores-target=%.3f met=%t bytes-per-second-per-process=%.0f bytes-target=%d met=%t",
		own.cores, coresTarget, own.cores <= coresTarget, own.written, bytesTarget, own.written <= bytesTarget)
	for _, n := range processCounts {
		c, err := s.measureIdle(shape{user: s.options.User, processes: n, servers: 1, exclusiveServers: fixedServers})
		if err != nil {
			return err
		}
		byProcesses = append(byProcesses, c)
	}
	for _, n := range tableServers {
		c, err := s.measureIdle(shape{user: s.options.User, processes: fixedProcesses, servers: 1, exclusiveServers: n})
		if err != nil {
			return err
		}
		byServers = append(byServers, c)
	}
	s.printSlopes("entry-processes", byProcesses, func(c controlCost) float64 { return float64(c.processes) })
	s.printSlopes("servers", byServers, func(c controlCost) float64 { return float64(c.servers) })
	return nil
}

// controlCost holds the control costs of an idle fleet. The work of the stand-ins for these exchanges is included.
type controlCost struct {
	processes, servers int
	// cores is the CPU use of one process in cores, written the bytes that it writes a second.
	cores, written float64
	// platform is the number of platform calls a second of the whole idle fleet, fault the number after a loss.
	platform, fault float64
}

// measureIdle measures an idle fleet, and then the platform calls after a loss in it.
func (s *session) measureIdle(sh shape) (controlCost, error) {
	f, err := s.start(sh)
	if err != nil {
		return controlCost{}, err
	}
	defer f.Stop()
	s.warm(f)
	c := controlCost{processes: sh.processes, servers: len(exclusiveService(f).Servers)}
	calls := platformCalls(f)
	before := readUsage()
	s.pause(s.options.Duration)
	used := readUsage().since(before)
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

// faultCalls kills the decider and an owner, and returns the platform calls a second during faultWindow.
func (s *session) faultCalls(f *fleet.Fleet) float64 {
	calls := platformCalls(f)
	started := time.Now()
	var group conc.WaitGroup
	group.Go(f.Backend(f.Owners()[0]).Kill)
	if name := f.Decider(); name != "" {
		group.Go((&processKill{fleet: f, name: name}).run)
	}
	s.pause(faultWindow)
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

// printSlopes prints the least-squares line of each control cost as a function of a size.
func (s *session) printSlopes(size string, list []controlCost, of func(controlCost) float64) {
	figures := []struct {
		name  string
		value func(controlCost) float64
	}{
		{"cores-of-fleet", func(c controlCost) float64 { return c.cores * float64(c.processes) }},
		{"bytes-per-second-of-fleet", func(c controlCost) float64 { return c.written * float64(c.processes) }},
		{"cores-per-process", func(c controlCost) float64 { return c.cores }},
		{"bytes-per-second-per-process", func(c controlCost) float64 { return c.written }},
		{"platform-calls-per-second", func(c controlCost) float64 { return c.platform }},
		{"platform-calls-per-second-in-fault", func(c controlCost) float64 { return c.fault }},
	}
	for _, f := range figures {
		var xs, ys []float64
		for _, c := range list {
			xs = append(xs, of(c))
			ys = append(ys, f.value(c))
		}
		slope, intercept, rSquared := leastSquares(xs, ys)
		s.print("part=slope figure=%s over=%s slope=%.6g intercept=%.6g r-squared=%.3f points=%d", f.name, size, slope, intercept, rSquared, len(xs))
	}
}

// leastSquares returns the least-squares line through the points, and the share of the variance that it explains
// (R squared).
func leastSquares(xs, ys []float64) (slope, intercept, rSquared float64) {
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
		rSquared = cov * cov / (vx * vy)
	}
	return slope, (sy - slope*sx) / n, rSquared
}

// evenKey returns a random key, each with the same probability.
func evenKey(r *rand.Rand) string {
	return fmt.Sprintf("key-%d", r.IntN(loadKeys))
}

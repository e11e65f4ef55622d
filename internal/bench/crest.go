package bench

import (
	"math/rand/v2"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
)

const (
	// goodDeadline is the time within which an answer counts as good.
	goodDeadline = 250 * time.Millisecond
	// workTime is how long a server works on a call.
	workTime = 2 * time.Millisecond
	// blindRetries is how often a baseline repeats a failed call.
	blindRetries = 3
	// calibration is the part of the duration that measures the capacity of the servers.
	calibration = time.Second
	// swingTime is the time in which demand changes by swingFactor.
	swingTime   = 2 * time.Second
	swingFactor = 10.0
	// swingTop is the highest demand of a swing, in capacities.
	swingTop = 2.0
	// crestTarget is the target for the goodput at twice capacity over that at capacity.
	crestTarget = 0.95
)

// demands are the demands of the experiment crest in capacities.
var demands = []float64{0.5, 1, 1.5, 2, 4}

// way is one way to send calls.
type way struct {
	name   string
	sender sender
}

// crest measures the goodput at demands below and above the capacity of a service.
func crest(s *session) error {
	f, err := s.start(shape{user: s.options.User, processes: s.options.Processes, servers: s.options.Servers})
	if err != nil {
		return err
	}
	defer f.Stop()
	s.warm(f)
	service := shared(f)
	kinds := []kind{{operation: operation(service, conf.Short), run: workTime, timeout: goodDeadline}}
	capacity := s.capacity(f, service, kinds)
	for _, w := range []way{
		{"samphiredrum", newEntries(f, service, kinds)},
		{"no-limits", newDirect(service, kinds, &rotation{servers: service.Servers}, 0)},
		{"blind-retries", newDirect(service, kinds, &rotation{servers: service.Servers}, blindRetries)},
	} {
		s.crestOf(w, string(service.ID), capacity)
	}
	owned := exclusive(f)
	ownedKinds := []kind{{operation: operation(owned, conf.Short), run: workTime, timeout: goodDeadline}}
	s.crestOf(way{"samphiredrum", newEntries(f, owned, ownedKinds)}, string(owned.ID), capacity)
	return nil
}

// warmTime lets processes learn the clocks and the health of the servers.
const warmTime = 1500 * time.Millisecond

// warm waits until a new fleet has settled.
func (s *session) warm(*fleet.Fleet) {
	s.pause(warmTime)
}

// capacity measures the calls a second that the servers of a service run when every slot is kept
// busy by calls sent straight to them. Timers of the stand-ins overshoot, so it is below
// slots/work.
func (s *session) capacity(f *fleet.Fleet, service *conf.Service, kinds []kind) float64 {
	nominal := float64(service.Slots*len(service.Servers)) / workTime.Seconds()
	closed := &closedLoop{
		sender:  newDirect(service, kinds, &rotation{servers: service.Servers}, 0),
		workers: (service.Slots + queuedWorkers) * len(service.Servers),
		length:  calibration,
	}
	before := takeUsage()
	measured := closed.rate()
	used := takeUsage().since(before)
	s.print("service=%s entry-processes=%d servers=%d slots=%d work=%s nominal-capacity=%.0f measured-capacity=%.0f cores=%.2f",
		service.ID, len(f.Names()), len(service.Servers), service.Slots, workTime, nominal, measured, used.cores())
	return measured
}

// queuedWorkers is the number of calls that wait at each server during the calibration, so that no
// slot is idle while an answer travels.
const queuedWorkers = 18

// crestOf measures one way at every demand and in a swing.
func (s *session) crestOf(w way, service string, capacity float64) {
	atCapacity := 0.0
	for i, d := range demands {
		goodput := s.demand(w, service, d, capacity, uint64(i))
		if d == 1 {
			atCapacity = goodput
		}
		if d == 2 && atCapacity > 0 {
			ratio := goodput / atCapacity
			s.print("way=%s service=%s summary=true goodput-ratio-2x-to-1x=%.3f target=%.2f met=%t",
				w.name, service, ratio, crestTarget, ratio >= crestTarget)
		}
	}
	s.swing(w, service, capacity)
}

// demand offers one constant demand and returns the goodput in calls a second.
func (s *session) demand(w way, service string, demand, capacity float64, stream uint64) float64 {
	t := newTally(goodDeadline)
	l := s.load(w, t, constant(demand*capacity), s.options.Duration, stream)
	used := l.run()
	goodput := float64(t.good) / s.options.Duration.Seconds()
	reason, n := t.commonReason()
	s.print("way=%s service=%s demand=%.1f offered=%.0f goodput=%.0f goodput-to-capacity=%.3f refused=%d failed=%d dropped=%d "+
		"p50=%s p99=%s cores=%.2f generator-late-p99=%s limit=%s reason=%q reason-count=%d",
		w.name, service, demand, float64(t.offered)/s.options.Duration.Seconds(), goodput, goodput/capacity, t.refused, t.failed, used.dropped,
		t.percentile(50), t.percentile(99), used.cores(), used.late, used.limit(), reason, n)
	return goodput
}

func (s *session) load(w way, t *tally, rate func(time.Duration) float64, length time.Duration, stream uint64) *load {
	return &load{
		ctx:     s.ctx,
		random:  s.random(stream),
		length:  length,
		rate:    rate,
		plan:    func(r *rand.Rand) (int, string) { return 0, evenKey(r) },
		sender:  w.sender,
		tallies: []*tally{t},
	}
}

// loadKeys is the number of keys under an even load.
const loadKeys = 10_000

// swing raises demand by ten times within two seconds, and lowers it again.
func (s *session) swing(w way, service string, capacity float64) {
	top := swingTop * capacity
	rate := func(elapsed time.Duration) float64 { return top * ramp(elapsed) }
	t := newTally(goodDeadline)
	length := 4 * swingTime
	used := s.load(w, t, rate, length, uint64(len(demands))).run()
	worst, possible := 1.0, 0.0
	for i, slot := range t.inSlots() {
		limit := min(float64(slot.offered), capacity*slotTime.Seconds())
		possible += limit
		// The first and the last slot are cut off.
		if i > 0 && limit > 0 && time.Duration(i)*slotTime < length-slotTime {
			worst = min(worst, float64(slot.good)/limit)
		}
	}
	s.print("way=%s service=%s swing=true from=%.2f to=%.1f within=%s offered=%d good=%d good-to-possible=%.3f worst-%s-slot=%.3f refused=%d failed=%d p50=%s p99=%s cores=%.2f limit=%s",
		w.name, service, swingTop/swingFactor, swingTop, swingTime, t.offered, t.good, float64(t.good)/possible, slotTime, worst,
		t.refused, t.failed, t.percentile(50), t.percentile(99), used.cores(), used.limit())
}

// ramp returns the demand of a swing as a share of its top: low, rising, high, falling, low, each
// part as long as swingTime, the outer ones half as long.
func ramp(elapsed time.Duration) float64 {
	low := 1 / swingFactor
	at := elapsed.Seconds() / swingTime.Seconds()
	switch {
	case at < 0.5:
		return low
	case at < 1.5:
		return low + (1-low)*(at-0.5)
	case at < 2.5:
		return 1
	case at < 3.5:
		return 1 - (1-low)*(at-2.5)
	}
	return low
}

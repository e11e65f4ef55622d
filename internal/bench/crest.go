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
	// workTime is how long a server works on a short call.
	workTime = 2 * time.Millisecond
	// blindRetries is how often the baseline without a retry budget repeats a failed call.
	blindRetries = 3
	// calibrationTime is the length of the run that measures the capacity of the servers.
	calibrationTime = time.Second
	// swingTime is the time in which demand rises or falls by swingFactor.
	swingTime   = 2 * time.Second
	swingFactor = 10.0
	// swingTop is the highest demand of a swing, as a multiple of the capacity.
	swingTop = 2.0
	// overloadTarget is the lowest acceptable ratio of the goodput at twice the capacity to that at the capacity.
	overloadTarget = 0.95
)

// demands are the demands of the experiment crest, as multiples of the capacity.
var demands = []float64{0.5, 1, 1.5, 2, 4}

// variant is the measured system or a baseline, with the sender of its calls.
type variant struct {
	name   string
	sender sender
}

// overload is the experiment crest. It measures the goodput at demands below and above the capacity of a service.
func overload(s *session) error {
	f, err := s.start(shape{user: s.options.User, processes: s.options.Processes, servers: s.options.Servers})
	if err != nil {
		return err
	}
	defer f.Stop()
	s.warm(f)
	service := sharedService(f)
	kinds := []callKind{{operation: firstOperation(service, conf.Short), run: workTime, timeout: goodDeadline}}
	capacity := s.capacity(f, service, kinds)
	for _, v := range []variant{
		{"samphiredrum", newEntrySender(f, service, kinds)},
		{"no-limits", newDirectSender(service, kinds, &roundRobin{servers: service.Servers}, 0)},
		{"blind-retries", newDirectSender(service, kinds, &roundRobin{servers: service.Servers}, blindRetries)},
	} {
		s.measureOverload(v, string(service.ID), capacity)
	}
	owned := exclusiveService(f)
	ownedKinds := []callKind{{operation: firstOperation(owned, conf.Short), run: workTime, timeout: goodDeadline}}
	s.measureOverload(variant{"samphiredrum", newEntrySender(f, owned, ownedKinds)}, string(owned.ID), capacity)
	return nil
}

// warmTime is the time in which processes learn the clocks and the health of the servers.
const warmTime = 1500 * time.Millisecond

// warm waits for warmTime after the start of a fleet.
func (s *session) warm(*fleet.Fleet) {
	s.pause(warmTime)
}

// capacity measures the calls a second that the servers of a service run when calls sent directly to them keep
// every slot busy. Timers of the stand-ins overshoot, so the result is below the nominal capacity of slots/workTime.
func (s *session) capacity(f *fleet.Fleet, service *conf.Service, kinds []callKind) float64 {
	nominal := float64(service.Slots*len(service.Servers)) / workTime.Seconds()
	closed := &closedLoop{
		sender:  newDirectSender(service, kinds, &roundRobin{servers: service.Servers}, 0),
		workers: (service.Slots + queuedWorkers) * len(service.Servers),
		length:  calibrationTime,
	}
	before := readUsage()
	measured := closed.rate()
	used := readUsage().since(before)
	s.print("service=%s entry-processes=%d servers=%d slots=%d work=%s nominal-capacity=%.0f measured-capacity=%.0f cores=%.2f",
		service.ID, len(f.Names()), len(service.Servers), service.Slots, workTime, nominal, measured, used.cores())
	return measured
}

// queuedWorkers is the number of calls that are in flight at each server beyond its slots during the calibration,
// so that no slot is idle while an answer is on its way.
const queuedWorkers = 18

// measureOverload measures one variant at every demand and in a swing.
func (s *session) measureOverload(v variant, service string, capacity float64) {
	atCapacity := 0.0
	for i, d := range demands {
		goodput := s.measureDemand(v, service, d, capacity, uint64(i))
		if d == 1 {
			atCapacity = goodput
		}
		if d == 2 && atCapacity > 0 {
			ratio := goodput / atCapacity
			s.print("way=%s service=%s summary=true goodput-ratio-2x-to-1x=%.3f target=%.2f met=%t",
				v.name, service, ratio, overloadTarget, ratio >= overloadTarget)
		}
	}
	s.measureSwing(v, service, capacity)
}

// measureDemand offers one constant demand and returns the goodput in calls a second.
func (s *session) measureDemand(v variant, service string, demand, capacity float64, stream uint64) float64 {
	t := newTally(goodDeadline)
	l := s.newLoad(v, t, constant(demand*capacity), s.options.Duration, stream)
	used := l.run()
	goodput := float64(t.good) / s.options.Duration.Seconds()
	reason, n := t.commonReason()
	s.print("way=%s service=%s demand=%.1f offered=%.0f goodput=%.0f goodput-to-capacity=%.3f refused=%d failed=%d dropped=%d "+
		"p50=%s p99=%s cores=%.2f generator-late-p99=%s limit=%s reason=%q reason-count=%d",
		v.name, service, demand, float64(t.offered)/s.options.Duration.Seconds(), goodput, goodput/capacity, t.refused, t.failed, used.dropped,
		t.percentile(50), t.percentile(99), used.cores(), used.late, used.limit(), reason, n)
	return goodput
}

func (s *session) newLoad(v variant, t *tally, rate func(time.Duration) float64, length time.Duration, stream uint64) *load {
	return &load{
		ctx:     s.ctx,
		random:  s.random(stream),
		length:  length,
		rate:    rate,
		plan:    func(r *rand.Rand) (int, string) { return 0, evenKey(r) },
		sender:  v.sender,
		tallies: []*tally{t},
	}
}

// loadKeys is the number of keys under an even load.
const loadKeys = 10_000

// measureSwing raises demand to ten times its value within two seconds, and lowers it again.
func (s *session) measureSwing(v variant, service string, capacity float64) {
	top := swingTop * capacity
	rate := func(elapsed time.Duration) float64 { return top * ramp(elapsed) }
	t := newTally(goodDeadline)
	length := 4 * swingTime
	used := s.newLoad(v, t, rate, length, uint64(len(demands))).run()
	worst, possible := 1.0, 0.0
	for i, slot := range t.sortedSlots() {
		limit := min(float64(slot.offered), capacity*slotTime.Seconds())
		possible += limit
		// The first and the last slot are only partly covered by the load.
		if i > 0 && limit > 0 && time.Duration(i)*slotTime < length-slotTime {
			worst = min(worst, float64(slot.good)/limit)
		}
	}
	s.print("way=%s service=%s swing=true from=%.2f to=%.1f within=%s offered=%d good=%d good-to-possible=%.3f worst-%s-slot=%.3f refused=%d failed=%d p50=%s p99=%s cores=%.2f limit=%s",
		v.name, service, swingTop/swingFactor, swingTop, swingTime, t.offered, t.good, float64(t.good)/possible, slotTime, worst,
		t.refused, t.failed, t.percentile(50), t.percentile(99), used.cores(), used.limit())
}

// ramp returns the demand of a swing as a share of its maximum. The demand is low, rising, high, falling and low
// again; each phase takes swingTime, the first and the last half of it.
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

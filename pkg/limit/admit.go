package limit

import "time"

const defaultLongSlots = 2

// Decision is the result of admission for one call: it may be sent, or is refused.
type Decision struct {
	ID uint64
	// Kind is KindNone for a call that may be sent now, else the reason of the refusal.
	Kind Kind
	// Wait is how long the caller should wait before it repeats a refused call.
	Wait time.Duration
}

// AdmissionConfig configures an Admission. Zero values mean the defaults.
type AdmissionConfig struct {
	Limit Bounds
	Queue QueueConfig
	// LongSlots is the largest number of Long calls in flight; 2 by default.
	LongSlots int
}

// Admission is the admission control for one server: it combines a Limit and a Queue. Gate makes it
// safe for concurrent use.
//
// The Limit applies to calls that are not Long. Long calls are bounded by LongSlots and by the
// server's tokens; if they counted too, a limit of 1 would let one of them block all others. All calls
// together never exceed the ceiling.
type Admission struct {
	limit     *Limit
	queue     *Queue
	longSlots int
	// regular is the number of Booking and Short calls in flight, long that of Long calls.
	regular int
	long    int
}

// NewAdmission returns an Admission without calls.
func NewAdmission(c AdmissionConfig) *Admission {
	if c.LongSlots <= 0 {
		c.LongSlots = defaultLongSlots
	}
	return &Admission{limit: NewLimit(c.Limit), queue: NewQueue(c.Queue), longSlots: c.LongSlots}
}

// Submit adds a call. If its Decision is not in the result, the call waits, and a later result of any
// method has it. The result may also have Decisions for other calls that waited.
func (a *Admission) Submit(now time.Time, it Item) []Decision {
	if it.missesDeadline(now) || a.waitsTooLong(now, it) {
		return []Decision{{ID: it.ID, Kind: KindDeadline, Wait: a.drainTime()}}
	}
	removed, evicted, added := a.queue.Push(it)
	if !added {
		return []Decision{{ID: it.ID, Kind: KindFull, Wait: a.drainTime()}}
	}
	var decisions []Decision
	if evicted {
		decisions = append(decisions, Decision{ID: removed.ID, Kind: KindFull, Wait: a.drainTime()})
	}
	return append(decisions, a.dispatch(now)...)
}

// waitsTooLong reports whether the call is expected to miss its deadline behind the queued calls ahead of it.
func (a *Admission) waitsTooLong(now time.Time, it Item) bool {
	if it.Deadline.IsZero() || a.canSend(it.Class) {
		return false
	}
	// One call in flight has to end first. Its remaining time is estimated by the mean of this call.
	wait := (a.queue.WorkAhead(it) + it.Mean) / time.Duration(a.limit.Allowed())
	return it.missesDeadline(now.Add(wait))
}

// canSend reports whether a call of the class may be sent now.
func (a *Admission) canSend(c Class) bool {
	if a.regular+a.long >= a.limit.Ceiling() {
		return false
	}
	if c == Long {
		return a.long < a.longSlots
	}
	return a.regular < a.limit.Allowed()
}

// drainTime estimates how long it takes to run all queued calls.
func (a *Admission) drainTime() time.Duration {
	last := Item{ID: ^uint64(0), Class: Long}
	return a.queue.WorkAhead(last) / time.Duration(a.limit.Allowed())
}

// Finish records the end of a call that was sent.
func (a *Admission) Finish(now time.Time, c Class, s Sample) []Decision {
	if c == Long {
		a.long--
		return a.dispatch(now)
	}
	s.InFlight = a.regular
	a.limit.Observe(s)
	a.regular--
	return a.dispatch(now)
}

// Cancel removes a call that waits. It reports false if the call has already been decided.
func (a *Admission) Cancel(id uint64) bool { return a.queue.Remove(id) }

// Tick refuses the waiting calls that can no longer meet their deadlines.
func (a *Admission) Tick(now time.Time) []Decision { return a.dispatch(now) }

// SetCeiling changes the number of connections.
func (a *Admission) SetCeiling(now time.Time, n int) []Decision {
	a.limit.SetCeiling(n)
	return a.dispatch(now)
}

// Load returns the present load.
func (a *Admission) Load() Load {
	return Load{InFlight: a.regular + a.long, Long: a.long, Queued: a.queue.Len(), Allowed: a.limit.Allowed()}
}

// dispatch admits the waiting calls that the limits allow, and refuses those that can no longer meet
// their deadlines.
func (a *Admission) dispatch(now time.Time) []Decision {
	var decisions []Decision
	for _, it := range a.queue.PopLate(now) {
		decisions = append(decisions, Decision{ID: it.ID, Kind: KindDeadline, Wait: a.drainTime()})
	}
	for {
		it, ok := a.queue.Pop(a.canSend(Short), a.canSend(Long))
		if !ok {
			return decisions
		}
		if it.missesDeadline(now) {
			decisions = append(decisions, Decision{ID: it.ID, Kind: KindDeadline, Wait: a.drainTime()})
			continue
		}
		if it.Class == Long {
			a.long++
		} else {
			a.regular++
		}
		decisions = append(decisions, Decision{ID: it.ID})
	}
}

package limit

import "time"

const defaultLongSlots = 2

// Decision says that a call may be sent or is refused.
type Decision struct {
	ID uint64
	// Kind is KindNone for a call that may be sent at once, else the reason of the refusal.
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

// Admission joins a Limit and a Queue for one server. Gate is its form for concurrent use.
//
// The Limit applies to calls that are not Long. Long calls are bounded by LongSlots and by the
// server's tokens; if they counted too, a limit of 1 would let one of them block all others. Both
// together never exceed the ceiling.
type Admission struct {
	limit     *Limit
	queue     *Queue
	longSlots int
	// brief and long are the calls in flight that are not Long and that are.
	brief int
	long  int
}

// NewAdmission returns an Admission without calls.
func NewAdmission(c AdmissionConfig) *Admission {
	if c.LongSlots <= 0 {
		c.LongSlots = defaultLongSlots
	}
	return &Admission{limit: NewLimit(c.Limit), queue: NewQueue(c.Queue), longSlots: c.LongSlots}
}

// Arrive handles a new call. The call is decided at once, or waits until a later result has its
// Decision. The result may also refuse other calls that waited.
func (a *Admission) Arrive(now time.Time, it Item) []Decision {
	if it.late(now) || a.tooLate(now, it) {
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

// tooLate reports whether the calls ahead leave too little time.
func (a *Admission) tooLate(now time.Time, it Item) bool {
	if it.Deadline.IsZero() || a.room(it.Class) {
		return false
	}
	// One call in flight has to end first; it is taken to be like this one.
	wait := (a.queue.Ahead(it) + it.Mean) / time.Duration(a.limit.Allowed())
	return it.late(now.Add(wait))
}

// room reports whether a call of a class may be sent.
func (a *Admission) room(c Class) bool {
	if a.brief+a.long >= a.limit.Ceiling() {
		return false
	}
	if c == Long {
		return a.long < a.longSlots
	}
	return a.brief < a.limit.Allowed()
}

// drainTime estimates how long the calls that wait need.
func (a *Admission) drainTime() time.Duration {
	last := Item{ID: ^uint64(0), Class: Long}
	return a.queue.Ahead(last) / time.Duration(a.limit.Allowed())
}

// Leave handles the end of a call that was sent.
func (a *Admission) Leave(now time.Time, c Class, s Sample) []Decision {
	if c == Long {
		a.long--
		return a.dispatch(now)
	}
	s.InFlight = a.brief
	a.limit.Observe(s)
	a.brief--
	return a.dispatch(now)
}

// Cancel removes a call that waits. It reports false where the call was decided before.
func (a *Admission) Cancel(id uint64) bool { return a.queue.Remove(id) }

// Tick refuses calls that have waited too long.
func (a *Admission) Tick(now time.Time) []Decision { return a.dispatch(now) }

// SetCeiling changes the number of connections.
func (a *Admission) SetCeiling(now time.Time, n int) []Decision {
	a.limit.SetCeiling(n)
	return a.dispatch(now)
}

// Load returns a snapshot.
func (a *Admission) Load() Load {
	return Load{InFlight: a.brief + a.long, Long: a.long, Queued: a.queue.Len(), Allowed: a.limit.Allowed()}
}

// dispatch sends what fits in the limit, and refuses what can no longer be in time.
func (a *Admission) dispatch(now time.Time) []Decision {
	var decisions []Decision
	for _, it := range a.queue.Late(now) {
		decisions = append(decisions, Decision{ID: it.ID, Kind: KindDeadline, Wait: a.drainTime()})
	}
	for {
		it, ok := a.queue.Pop(a.room(Short), a.room(Long))
		if !ok {
			return decisions
		}
		if it.late(now) {
			decisions = append(decisions, Decision{ID: it.ID, Kind: KindDeadline, Wait: a.drainTime()})
			continue
		}
		if it.Class == Long {
			a.long++
		} else {
			a.brief++
		}
		decisions = append(decisions, Decision{ID: it.ID})
	}
}

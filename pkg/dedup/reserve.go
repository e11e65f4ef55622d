package dedup

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// reserved takes over a recorder's answer.
func (b *Booking) reserved(now time.Time, e ReserveAnswered) []BookingAction {
	if e.Reserved.Attempt != b.config.Attempt {
		return nil
	}
	if b.phase == finishing || b.phase == closed {
		return b.releaseLate(now, e)
	}
	m := b.member(e.From)
	if b.phase != reserving || m == nil || e.Reserved.Generation != b.view.Bucket.Generation {
		return nil
	}
	// A granted reservation stays until this attempt ends it, so a refusal that arrives after the
	// grant was given before it.
	if m.answered && m.status == New {
		return nil
	}
	// A recorder that answers after the deadline may have forgotten an identifier whose window ended
	// meanwhile, so that it cannot vouch for this attempt any more.
	late := !now.Before(b.config.Deadline)
	if late && (e.Reserved.Status == New || e.Reserved.Status == Full) {
		return b.giveUpReserving(now, ReasonDeadline)
	}
	m.answered = true
	m.status = e.Reserved.Status
	if m.status == Finished {
		return b.conclude(now, Conclude{Outcome: Ran, Reason: ReasonRepeat, Answer: e.Reserved.Answer})
	}
	return b.progress(now)
}

// releaseLate ends a reservation that was granted after this attempt had given up.
func (b *Booking) releaseLate(now time.Time, e ReserveAnswered) []BookingAction {
	if b.outcome != NotRun || e.Reserved.Status != New {
		return nil
	}
	if m := b.member(e.From); m != nil {
		m.sent = true
		m.ended = false
		m.due = now.Add(b.config.RetryWait)
	}
	f := b.finish()
	f.Generation = e.Reserved.Generation
	return []BookingAction{SendFinish{To: e.From, Finish: f}}
}

func (b *Booking) failed(now time.Time, from assign.ProcessID) {
	if m := b.member(from); m != nil && b.phase == reserving {
		m.due = now
	}
}

// progress decides whether the reservation has succeeded or failed, and repeats what is due.
func (b *Booking) progress(now time.Time) []BookingAction {
	if !now.Before(b.config.Deadline) {
		return b.giveUpReserving(now, ReasonRecorders)
	}
	if b.complete() {
		b.phase = calling
		b.sent = true
		return []BookingAction{SendCall{}}
	}
	if c, ok := b.refused(now); ok {
		return b.conclude(now, c)
	}
	return b.reserves(now)
}

// complete reports whether all recorders of the present generation hold the reservation.
func (b *Booking) complete() bool {
	for _, m := range b.members {
		if !m.answered || m.status != New {
			return false
		}
	}
	return len(b.members) > 0
}

// refused returns the conclusion from refusals that more waiting does not change. Within the
// first RetryWait it waits for the other recorders, one of which may have the stored answer.
func (b *Booking) refused(now time.Time) (Conclude, bool) {
	if !b.allAnswered() && now.Before(b.round.Add(b.config.RetryWait)) {
		return Conclude{}, false
	}
	switch {
	case b.any(Unresolved):
		return Conclude{Outcome: Unknown, Reason: ReasonUnresolved}, true
	case b.any(Doubtful):
		return Conclude{Outcome: Unknown, Reason: ReasonDoubtful}, true
	case b.any(InProgress) && !b.firstGranted():
		return Conclude{Outcome: Unknown, Reason: ReasonInProgress, Wait: repeatWait}, b.firstAnswered()
	case b.any(Full) && b.unused():
		return Conclude{Outcome: NotRun, Reason: ReasonFull, Wait: repeatWait}, true
	}
	return Conclude{}, false
}

// unused reports whether no attempt that ended or was sent before this one began can have run the
// booking. The word of all recorders suffices. The word of one suffices where the generation was
// still the newest after this attempt began; else that recorder may have been replaced, and the
// booking run, without its knowledge.
func (b *Booking) unused() bool {
	vouched := 0
	for _, m := range b.members {
		if m.answered && (m.status == New || m.status == Full) {
			vouched++
		}
	}
	if vouched == 0 {
		return false
	}
	return vouched == len(b.members) || !b.confirmed.Before(b.began)
}

// giveUpReserving concludes without SendCall. The outcome is NotRun only where a recorder
// confirmed that no earlier attempt used the identifier and none is in progress.
func (b *Booking) giveUpReserving(now time.Time, r Reason) []BookingAction {
	c := Conclude{Outcome: Unknown, Reason: r, Wait: repeatWait}
	switch {
	case b.any(Unresolved):
		c.Reason = ReasonUnresolved
	case b.any(Doubtful):
		c.Reason = ReasonDoubtful
	case b.any(InProgress):
		c.Reason = ReasonInProgress
	case b.unused():
		c.Outcome = NotRun
	}
	return b.conclude(now, c)
}

// reserves sends the requests that are due to recorders that do not hold the reservation.
func (b *Booking) reserves(now time.Time) []BookingAction {
	var actions []BookingAction
	for i := range b.members {
		m := &b.members[i]
		if m.answered && m.status == New || now.Before(m.due) {
			continue
		}
		m.sent = true
		m.due = now.Add(b.config.RetryWait)
		actions = append(actions, SendReserve{To: m.process, Reserve: Reserve{
			Bucket:     b.view.Index,
			Generation: b.view.Bucket.Generation,
			Key:        b.config.Key,
			Attempt:    b.config.Attempt,
		}})
	}
	return actions
}

func (b *Booking) any(s Status) bool {
	for _, m := range b.members {
		if m.answered && m.status == s {
			return true
		}
	}
	return false
}

func (b *Booking) allAnswered() bool {
	for _, m := range b.members {
		if !m.answered {
			return false
		}
	}
	return true
}

func (b *Booking) firstAnswered() bool {
	return len(b.members) > 0 && b.members[0].answered && b.members[0].status != Stale
}

func (b *Booking) firstGranted() bool {
	return b.firstAnswered() && b.members[0].status == New
}

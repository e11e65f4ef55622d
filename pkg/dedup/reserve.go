package dedup

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// reserveAnswered handles a recorder's answer to Reserve.
func (b *Booking) reserveAnswered(now time.Time, e ReserveAnswered) []BookingAction {
	if e.Reserved.Attempt != b.config.Attempt {
		return nil
	}
	if b.phase == finishing || b.phase == closed {
		return b.releaseLate(now, e)
	}
	m := b.recorder(e.From)
	if b.phase != reserving || m == nil || e.Reserved.Generation != b.view.Bucket.Generation {
		return nil
	}
	// A granted reservation stays until this attempt ends it, so a refusal that arrives after the
	// grant was sent before it.
	if m.answered && m.status == New {
		return nil
	}
	// After the deadline, the recorder may have deleted an identifier whose window had ended. Its
	// answer then does not prove that the identifier was unused.
	late := !now.Before(b.config.Deadline)
	if late && (e.Reserved.Status == New || e.Reserved.Status == Full) {
		return b.failReservation(now, ReasonDeadline)
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
	if m := b.recorder(e.From); m != nil {
		m.sent = true
		m.finishAccepted = false
		m.due = now.Add(b.config.RetryWait)
	}
	f := b.finish()
	f.Generation = e.Reserved.Generation
	return []BookingAction{SendFinish{To: e.From, Finish: f}}
}

func (b *Booking) reserveFailed(now time.Time, from assign.ProcessID) {
	if m := b.recorder(from); m != nil && b.phase == reserving {
		m.due = now
	}
}

// progress checks whether the reservation has succeeded or failed, and otherwise repeats the requests
// that are due.
func (b *Booking) progress(now time.Time) []BookingAction {
	if !now.Before(b.config.Deadline) {
		return b.failReservation(now, ReasonRecorders)
	}
	if b.complete() {
		b.phase = calling
		b.sent = true
		return []BookingAction{SendCall{}}
	}
	if c, ok := b.refusal(now); ok {
		return b.conclude(now, c)
	}
	return b.sendReserves(now)
}

// complete reports whether all recorders of the current generation hold the reservation.
func (b *Booking) complete() bool {
	for _, m := range b.recorders {
		if !m.answered || m.status != New {
			return false
		}
	}
	return len(b.recorders) > 0
}

// refusal returns the conclusion if recorders refused and further answers cannot change the outcome.
// Within the first RetryWait it waits for the other recorders, one of which may have the stored
// answer.
func (b *Booking) refusal(now time.Time) (Conclude, bool) {
	if !b.allAnswered() && now.Before(b.roundStart.Add(b.config.RetryWait)) {
		return Conclude{}, false
	}
	switch {
	case b.anyStatus(Unresolved):
		return Conclude{Outcome: Unknown, Reason: ReasonUnresolved}, true
	case b.anyStatus(Doubtful):
		return Conclude{Outcome: Unknown, Reason: ReasonDoubtful}, true
	case b.anyStatus(InProgress) && !b.firstGranted():
		return Conclude{Outcome: Unknown, Reason: ReasonInProgress, Wait: callerRetryWait}, b.firstAnswered()
	case b.anyStatus(Full) && b.unused():
		return Conclude{Outcome: NotRun, Reason: ReasonFull, Wait: callerRetryWait}, true
	}
	return Conclude{}, false
}

// unused reports whether no attempt that ended or was sent before this one began can have run the
// booking. The answers of all recorders are sufficient proof. The answer of a single recorder is
// sufficient only if the generation was still the newest after this attempt began; otherwise that
// recorder may have been replaced, and the booking run, without its knowledge.
func (b *Booking) unused() bool {
	unusedAnswers := 0
	for _, m := range b.recorders {
		if m.answered && (m.status == New || m.status == Full) {
			unusedAnswers++
		}
	}
	if unusedAnswers == 0 {
		return false
	}
	return unusedAnswers == len(b.recorders) || !b.confirmed.Before(b.began)
}

// failReservation concludes without SendCall. The outcome is NotRun only if unused reports that no
// earlier attempt can have run the booking, and no recorder answered Unresolved, Doubtful or
// InProgress.
func (b *Booking) failReservation(now time.Time, r Reason) []BookingAction {
	c := Conclude{Outcome: Unknown, Reason: r, Wait: callerRetryWait}
	switch {
	case b.anyStatus(Unresolved):
		c.Reason = ReasonUnresolved
	case b.anyStatus(Doubtful):
		c.Reason = ReasonDoubtful
	case b.anyStatus(InProgress):
		c.Reason = ReasonInProgress
	case b.unused():
		c.Outcome = NotRun
	}
	return b.conclude(now, c)
}

// sendReserves sends the requests that are due to recorders that do not hold the reservation.
func (b *Booking) sendReserves(now time.Time) []BookingAction {
	var actions []BookingAction
	for i := range b.recorders {
		m := &b.recorders[i]
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

func (b *Booking) anyStatus(s Status) bool {
	for _, m := range b.recorders {
		if m.answered && m.status == s {
			return true
		}
	}
	return false
}

func (b *Booking) allAnswered() bool {
	for _, m := range b.recorders {
		if !m.answered {
			return false
		}
	}
	return true
}

func (b *Booking) firstAnswered() bool {
	return len(b.recorders) > 0 && b.recorders[0].answered && b.recorders[0].status != Stale
}

func (b *Booking) firstGranted() bool {
	return b.firstAnswered() && b.recorders[0].status == New
}

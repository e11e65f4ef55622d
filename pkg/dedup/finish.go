package dedup

import "time"

// finishAnswered handles a recorder's answer to Finish.
func (b *Booking) finishAnswered(now time.Time, e FinishAnswered) []BookingAction {
	if b.phase != finishing || e.Ended.Attempt != b.config.Attempt {
		return nil
	}
	m := b.recorder(e.From)
	if m == nil || e.Ended.Status != Accepted || e.Ended.Generation != b.view.Bucket.Generation {
		return nil
	}
	m.finishAccepted = true
	return b.sendFinishes(now)
}

// sendFinishes tells the recorders that are due how the attempt ended. It closes the Booking once all of
// them have accepted this or finishDeadline has passed.
func (b *Booking) sendFinishes(now time.Time) []BookingAction {
	var actions []BookingAction
	pending := false
	for i := range b.recorders {
		m := &b.recorders[i]
		if m.finishAccepted || !b.mustNotify(m) {
			continue
		}
		pending = true
		if now.Before(m.due) {
			continue
		}
		m.due = now.Add(b.config.RetryWait)
		actions = append(actions, SendFinish{To: m.process, Finish: b.finish()})
	}
	if pending && now.Before(b.finishDeadline) {
		return actions
	}
	b.phase = closed
	return append(actions, Close{})
}

// mustNotify reports whether a recorder may hold this attempt's reservation: it was asked, or it may
// have copied the reservation from a recorder that was asked in an earlier generation.
func (b *Booking) mustNotify(m *recorderState) bool {
	return b.sent || b.askedEarlier || m.sent
}

func (b *Booking) finish() Finish {
	return Finish{
		Bucket:     b.view.Index,
		Generation: b.view.Bucket.Generation,
		Key:        b.config.Key,
		Attempt:    b.config.Attempt,
		Outcome:    b.outcome,
		Answer:     b.answer,
	}
}

package dedup

import "time"

// finished takes over a recorder's answer to Finish.
func (b *Booking) finished(now time.Time, e FinishAnswered) []BookingAction {
	if b.phase != finishing || e.Ended.Attempt != b.config.Attempt {
		return nil
	}
	m := b.member(e.From)
	if m == nil || e.Ended.Status != Accepted || e.Ended.Generation != b.view.Bucket.Generation {
		return nil
	}
	m.ended = true
	return b.finishes(now)
}

// finishes tells the recorders that are due how the attempt ended, and closes the Booking when all
// know or the time for it is over.
func (b *Booking) finishes(now time.Time) []BookingAction {
	var actions []BookingAction
	open := false
	for i := range b.members {
		m := &b.members[i]
		if m.ended || !b.mustTell(m) {
			continue
		}
		open = true
		if now.Before(m.due) {
			continue
		}
		m.due = now.Add(b.config.RetryWait)
		actions = append(actions, SendFinish{To: m.process, Finish: b.finish()})
	}
	if open && now.Before(b.giveUp) {
		return actions
	}
	b.phase = closed
	return append(actions, Close{})
}

// mustTell reports whether a recorder may hold this attempt's reservation: it was asked, or it may
// have copied the reservation from one that was asked in an earlier generation.
func (b *Booking) mustTell(m *member) bool {
	return b.sent || b.asked || m.sent
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

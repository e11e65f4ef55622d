package dedup

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	defaultRetryWait  = 100 * time.Millisecond
	defaultFinishTime = 10 * time.Second
	// callerRetryWait is how long a caller should wait before it repeats the booking.
	callerRetryWait = time.Second
)

// HoldLimit is the maximum time between the start of a Booking and SendCall. It is far below the
// booking window, so that no reservation expires before its call is sent.
const HoldLimit = time.Minute

// BookingConfig configures a Booking. Zero durations mean the defaults.
type BookingConfig struct {
	Attempt Attempt
	Key     Key
	// Deadline is the latest time for SendCall. It is limited to HoldLimit after the start.
	Deadline time.Time
	// RetryWait is the time after which an unanswered or stale request is repeated; 100 ms by
	// default.
	RetryWait time.Duration
	// FinishTime is how long a Finish is repeated to recorders that do not answer; 10 s by default.
	FinishTime time.Duration
}

func (c BookingConfig) withDefaults(now time.Time) BookingConfig {
	if limit := now.Add(HoldLimit); c.Deadline.After(limit) {
		c.Deadline = limit
	}
	if c.RetryWait <= 0 {
		c.RetryWait = defaultRetryWait
	}
	if c.FinishTime <= 0 {
		c.FinishTime = defaultFinishTime
	}
	return c
}

type phase int

const (
	idle phase = iota
	reserving
	calling
	finishing
	closed
)

// recorderState is the state of a Booking's requests to one recorder in one generation.
type recorderState struct {
	process assign.ProcessID
	// due is the time of the next request.
	due time.Time
	// sent reports that a Reserve was sent, so that the recorder may hold the reservation.
	sent bool
	// answered reports that the recorder answered Reserve; status is its last answer.
	answered bool
	status   Status
	// finishAccepted reports that the recorder accepted Finish.
	finishAccepted bool
}

// Booking reserves one identifier at all recorders of its bucket before its call may be sent, and
// tells all of them afterwards how the booking ended.
//
// If several attempts reserve the same identifier at the same time, the first recorder in the
// table's order decides: the attempt that it accepted waits until the other attempts have released
// the other recorders; an attempt that it refused gives up.
type Booking struct {
	config    BookingConfig
	view      View
	phase     phase
	recorders []recorderState
	// roundStart is the time at which the reservation began in the current generation.
	roundStart time.Time
	// began and confirmed are the times of Begin and of the last TableConfirmed for the current
	// generation.
	began, confirmed time.Time
	// askedEarlier reports that a Reserve was sent in an earlier generation, so that a recorder may have
	// copied the reservation.
	askedEarlier bool
	sent         bool
	// outcome and answer are sent to the recorders from the phase finishing on.
	outcome        Outcome
	answer         Answer
	finishDeadline time.Time
}

// NewBooking returns a Booking that waits for Begin.
func NewBooking(now time.Time, c BookingConfig, v View) *Booking {
	return &Booking{config: c.withDefaults(now), view: v}
}

// Step handles an event.
func (b *Booking) Step(now time.Time, e BookingEvent) []BookingAction {
	switch e := e.(type) {
	case Begin:
		return b.begin(now)
	case TableChanged:
		return b.tableChanged(now, e.View)
	case TableConfirmed:
		b.tableConfirmed(e)
	case ReserveAnswered:
		return b.reserveAnswered(now, e)
	case ReserveFailed:
		b.reserveFailed(now, e.From)
	case CallEnded:
		return b.callEnded(now, e)
	case FinishAnswered:
		return b.finishAnswered(now, e)
	case Abort:
		return b.abort(now)
	case Tick:
		return b.tick(now)
	}
	return nil
}

// Sent reports whether SendCall was returned.
func (b *Booking) Sent() bool { return b.sent }

// Closed reports whether Close was returned.
func (b *Booking) Closed() bool { return b.phase == closed }

func (b *Booking) begin(now time.Time) []BookingAction {
	if b.phase != idle {
		return nil
	}
	if !b.config.Key.valid() {
		// No attempt can reserve an invalid identifier, so none has run.
		return b.conclude(now, Conclude{Outcome: NotRun, Reason: ReasonIdentifier})
	}
	b.phase = reserving
	b.began = now
	b.startRound(now)
	return b.progress(now)
}

// startRound discards the answers of an earlier generation and sets up the recorders of the current
// one.
func (b *Booking) startRound(now time.Time) {
	b.roundStart = now
	b.confirmed = time.Time{}
	for _, m := range b.recorders {
		b.askedEarlier = b.askedEarlier || m.sent
	}
	b.recorders = make([]recorderState, len(b.view.Bucket.Recorders))
	for i, r := range b.view.Bucket.Recorders {
		b.recorders[i] = recorderState{process: r, due: now}
	}
}

func (b *Booking) tableChanged(now time.Time, v View) []BookingAction {
	if v.Version <= b.view.Version {
		return nil
	}
	same := v.Bucket.Generation == b.view.Bucket.Generation
	b.view = v
	if same || b.phase == idle || b.phase == closed {
		return nil
	}
	b.startRound(now)
	if b.phase == finishing {
		return b.sendFinishes(now)
	}
	if b.phase == reserving {
		return b.progress(now)
	}
	return nil
}

func (b *Booking) tableConfirmed(e TableConfirmed) {
	if e.Version == b.view.Version && e.At.After(b.confirmed) {
		b.confirmed = e.At
	}
}

func (b *Booking) tick(now time.Time) []BookingAction {
	switch b.phase {
	case reserving:
		return b.progress(now)
	case finishing:
		return b.sendFinishes(now)
	default:
		return nil
	}
}

func (b *Booking) abort(now time.Time) []BookingAction {
	if b.phase != idle && b.phase != reserving {
		return nil
	}
	return b.failReservation(now, ReasonAborted)
}

func (b *Booking) callEnded(now time.Time, e CallEnded) []BookingAction {
	if b.phase != calling {
		return nil
	}
	c := Conclude{Outcome: e.Outcome, Reason: ReasonServer}
	if e.Outcome == Ran {
		c.Answer = e.Answer
		b.answer = e.Answer.trimmed()
	}
	return b.conclude(now, c)
}

// conclude answers the caller and starts to send the outcome to the recorders.
func (b *Booking) conclude(now time.Time, c Conclude) []BookingAction {
	b.outcome = NotRun
	if b.sent {
		b.outcome = c.Outcome
	}
	b.phase = finishing
	b.finishDeadline = now.Add(b.config.FinishTime)
	for i := range b.recorders {
		b.recorders[i].due = now
	}
	return append([]BookingAction{c}, b.sendFinishes(now)...)
}

// recorder returns the state of recorder p, or nil if p is not a recorder of the bucket.
func (b *Booking) recorder(p assign.ProcessID) *recorderState {
	for i := range b.recorders {
		if b.recorders[i].process == p {
			return &b.recorders[i]
		}
	}
	return nil
}

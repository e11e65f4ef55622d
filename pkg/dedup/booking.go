package dedup

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	defaultRetryWait  = 100 * time.Millisecond
	defaultFinishTime = 10 * time.Second
	// repeatWait is the wait told to a caller whose booking another attempt is running.
	repeatWait = time.Second
)

// HoldLimit is the longest time between the start of a Booking and SendCall. It is far below the
// booking window, so that no recorder forgets a reservation before its call is sent.
const HoldLimit = time.Minute

// BookingConfig configures a Booking. Zero durations mean the defaults.
type BookingConfig struct {
	Attempt Attempt
	Key     Key
	// Deadline is the latest time for SendCall. It is brought forward to HoldLimit after the start.
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

// member is a recorder as a Booking sees it in one generation.
type member struct {
	process assign.ProcessID
	// due is the time of the next request.
	due time.Time
	// sent reports that a Reserve was sent, so that the recorder may hold the reservation.
	sent bool
	// answered reports that status is the last answer to Reserve.
	answered bool
	status   Status
	// ended reports that the recorder accepted Finish.
	ended bool
}

// Booking reserves one identifier at all recorders of its bucket before its call may be sent, and
// tells all of them how it ended.
//
// The first recorder in the table's order decides between attempts that reserve the same
// identifier at the same time: the attempt it accepted waits for the others to release the other
// recorders; an attempt it refused gives up.
type Booking struct {
	config  BookingConfig
	view    View
	phase   phase
	members []member
	// round is the time at which the reservation began in the present generation.
	round time.Time
	// began and confirmed are the times of Begin and of the last TableConfirmed for the present
	// generation.
	began, confirmed time.Time
	// asked reports that a Reserve was sent in an earlier generation, so that a recorder may have
	// copied the reservation.
	asked bool
	sent  bool
	// outcome and answer are told to the recorders from the phase finishing on.
	outcome Outcome
	answer  Answer
	giveUp  time.Time
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
		return b.change(now, e.View)
	case TableConfirmed:
		b.confirm(e)
	case ReserveAnswered:
		return b.reserved(now, e)
	case ReserveFailed:
		b.failed(now, e.From)
	case CallEnded:
		return b.callEnded(now, e)
	case FinishAnswered:
		return b.finished(now, e)
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
		// No attempt can reserve such an identifier, so none ran.
		return b.conclude(now, Conclude{Outcome: NotRun, Reason: ReasonIdentifier})
	}
	b.phase = reserving
	b.began = now
	b.startRound(now)
	return b.progress(now)
}

// startRound forgets the answers of an earlier generation.
func (b *Booking) startRound(now time.Time) {
	b.round = now
	b.confirmed = time.Time{}
	for _, m := range b.members {
		b.asked = b.asked || m.sent
	}
	b.members = make([]member, len(b.view.Bucket.Recorders))
	for i, r := range b.view.Bucket.Recorders {
		b.members[i] = member{process: r, due: now}
	}
}

func (b *Booking) change(now time.Time, v View) []BookingAction {
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
		return b.finishes(now)
	}
	if b.phase == reserving {
		return b.progress(now)
	}
	return nil
}

func (b *Booking) confirm(e TableConfirmed) {
	if e.Version == b.view.Version && e.At.After(b.confirmed) {
		b.confirmed = e.At
	}
}

func (b *Booking) tick(now time.Time) []BookingAction {
	switch b.phase {
	case reserving:
		return b.progress(now)
	case finishing:
		return b.finishes(now)
	default:
		return nil
	}
}

func (b *Booking) abort(now time.Time) []BookingAction {
	if b.phase != idle && b.phase != reserving {
		return nil
	}
	return b.giveUpReserving(now, ReasonAborted)
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

// conclude answers the caller and starts to tell the recorders.
func (b *Booking) conclude(now time.Time, c Conclude) []BookingAction {
	b.outcome = NotRun
	if b.sent {
		b.outcome = c.Outcome
	}
	b.phase = finishing
	b.giveUp = now.Add(b.config.FinishTime)
	for i := range b.members {
		b.members[i].due = now
	}
	return append([]BookingAction{c}, b.finishes(now)...)
}

// member returns the recorder named p, nil where it is not one.
func (b *Booking) member(p assign.ProcessID) *member {
	for i := range b.members {
		if b.members[i].process == p {
			return &b.members[i]
		}
	}
	return nil
}

package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/dedup"
)

const (
	// recorderTimeout bounds one request to a recorder.
	recorderTimeout = 300 * time.Millisecond
	// bookingTickInterval is the interval at which a booking checks its timeouts.
	bookingTickInterval = 50 * time.Millisecond
)

// Recorders sends requests to the recorders of booking identifiers. This process may be one of them.
type Recorders interface {
	Reserve(ctx context.Context, to assign.ProcessID, reserve dedup.Reserve) (dedup.Reserved, error)
	Finish(ctx context.Context, to assign.ProcessID, finish dedup.Finish) (dedup.Ended, error)
}

// reserve makes sure that a booking with an identifier runs at most once.
type reserve struct{ router *Router }

// Filter implements Filter.
func (r *reserve) Filter(ctx context.Context, c *Call, next Next) Result {
	if c.Operation.Class != conf.Booking || c.IdempotencyKey == "" {
		return next(ctx, c)
	}
	view := r.router.View()
	if r.router.config.Recorders == nil || view.Table == nil {
		return refuse(ReasonRecorder, "no recorder is known yet; repeat the booking")
	}
	bucketView, ok := dedup.ViewOf(view.Table, c.IdempotencyKey)
	if !ok {
		return refuse(ReasonRecorder, "no recorder is known yet; repeat the booking")
	}
	b := r.newBooking(c, bucketView, view, next)
	r.router.group.Go(b.run)
	return <-b.result
}

func (r *reserve) newBooking(c *Call, bucketView dedup.View, view *View, next Next) *booking {
	config := dedup.BookingConfig{
		Attempt: dedup.Attempt{
			Process:     r.router.config.Self,
			Incarnation: r.router.config.Incarnation,
			Number:      r.router.attempts.Add(1),
		},
		Key:      dedup.Key{Scope: c.Service.ID, Identifier: c.IdempotencyKey},
		Deadline: c.Deadline,
	}
	return &booking{
		router:  r.router,
		call:    c,
		next:    next,
		view:    view,
		machine: dedup.NewBooking(r.router.config.Clock.Now(), config, bucketView),
		events:  make(chan dedup.BookingEvent, 8),
		result:  make(chan Result, 1),
		done:    make(chan struct{}),
	}
}

// booking runs one booking and its requests to the recorders. It may continue after the caller got its
// result, until the recorders know the outcome.
type booking struct {
	router  *Router
	call    *Call
	next    Next
	view    *View
	machine *dedup.Booking
	events  chan dedup.BookingEvent
	result  chan Result
	done    chan struct{}
	// answer is the result of the server call, set before dedup.CallEnded is posted.
	answer  Result
	replied bool
}

func (b *booking) run() {
	defer close(b.done)
	ticker := time.NewTicker(bookingTickInterval)
	defer ticker.Stop()
	b.step(dedup.Begin{})
	for !b.machine.Closed() {
		select {
		case e := <-b.events:
			b.step(e)
		case <-b.view.replaced:
			b.view = b.router.View()
			if bucketView, ok := dedup.ViewOf(b.view.Table, b.call.IdempotencyKey); ok {
				b.step(dedup.TableChanged{View: bucketView})
			}
		case <-ticker.C:
			b.step(dedup.Tick{})
		}
	}
	if !b.replied {
		b.reply(unknown(ReasonLostAnswer, "the booking may have run; repeat it with the same Idempotency-Key"))
	}
}

func (b *booking) step(e dedup.BookingEvent) {
	for _, action := range b.machine.Step(b.router.config.Clock.Now(), e) {
		b.perform(action)
	}
}

func (b *booking) perform(action dedup.BookingAction) {
	switch a := action.(type) {
	case dedup.SendReserve:
		m := &reserveMessage{booking: b, action: a}
		b.router.group.Go(m.run)
	case dedup.SendFinish:
		m := &finishMessage{booking: b, action: a}
		b.router.group.Go(m.run)
	case dedup.SendCall:
		m := &bookingCall{booking: b}
		b.router.group.Go(m.run)
	case dedup.Conclude:
		b.reply(b.concludedResult(a))
	case dedup.Close:
	}
}

func (b *booking) reply(r Result) {
	if b.replied {
		return
	}
	b.replied = true
	b.result <- r
}

// post sends an event to the booking's goroutine unless the booking has ended.
func (b *booking) post(e dedup.BookingEvent) {
	select {
	case b.events <- e:
	case <-b.done:
	}
}

// reserveMessage is a Reserve request to one recorder.
type reserveMessage struct {
	booking *booking
	action  dedup.SendReserve
}

func (m *reserveMessage) run() {
	ctx, cancel := context.WithTimeout(context.Background(), recorderTimeout)
	defer cancel()
	reserved, err := m.booking.router.config.Recorders.Reserve(ctx, m.action.To, m.action.Reserve)
	if err != nil {
		m.booking.post(dedup.ReserveFailed{From: m.action.To})
		return
	}
	m.booking.post(dedup.ReserveAnswered{From: m.action.To, Reserved: reserved})
}

// finishMessage is a Finish request to one recorder.
type finishMessage struct {
	booking *booking
	action  dedup.SendFinish
}

func (m *finishMessage) run() {
	ctx, cancel := context.WithTimeout(context.Background(), recorderTimeout)
	defer cancel()
	ended, err := m.booking.router.config.Recorders.Finish(ctx, m.action.To, m.action.Finish)
	if err != nil {
		return
	}
	m.booking.post(dedup.FinishAnswered{From: m.action.To, Ended: ended})
}

// bookingCall runs the rest of the pipeline for a booking.
type bookingCall struct{ booking *booking }

func (m *bookingCall) run() {
	b := m.booking
	timeLeft := b.call.Deadline.Sub(b.router.config.Clock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft)
	defer cancel()
	// The booking's goroutine reads answer only after it has received the event.
	b.answer = b.next(ctx, b.call)
	b.post(dedup.CallEnded{Outcome: recordedOutcome(b.answer.Outcome), Answer: recordedAnswer(b.answer)})
}

// concludedResult returns the result for the caller.
func (b *booking) concludedResult(a dedup.Conclude) Result {
	result := refuse(ReasonRecorder, "not all recorders of the identifier answered in time; repeat the booking")
	switch a.Reason {
	case dedup.ReasonServer:
		result = b.answer
	case dedup.ReasonRepeat:
		result = recordedResult(a.Answer)
	case dedup.ReasonInProgress:
		result = unknown(ReasonRepeated, "an earlier attempt is still running; repeat later with the same Idempotency-Key")
	case dedup.ReasonUnresolved:
		result = unknown(ReasonRepeated, "an earlier attempt may have run; look the booking up")
	case dedup.ReasonDoubtful:
		result = unknown(ReasonForgotten, "whether the identifier was used is not remembered; look the booking up")
	case dedup.ReasonIdentifier:
		result = refuse(ReasonMalformed, "send an Idempotency-Key that is neither empty nor too long")
	case dedup.ReasonFull:
		result = refuse(ReasonOverload, "too many bookings are remembered; repeat the booking later")
	case dedup.ReasonDeadline:
		result = refuse(ReasonDeadline, "repeat the booking with more time")
	case dedup.ReasonRecorders, dedup.ReasonAborted:
	}
	// The state machine decides whether the booking may have run. If no recorder answered, the outcome is
	// unknown even for an attempt that was not sent.
	if a.Reason != dedup.ReasonServer && a.Reason != dedup.ReasonRepeat {
		result = withOutcome(result, a.Outcome)
	}
	if a.Wait > 0 {
		result.RetryAfter = a.Wait
	}
	return result
}

func withOutcome(r Result, o dedup.Outcome) Result {
	switch o {
	case dedup.NotRun:
		r.Outcome = OutcomeNotRun
	case dedup.Unknown:
		r.Outcome = OutcomeUnknown
		r.Status = http.StatusGatewayTimeout
	case dedup.Ran:
		r.Outcome = OutcomeRan
	}
	return r
}

func recordedOutcome(o Outcome) dedup.Outcome {
	switch o {
	case OutcomeRan:
		return dedup.Ran
	case OutcomeUnknown:
		return dedup.Unknown
	case OutcomeNotRun:
		return dedup.NotRun
	}
	return dedup.Unknown
}

// recordedAnswer returns the answer in the form that recorders store. They store no bodies over
// dedup.BodyLimit.
func recordedAnswer(r Result) dedup.Answer {
	answer := dedup.Answer{Status: r.Status}
	if len(r.Body) > dedup.BodyLimit {
		answer.Omitted = true
		return answer
	}
	answer.Body = r.Body
	for _, h := range r.Headers {
		if h.Name == "Content-Type" {
			answer.Headers = append(answer.Headers, dedup.Header{Name: h.Name, Value: h.Value})
		}
	}
	return answer
}

// recordedResult returns the result of a repeated booking from the answer that the recorders stored.
func recordedResult(a dedup.Answer) Result {
	result := Result{Outcome: OutcomeRan, Status: a.Status, Body: a.Body}
	if a.Omitted {
		result.Remedy = "the booking ran; its answer was too large to keep, look it up"
		result.Status = http.StatusOK
		result.Body = nil
	}
	for _, h := range a.Headers {
		result.Headers = append(result.Headers, back.Header{Name: h.Name, Value: h.Value})
	}
	return result
}

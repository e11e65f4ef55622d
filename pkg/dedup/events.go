package dedup

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// RecorderEvent is an event of a Recorder: TableApplied, ChunkReceived or Tick.
//
//sumtype:decl
type RecorderEvent interface{ recorderEvent() }

// RecorderAction is an action of a Recorder: SendAsk.
//
//sumtype:decl
type RecorderAction interface{ recorderAction() }

// TableApplied gives the Recorder a table that a majority of the electors holds. Versions that are
// not newer than the last one are ignored.
type TableApplied struct {
	Version uint64
	Buckets []assign.Bucket
}

// ChunkReceived gives the Recorder a chunk that answers a SendAsk.
type ChunkReceived struct {
	Chunk Chunk
}

// Tick is a timer event: entries expire, and unanswered requests are repeated.
type Tick struct{}

// SendAsk requests a chunk of a bucket from To, which calls Recorder.Export. A lost request or
// answer needs no event: the Recorder repeats the request.
type SendAsk struct {
	To  assign.ProcessID
	Ask Ask
}

func (TableApplied) recorderEvent()  {}
func (ChunkReceived) recorderEvent() {}
func (Tick) recorderEvent()          {}
func (SendAsk) recorderAction()      {}

// BookingEvent is an event of a Booking: Begin, TableChanged, TableConfirmed, ReserveAnswered,
// ReserveFailed, CallEnded, FinishAnswered, Abort or Tick.
//
//sumtype:decl
type BookingEvent interface{ bookingEvent() }

// BookingAction is an action of a Booking: SendReserve, SendCall, SendFinish, Conclude or Close.
//
//sumtype:decl
type BookingAction interface{ bookingAction() }

// Begin starts a Booking.
type Begin struct{}

// TableChanged gives a Booking a table that a majority of the electors holds.
type TableChanged struct {
	View View
}

// TableConfirmed reports that the table of the given version was still the decider's newest at the
// time At or later. At is a time of this process's clock, which the decider echoed in its heartbeat.
// Without this event a Booking answers Unknown instead of NotRun when a recorder does not answer.
type TableConfirmed struct {
	Version uint64
	At      time.Time
}

// ReserveAnswered gives a Booking the answer of a recorder to SendReserve.
type ReserveAnswered struct {
	From     assign.ProcessID
	Reserved Reserved
}

// ReserveFailed reports that the request or the answer of a SendReserve was lost. The Booking
// repeats the request on the next Tick. The event is optional: without it, the Booking repeats the
// request after BookingConfig.RetryWait.
type ReserveFailed struct {
	From assign.ProcessID
}

// CallEnded reports how the call that SendCall allowed ended. NotRun must be proven: the first byte
// was never written, the server refused the call, or a cancellation confirmed that it did not run.
type CallEnded struct {
	Outcome Outcome
	Answer  Answer
}

// FinishAnswered gives a Booking the answer of a recorder to SendFinish.
type FinishAnswered struct {
	From  assign.ProcessID
	Ended Ended
}

// Abort ends a Booking before its call is sent, for example when the caller disconnected or the
// process lost its serving lease. It is ignored after SendCall.
type Abort struct{}

// SendReserve asks To to reserve the identifier.
type SendReserve struct {
	To      assign.ProcessID
	Reserve Reserve
}

// SendCall allows the call to be sent, once, if the process still holds its serving lease. It is
// valid only at the time of the Step that returned it and must not be carried out later. CallEnded
// must follow.
type SendCall struct{}

// SendFinish tells To how the attempt ended.
type SendFinish struct {
	To     assign.ProcessID
	Finish Finish
}

// Conclude is the answer to the caller. It is returned once for each Booking.
type Conclude struct {
	Outcome Outcome
	Reason  Reason
	// Answer is set if Outcome is Ran.
	Answer Answer
	// Wait is how long the caller should wait before it repeats the booking, 0 if it should not
	// repeat it.
	Wait time.Duration
}

// Close reports that the Booking has nothing left to do and can be dropped. Late answers may still
// be given to Step, which then releases the reservations that they granted.
type Close struct{}

func (Begin) bookingEvent()           {}
func (TableChanged) bookingEvent()    {}
func (TableConfirmed) bookingEvent()  {}
func (ReserveAnswered) bookingEvent() {}
func (ReserveFailed) bookingEvent()   {}
func (CallEnded) bookingEvent()       {}
func (FinishAnswered) bookingEvent()  {}
func (Abort) bookingEvent()           {}
func (Tick) bookingEvent()            {}
func (SendReserve) bookingAction()    {}
func (SendCall) bookingAction()       {}
func (SendFinish) bookingAction()     {}
func (Conclude) bookingAction()       {}
func (Close) bookingAction()          {}

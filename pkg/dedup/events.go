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

// TableApplied gives the Recorder a table that a majority of the electors holds. Older versions
// than the last are ignored.
type TableApplied struct {
	Version uint64
	Buckets []assign.Bucket
}

// ChunkReceived gives the Recorder the answer to a SendAsk.
type ChunkReceived struct {
	Chunk Chunk
}

// Tick lets time pass: entries expire, unanswered requests are repeated.
type Tick struct{}

// SendAsk requests a chunk of a bucket from To, with Recorder.Export there. A lost request or
// answer needs no event: the Recorder repeats it.
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

// TableConfirmed says that the table of the given version was still the decider's newest at At or
// later. At is in this process's clock: the timestamp that the decider echoed in its heartbeat.
// Without this event a Booking answers Unknown instead of NotRun when a recorder does not answer.
type TableConfirmed struct {
	Version uint64
	At      time.Time
}

// ReserveAnswered is the answer of a recorder to SendReserve.
type ReserveAnswered struct {
	From     assign.ProcessID
	Reserved Reserved
}

// ReserveFailed is a SendReserve whose request or answer was lost. The Booking repeats it on the
// next Tick. It may be left out: the Booking also repeats requests by time.
type ReserveFailed struct {
	From assign.ProcessID
}

// CallEnded says how the call ended that SendCall allowed. NotRun must be proven: the first byte
// was never written, the server refused it, or a cancellation confirmed it.
type CallEnded struct {
	Outcome Outcome
	Answer  Answer
}

// FinishAnswered is the answer of a recorder to SendFinish.
type FinishAnswered struct {
	From  assign.ProcessID
	Ended Ended
}

// Abort ends a Booking before its call is sent, for example when the caller has gone or the
// process lost its serving lease. It is ignored after SendCall.
type Abort struct{}

// SendReserve asks To to reserve.
type SendReserve struct {
	To      assign.ProcessID
	Reserve Reserve
}

// SendCall allows the call to be sent, once, if the process still holds its serving lease. It is
// valid only at the time of the Step that returned it; the owner must not keep it for later.
// CallEnded must follow.
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
	// Answer is set for Ran.
	Answer Answer
	// Wait is how long the caller should wait before it repeats the booking, 0 where it should not.
	Wait time.Duration
}

// Close says that the Booking has nothing left to do and can be dropped. Late answers after it may
// still be given to Step, which then releases reservations that arrived too late.
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

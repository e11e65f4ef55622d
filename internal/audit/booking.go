package audit

import (
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"

	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/stand"
)

// CheckBookings checks the history of each booking identifier against a sequential model. It
// returns one fault for each booking whose operations have no order that meets these rules:
//
//   - at most one run starts, and only after the call of the attempt that it belongs to;
//   - an attempt with the outcome not-run has no run, neither before nor after its answer;
//   - an attempt with the outcome ran returns after the only run has ended. A run that the server
//     itself stopped counts as ended, because the server answers it with an error of its own. A
//     killed run does not count;
//   - an attempt with the outcome unknown may start the run at any time after its call, or never.
//
// Attempts need Booking, RequestID, Outcome, Called and Returned. Attempts without a booking, and
// runs that belong to none of the attempts, are ignored.
func CheckBookings(runs []stand.Run, attempts []Attempt) []Fault {
	byRequest := make(map[string][]stand.Run)
	for _, r := range runs {
		byRequest[callerRequestID(r)] = append(byRequest[callerRequestID(r)], r)
	}
	histories := make(map[string]*bookingHistory)
	var order []*bookingHistory
	for _, a := range attempts {
		if a.Booking == "" {
			continue
		}
		h := histories[a.Booking]
		if h == nil {
			h = &bookingHistory{booking: a.Booking}
			histories[a.Booking] = h
			order = append(order, h)
		}
		h.add(a, byRequest[a.RequestID])
	}
	var faults []Fault
	for _, h := range order {
		if !porcupine.CheckOperations(bookingModel, h.operations) {
			faults = append(faults, h.fault())
		}
	}
	return faults
}

// bookingHistory is the history of one booking identifier.
type bookingHistory struct {
	booking    string
	operations []porcupine.Operation
	// callOutcomes are the outcomes that callers received, runOutcomes the outcomes of the runs.
	callOutcomes, runOutcomes []string
	// ranDespiteNotRun is the request of an attempt that ran although its outcome was not-run, "" if there is none.
	ranDespiteNotRun string
}

// add adds an attempt and its runs to the history.
func (h *bookingHistory) add(a Attempt, runs []stand.Run) {
	called, returned := a.Called.UnixMicro(), a.Returned.UnixMicro()
	h.callOutcomes = append(h.callOutcomes, a.Outcome)
	h.operations = append(h.operations, point(called, bookingCalled{a.RequestID}))
	switch a.Outcome {
	case caller.Ran:
		h.operations = append(h.operations, interval(called, returned, answeredRan{}))
	case caller.NotRun:
		h.operations = append(h.operations, interval(called, returned, answeredNotRun{a.RequestID}))
		if len(runs) > 0 {
			h.ranDespiteNotRun = a.RequestID
		}
	}
	for _, r := range runs {
		h.operations = append(h.operations, point(r.Start, runStarted{a.RequestID}))
		h.runOutcomes = append(h.runOutcomes, r.Outcome)
		if r.Outcome != stand.RunRunning && r.Outcome != stand.RunKilled {
			h.operations = append(h.operations, point(r.End, runEnded{a.RequestID}))
		}
	}
}

// fault returns the fault to report for a history without a valid order.
func (h *bookingHistory) fault() Fault {
	detail := fmt.Sprintf("booking=%s told=%s runs=%d ended=%s",
		h.booking, strings.Join(h.callOutcomes, ","), len(h.runOutcomes), strings.Join(h.runOutcomes, ","))
	switch {
	case len(h.runOutcomes) > 1:
		return Fault{AtMostOnce, detail}
	case h.ranDespiteNotRun != "":
		return Fault{NotRun, detail + " request=" + h.ranDespiteNotRun}
	default:
		return Fault{NotLost, detail + " order=none"}
	}
}

// Operations on one booking identifier.
type (
	bookingCalled  struct{ request string }
	answeredRan    struct{}
	answeredNotRun struct{ request string }
	runStarted     struct{ request string }
	runEnded       struct{ request string }
)

// bookingState is the state of one booking identifier.
type bookingState struct {
	// called are the requests that were sent, notRun the requests that got the outcome not-run.
	called, notRun set
	// runRequest is the request that the only run belongs to, "" before the run starts.
	runRequest string
	ended      bool
}

// bookingModel is the sequential model of one booking identifier.
var bookingModel = porcupine.Model{
	Init: func() any { return bookingState{} },
	Step: func(state, input, _ any) (bool, any) { return state.(bookingState).step(input) },
}

// step reports whether the operation is possible in the state, and returns the state after it.
func (s bookingState) step(input any) (bool, any) {
	switch in := input.(type) {
	case bookingCalled:
		s.called = s.called.with(in.request)
		return true, s
	case runStarted:
		possible := s.runRequest == "" && s.called.has(in.request) && !s.notRun.has(in.request)
		s.runRequest = in.request
		return possible, s
	case runEnded:
		possible := s.runRequest == in.request
		s.ended = true
		return possible, s
	case answeredRan:
		return s.ended, s
	case answeredNotRun:
		s.notRun = s.notRun.with(in.request)
		return s.runRequest != in.request, s
	}
	return false, s
}

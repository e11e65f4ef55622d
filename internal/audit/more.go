package audit

import (
	"fmt"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// differingAnswers returns a fault for each answer to a booking that differs from the first answer.
func differingAnswers(attempts []Attempt) []Fault {
	var faults []Fault
	first := make(map[string]Attempt)
	for _, a := range attempts {
		if a.Booking == "" || a.Outcome != caller.Ran || a.Answer == "" {
			continue
		}
		f, ok := first[a.Booking]
		if !ok {
			first[a.Booking] = a
			continue
		}
		if f.Answer != a.Answer {
			faults = append(faults, Fault{SameAnswer, fmt.Sprintf(
				"booking=%s first=%s answer=%q second=%s answer=%q", a.Booking, f.RequestID, f.Answer, a.RequestID, a.Answer)})
		}
	}
	return faults
}

// Leaving returns a fault for each run that a leaving server started more than bound after from, the
// time at which its leaving was announced.
func Leaving(runs []stand.Run, server assign.ServerID, from time.Time, bound time.Duration) []Fault {
	var faults []Fault
	for _, r := range runs {
		delay := time.UnixMicro(r.Start).Sub(from)
		if r.Server == string(server) && delay > bound {
			faults = append(faults, Fault{LeavingServer, fmt.Sprintf(
				"server=%s request=%s after=%s bound=%s", server, r.RequestID, delay.Round(time.Millisecond), bound)})
		}
	}
	return faults
}

// Cuts returns a fault for each call whose connection ended without an answer. Calls to an entry
// process that was killed are exempt, because only a planned stop must not interrupt calls.
func Cuts(attempts []Attempt, killed map[assign.ProcessID]bool) []Fault {
	var faults []Fault
	for _, a := range attempts {
		if a.Cut && !killed[a.Entry] {
			faults = append(faults, Fault{Uninterrupted, fmt.Sprintf(
				"request=%s entry=%s reason=%q", a.RequestID, a.Entry, a.Reason)})
		}
	}
	return faults
}

// Package audit checks a recorded history for broken promises. A history consists of the runs that
// backend servers recorded and the outcomes that callers received.
//
// Check, Leaving and Cuts compare records directly. CheckBookings, CheckConfigs and
// CheckOwners check that a history is linearizable with respect to a sequential model of one
// booking identifier, of one team's configuration or of the owner of one key. They split the
// history by identifier, team, process and key first, because the cost of a check can grow
// exponentially with the number of concurrent operations in it.
//
// All times of a history must come from one wall clock that is not stepped while the history is
// recorded. Times are compared in microseconds. Two operations with the same time are concurrent.
//
// # Usage
//
//	faults := audit.Check(fleet.History(), attempts)
//	faults = append(faults, audit.CheckBookings(fleet.History(), attempts)...)
//	faults = append(faults, audit.CheckOwners(fleet.History())...)
//	faults = append(faults, audit.CheckConfigs(writes, reads, 3*time.Second)...)
//	for _, f := range faults {
//		fmt.Println(f)
//	}
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

//go:generate enumer -type=Promise -transform=kebab -output=promise_enumer.go

// Promise is one of the promises that a history can break.
type Promise int

const (
	// SoleOwner means that a key has at most one owning server at any time.
	SoleOwner Promise = iota
	// WholeAnswer means that a caller gets the complete answer to its own request.
	WholeAnswer
	// NotRun means that a call with the outcome not-run was not run by any server.
	NotRun
	// AtMostOnce means that a booking runs at most once.
	AtMostOnce
	// NotLost means that a call with the outcome ran was run by a server.
	NotLost
	// SameAnswer means that each retry of a booking gets the answer of the booking's only run.
	SameAnswer
	// LeavingServer means that a leaving server starts no run after a time limit, see Leaving.
	LeavingServer
	// Uninterrupted means that a planned stop of an entry process interrupts no call, see Cuts.
	Uninterrupted
	// KeptConfig means that an accepted configuration is not lost and never reverts, see CheckConfigs.
	KeptConfig
	// ConfigInForce means that an accepted configuration is in force at every entry process after a
	// time limit, see CheckConfigs.
	ConfigInForce
)

// Attempt is one call, a first attempt or a retry, as its caller recorded it.
type Attempt struct {
	// RequestID is unique for each attempt.
	RequestID string
	// Booking is the identifier of the booking that the attempt belongs to, "" for a lookup.
	Booking string
	// Outcome is one of the outcomes in package caller.
	Outcome string
	// Reason is why the call failed, as the caller received it, "" if the call ran.
	Reason string
	// Own reports that the request identifier in the answer belongs to the same booking or lookup.
	Own bool
	// Answer is the body of the answer. If it is "", SameAnswer is not checked for the attempt.
	Answer string
	// Entry is the entry process that the call was sent to. Cut reports that the connection ended
	// without an answer. Only the function Cuts uses these two fields.
	Entry assign.ProcessID
	Cut   bool
	// Called is a time before the call was sent, Returned a time after its answer arrived. Both are
	// read from the wall clock of the machine that the servers run on. Only CheckBookings uses them.
	Called   time.Time
	Returned time.Time
}

// Fault describes a broken promise.
type Fault struct {
	Promise Promise
	// Detail identifies the runs and attempts that break the promise, as key=value pairs.
	Detail string
}

// String returns the fault as one line of key=value pairs.
func (f Fault) String() string {
	return fmt.Sprintf("promise=%s %s", f.Promise, f.Detail)
}

// Check returns each violation of SoleOwner, AtMostOnce, NotRun, WholeAnswer, NotLost and SameAnswer.
func Check(runs []stand.Run, attempts []Attempt) []Fault {
	faults := fenceOverlaps(runs)
	byRequest := make(map[string][]stand.Run, len(runs))
	for _, r := range runs {
		id := callerRequestID(r)
		byRequest[id] = append(byRequest[id], r)
	}
	faults = append(faults, repeatedRuns(byRequest, attempts)...)
	faults = append(faults, wrongOutcomes(byRequest, attempts)...)
	return append(faults, differingAnswers(attempts)...)
}

// callerRequestID returns the part of a run's request identifier that the caller chose. Entry
// processes append "~" and a suffix to it.
func callerRequestID(r stand.Run) string {
	id, _, _ := strings.Cut(r.RequestID, "~")
	return id
}

// fenceOverlaps returns a fault for each run of a key that overlaps a run of another server under a
// higher fence, and for each fence that two servers used.
func fenceOverlaps(runs []stand.Run) []Fault {
	byKey := make(map[string][]stand.Run)
	for _, r := range runs {
		if r.KeyHash != "" {
			key := r.Service + " " + r.KeyHash
			byKey[key] = append(byKey[key], r)
		}
	}
	var faults []Fault
	for key, list := range byKey {
		slices.SortFunc(list, func(a, b stand.Run) int {
			return cmp.Or(cmp.Compare(a.Fence, b.Fence), cmp.Compare(a.Start, b.Start))
		})
		faults = append(faults, keyOverlaps(key, list)...)
	}
	slices.SortFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Detail, b.Detail) })
	return faults
}

// keyOverlaps returns the faults of one key, whose runs are sorted by fence. It compares each run only with
// the run under a lower fence that ended last: a run that starts after that end overlaps none of the
// runs under lower fences.
func keyOverlaps(key string, list []stand.Run) []Fault {
	var faults []Fault
	var latest, earlier stand.Run
	for i, r := range list {
		if i > 0 && r.Fence != list[i-1].Fence {
			earlier = latest
		}
		if i > 0 && r.Fence == list[i-1].Fence && r.Server != list[i-1].Server {
			faults = append(faults, Fault{SoleOwner, fmt.Sprintf("key=%q fence=%d servers=%s,%s", key, r.Fence, list[i-1].Server, r.Server)})
		}
		if earlier.Server != "" && earlier.Server != r.Server && endTime(earlier) > r.Start {
			faults = append(faults, Fault{SoleOwner, fmt.Sprintf(
				"key=%q server=%s fence=%d until=%d server=%s fence=%d from=%d",
				key, earlier.Server, earlier.Fence, endTime(earlier), r.Server, r.Fence, r.Start)})
		}
		if latest.Server == "" || endTime(r) > endTime(latest) {
			latest = r
		}
	}
	return faults
}

// endTime returns the end of a run. A run that is still running has no end, which is the largest
// int64.
func endTime(r stand.Run) int64 {
	if r.End == 0 && r.Outcome == stand.RunRunning {
		return 1<<63 - 1
	}
	return r.End
}

// repeatedRuns returns a fault for each booking that ran more than once.
func repeatedRuns(byRequest map[string][]stand.Run, attempts []Attempt) []Fault {
	var faults []Fault
	byBooking := make(map[string][]stand.Run)
	var order []string
	for _, a := range attempts {
		if a.Booking == "" {
			continue
		}
		if _, ok := byBooking[a.Booking]; !ok {
			order = append(order, a.Booking)
		}
		byBooking[a.Booking] = append(byBooking[a.Booking], byRequest[a.RequestID]...)
	}
	for _, b := range order {
		if runs := byBooking[b]; len(runs) > 1 {
			faults = append(faults, Fault{AtMostOnce, fmt.Sprintf(
				"booking=%s runs=%d first=%s/%s second=%s/%s", b, len(runs),
				runs[0].Server, runs[0].RequestID, runs[1].Server, runs[1].RequestID)})
		}
	}
	return faults
}

// wrongOutcomes returns a fault for each attempt whose outcome contradicts the recorded runs.
func wrongOutcomes(byRequest map[string][]stand.Run, attempts []Attempt) []Fault {
	ran := make(map[string]bool)
	for _, a := range attempts {
		if a.Booking != "" && len(byRequest[a.RequestID]) > 0 {
			ran[a.Booking] = true
		}
	}
	var faults []Fault
	for _, a := range attempts {
		runs := byRequest[a.RequestID]
		switch {
		case a.Outcome == caller.NotRun && len(runs) > 0:
			faults = append(faults, Fault{NotRun, fmt.Sprintf("request=%s server=%s", a.RequestID, runs[0].Server)})
		case a.Outcome == caller.Ran && !a.Own:
			faults = append(faults, Fault{WholeAnswer, "request=" + a.RequestID})
		case a.Outcome == caller.Ran && len(runs) == 0 && !ran[a.Booking]:
			faults = append(faults, Fault{NotLost, "request=" + a.RequestID})
		}
	}
	return faults
}

// Package audit checks recorded histories against the promises: what each backend server ran
// against what each caller was told.
//
// Check, Leaving and Cuts compare records by rules of their own. CheckBookings, CheckConfigs and
// CheckOwners check that a history is linearizable with respect to a sequential model of one
// booking identifier, of one team's configuration and of the owner of one key. They split the
// history by identifier, team, process and key first, because the cost of a check can grow
// exponentially with the number of concurrent operations in it.
//
// All times of one history must come from one wall clock that does not step while the history is
// recorded. Times are compared in microseconds, and two operations with the same time may have
// happened in either order.
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
	// SoleOwner is that a key has at most one owning server at any time.
	SoleOwner Promise = iota
	// WholeAnswer is that a caller gets the complete answer to its own request.
	WholeAnswer
	// NotRun is that a call which was refused as not run was not run.
	NotRun
	// AtMostOnce is that a booking runs at most once.
	AtMostOnce
	// NotLost is that a call whose caller was told that it ran did run.
	NotLost
	// SameAnswer is that a repeated booking gets the answer of the one run.
	SameAnswer
	// LeavingServer is that a leaving server gets no new work after a bound, see Leaving.
	LeavingServer
	// Uninterrupted is that a planned stop cuts no call, see Cuts.
	Uninterrupted
	// KeptConfig is that an accepted configuration is not lost and never reverts, see CheckConfigs.
	KeptConfig
	// ConfigInForce is that an accepted configuration is in force everywhere after a bound, see
	// CheckConfigs.
	ConfigInForce
)

// Attempt is one call as its caller saw it.
type Attempt struct {
	// RequestID is unique for each attempt.
	RequestID string
	// Booking names the booking that the attempt belongs to, "" for a lookup.
	Booking string
	// Outcome is one of the outcomes of package caller.
	Outcome string
	// Reason is what the caller was told where the call did not run.
	Reason string
	// Own reports that the answer names a request of the same booking or lookup.
	Own bool
	// Answer is the body of the answer. Where it is "", SameAnswer is not checked.
	Answer string
	// Entry is the entry process that the call was sent to, and Cut reports that its connection
	// ended without an answer. Cuts needs both.
	Entry assign.ProcessID
	Cut   bool
	// Called is the time before the call was sent, and Returned the time after its answer came, by
	// the wall clock of the machine that the servers run on. Only CheckBookings needs them.
	Called   time.Time
	Returned time.Time
}

// Fault is a broken promise.
type Fault struct {
	Promise Promise
	// Detail names the runs and attempts that show it.
	Detail string
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("promise=%s %s", f.Promise, f.Detail)
}

// Check returns every broken promise in the history.
func Check(runs []stand.Run, attempts []Attempt) []Fault {
	faults := owners(runs)
	byRequest := make(map[string][]stand.Run, len(runs))
	for _, r := range runs {
		id := requestOf(r)
		byRequest[id] = append(byRequest[id], r)
	}
	faults = append(faults, bookings(byRequest, attempts)...)
	faults = append(faults, answers(byRequest, attempts)...)
	return append(faults, repeats(attempts)...)
}

// requestOf returns the caller's part of a run's request identifier.
func requestOf(r stand.Run) string {
	id, _, _ := strings.Cut(r.RequestID, "~")
	return id
}

// owners finds runs of a key under an older fence that went on after a run under a newer one had
// started, and fences that two servers used.
func owners(runs []stand.Run) []Fault {
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
		faults = append(faults, overlaps(key, list)...)
	}
	slices.SortFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Detail, b.Detail) })
	return faults
}

// overlaps compares the runs of one key, sorted by fence. The latest end of all earlier fences is
// enough to compare with.
func overlaps(key string, list []stand.Run) []Fault {
	var faults []Fault
	var latest, before stand.Run
	for i, r := range list {
		if i > 0 && r.Fence != list[i-1].Fence {
			before = latest
		}
		if i > 0 && r.Fence == list[i-1].Fence && r.Server != list[i-1].Server {
			faults = append(faults, Fault{SoleOwner, fmt.Sprintf("key=%q fence=%d servers=%s,%s", key, r.Fence, list[i-1].Server, r.Server)})
		}
		if before.Server != "" && before.Server != r.Server && end(before) > r.Start {
			faults = append(faults, Fault{SoleOwner, fmt.Sprintf(
				"key=%q server=%s fence=%d until=%d server=%s fence=%d from=%d",
				key, before.Server, before.Fence, end(before), r.Server, r.Fence, r.Start)})
		}
		if latest.Server == "" || end(r) > end(latest) {
			latest = r
		}
	}
	return faults
}

// end returns the time of a run's last work. A run that has not ended may still work.
func end(r stand.Run) int64 {
	if r.End == 0 && r.Outcome == stand.RunRunning {
		return 1<<63 - 1
	}
	return r.End
}

// bookings finds bookings that ran more than once.
func bookings(byRequest map[string][]stand.Run, attempts []Attempt) []Fault {
	var faults []Fault
	ran := make(map[string][]stand.Run)
	var order []string
	for _, a := range attempts {
		if a.Booking == "" {
			continue
		}
		if _, ok := ran[a.Booking]; !ok {
			order = append(order, a.Booking)
		}
		ran[a.Booking] = append(ran[a.Booking], byRequest[a.RequestID]...)
	}
	for _, b := range order {
		if runs := ran[b]; len(runs) > 1 {
			faults = append(faults, Fault{AtMostOnce, fmt.Sprintf(
				"booking=%s runs=%d first=%s/%s second=%s/%s", b, len(runs),
				runs[0].Server, runs[0].RequestID, runs[1].Server, runs[1].RequestID)})
		}
	}
	return faults
}

// answers compares what callers were told with what ran.
func answers(byRequest map[string][]stand.Run, attempts []Attempt) []Fault {
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

package demo

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/samphiredrum/samphiredrum/internal/audit"
	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// drainedServer is the server that is drained during the demo and the time at which that began.
type drainedServer struct {
	server assign.ServerID
	from   time.Time
}

// drainServer drains a server and marks it as leaving in the platform's list of VMs.
func (r *run) drainServer(ctx context.Context) {
	owners := r.fleet.Owners()
	id := owners[len(owners)-1]
	r.fleet.Backend(id).Drain()
	r.fleet.Platform().SetVMs([]store.VM{{Name: string(id), Role: store.Backend, State: store.Leaving}})
	r.drained = drainedServer{server: id, from: time.Now()}
	r.print("event=draining server=%s moved-after=%s", id, rounded(r.awaitDrained(id)))
	pause(ctx, 0)
}

// checkDrained records the runs that the draining server started after drainBound.
func (r *run) checkDrained() {
	r.lateRuns = audit.Leaving(r.fleet.Backend(r.drained.server).History(), r.drained.server, r.drained.from, drainBound)
}

// drainBound is the promised time after which a draining server gets no new work.
const drainBound = 3 * time.Second

// summarize merges the results of the workers, checks the promises, prints the summary and returns it.
func (r *run) summarize(workers []*worker) Summary {
	var s Summary
	var attempts []audit.Attempt
	latency := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	for _, w := range workers {
		attempts = append(attempts, w.attempts...)
		latency.Merge(w.latency)
	}
	bookings := make(map[string]bool)
	for _, a := range attempts {
		s.count(a)
		if a.Booking != "" {
			bookings[a.Booking] = bookings[a.Booking] || a.Outcome == caller.Ran
		}
	}
	s.Faults = append(audit.Check(r.fleet.History(), attempts), r.lateRuns...)
	r.print("calls=%d ran=%d not-run=%d unknown=%d bookings=%d bookings-done=%d",
		s.Calls, s.Ran, s.NotRun, s.Unknown, len(bookings), countDone(bookings))
	r.printReasons(attempts)
	r.print("latency-p50=%s latency-p99=%s latency-p99.9=%s (short calls that ran, %d callers)",
		latencyAt(latency, 50), latencyAt(latency, 99), latencyAt(latency, 99.9), len(workers))
	for _, p := range checkedPromises {
		r.print("promise=%s held=%t", p, r.promiseHeld(s.Faults, p))
	}
	for i, f := range s.Faults {
		if i == maxPrintedFaults {
			break
		}
		r.print("broken %s", f)
	}
	return s
}

// printReasons prints how often callers got each outcome other than ran, by reason.
func (r *run) printReasons(attempts []audit.Attempt) {
	counts := make(map[string]int)
	for _, a := range attempts {
		if a.Outcome != caller.Ran {
			counts[a.Outcome+" "+a.Reason]++
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		r.print("refused=%d outcome-and-remedy=%q", counts[reason], reason)
	}
}

// checkedPromises are the promises that the demo checks: those of audit.Check and LeavingServer. The demo
// neither stops an entry process gracefully nor changes the configuration, so it cannot check the others.
var checkedPromises = []audit.Promise{
	audit.SoleOwner, audit.WholeAnswer, audit.NotRun, audit.AtMostOnce, audit.NotLost, audit.SameAnswer,
	audit.LeavingServer,
}

// maxPrintedFaults is the maximum number of faults that are printed.
const maxPrintedFaults = 10

func (s *Summary) count(a audit.Attempt) {
	s.Calls++
	switch a.Outcome {
	case caller.Ran:
		s.Ran++
	case caller.NotRun:
		s.NotRun++
	default:
		s.Unknown++
	}
}

func (r *run) promiseHeld(faults []audit.Fault, p audit.Promise) bool {
	for _, f := range faults {
		if f.Promise == p {
			return false
		}
	}
	return true
}

func countDone(bookings map[string]bool) int {
	n := 0
	for _, ok := range bookings {
		if ok {
			n++
		}
	}
	return n
}

func latencyAt(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
}

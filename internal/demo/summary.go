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

// drained remembers the server that leaves during the demo.
type drained struct {
	server assign.ServerID
	from   time.Time
}

// drainServer tells a server that it leaves, and the platform's list as well.
func (r *run) drainServer(ctx context.Context) {
	owners := r.fleet.Owners()
	id := owners[len(owners)-1]
	r.fleet.Backend(id).Drain()
	r.fleet.Platform().SetVMs([]store.VM{{Name: string(id), Role: store.Backend, State: store.Leaving}})
	r.leaving = drained{server: id, from: time.Now()}
	r.print("event=draining server=%s moved-after=%s", id, rounded(r.awaitMoved(id)))
	pause(ctx, 0)
}

// checkDrained looks for work that the leaving server started after the bound.
func (r *run) checkDrained() {
	r.late = audit.Leaving(r.fleet.Backend(r.leaving.server).History(), r.leaving.server, r.leaving.from, leaveBound)
}

// leaveBound is the time after which a leaving server gets no new work.
const leaveBound = 3 * time.Second

// summarize prints the summary and returns it.
func (r *run) summarize(members []*member) Summary {
	var s Summary
	var attempts []audit.Attempt
	latency := hdrhistogram.New(1, longestLatency.Microseconds(), 3)
	for _, m := range members {
		attempts = append(attempts, m.attempts...)
		latency.Merge(m.latency)
	}
	bookings := make(map[string]bool)
	for _, a := range attempts {
		s.count(a)
		if a.Booking != "" {
			bookings[a.Booking] = bookings[a.Booking] || a.Outcome == caller.Ran
		}
	}
	s.Faults = append(audit.Check(r.fleet.History(), attempts), r.late...)
	r.print("calls=%d ran=%d not-run=%d unknown=%d bookings=%d bookings-done=%d",
		s.Calls, s.Ran, s.NotRun, s.Unknown, len(bookings), done(bookings))
	r.printReasons(attempts)
	r.print("latency-p50=%s latency-p99=%s latency-p99.9=%s (short calls that ran, %d callers)",
		micros(latency, 50), micros(latency, 99), micros(latency, 99.9), len(members))
	for _, p := range checked {
		r.print("promise=%s held=%t", p, r.held(s.Faults, p))
	}
	for i, f := range s.Faults {
		if i == shownFaults {
			break
		}
		r.print("broken %s", f)
	}
	return s
}

// printReasons prints how often callers were told each reason.
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

// checked are the promises that the demo checks: those of audit.Check, and the server that leaves.
// It makes no planned stop of an entry process and no change of the configuration.
var checked = []audit.Promise{
	audit.SoleOwner, audit.WholeAnswer, audit.NotRun, audit.AtMostOnce, audit.NotLost, audit.SameAnswer,
	audit.LeavingServer,
}

// shownFaults bounds the faults that are printed.
const shownFaults = 10

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

func (r *run) held(faults []audit.Fault, p audit.Promise) bool {
	for _, f := range faults {
		if f.Promise == p {
			return false
		}
	}
	return true
}

func done(bookings map[string]bool) int {
	n := 0
	for _, ok := range bookings {
		if ok {
			n++
		}
	}
	return n
}

func micros(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
}

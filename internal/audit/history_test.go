package audit_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/samphiredrum/samphiredrum/internal/audit"
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// TestHistories checks the histories in testdata. Each rule of the models has a valid history, which
// guards against a false positive, and an invalid one, which guards against a rule that never fails.
//
// A history has one record per line: its kind, then name=value fields. Times are in milliseconds.
func TestHistories(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			h := history{bound: 3 * time.Second}
			for line := range strings.Lines(d.Input) {
				if err := h.add(strings.Fields(line)); err != nil {
					d.Fatalf(t, "%q: %v", line, err)
				}
			}
			return formatFaults(h.check(d.Cmd))
		})
	})
}

// formatFaults returns the faults, one per line, or "valid" if there are none.
func formatFaults(faults []audit.Fault) string {
	text := ""
	for _, f := range faults {
		text += f.String() + "\n"
	}
	if text == "" {
		return "valid\n"
	}
	return text
}

// history holds the records of one test case.
type history struct {
	runs     []stand.Run
	attempts []audit.Attempt
	writes   []audit.ConfigWrite
	reads    []audit.ConfigRead
	bound    time.Duration
}

func (h *history) check(model string) []audit.Fault {
	switch model {
	case "bookings":
		return audit.CheckBookings(h.runs, h.attempts)
	case "configs":
		return audit.CheckConfigs(h.writes, h.reads, h.bound)
	case "owners":
		return audit.CheckOwners(h.runs)
	}
	return []audit.Fault{{Detail: "unknown model " + model}}
}

// add parses the words of one line and adds its record.
func (h *history) add(words []string) error {
	f := fields{values: make(map[string]string)}
	for _, w := range words[1:] {
		name, value, _ := strings.Cut(w, "=")
		f.values[name] = value
	}
	switch words[0] {
	case "attempt":
		h.attempts = append(h.attempts, audit.Attempt{
			Booking: f.text("booking"), RequestID: f.text("request"), Outcome: f.text("outcome"),
			Called: f.time("from"), Returned: f.time("to"),
		})
	case "run":
		h.runs = append(h.runs, f.run())
	case "write":
		h.writes = append(h.writes, f.write())
	case "read":
		h.reads = append(h.reads, audit.ConfigRead{
			Team: f.text("team"), Process: assign.ProcessID(f.values["process"]), Version: f.number("version"),
			Called: f.time("from"), Returned: f.time("to"),
		})
	default:
		return fmt.Errorf("unknown record kind %q", words[0])
	}
	return f.err
}

// fields are the parsed name=value fields of one record. err is the last error that a method met.
type fields struct {
	values map[string]string
	err    error
}

func (f *fields) text(name string) string {
	if f.values[name] == "" {
		f.err = fmt.Errorf("missing field %s", name)
	}
	return f.values[name]
}

func (f *fields) number(name string) uint64 {
	n, err := strconv.ParseUint(f.text(name), 10, 64)
	if err != nil {
		f.err = err
	}
	return n
}

func (f *fields) time(name string) time.Time {
	return time.UnixMilli(int64(f.number(name)))
}

// run returns the run of a record. A run without an end time is still running.
func (f *fields) run() stand.Run {
	r := stand.Run{
		RequestID: f.text("request") + "~random.1", Service: "yards/ledger", KeyHash: f.values["key"],
		Server: f.text("server"), Start: f.time("from").UnixMicro(), Outcome: stand.RunRunning,
	}
	if f.values["fence"] != "" {
		r.Fence = f.number("fence")
	}
	if f.values["to"] != "" {
		r.End, r.Outcome = f.time("to").UnixMicro(), stand.RunFinished
	}
	if f.values["outcome"] != "" {
		r.Outcome = f.text("outcome")
	}
	return r
}

func (f *fields) write() audit.ConfigWrite {
	outcome, err := audit.WriteOutcomeString(f.text("outcome"))
	if err != nil {
		f.err = err
	}
	w := audit.ConfigWrite{
		Team: f.text("team"), Called: f.time("from"), Returned: f.time("to"),
		Outcome: outcome, IfVersion: f.number("if-version"),
	}
	if f.values["version"] != "" {
		w.Version = f.number("version")
	}
	return w
}

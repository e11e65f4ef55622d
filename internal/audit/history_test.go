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

// TestHistories checks the histories in testdata. Each rule of the models has a valid history that
// guards against a false alarm, and an invalid one that guards against a rule that never fails.
//
// A history is one record a line: its kind, then name=value fields. Times are in milliseconds.
func TestHistories(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			h := history{bound: 3 * time.Second}
			for line := range strings.Lines(d.Input) {
				if err := h.add(strings.Fields(line)); err != nil {
					d.Fatalf(t, "%q: %v", line, err)
				}
			}
			return verdict(h.check(d.Cmd))
		})
	})
}

// verdict returns the faults, one a line.
func verdict(faults []audit.Fault) string {
	text := ""
	for _, f := range faults {
		text += f.String() + "\n"
	}
	if text == "" {
		return "valid\n"
	}
	return text
}

// history is what the records of one test case say.
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

// add adds the record of one line.
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
		return fmt.Errorf("the record %q is not known", words[0])
	}
	return f.err
}

// fields are the fields of one record.
type fields struct {
	values map[string]string
	err    error
}

func (f *fields) text(name string) string {
	if f.values[name] == "" {
		f.err = fmt.Errorf("the field %s is missing", name)
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

// run returns the run of a record. A run without end still runs.
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

package trace_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/samphiredrum/samphiredrum/internal/trace"
)

// Guards against a line of the log that concerns a request and is missing from its story, or the other way round.
func TestStory(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			id := ""
			d.ScanArgs(t, "id", &id)
			var read trace.Trace
			if err := read.Read("entry.log", strings.NewReader(d.Input)); err != nil {
				t.Fatal(err)
			}
			story, found := read.Explain(id)
			if !found {
				return "not found\n"
			}
			var out strings.Builder
			if err := story.WriteText(&out); err != nil {
				t.Fatal(err)
			}
			return out.String()
		})
	})
}

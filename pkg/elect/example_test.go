package elect_test

import (
	"fmt"
	"os"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/elect"
)

// A process that has just started does not lead, as it may have given promises before a restart.
func ExampleMachine() {
	c := clock.NewManual(time.Unix(0, 0))
	m := elect.New(elect.Config{
		Self: "entry-1", Electors: []assign.ProcessID{"entry-1", "entry-2", "entry-3"}, Started: c.Now(), Seed: 1,
	})
	m.Step(c.Now(), elect.Tick{Latest: c.Latest()})
	fmt.Fprintln(os.Stdout, m.Quorum(), m.Leads(c.Latest()))
	// Output: 2 false
}

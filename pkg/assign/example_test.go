package assign_test

import (
	"fmt"
	"math"
	"os"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// After the first owner is lost, its successor owns the span with the next fencing number.
func ExampleTable_Lookup() {
	place := assign.Place{
		Span: assign.Span{To: math.MaxUint64}, Owners: []assign.ServerID{"ledger-1", "ledger-2"}, Base: 7,
	}
	table := assign.Table{Services: map[assign.ServiceID][]assign.Holding{
		"depot/ledger": {{Place: place, Rank: 1, Open: true}},
	}}
	holding, ok := table.Lookup("depot/ledger", assign.Hash("yard-17"))
	fmt.Fprintln(os.Stdout, ok, holding.Open, holding.Owner(), holding.Fence())
	// Output: true true ledger-2 8
}

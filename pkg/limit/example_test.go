package limit_test

import (
	"fmt"
	"os"

	"github.com/samphiredrum/samphiredrum/pkg/limit"
)

// Each call earns a fraction of a retry.
func ExampleBudget() {
	budget := limit.NewBudget(0.5, 1)
	fmt.Fprintln(os.Stdout, budget.Take(), budget.Take())
	budget.CountCall()
	budget.CountCall()
	fmt.Fprintln(os.Stdout, budget.Take())
	// Output:
	// true false
	// true
}

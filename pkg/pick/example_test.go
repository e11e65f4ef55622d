package pick_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/pick"
)

// A draining server is never chosen.
func ExampleSet() {
	now := time.Unix(0, 0)
	set := pick.New(pick.Config{FailureDomain: "fd-1"}, rand.New(rand.NewPCG(1, 0)))
	set.Update(now, []assign.Server{
		{ID: "returns-1", FailureDomain: "fd-1", Draining: true},
		{ID: "returns-2", FailureDomain: "fd-1"},
	})
	server, ok := set.Pick(now, "")
	fmt.Fprintln(os.Stdout, server, ok)
	// Output: returns-2 true
}

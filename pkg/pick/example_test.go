package pick_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/pick"
)

// A Picker never picks a draining server.
func ExamplePicker() {
	now := time.Unix(0, 0)
	picker := pick.New(pick.Config{FailureDomain: "fd-1"}, rand.New(rand.NewPCG(1, 0)))
	picker.Update(now, []assign.Server{
		{ID: "returns-1", FailureDomain: "fd-1", Draining: true},
		{ID: "returns-2", FailureDomain: "fd-1"},
	})
	server, ok := picker.Pick(now, "")
	fmt.Fprintln(os.Stdout, server, ok)
	// Output: returns-2 true
}

package clock_test

import (
	"fmt"
	"os"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/clock"
)

// A hidden suspension moves Latest, which holders of leases read, but not Now.
func ExampleManual() {
	start := time.Unix(0, 0)
	c := clock.NewManual(start)
	c.Advance(time.Second)
	c.StepWall(time.Minute)
	fmt.Fprintln(os.Stdout, c.Now().Sub(start), c.Latest().Sub(start))
	// Output: 1s 1m1s
}

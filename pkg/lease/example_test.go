package lease_test

import (
	"fmt"
	"os"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// The holder stops before the granter gives the same right to another.
func Example() {
	c := clock.NewManual(time.Unix(0, 0))
	var held lease.Held
	var given lease.Granted
	held.Extend(c.Latest(), 2*time.Second)
	given.Extend(c.Now(), 2*time.Second, lease.DefaultMargin)
	c.Advance(2 * time.Second)
	fmt.Fprintln(os.Stdout, held.Valid(c.Latest()), given.Lapsed(c.Now()))
	c.Advance(70 * time.Millisecond)
	fmt.Fprintln(os.Stdout, held.Valid(c.Latest()), given.Lapsed(c.Now()))
	// Output:
	// false false
	// false true
}

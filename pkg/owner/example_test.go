package owner_test

import (
	"fmt"
	"os"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// The first heartbeat delivers the table. The answer to it contains the follower's time, and the
// heartbeat that echoes this time grants the serving lease.
func ExampleFollower() {
	now := time.Unix(0, 0)
	f := owner.NewFollower("run-1")
	heartbeat := owner.HeartbeatReceived{From: "entry-2", Term: 1, Table: &assign.Table{Version: 1, Term: 1}}
	f.Step(now, heartbeat)
	f.Step(now, heartbeat)
	fmt.Fprintln(os.Stdout, f.Serves(now))
	heartbeat.Incarnation, heartbeat.Echo, heartbeat.Lease = "run-1", now, 2*time.Second
	f.Step(now, heartbeat)
	fmt.Fprintln(os.Stdout, f.Serves(now.Add(time.Second)), f.Serves(now.Add(2*time.Second)))
	// Output:
	// false
	// true false
}

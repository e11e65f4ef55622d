package dedup_test

import (
	"fmt"
	"os"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/dedup"
)

// The second attempt of a booking finds the identifier reserved.
func ExampleRecorder() {
	now := time.Unix(0, 0)
	r := dedup.NewRecorder(dedup.Config{Self: "entry-1", Incarnation: 7})
	r.Step(now, dedup.TableApplied{Version: 1, Buckets: []assign.Bucket{{
		Generation: 1, Start: 1, Recorders: []assign.ProcessID{"entry-1"}, Incarnations: []uint64{7}, Joined: []uint64{1},
	}}})
	for n := range uint64(2) {
		request := dedup.Reserve{Generation: 1, Key: dedup.Key{Identifier: "booking-1"}}
		request.Attempt = dedup.Attempt{Process: "entry-2", Incarnation: 1, Number: n}
		fmt.Fprintln(os.Stdout, r.Reserve(now, request).Status)
	}
	// Output:
	// new
	// in-progress
}

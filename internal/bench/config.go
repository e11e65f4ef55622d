package bench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/internal/store"
)

const (
	// configTarget is the longest acceptable time until a change is in force at all entry processes.
	configTarget = 3 * time.Second
	// configTimeout is how long the experiment waits for one change to be in force.
	configTimeout = 10 * time.Second
	// changesPerRepeat is the number of changes in each repetition.
	changesPerRepeat = 5
)

// configSizes are the numbers of entry processes. A cell has about 60 at most.
var configSizes = []int{11, 21, 33, 55}

// configuration measures the time from storing a change until the last process has it in force.
func configuration(s *session) error {
	for _, n := range configSizes {
		f, err := s.start(shape{user: s.options.User, processes: n, servers: 1, exclusiveServers: 3})
		if err != nil {
			return err
		}
		s.warm(f)
		err = s.changes(f, n)
		f.Stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// changes stores changes one after the other with random pauses, and prints the times until they were in force.
func (s *session) changes(f *fleet.Fleet, n int) error {
	client := store.NewClient(f.Platform().Address(), store.Options{})
	defer client.Close()
	random := s.random(uint64(n))
	var all []time.Duration
	missed := 0
	for i := range changesPerRepeat * s.options.Repeats {
		s.pause(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
		took, ok, err := s.change(f, client, i)
		if err != nil {
			return err
		}
		if !ok {
			missed++
			continue
		}
		all = append(all, took)
	}
	if len(all) == 0 {
		s.print("entry-processes=%d changes=0 missed=%d met=false", n, missed)
		return nil
	}
	slices.Sort(all)
	worst := all[len(all)-1]
	s.print("entry-processes=%d changes=%d missed=%d best=%s median=%s worst=%s target=%s met=%t",
		n, len(all), missed, millis(all[0]), millis(all[len(all)/2]), millis(worst), configTarget, missed == 0 && worst <= configTarget)
	return nil
}

// change stores one change, and returns the time until the last process has it in force. Processes publish their
// status every 50 ms, and that delay is included in the time.
func (s *session) change(f *fleet.Fleet, client *store.Client, i int) (time.Duration, bool, error) {
	team := f.Plan().Teams[0].Name
	ctx, cancel := context.WithTimeout(s.ctx, configTimeout)
	defer cancel()
	object, err := client.Get(ctx, "config/"+team)
	if err != nil {
		return 0, false, err
	}
	text := fmt.Sprintf("# Change %d.\n%s", i, f.Plan().Texts[team])
	started := time.Now()
	version, err := client.Put(ctx, "config/"+team, []byte(text), object.Version)
	if err != nil {
		return 0, false, err
	}
	ok := s.await(configTimeout, func() bool { return inForce(f, team, version) })
	return time.Since(started), ok, nil
}

func inForce(f *fleet.Fleet, team string, version uint64) bool {
	for _, name := range f.Names() {
		if f.Node(name).Status().Teams[team] < version {
			return false
		}
	}
	return true
}

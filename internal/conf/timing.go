package conf

import (
	"fmt"
	"time"
)

const (
	// maxRecoveryTime limits the time from the loss of a key's owner until the key is served again, even
	// if the leader is lost at the same time.
	maxRecoveryTime = 4 * time.Second
	// maxPropagationTime limits the time until a configuration is in force everywhere and a leaving
	// server gets no new work. The lease of a process or server that was not reached expires within it.
	maxPropagationTime = 3 * time.Second
)

// checkTiming reports durations that would break the guarantees of the leases.
func checkTiming(r *report, t Timing, v values) {
	checkTakeover(r, t, v)
	checkRecovery(r, t, v)
	checkPropagation(r, v, "serving-lease", t.Margin.AddTo(t.ServingLease))
	checkPropagation(r, v, "grant", t.Margin.AddTo(t.Grant))
	checkHeartbeat(r, v, "term-lease", t.Beat, t.TermLease)
	checkHeartbeat(r, v, "silence", t.Beat, t.Silence)
}

// checkTakeover requires that a new leader can be active before the leases that the old one granted
// expire, so that the loss of a leader interrupts no calls.
func checkTakeover(r *report, t Timing, v values) {
	term := t.Margin.AddTo(t.TermLease)
	for _, other := range []struct {
		key    string
		length time.Duration
	}{{"serving-lease", t.ServingLease}, {"grant", t.Grant}} {
		if term >= other.length {
			r.add(v.line("term-lease"),
				fmt.Sprintf("term-lease with its margins takes %s, not less than the %s of %s", term, other.key, other.length),
				fmt.Sprintf("lower term-lease, or raise %s above %s", other.key, term))
		}
	}
}

// checkRecovery requires that recovery from the loss of leader and owner together takes less than
// maxRecoveryTime. The term expires first. Then the leases that the old leader may have granted expire,
// while the server is silent long enough to be treated as lost.
func checkRecovery(r *report, t Timing, v values) {
	term := t.Margin.AddTo(t.TermLease)
	longest := max(t.Margin.AddTo(t.ServingLease), t.Margin.AddTo(t.Grant), t.Silence)
	if total := term + longest; total >= maxRecoveryTime {
		r.add(v.line("term-lease"),
			fmt.Sprintf("term-lease and the longest of serving-lease, grant and silence take %s with their margins", total),
			fmt.Sprintf("lower one of them until the sum is below %s", maxRecoveryTime))
	}
}

// checkPropagation requires that a lease expires within maxPropagationTime.
func checkPropagation(r *report, v values, key string, withMargin time.Duration) {
	if withMargin >= maxPropagationTime {
		r.add(v.line(key), fmt.Sprintf("%s with its margins takes %s", key, withMargin),
			fmt.Sprintf("lower it until it takes less than %s", maxPropagationTime))
	}
}

// checkHeartbeat requires that one lost heartbeat neither ends a term nor makes a server count as lost.
func checkHeartbeat(r *report, v values, key string, beat, length time.Duration) {
	if 2*beat >= length {
		r.add(v.line("beat"), fmt.Sprintf("two heartbeats take %s, not less than the %s of %s", 2*beat, key, length),
			fmt.Sprintf("lower beat below %s", length/2))
	}
}

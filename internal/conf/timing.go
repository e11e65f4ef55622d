package conf

import (
	"fmt"
	"time"
)

const (
	// maxRecovery is the time after the loss of a key's owner within which the key is served again,
	// even if the decider is lost at the same time.
	maxRecovery = 4 * time.Second
	// maxSpread is the time within which a configuration is in force everywhere and a leaving
	// server gets no new work. A process or server that was not reached lapses within it.
	maxSpread = 3 * time.Second
)

// checkTiming reports lengths with which leases would not keep the promises.
func checkTiming(r *report, t Timing, v values) {
	checkSuccession(r, t, v)
	checkRecovery(r, t, v)
	checkSpread(r, v, "serving-lease", t.Margin.AddTo(t.ServingLease))
	checkSpread(r, v, "grant", t.Margin.AddTo(t.Grant))
	checkBeat(r, v, "term-lease", t.Beat, t.TermLease)
	checkBeat(r, v, "silence", t.Beat, t.Silence)
}

// checkSuccession requires that a new decider can be active before the leases which the old one
// gave have lapsed, so that the loss of a decider interrupts nothing.
func checkSuccession(r *report, t Timing, v values) {
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

// checkRecovery requires that the loss of decider and owner together stays within maxRecovery: the
// term lapses first, then the leases that the old decider may have given, and concurrently the
// silence of the server.
func checkRecovery(r *report, t Timing, v values) {
	term := t.Margin.AddTo(t.TermLease)
	last := max(t.Margin.AddTo(t.ServingLease), t.Margin.AddTo(t.Grant), t.Silence)
	if total := term + last; total >= maxRecovery {
		r.add(v.line("term-lease"),
			fmt.Sprintf("term-lease and the longest of serving-lease, grant and silence take %s with their margins", total),
			fmt.Sprintf("lower one of them until the sum is below %s", maxRecovery))
	}
}

// checkSpread requires that a lease lapses within maxSpread.
func checkSpread(r *report, v values, key string, stretched time.Duration) {
	if stretched >= maxSpread {
		r.add(v.line(key), fmt.Sprintf("%s with its margins takes %s", key, stretched),
			fmt.Sprintf("lower it until it takes less than %s", maxSpread))
	}
}

// checkBeat requires that one lost heartbeat ends nothing.
func checkBeat(r *report, v values, key string, beat, length time.Duration) {
	if 2*beat >= length {
		r.add(v.line("beat"), fmt.Sprintf("two heartbeats take %s, not less than the %s of %s", 2*beat, key, length),
			fmt.Sprintf("lower beat below %s", length/2))
	}
}

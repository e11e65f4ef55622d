package bench

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// recoveryTarget is the longest acceptable time until a key is served again after a loss.
	recoveryTarget = 4 * time.Second
	// recoveryTimeout is how long an experiment waits for keys to be served again.
	recoveryTimeout = 10 * time.Second
	// freezeDuration is how long a frozen server stays frozen. It is longer than recoveryTarget, so that the end
	// of the freeze cannot be counted as a recovery.
	freezeDuration = 6 * time.Second
	// minObservation is the shortest time for which keys are observed after a loss. Every lease and grant from
	// before the loss has expired by then, so an interruption that starts only at their expiry is measured too.
	minObservation = 3 * time.Second
	// settleTime is the pause before each loss, in which the decider stores its record.
	settleTime = 2 * time.Second
	// slowStore is the delay of every call to a slow store. It exceeds the timeout of store calls.
	slowStore = 2 * time.Second
	// probedKeys and probedEntries are the numbers of keys and entry processes that are probed.
	probedKeys    = 4
	probedEntries = 3
)

// loss is a failure whose recovery is measured, with the results of all repetitions.
type loss struct {
	name           string
	killsOwner     bool
	freezesOwner   bool
	killsDecider   bool
	storeName      string
	store          stand.PlatformFault
	recovered      []time.Duration
	notServedAgain int
	refused        map[string]int
	failed         int
}

// losses returns every combination of a failure with a state of the store.
func losses() []*loss {
	stores := []struct {
		name  string
		fault stand.PlatformFault
	}{
		{"up", stand.PlatformFault{}},
		{"slow", stand.PlatformFault{SlowMs: slowStore.Milliseconds()}},
		{"down", stand.PlatformFault{Down: true}},
	}
	var list []*loss
	for _, s := range stores {
		for _, l := range []loss{
			{name: "kill-owner", killsOwner: true},
			{name: "freeze-owner", freezesOwner: true},
			{name: "kill-decider", killsDecider: true},
			{name: "kill-both", killsOwner: true, killsDecider: true},
			{name: "freeze-owner-kill-decider", freezesOwner: true, killsDecider: true},
		} {
			l.storeName, l.store, l.refused = s.name, s.fault, make(map[string]int)
			list = append(list, &l)
		}
	}
	return list
}

// ownerless measures how long keys have no reachable owner after failures.
func ownerless(s *session) error {
	for i, l := range losses() {
		if err := s.repeatLoss(l, uint64(i)); err != nil {
			return err
		}
	}
	return nil
}

// repeatLoss causes one loss several times in one fleet, each time at a randomly chosen server, and prints a
// summary.
func (s *session) repeatLoss(l *loss, stream uint64) error {
	f, err := s.start(s.userShape())
	if err != nil {
		return err
	}
	defer f.Stop()
	random := s.random(stream)
	for n := range s.options.Repeats {
		s.pause(settleTime)
		owners := f.Owners()
		s.measureLoss(f, l, owners[random.IntN(len(owners))], n)
		if s.ctx.Err() != nil {
			return nil
		}
	}
	slices.Sort(l.recovered)
	if len(l.recovered) == 0 {
		s.print("fault=%s store=%s summary=true recovered=0 not-served-again=%d met=false", l.name, l.storeName, l.notServedAgain)
		return nil
	}
	worst := l.recovered[len(l.recovered)-1]
	s.print("fault=%s store=%s summary=true losses=%d keys-by-entries=%d median=%s worst=%s not-served-again=%d failed=%d target=%s met=%t",
		l.name, l.storeName, s.options.Repeats, len(l.recovered), millis(l.recovered[len(l.recovered)/2]), millis(worst),
		l.notServedAgain, l.failed, recoveryTarget, worst <= recoveryTarget && l.notServedAgain == 0)
	for _, reason := range slices.Sorted(maps.Keys(l.refused)) {
		s.print("fault=%s store=%s refused=%d reason=%q", l.name, l.storeName, l.refused[reason], reason)
	}
	return nil
}

// measureLoss causes the loss once and waits, up to recoveryTimeout, until every probed key is served again through
// every probed entry process.
func (s *session) measureLoss(f *fleet.Fleet, l *loss, id assign.ServerID, n int) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	decider := f.Decider()
	probers := s.probers(ctx, f, id, decider)
	var group conc.WaitGroup
	for _, p := range probers {
		group.Go(p.run)
	}
	warm := s.await(recoveryTimeout, func() bool { return all(probers, (*prober).hasRun) })
	f.Platform().SetFault(l.store)
	lost := time.Now()
	for _, p := range probers {
		p.markLoss(lost)
	}
	var killed conc.WaitGroup
	l.inject(f, id, decider, &killed)
	s.await(recoveryTimeout, func() bool { return all(probers, (*prober).servedAgain) })
	s.pause(max(minObservation-time.Since(lost), minObservation/6))
	first, last := l.collect(probers, time.Now())
	cancel()
	group.Wait()
	killed.Wait()
	f.Platform().SetFault(stand.PlatformFault{})
	s.print("fault=%s store=%s run=%d server=%s decider=%s next-decider=%s warm=%t shortest=%s longest=%s",
		l.name, l.storeName, n, id, decider, f.Decider(), warm, millis(first), millis(last))
	if l.freezesOwner {
		s.pause(freezeDuration - time.Since(lost))
	}
}

func all(probers []*prober, holds func(*prober) bool) bool {
	for _, p := range probers {
		if !holds(p) {
			return false
		}
	}
	return true
}

// inject causes the loss. Kills run in the group, because they wait for goroutines to end.
func (l *loss) inject(f *fleet.Fleet, id assign.ServerID, decider assign.ProcessID, group *conc.WaitGroup) {
	if l.killsOwner {
		group.Go(f.Backend(id).Kill)
	}
	if l.freezesOwner {
		f.Backend(id).SetFault(stand.BackendFault{FreezeMs: freezeDuration.Milliseconds()})
	}
	if l.killsDecider && decider != "" {
		group.Go((&processKill{fleet: f, name: decider}).run)
	}
}

// processKill kills one entry process when it is run.
type processKill struct {
	fleet *fleet.Fleet
	name  assign.ProcessID
}

func (k *processKill) run() {
	k.fleet.Kill(k.name)
}

// collect adds the results of the probers to the loss, and returns the shortest and the longest of their times
// without service.
func (l *loss) collect(probers []*prober, now time.Time) (shortest, longest time.Duration) {
	for _, p := range probers {
		l.failed += p.addRefused(l.refused)
		d, ok := p.finish(now)
		if !ok {
			l.notServedAgain++
			continue
		}
		l.recovered = append(l.recovered, d)
		if shortest == 0 || d < shortest {
			shortest = d
		}
		longest = max(longest, d)
	}
	return shortest, longest
}

// probers returns a prober for some keys of the server through some entry processes other than the
// decider, which may be killed.
func (s *session) probers(ctx context.Context, f *fleet.Fleet, id assign.ServerID, decider assign.ProcessID) []*prober {
	service := exclusiveService(f)
	o := firstOperation(service, conf.Short)
	client := caller.New(caller.Options{})
	var list []*prober
	for _, key := range keysOf(f, service, id, probedKeys) {
		entries := 0
		for _, name := range f.Names() {
			if name == decider || entries == probedEntries {
				continue
			}
			entries++
			list = append(list, &prober{
				ctx:     ctx,
				entry:   &entryPoint{fleet: f, name: name},
				client:  client,
				refused: make(map[string]int),
				call: caller.Call{
					Method:    o.Method,
					Path:      caller.Path(service, o, key),
					RequestID: fmt.Sprintf("%s-%s", key, name),
					Timeout:   o.Timeout,
				},
			})
		}
	}
	return list
}

// millis rounds a duration to tenths of a millisecond for output.
func millis(d time.Duration) time.Duration {
	return d.Round(100 * time.Microsecond)
}

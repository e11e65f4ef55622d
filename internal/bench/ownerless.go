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
	// recoveryTarget is the target for a key to be served again after a loss.
	recoveryTarget = 4 * time.Second
	// recoveryLimit is how long an experiment waits for keys to be served again.
	recoveryLimit = 10 * time.Second
	// freezeTime is how long a frozen server stays frozen. It is longer than the target, so that a
	// server that thaws cannot pass for a recovery.
	freezeTime = 6 * time.Second
	// lapseTime is how long keys are observed after a loss at least. Every lease and grant that was
	// given before the loss has lapsed by then, so an interruption that they delay is seen.
	lapseTime = 3 * time.Second
	// settleTime lets the decider store the record before the next loss.
	settleTime = 2 * time.Second
	// slowStore is the delay of every call to a slow store; each is over the store's time limit.
	slowStore = 2 * time.Second
	// probedKeys and probedEntries are the numbers of keys and entry processes that are probed.
	probedKeys    = 4
	probedEntries = 3
)

// loss is a failure whose recovery is measured.
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

// losses returns every combination of a loss with a state of the store.
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

// ownerless measures the time that a key has no reachable owner.
func ownerless(s *session) error {
	for i, l := range losses() {
		if err := s.repeatLoss(l, uint64(i)); err != nil {
			return err
		}
	}
	return nil
}

// repeatLoss causes one loss several times in one fleet, each time at another server.
func (s *session) repeatLoss(l *loss, stream uint64) error {
	f, err := s.start(s.full())
	if err != nil {
		return err
	}
	defer f.Stop()
	random := s.random(stream)
	for n := range s.options.Repeats {
		s.pause(settleTime)
		owners := f.Owners()
		s.causeLoss(f, l, owners[random.IntN(len(owners))], n)
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

// causeLoss causes the loss once and waits until every probed key is served through every probed
// entry process.
func (s *session) causeLoss(f *fleet.Fleet, l *loss, id assign.ServerID, n int) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	decider := f.Decider()
	probers := s.probers(ctx, f, id, decider)
	var group conc.WaitGroup
	for _, p := range probers {
		group.Go(p.run)
	}
	warm := s.await(recoveryLimit, func() bool { return all(probers, (*prober).answers) })
	f.Platform().SetFault(l.store)
	lost := time.Now()
	for _, p := range probers {
		p.lose(lost)
	}
	var killed conc.WaitGroup
	l.cause(f, id, decider, &killed)
	s.await(recoveryLimit, func() bool { return all(probers, (*prober).again) })
	s.pause(max(lapseTime-time.Since(lost), lapseTime/6))
	first, last := l.collect(probers, time.Now())
	cancel()
	group.Wait()
	killed.Wait()
	f.Platform().SetFault(stand.PlatformFault{})
	s.print("fault=%s store=%s run=%d server=%s decider=%s next-decider=%s warm=%t shortest=%s longest=%s",
		l.name, l.storeName, n, id, decider, f.Decider(), warm, millis(first), millis(last))
	if l.freezesOwner {
		s.pause(freezeTime - time.Since(lost))
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

// cause starts the loss. Kills run in the group, because they wait for goroutines to end.
func (l *loss) cause(f *fleet.Fleet, id assign.ServerID, decider assign.ProcessID, group *conc.WaitGroup) {
	if l.killsOwner {
		group.Go(f.Backend(id).Kill)
	}
	if l.freezesOwner {
		f.Backend(id).SetFault(stand.BackendFault{FreezeMs: freezeTime.Milliseconds()})
	}
	if l.killsDecider && decider != "" {
		group.Go((&kill{fleet: f, name: decider}).run)
	}
}

// kill ends one entry process.
type kill struct {
	fleet *fleet.Fleet
	name  assign.ProcessID
}

func (k *kill) run() {
	k.fleet.Kill(k.name)
}

// collect adds the longest unserved time of each prober, and returns the shortest and the longest.
func (l *loss) collect(probers []*prober, now time.Time) (shortest, longest time.Duration) {
	for _, p := range probers {
		l.failed += p.unserved(l.refused)
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
// decider, which may be lost.
func (s *session) probers(ctx context.Context, f *fleet.Fleet, id assign.ServerID, decider assign.ProcessID) []*prober {
	service := exclusive(f)
	o := operation(service, conf.Short)
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
				node:    &entryPoint{fleet: f, name: name},
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

// millis rounds a time for output.
func millis(d time.Duration) time.Duration {
	return d.Round(100 * time.Microsecond)
}

package fleet_test

import (
	"context"
	"math/rand/v2"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/audit"
	"github.com/samphiredrum/samphiredrum/internal/caller"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/internal/stand"
)

const (
	// historySeed determines the order of the faults and the random choices of operators and callers.
	historySeed = 1
	// faultDuration is the length of each fault, pauseDuration the time without a fault before and after it.
	faultDuration = time.Second
	pauseDuration = 250 * time.Millisecond
	// storeDelay is longer than the timeout of a store call, so that slow writes take effect after
	// their writer has given up.
	storeDelay = 700 * time.Millisecond
	// inForceBound is the promised time within which an accepted configuration is in force at every process.
	inForceBound = 3 * time.Second

	operatorsPerTeam = 3
	bookerCount      = 8
)

var _ = Describe("the recorded history of concurrent operators and callers", Ordered, ContinueOnFailure, func() {
	var runs []stand.Run
	var attempts []audit.Attempt
	var writes []audit.ConfigWrite
	var faults []audit.Fault

	BeforeAll(func() {
		plan, err := fleet.Load(os.DirFS("testdata"), "small")
		Expect(err).NotTo(HaveOccurred())
		f := fleet.New(plan)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		defer f.Stop()
		Expect(f.Start(ctx)).To(Succeed())
		w := newWorkload(ctx, f)
		w.start()
		causeFaults(f)
		w.stop()
		runs, attempts, writes = f.History(), w.attempts(), w.writes()
		faults = audit.CheckConfigs(writes, w.reads(), inForceBound+w.stall.largest)
	})

	// Guards against checks that pass because no changes or bookings took place.
	It("has accepted changes and bookings that ran", func() {
		Expect(countAccepted(writes)).To(BeNumerically(">", 2), "only the initial versions were accepted")
		Expect(countRan(attempts)).To(BeNumerically(">", 0))
	})

	// Guards against a booking that runs twice, or whose outcome differs from what its caller was told.
	It("runs each booking at most once and as its caller was told", func() {
		Expect(audit.Check(runs, attempts)).To(BeEmpty())
		Expect(audit.CheckBookings(runs, attempts)).To(BeEmpty())
	})

	// Guards against two servers that run calls for the same key at the same time.
	It("has one owner of each key", func() {
		Expect(audit.CheckOwners(runs)).To(BeEmpty())
	})

	// Guards against a configuration that is lost, is reverted, or takes effect although it was refused.
	It("keeps each accepted configuration and no refused one", func() {
		Expect(faultsOf(faults, audit.KeptConfig)).To(BeEmpty())
	})

	// Guards against a process that serves with a stale configuration.
	It("puts each accepted configuration in force within the bound", func() {
		Expect(faultsOf(faults, audit.ConfigInForce)).To(BeEmpty())
	})
})

// faultsOf returns the faults that violate one promise.
func faultsOf(faults []audit.Fault, promise audit.Promise) []audit.Fault {
	var matching []audit.Fault
	for _, f := range faults {
		if f.Promise == promise {
			matching = append(matching, f)
		}
	}
	return matching
}

// causeFaults injects the store faults one after the other, in an order that the seed determines, then
// kills the decider.
func causeFaults(f *fleet.Fleet) {
	faults := []stand.PlatformFault{{LoseAnswers: true}, {SlowMs: storeDelay.Milliseconds()}, {Down: true}}
	random := rand.New(rand.NewPCG(historySeed, 0))
	random.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	for _, fault := range faults {
		time.Sleep(pauseDuration)
		f.Platform().SetFault(fault)
		time.Sleep(faultDuration)
		f.Platform().SetFault(stand.PlatformFault{})
	}
	time.Sleep(pauseDuration)
	if name := f.Decider(); name != "" {
		f.Kill(name)
	}
	time.Sleep(faultDuration)
}

// countAccepted returns the number of accepted changes.
func countAccepted(writes []audit.ConfigWrite) int {
	n := 0
	for _, w := range writes {
		if w.Outcome == audit.Accepted {
			n++
		}
	}
	return n
}

// countRan returns the number of attempts with the outcome ran.
func countRan(attempts []audit.Attempt) int {
	n := 0
	for _, a := range attempts {
		if a.Outcome == caller.Ran {
			n++
		}
	}
	return n
}

// workload is all operators, callers and readers that use the fleet at the same time.
type workload struct {
	ctx           context.Context
	cancel        context.CancelFunc
	group         conc.WaitGroup
	initialWrites []audit.ConfigWrite
	operators     []*operator
	bookers       []*booker
	reader        *reader
	stall         *stallMeter
}

func newWorkload(ctx context.Context, f *fleet.Fleet) *workload {
	w := &workload{stall: &stallMeter{}}
	w.ctx, w.cancel = context.WithCancel(ctx)
	a := actor{ctx: w.ctx, fleet: f}
	for _, team := range f.Plan().Teams {
		w.initialWrites = append(w.initialWrites, initialWrite(ctx, f, team.Name))
		for range operatorsPerTeam {
			w.operators = append(w.operators, &operator{actor: a.withSeed(len(w.operators)), team: team.Name})
		}
	}
	for i := range bookerCount {
		w.bookers = append(w.bookers, newBooker(a.withSeed(operatorsPerTeam*len(w.initialWrites)+i), i))
	}
	w.reader = &reader{actor: a}
	w.stall.ctx = w.ctx
	return w
}

func (w *workload) start() {
	for _, o := range w.operators {
		w.group.Go(o.run)
	}
	for _, b := range w.bookers {
		w.group.Go(b.run)
	}
	w.group.Go(w.reader.run)
	w.group.Go(w.stall.run)
}

func (w *workload) stop() {
	w.cancel()
	w.group.Wait()
}

func (w *workload) attempts() []audit.Attempt {
	var all []audit.Attempt
	for _, b := range w.bookers {
		all = append(all, b.attempts...)
	}
	return all
}

func (w *workload) writes() []audit.ConfigWrite {
	all := w.initialWrites
	for _, o := range w.operators {
		all = append(all, o.writes...)
	}
	return all
}

func (w *workload) reads() []audit.ConfigRead {
	all := w.reader.reads
	for _, o := range w.operators {
		all = append(all, o.reads...)
	}
	return all
}

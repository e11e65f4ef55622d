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
	// historySeed determines the order of the faults and the choices of operators and callers.
	historySeed = 1
	// faultTime is the length of each fault, pauseTime the time without a fault after it.
	faultTime = time.Second
	pauseTime = 250 * time.Millisecond
	// slowStore is longer than the timeout of a store call, so that slow writes take effect after
	// their writer has given up.
	slowStore = 700 * time.Millisecond
	// inForceBound is the promised time for an accepted configuration to be in force everywhere.
	inForceBound = 3 * time.Second

	operatorsPerTeam = 3
	bookers          = 8
)

var _ = Describe("the history of concurrent operators and callers", Ordered, ContinueOnFailure, func() {
	var runs []stand.Run
	var attempts []audit.Attempt
	var writes []audit.ConfigWrite
	var faults []audit.Fault

	BeforeAll(func() {
		plan, err := fleet.Load(os.DirFS("testdata"), "small")
		Expect(err).NotTo(HaveOccurred())
		f := fleet.New(plan)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		defer f.Stop()
		Expect(f.Start(ctx)).To(Succeed())
		c := newCrowd(ctx, f)
		c.start()
		causeFaults(f)
		c.stop()
		runs, attempts, writes = f.History(), c.attempts(), c.writes()
		faults = audit.CheckConfigs(writes, c.reads(), inForceBound+c.stall.largest)
	})

	// Guards against checks that pass because nothing happened.
	It("has accepted changes and bookings that ran", func() {
		Expect(accepted(writes)).To(BeNumerically(">", 2), "only the first versions")
		Expect(ran(attempts)).To(BeNumerically(">", 0))
	})

	// Guards against a booking that runs twice or against what its caller was told.
	It("runs each booking at most once and as its caller was told", func() {
		Expect(audit.Check(runs, attempts)).To(BeEmpty())
		Expect(audit.CheckBookings(runs, attempts)).To(BeEmpty())
	})

	// Guards against two servers that work for one key at the same time.
	It("has one owner of each key", func() {
		Expect(audit.CheckOwners(runs)).To(BeEmpty())
	})

	// Guards against a configuration that is lost, reverts, or takes effect although it was refused.
	It("keeps each accepted configuration and no refused one", func() {
		Expect(of(faults, audit.KeptConfig)).To(BeEmpty())
	})

	// Guards against a process that serves with a configuration that was replaced long ago.
	It("puts each accepted configuration in force within the bound", func() {
		Expect(of(faults, audit.ConfigInForce)).To(BeEmpty())
	})
})

// of returns the faults that break one promise.
func of(faults []audit.Fault, promise audit.Promise) []audit.Fault {
	var some []audit.Fault
	for _, f := range faults {
		if f.Promise == promise {
			some = append(some, f)
		}
	}
	return some
}

// causeFaults causes the faults one after the other, in an order that the seed determines.
func causeFaults(f *fleet.Fleet) {
	faults := []stand.PlatformFault{{LoseAnswers: true}, {SlowMs: slowStore.Milliseconds()}, {Down: true}}
	random := rand.New(rand.NewPCG(historySeed, 0))
	random.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	for _, fault := range faults {
		time.Sleep(pauseTime)
		f.Platform().SetFault(fault)
		time.Sleep(faultTime)
		f.Platform().SetFault(stand.PlatformFault{})
	}
	time.Sleep(pauseTime)
	if name := f.Decider(); name != "" {
		f.Kill(name)
	}
	time.Sleep(faultTime)
}

// accepted returns the number of accepted changes.
func accepted(writes []audit.ConfigWrite) int {
	n := 0
	for _, w := range writes {
		if w.Outcome == audit.Accepted {
			n++
		}
	}
	return n
}

// ran returns the number of attempts that were told ran.
func ran(attempts []audit.Attempt) int {
	n := 0
	for _, a := range attempts {
		if a.Outcome == caller.Ran {
			n++
		}
	}
	return n
}

// crowd is everybody who uses the fleet at the same time.
type crowd struct {
	ctx       context.Context
	cancel    context.CancelFunc
	group     conc.WaitGroup
	first     []audit.ConfigWrite
	operators []*operator
	bookers   []*booker
	reader    *reader
	stall     *stall
}

func newCrowd(ctx context.Context, f *fleet.Fleet) *crowd {
	c := &crowd{stall: &stall{}}
	c.ctx, c.cancel = context.WithCancel(ctx)
	u := user{ctx: c.ctx, fleet: f}
	for _, team := range f.Plan().Teams {
		c.first = append(c.first, firstVersion(ctx, f, team.Name))
		for range operatorsPerTeam {
			c.operators = append(c.operators, &operator{user: u.seeded(len(c.operators)), team: team.Name})
		}
	}
	for i := range bookers {
		c.bookers = append(c.bookers, newBooker(u.seeded(operatorsPerTeam*len(c.first)+i), i))
	}
	c.reader = &reader{user: u}
	c.stall.ctx = c.ctx
	return c
}

func (c *crowd) start() {
	for _, o := range c.operators {
		c.group.Go(o.run)
	}
	for _, b := range c.bookers {
		c.group.Go(b.run)
	}
	c.group.Go(c.reader.run)
	c.group.Go(c.stall.run)
}

func (c *crowd) stop() {
	c.cancel()
	c.group.Wait()
}

func (c *crowd) attempts() []audit.Attempt {
	var all []audit.Attempt
	for _, b := range c.bookers {
		all = append(all, b.attempts...)
	}
	return all
}

func (c *crowd) writes() []audit.ConfigWrite {
	all := c.first
	for _, o := range c.operators {
		all = append(all, o.writes...)
	}
	return all
}

func (c *crowd) reads() []audit.ConfigRead {
	all := c.reader.reads
	for _, o := range c.operators {
		all = append(all, o.reads...)
	}
	return all
}

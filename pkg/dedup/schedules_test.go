package dedup_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDedup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dedup")
}

// schedules returns the number of seeds to run. The race detector makes each about ten times slower.
// The environment variable DEDUP_SCHEDULES sets another number.
func schedules() int {
	n, err := strconv.Atoi(os.Getenv("DEDUP_SCHEDULES"))
	switch {
	case err == nil:
		return n
	case testing.Short():
		return 1000
	case raceEnabled:
		return 4000
	default:
		return 20000
	}
}

// randomRates returns the fault rates of a seed, from no faults to far more than the platform has.
func randomRates(seed uint64) faultRates {
	r := rand.New(rand.NewPCG(seed, 2))
	rate := func(highest float64) float64 {
		if r.IntN(4) == 0 {
			return 0
		}
		return highest * r.Float64()
	}
	return faultRates{
		drop:      rate(0.2),
		duplicate: rate(0.2),
		delay:     rate(0.2),
		crash:     rate(0.02),
		pause:     rate(0.1),
		partition: rate(0.2),
		move:      rate(0.05),
		planEarly: rate(0.5),
	}
}

// results collects the counts and violations of the runs of several seeds.
type results struct {
	mu         sync.Mutex
	next       uint64
	end        uint64
	counts     map[string]int
	violations []string
	trace      io.Writer
}

func (t *results) nextSeed() (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	return t.next - 1, t.next <= t.end && len(t.violations) == 0
}

func (t *results) add(seed uint64, s *sim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, n := range s.counts {
		t.counts[k] += n
	}
	for _, v := range s.violations {
		t.violations = append(t.violations, fmt.Sprintf("seed %d: %s (repeat with DEDUP_SEED=%d)", seed, v, seed))
	}
}

func (t *results) loop(group *sync.WaitGroup) {
	defer group.Done()
	for seed, ok := t.nextSeed(); ok; seed, ok = t.nextSeed() {
		s := newSim(seed, randomRates(seed))
		s.trace = t.trace
		s.run()
		t.add(seed, s)
	}
}

// runSeeds runs n schedules on all cores.
func runSeeds(from uint64, n int, trace io.Writer) *results {
	t := &results{next: from, end: from + uint64(n), counts: map[string]int{}, trace: trace}
	// Most garbage is short-lived. Collecting it less often halves the run time.
	defer debug.SetGCPercent(debug.SetGCPercent(800))
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Add(1)
		go t.loop(&group)
	}
	group.Wait()
	return t
}

var _ = Describe("bookings in random schedules", func() {
	// Guards against a booking that runs twice, or is answered NotRun although it ran, while
	// processes crash, restart and pause, tables change, and messages are lost, duplicated and
	// delayed.
	It("run at most once and get correct answers", func() {
		from, n, trace := uint64(1), schedules(), io.Writer(nil)
		if text := os.Getenv("DEDUP_SEED"); text != "" {
			seed, err := strconv.ParseUint(text, 10, 64)
			Expect(err).NotTo(HaveOccurred())
			from, n, trace = seed, 1, GinkgoWriter
		}
		t := runSeeds(from, n, trace)
		GinkgoWriter.Printf("schedules=%d counts=%v\n", n, t.counts)
		Expect(t.violations).To(BeEmpty())
		if n == 1 {
			return
		}
		// Each case must occur often enough for the run to test it.
		for _, k := range []string{
			"sent", "crash", "pause", "cut", "copy", "generation", "horizon", "lease-lapsed", "closed",
			"ran server", "not-run server", "unknown server", "ran repeat", "unknown in-progress",
			"unknown unresolved", "unknown doubtful", "not-run full", "not-run recorders",
			"unknown recorders",
		} {
			Expect(t.counts[k]).To(BeNumerically(">", n/100), k)
		}
	})

	// Guards against a state machine whose result depends on the iteration order of a map.
	It("have the same result for the same seed", func() {
		for seed := range uint64(20) {
			Expect(runSeeds(seed, 1, nil).counts).To(Equal(runSeeds(seed, 1, nil).counts))
		}
	})

	// Guards against rules so strict that bookings are refused even without faults.
	It("all run if there are no faults", func() {
		for seed := range uint64(200) {
			s := newSim(seed, faultRates{})
			s.run()
			Expect(s.violations).To(BeEmpty())
			Expect(s.counts["unanswered"]).To(BeZero())
			for _, h := range s.histories {
				Expect(h.sends).NotTo(BeEmpty(), h.key.Identifier)
			}
		}
	})
})

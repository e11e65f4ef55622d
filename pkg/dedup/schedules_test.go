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

// schedules is the number of seeds. The race detector makes each about ten times slower.
// DEDUP_SCHEDULES sets another number for a longer search.
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

// stormy returns the rates of faults of a seed, from calm to much worse than the platform.
func stormy(seed uint64) weather {
	r := rand.New(rand.NewPCG(seed, 2))
	rate := func(highest float64) float64 {
		if r.IntN(4) == 0 {
			return 0
		}
		return highest * r.Float64()
	}
	return weather{
		lost:      rate(0.2),
		twice:     rate(0.2),
		slow:      rate(0.2),
		crash:     rate(0.02),
		pause:     rate(0.1),
		cut:       rate(0.2),
		move:      rate(0.05),
		impatient: rate(0.5),
	}
}

// total adds up the runs of several seeds.
type total struct {
	mu     sync.Mutex
	next   uint64
	end    uint64
	counts map[string]int
	faults []string
	trace  io.Writer
}

func (t *total) take() (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	return t.next - 1, t.next <= t.end && len(t.faults) == 0
}

func (t *total) add(seed uint64, s *sim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, n := range s.counts {
		t.counts[k] += n
	}
	for _, f := range s.faults {
		t.faults = append(t.faults, fmt.Sprintf("seed %d: %s (repeat with DEDUP_SEED=%d)", seed, f, seed))
	}
}

func (t *total) loop(group *sync.WaitGroup) {
	defer group.Done()
	for seed, ok := t.take(); ok; seed, ok = t.take() {
		s := newSim(seed, stormy(seed))
		s.trace = t.trace
		s.run()
		t.add(seed, s)
	}
}

// runSeeds runs n schedules on all cores.
func runSeeds(from uint64, n int, trace io.Writer) *total {
	t := &total{next: from, end: from + uint64(n), counts: map[string]int{}, trace: trace}
	// Short-lived garbage dominates; collecting it less often halves the time.
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
	// Guards against every way in which a booking runs twice, or is called not run although it
	// ran, with processes lost, restarted and paused, tables changed and messages lost, repeated
	// and late.
	It("run at most once and are answered truthfully", func() {
		from, n, trace := uint64(1), schedules(), io.Writer(nil)
		if text := os.Getenv("DEDUP_SEED"); text != "" {
			seed, err := strconv.ParseUint(text, 10, 64)
			Expect(err).NotTo(HaveOccurred())
			from, n, trace = seed, 1, GinkgoWriter
		}
		t := runSeeds(from, n, trace)
		GinkgoWriter.Printf("schedules=%d counts=%v\n", n, t.counts)
		Expect(t.faults).To(BeEmpty())
		if n == 1 {
			return
		}
		// A run that never meets a case proves nothing about it.
		for _, k := range []string{
			"sent", "crash", "pause", "cut", "copy", "generation", "horizon", "lease-lapsed", "closed",
			"ran server", "not-run server", "unknown server", "ran repeat", "unknown in-progress",
			"unknown unresolved", "unknown doubtful", "not-run full", "not-run recorders",
			"unknown recorders",
		} {
			Expect(t.counts[k]).To(BeNumerically(">", n/100), k)
		}
	})

	// Guards against a state machine whose result depends on the order of a map.
	It("are the same for the same seed", func() {
		for seed := range uint64(20) {
			Expect(runSeeds(seed, 1, nil).counts).To(Equal(runSeeds(seed, 1, nil).counts))
		}
	})

	// Guards against rules so strict that bookings never run: without faults each runs at once.
	It("all run in calm weather", func() {
		for seed := range uint64(200) {
			s := newSim(seed, weather{})
			s.run()
			Expect(s.faults).To(BeEmpty())
			Expect(s.counts["unanswered"]).To(BeZero())
			for _, h := range s.histories {
				Expect(h.sends).NotTo(BeEmpty(), h.key.Identifier)
			}
		}
	})
})

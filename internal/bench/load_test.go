package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fakeSender answers every call and keeps what it was sent.
type fakeSender struct {
	mu    sync.Mutex
	shots []shot
}

func (f *fakeSender) send(sh shot) answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shots = append(f.shots, sh)
	return answer{ran: true}
}

func (*fakeSender) close() {}

// arrivals returns the offsets of the intended starts and the keys for a seed, by call number.
func arrivals(seed uint64) (offsets []time.Duration, keys []string) {
	sender := new(fakeSender)
	s := &session{ctx: context.Background(), options: Options{Seed: seed}}
	t := newTally(time.Second)
	s.load(way{"fake", sender}, t, constant(2000), 50*time.Millisecond, 1).run()
	byNumber := make([]shot, len(sender.shots))
	for _, sh := range sender.shots {
		byNumber[sh.number] = sh
	}
	for _, sh := range byNumber {
		offsets = append(offsets, sh.intended.Sub(byNumber[0].intended))
		keys = append(keys, sh.key)
	}
	return offsets, keys
}

var _ = Describe("load", func() {
	// Guards against a seed that does not reproduce a run.
	It("repeats arrivals and keys for the same seed only", func() {
		offsets, keys := arrivals(1)
		again, keysAgain := arrivals(1)
		Expect(offsets).NotTo(BeEmpty())
		Expect(again).To(Equal(offsets))
		Expect(keysAgain).To(Equal(keys))
		other, _ := arrivals(2)
		Expect(other).NotTo(Equal(offsets))
	})

	// Guards against latencies that count from the real start and so hide a stall.
	It("counts latency from the intended start", func() {
		t := newTally(100 * time.Millisecond)
		late := time.Now().Add(-time.Second)
		t.offer(late)
		t.end(late, answer{ran: true})
		Expect(t.percentile(50)).To(BeNumerically(">=", time.Second-time.Millisecond))
		Expect(t.good).To(BeZero())
	})

	// Guards against refused calls that count as good or disappear.
	It("counts each end once", func() {
		t := newTally(time.Second)
		now := time.Now()
		for _, a := range []answer{{ran: true}, {refused: true, reason: "full"}, {refused: true, reason: "full"}, {reason: "cut"}} {
			t.offer(now)
			t.end(now, a)
		}
		Expect([]int{t.offered, t.good, t.refused, t.failed}).To(Equal([]int{4, 1, 2, 1}))
		reason, n := t.commonReason()
		Expect(reason).To(Equal("full"))
		Expect(n).To(Equal(2))
	})

	// Guards against one line for each refused call, since refusals name the time until a repeat.
	It("groups refusals by their fault", func() {
		Expect(fault("server a-1 cannot answer by the deadline; repeat the call in 18ms")).To(Equal("server a-1 cannot answer by the deadline"))
		Expect(fault("503")).To(Equal("503"))
	})

	// Guards against a swing that is slower or lower than the lines say.
	It("swings by its factor within its time", func() {
		Expect(ramp(0)).To(Equal(1 / swingFactor))
		Expect(ramp(swingTime / 2)).To(BeNumerically("~", 1/swingFactor, 1e-9))
		Expect(ramp(swingTime * 3 / 2)).To(BeNumerically("~", 1, 1e-9))
		Expect(ramp(swingTime * 7 / 2)).To(BeNumerically("~", 1/swingFactor, 1e-9))
	})
})

var _ = Describe("line", func() {
	// Guards against wrong slopes on the capacity page.
	It("finds the line through points on one", func() {
		slope, at, fit := line([]float64{1, 2, 4}, []float64{5, 7, 11})
		Expect(slope).To(BeNumerically("~", 2, 1e-9))
		Expect(at).To(BeNumerically("~", 3, 1e-9))
		Expect(fit).To(BeNumerically("~", 1, 1e-9))
	})

	It("has no slope without a spread", func() {
		slope, at, _ := line([]float64{3, 3}, []float64{1, 3})
		Expect(slope).To(BeZero())
		Expect(at).To(Equal(2.0))
	})
})

var _ = Describe("mix", func() {
	// Guards against a share of long calls other than the one that is printed.
	It("draws the share of long calls", func() {
		r := rand.New(rand.NewPCG(1, 1))
		long := 0
		for range 10_000 {
			if kind, _ := (mix{share: 0.1}).plan(r); kind == longKind {
				long++
			}
		}
		Expect(long).To(BeNumerically("~", 1000, 150))
	})
})

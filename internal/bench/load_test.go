package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fakeSender answers every call and records it.
type fakeSender struct {
	mu       sync.Mutex
	arrivals []arrival
}

func (f *fakeSender) send(a arrival) answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, a)
	return answer{ran: true}
}

func (*fakeSender) close() {}

// arrivals returns the offsets of the intended starts and the keys for a seed, by call number.
func arrivals(seed uint64) (offsets []time.Duration, keys []string) {
	sender := new(fakeSender)
	s := &session{ctx: context.Background(), options: Options{Seed: seed}}
	t := newTally(time.Second)
	s.newLoad(variant{"fake", sender}, t, constant(2000), 50*time.Millisecond, 1).run()
	byNumber := make([]arrival, len(sender.arrivals))
	for _, a := range sender.arrivals {
		byNumber[a.number] = a
	}
	for _, a := range byNumber {
		offsets = append(offsets, a.intended.Sub(byNumber[0].intended))
		keys = append(keys, a.key)
	}
	return offsets, keys
}

var _ = Describe("load", func() {
	// Guards against runs with the same seed that differ in arrivals or keys.
	It("repeats arrivals and keys for the same seed only", func() {
		offsets, keys := arrivals(1)
		again, keysAgain := arrivals(1)
		Expect(offsets).NotTo(BeEmpty())
		Expect(again).To(Equal(offsets))
		Expect(keysAgain).To(Equal(keys))
		other, _ := arrivals(2)
		Expect(other).NotTo(Equal(offsets))
	})

	// Guards against latencies that are measured from the real start and so hide a stall of the generator.
	It("counts latency from the intended start", func() {
		t := newTally(100 * time.Millisecond)
		late := time.Now().Add(-time.Second)
		t.offer(late)
		t.end(late, answer{ran: true})
		Expect(t.percentile(50)).To(BeNumerically(">=", time.Second-time.Millisecond))
		Expect(t.good).To(BeZero())
	})

	// Guards against refused calls that are counted as good or not at all.
	It("counts the outcome of each call once", func() {
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

	// Guards against a separate reason for each refused call: refusals contain the time after which to repeat the call.
	It("groups refusals by fault, without the remedy", func() {
		Expect(faultName("server a-1 cannot answer by the deadline; repeat the call in 18ms")).To(Equal("server a-1 cannot answer by the deadline"))
		Expect(faultName("503")).To(Equal("503"))
	})

	// Guards against a swing that is slower or smaller than the printed lines say.
	It("changes demand by swingFactor within swingTime", func() {
		Expect(ramp(0)).To(Equal(1 / swingFactor))
		Expect(ramp(swingTime / 2)).To(BeNumerically("~", 1/swingFactor, 1e-9))
		Expect(ramp(swingTime * 3 / 2)).To(BeNumerically("~", 1, 1e-9))
		Expect(ramp(swingTime * 7 / 2)).To(BeNumerically("~", 1/swingFactor, 1e-9))
	})
})

var _ = Describe("line", func() {
	// Guards against wrong slopes on the capacity page.
	It("finds the line through collinear points", func() {
		slope, intercept, rSquared := leastSquares([]float64{1, 2, 4}, []float64{5, 7, 11})
		Expect(slope).To(BeNumerically("~", 2, 1e-9))
		Expect(intercept).To(BeNumerically("~", 3, 1e-9))
		Expect(rSquared).To(BeNumerically("~", 1, 1e-9))
	})

	It("returns slope 0 if all x values are equal", func() {
		slope, intercept, _ := leastSquares([]float64{3, 3}, []float64{1, 3})
		Expect(slope).To(BeZero())
		Expect(intercept).To(Equal(2.0))
	})
})

var _ = Describe("mix", func() {
	// Guards against a share of long calls that differs from the printed share.
	It("draws long calls with the given probability", func() {
		r := rand.New(rand.NewPCG(1, 1))
		long := 0
		for range 10_000 {
			if kind, _ := (callMix{share: 0.1}).plan(r); kind == longKind {
				long++
			}
		}
		Expect(long).To(BeNumerically("~", 1000, 150))
	})
})

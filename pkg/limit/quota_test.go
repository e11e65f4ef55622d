package limit_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/limit"
)

var _ = Describe("a quota", func() {
	// Guards the promise on repeats: in no window are there more than the share of its calls and the
	// burst, however calls and attempts at repeats are spread.
	It("holds in every window", func() {
		const (
			share, burst = 0.2, 5.0
			window       = 10 * time.Second
		)
		for seed := range uint64(8) {
			random := rand.New(rand.NewPCG(seed, 1))
			q := limit.NewQuota(share, burst, window)
			now := time.Unix(1000, 0)
			var calls, repeats []time.Time
			for range 2000 {
				now = now.Add(time.Duration(random.IntN(1+random.IntN(60))) * time.Millisecond)
				q.CountCall(now)
				calls = append(calls, now)
				for range random.IntN(3) {
					if q.Take(now) {
						repeats = append(repeats, now)
					}
				}
			}
			Expect(len(repeats)).To(BeNumerically(">", 50))
			for i, from := range repeats {
				inside := 0
				for _, at := range repeats[i:] {
					if at.Sub(from) > window {
						break
					}
					inside++
				}
				asked := 0
				for _, at := range calls {
					if d := at.Sub(from); d >= -window/2 && d <= window/2 {
						asked++
					}
				}
				after := 0
				for _, at := range calls {
					if d := at.Sub(from); d >= 0 && d <= window {
						after++
					}
				}
				Expect(float64(inside)).To(BeNumerically("<=", share*float64(max(asked, after))+burst+1), "seed %d", seed)
			}
		}
	})

	It("allows the burst before any call, and again once the window has passed", func() {
		q := limit.NewQuota(0.2, 2, time.Second)
		now := time.Unix(1000, 0)
		Expect([]bool{q.Take(now), q.Take(now), q.Take(now)}).To(Equal([]bool{true, true, false}))
		Expect(q.Take(now.Add(1200 * time.Millisecond))).To(BeTrue())
	})
})

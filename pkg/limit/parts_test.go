package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/limit"
)

// at returns the time n milliseconds after the start.
func at(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

var _ = Describe("a limit", func() {
	// Guards against a process that can never send again, and against more calls than connections.
	It("stays between 1 and the ceiling", func() {
		l := limit.NewLimit(limit.Bounds{Ceiling: 11})
		for range 200 {
			l.Observe(limit.Sample{Outcome: limit.Ran, InFlight: l.Allowed()})
		}
		Expect(l.Allowed()).To(Equal(11))
		for range 200 {
			l.Observe(limit.Sample{Outcome: limit.Refused, InFlight: l.Allowed()})
		}
		Expect(l.Allowed()).To(Equal(1))
		l.SetCeiling(0)
		Expect(l.Allowed()).To(Equal(1))
	})

	// Guards against a limit that rises without evidence while few calls are made.
	It("does not rise while it is not in use", func() {
		l := limit.NewLimit(limit.Bounds{Ceiling: 11, Initial: 4})
		for range 200 {
			l.Observe(limit.Sample{Outcome: limit.Ran, InFlight: 2})
		}
		Expect(l.Allowed()).To(Equal(4))
	})

	// Guards against one burst of refusals that reduces the limit to 1.
	It("falls once for the calls that were in flight together", func() {
		l := limit.NewLimit(limit.Bounds{Ceiling: 11, Initial: 10})
		for n := 10; n > 0; n-- {
			l.Observe(limit.Sample{Outcome: limit.Refused, InFlight: n})
		}
		Expect(l.Allowed()).To(Equal(7))
	})

	It("falls when calls take much longer than usual, and ignores calls that were not sent", func() {
		l := limit.NewLimit(limit.Bounds{Ceiling: 11, Initial: 10})
		slow := limit.Sample{Outcome: limit.Unsent, Latency: time.Second, Usual: time.Millisecond, InFlight: 10}
		l.Observe(slow)
		Expect(l.Allowed()).To(Equal(10))
		slow.Outcome = limit.Ran
		l.Observe(slow)
		Expect(l.Allowed()).To(Equal(8))
	})
})

var _ = Describe("a retry budget", func() {
	// Guards against retries that multiply the load of servers that fail.
	It("allows retries for a tenth of the calls", func() {
		b := limit.NewBudget(0.1, 10)
		for b.Take() {
			continue
		}
		retries := 0
		for range 1000 {
			b.Call()
			if b.Take() {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("~", 100, 1))
	})
})

var _ = Describe("run times", func() {
	learned := func() *limit.Runs {
		r := limit.NewRuns()
		for n := range 64 {
			r.Class("balance", limit.Short)
			r.Observe("balance", time.Duration(1+n%3)*time.Millisecond)
		}
		return r
	}

	// Guards against stragglers that are declared short.
	It("make an operation long above 10 times the short median, and short again below 5 times", func() {
		r := learned()
		for range 8 {
			Expect(r.Class("season", limit.Short)).To(Equal(limit.Short))
			r.Observe("season", 15*time.Millisecond)
			r.Observe("history", 200*time.Millisecond)
		}
		Expect(r.Class("season", limit.Short)).To(Equal(limit.Short))
		Expect(r.Class("history", limit.Short)).To(Equal(limit.Long))
		Expect(r.Class("history", limit.Booking)).To(Equal(limit.Long))
		Expect(r.Class("balance", limit.Short)).To(Equal(limit.Short))
		for range 16 {
			r.Observe("history", 8*time.Millisecond)
		}
		Expect(r.Class("history", limit.Short)).To(Equal(limit.Short))
	})

	// Guards against taking every operation for long while the server is congested.
	It("do not make an operation long while all operations are slow", func() {
		r := learned()
		for range 100 {
			r.Observe("balance", 300*time.Millisecond)
		}
		Expect(r.Class("balance", limit.Short)).To(Equal(limit.Short))
	})

	// Guards against an estimate learned under congestion that refuses all calls for ever.
	It("lower an estimate that no call confirms", func() {
		r := limit.NewRuns()
		r.Observe("balance", time.Second)
		Expect(r.Estimate("balance")).To(Equal(time.Second))
		for range 100 {
			r.Estimate("balance")
		}
		Expect(r.Estimate("balance")).To(BeNumerically("<", 10*time.Millisecond))
		r.Observe("balance", time.Millisecond)
		r.Observe("balance", time.Millisecond)
		Expect(r.Mean("balance")).To(BeNumerically("<", 600*time.Millisecond))
	})

	// Guards against memory that grows with names that callers choose.
	It("are kept for a bounded number of operations", func() {
		r := limit.NewRuns()
		for n := range 10000 {
			r.Observe(string(rune('a'+n%26))+time.Duration(n).String(), time.Millisecond)
		}
		Expect(r.Estimate("never seen")).To(BeZero())
		r.Observe("never seen", time.Millisecond)
		Expect(r.Estimate("never seen")).To(BeZero())
	})
})

var _ = Describe("a keeper of long-work tokens", func() {
	token := func(p string, n uint64) limit.Token {
		return limit.Token{Process: assign.ProcessID(p), Incarnation: 1, Number: n}
	}
	ask := func(k *limit.Issuer, now time.Time, t limit.Token) limit.AnswerToken {
		return k.Step(now, limit.TokenAsked{Token: t, Length: time.Second})[0].(limit.AnswerToken)
	}
	config := limit.IssuerConfig{MaxTimeout: 2 * time.Second}

	// Guards against long work in all slots of a server.
	It("gives at most two, repeats its answer, and gives a returned or lapsed one again", func() {
		k := limit.NewIssuer(start, config, nil)
		Expect(ask(k, at(0), token("a", 1)).Granted).To(BeTrue())
		Expect(ask(k, at(0), token("b", 1)).Granted).To(BeTrue())
		Expect(ask(k, at(0), token("b", 1)).Granted).To(BeTrue())
		refused := ask(k, at(0), token("c", 1))
		Expect(refused.Granted).To(BeFalse())
		Expect(refused.Wait).To(BeNumerically(">", 0))
		k.Step(at(10), limit.TokenReturned{Token: token("b", 1)})
		Expect(ask(k, at(10), token("c", 1)).Granted).To(BeTrue())
		Expect(ask(k, at(1000), token("d", 1)).Granted).To(BeFalse())
		// 1 s, 1% for the clocks and 50 ms of slack.
		Expect(ask(k, at(1060), token("d", 1)).Granted).To(BeTrue())
	})

	// Guards against a new keeper that does not know of the tokens of the one before it.
	It("gives none after a take-over until all processes have reported", func() {
		k := limit.NewIssuer(start, config, []assign.ProcessID{"a", "b"})
		Expect(ask(k, at(0), token("a", 2)).Granted).To(BeFalse())
		k.Step(at(1), limit.LongReported{Process: "a", Uses: []limit.Use{{Token: token("a", 1), Left: time.Second}}})
		Expect(ask(k, at(1), token("a", 2)).Granted).To(BeFalse())
		k.Step(at(2), limit.ProcessesChanged{Processes: []assign.ProcessID{"a"}})
		Expect(ask(k, at(2), token("a", 2)).Granted).To(BeFalse())
		k.Step(at(3), limit.LongReported{Process: "b"})
		Expect(ask(k, at(3), token("a", 2)).Granted).To(BeTrue())
		Expect(ask(k, at(3), token("a", 3)).Granted).To(BeFalse())
	})

	It("gives tokens again when the longest long work must have ended", func() {
		k := limit.NewIssuer(start, config, []assign.ProcessID{"a", "b"})
		Expect(ask(k, at(2000), token("a", 1)).Granted).To(BeFalse())
		Expect(ask(k, at(2071), token("a", 1)).Granted).To(BeTrue())
	})

	// Guards against a token that outlasts the wait of the next keeper.
	It("gives no token for longer than the longest long work", func() {
		k := limit.NewIssuer(start, config, nil)
		a := k.Step(start, limit.TokenAsked{Token: token("a", 1), Length: time.Hour})[0].(limit.AnswerToken)
		Expect(a.Length).To(Equal(config.MaxTimeout))
	})

	// Guards against a change of the processes that moves the tokens of all servers.
	It("is the same process for a server while that process stays", func() {
		all := []assign.ProcessID{"a", "b", "c", "d"}
		moved := 0
		for n := range 1000 {
			server := assign.ServerID(time.Duration(n).String())
			before, after := limit.IssuerOf(server, all), limit.IssuerOf(server, all[:3])
			if before != after {
				Expect(before).To(Equal(assign.ProcessID("d")))
				moved++
			}
		}
		Expect(moved).To(BeNumerically("~", 250, 50))
		Expect(limit.IssuerOf("ledger-1", nil)).To(BeEmpty())
	})
})

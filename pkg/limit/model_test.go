package limit_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/limit"
)

const (
	slots      = 6
	shortRun   = 2 * time.Millisecond
	longRun    = 100 * shortRun
	capacity   = float64(slots) / 0.002 // short calls per second
	entries    = 4
	ceiling    = 11
	shortLimit = 50 * time.Millisecond
	longLimit  = 2 * time.Second
	// warmUp is not measured: a process learns run times in it. learnUp is the warm-up where it learns
	// classes too; with 10% long calls that are declared short it took up to 3 s. The share of short
	// calls answered meanwhile is printed.
	warmUp   = 2 * time.Second
	learnUp  = 5 * time.Second
	measured = 4 * time.Second
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type step struct {
	at  time.Time
	seq int
	run func()
}

type steps []step

func (q steps) Len() int { return len(q) }
func (q steps) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q steps) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *steps) Push(x any)   { *q = append(*q, x.(step)) }
func (q *steps) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	*q = (*q)[:last]
	return s
}

// call is one call of a caller. It may be sent several times.
type call struct {
	id       uint64
	long     bool
	began    time.Time
	deadline time.Time
	answered bool
}

// policy is how an entry process treats calls.
type policy interface {
	arrive(c *call)
}

// model is a server of 6 slots with a first-come queue of its own, and entry processes in front of
// it, on simulated time.
type model struct {
	random *rand.Rand
	now    time.Time
	seq    int
	queue  steps
	busy   int
	waits  []func()
	good   int
	shorts []time.Duration
	longs  int
	// cold is the number of short calls answered in time that began in the warm-up.
	cold int
	warm time.Time
}

func newModel(seed uint64, warmUp time.Duration) *model {
	return &model{random: rand.New(rand.NewPCG(seed, 0)), now: start, warm: start.Add(warmUp)}
}

func (m *model) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.queue, step{at: m.now.Add(d), seq: m.seq, run: run})
}

// exponential returns a random time with the given mean.
func (m *model) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(mean))
}

// serve runs work in a slot of the server as soon as one is free. The server does not know that a
// caller has given up.
func (m *model) serve(c *call, done func()) {
	run := shortRun/10 + m.exponential(shortRun*9/10)
	if c.long {
		run = longRun/2 + m.exponential(longRun/2)
	}
	begin := func() {
		m.busy++
		m.after(run, func() {
			m.busy--
			m.next()
			done()
		})
	}
	m.waits = append(m.waits, begin)
	m.next()
}

func (m *model) next() {
	for m.busy < slots && len(m.waits) > 0 {
		begin := m.waits[0]
		m.waits = m.waits[1:]
		begin()
	}
}

// answer counts a complete answer.
func (m *model) answer(c *call) {
	if c.answered || m.now.After(c.deadline) {
		return
	}
	c.answered = true
	if c.began.Before(m.warm) {
		if !c.long {
			m.cold++
		}
		return
	}
	m.good++
	if c.long {
		m.longs++
		return
	}
	m.shorts = append(m.shorts, m.now.Sub(c.began))
}

// load offers calls at a rate per second, a share of which are long, to random policies.
func (m *model) load(rate, long float64, policies []policy) {
	id := uint64(0)
	var offer func()
	offer = func() {
		id++
		c := &call{id: id, began: m.now, long: m.random.Float64() < long}
		c.deadline = m.now.Add(shortLimit)
		if c.long {
			c.deadline = m.now.Add(longLimit)
		}
		policies[m.random.IntN(len(policies))].arrive(c)
		m.after(m.exponential(time.Duration(float64(time.Second)/rate)), offer)
	}
	offer()
	end := m.warm.Add(measured)
	for len(m.queue) > 0 && m.queue[0].at.Before(end) {
		s := heap.Pop(&m.queue).(step)
		m.now = s.at
		s.run()
	}
}

// unlimited sends every call at once.
type unlimited struct{ model *model }

func (u unlimited) arrive(c *call) { u.model.serve(c, func() { u.model.answer(c) }) }

// blind sends every call at once, and again up to three times when no answer came in time.
type blind struct{ model *model }

func (b blind) arrive(c *call) { b.send(c, 3) }

func (b blind) send(c *call, left int) {
	b.model.serve(c, func() { b.model.answer(c) })
	timeout := shortLimit / 4
	if c.long {
		timeout = longLimit / 4
	}
	b.model.after(timeout, func() {
		if !c.answered && left > 0 {
			b.send(c, left-1)
		}
	})
}

// firstCome is a queue without classes or deadlines in front of a fixed number of connections.
type firstCome struct {
	model  *model
	busy   int
	queued []*call
}

func (f *firstCome) arrive(c *call) {
	f.queued = append(f.queued, c)
	f.next()
}

func (f *firstCome) next() {
	for f.busy < ceiling && len(f.queued) > 0 {
		c := f.queued[0]
		f.queued = f.queued[1:]
		f.busy++
		f.model.serve(c, func() {
			f.busy--
			f.model.answer(c)
			f.next()
		})
	}
}

// limited is an entry process with the parts of this package.
type limited struct {
	model  *model
	admit  *limit.Admission
	runs   *limit.Runs
	keeper *limit.Issuer
	calls  map[uint64]*call
	class  map[uint64]limit.Class
	// declared is the class that the settings give to long calls.
	declared limit.Class
}

// operation names the kind of a call.
func operation(c *call) string {
	if c.long {
		return "history"
	}
	return "balance"
}

func (l *limited) arrive(c *call) {
	class := limit.Short
	if c.long {
		class = l.declared
	}
	class = l.runs.Class(operation(c), class)
	if class != limit.Long {
		l.enter(c, class)
		return
	}
	token := limit.Token{Process: "all", Number: c.id}
	a := l.keeper.Step(l.model.now, limit.TokenAsked{Token: token, Length: longLimit})[0].(limit.AnswerToken)
	switch {
	case a.Granted:
		l.enter(c, class)
	case l.model.now.Add(a.Wait + l.runs.Estimate(operation(c))).Before(c.deadline):
		l.model.after(a.Wait, func() { l.arrive(c) })
	}
}

func (l *limited) enter(c *call, class limit.Class) {
	l.calls[c.id] = c
	l.class[c.id] = class
	l.apply(l.admit.Arrive(l.model.now, limit.Item{
		ID:       c.id,
		Class:    class,
		Deadline: c.deadline,
		Mean:     l.runs.Mean(operation(c)),
		Estimate: l.runs.Estimate(operation(c)),
	}))
}

func (l *limited) apply(decisions []limit.Decision) {
	for _, d := range decisions {
		c, class := l.calls[d.ID], l.class[d.ID]
		delete(l.calls, d.ID)
		delete(l.class, d.ID)
		if d.Kind != limit.KindNone {
			l.release(c, class)
			continue
		}
		sent := l.model.now
		l.model.serve(c, func() { l.ended(c, class, l.model.now.Sub(sent)) })
	}
}

func (l *limited) ended(c *call, class limit.Class, latency time.Duration) {
	s := limit.Sample{Outcome: limit.Ran, Latency: latency, Usual: l.runs.Usual(operation(c))}
	l.runs.Observe(operation(c), latency)
	l.model.answer(c)
	l.release(c, class)
	l.apply(l.admit.Leave(l.model.now, class, s))
}

func (l *limited) release(c *call, class limit.Class) {
	if class == limit.Long {
		l.keeper.Step(l.model.now, limit.TokenReturned{Token: limit.Token{Process: "all", Number: c.id}})
	}
}

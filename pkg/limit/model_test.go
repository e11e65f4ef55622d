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
	// warmUp is not measured, because processes learn run times in it. learningWarmUp is the warm-up for
	// processes that learn classes too, which took up to 3 s with 10% long calls that are declared short.
	// The share of short calls answered meanwhile is printed.
	warmUp         = 2 * time.Second
	learningWarmUp = 5 * time.Second
	measured       = 4 * time.Second
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	*q = (*q)[:last]
	return s
}

// call is one call of a caller. A policy may send it several times.
type call struct {
	id        uint64
	long      bool
	arrivedAt time.Time
	deadline  time.Time
	answered  bool
}

// policy is the way an entry process handles calls.
type policy interface {
	arrive(c *call)
}

// model simulates a server with 6 slots and a first-come, first-served queue, and the entry processes in
// front of it, in simulated time.
type model struct {
	random         *rand.Rand
	now            time.Time
	seq            int
	events         eventQueue
	busy           int
	waiting        []func()
	goodAnswers    int
	shortLatencies []time.Duration
	longAnswers    int
	// warmUpAnswers is the number of short calls answered in time that began in the warm-up.
	warmUpAnswers int
	warmUpEnd     time.Time
}

func newModel(seed uint64, warmUp time.Duration) *model {
	return &model{random: rand.New(rand.NewPCG(seed, 0)), now: start, warmUpEnd: start.Add(warmUp)}
}

func (m *model) schedule(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, event{at: m.now.Add(d), seq: m.seq, run: run})
}

// exponential returns a random time with the given mean.
func (m *model) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(mean))
}

// serve runs a call in a slot of the server as soon as one is free. The server also runs calls whose
// caller no longer waits for the answer.
func (m *model) serve(c *call, done func()) {
	run := shortRun/10 + m.exponential(shortRun*9/10)
	if c.long {
		run = longRun/2 + m.exponential(longRun/2)
	}
	begin := func() {
		m.busy++
		m.schedule(run, func() {
			m.busy--
			m.startWaiting()
			done()
		})
	}
	m.waiting = append(m.waiting, begin)
	m.startWaiting()
}

func (m *model) startWaiting() {
	for m.busy < slots && len(m.waiting) > 0 {
		begin := m.waiting[0]
		m.waiting = m.waiting[1:]
		begin()
	}
}

// countAnswer counts the first answer to a call, if it is in time.
func (m *model) countAnswer(c *call) {
	if c.answered || m.now.After(c.deadline) {
		return
	}
	c.answered = true
	if c.arrivedAt.Before(m.warmUpEnd) {
		if !c.long {
			m.warmUpAnswers++
		}
		return
	}
	m.goodAnswers++
	if c.long {
		m.longAnswers++
		return
	}
	m.shortLatencies = append(m.shortLatencies, m.now.Sub(c.arrivedAt))
}

// load offers calls to random policies, at a rate per second; longShare is the share of long calls.
func (m *model) load(rate, longShare float64, policies []policy) {
	id := uint64(0)
	var offer func()
	offer = func() {
		id++
		c := &call{id: id, arrivedAt: m.now, long: m.random.Float64() < longShare}
		c.deadline = m.now.Add(shortLimit)
		if c.long {
			c.deadline = m.now.Add(longLimit)
		}
		policies[m.random.IntN(len(policies))].arrive(c)
		m.schedule(m.exponential(time.Duration(float64(time.Second)/rate)), offer)
	}
	offer()
	end := m.warmUpEnd.Add(measured)
	for len(m.events) > 0 && m.events[0].at.Before(end) {
		s := heap.Pop(&m.events).(event)
		m.now = s.at
		s.run()
	}
}

// unlimited sends every call at once.
type unlimited struct{ model *model }

func (u unlimited) arrive(c *call) { u.model.serve(c, func() { u.model.countAnswer(c) }) }

// blindRetries sends every call at once, and up to three more times, each after a timeout without an
// answer.
type blindRetries struct{ model *model }

func (b blindRetries) arrive(c *call) { b.send(c, 3) }

func (b blindRetries) send(c *call, left int) {
	b.model.serve(c, func() { b.model.countAnswer(c) })
	timeout := shortLimit / 4
	if c.long {
		timeout = longLimit / 4
	}
	b.model.schedule(timeout, func() {
		if !c.answered && left > 0 {
			b.send(c, left-1)
		}
	})
}

// firstCome is a queue without classes or deadlines in front of a fixed number of connections.
type firstCome struct {
	model    *model
	inFlight int
	queued   []*call
}

func (f *firstCome) arrive(c *call) {
	f.queued = append(f.queued, c)
	f.sendNext()
}

func (f *firstCome) sendNext() {
	for f.inFlight < ceiling && len(f.queued) > 0 {
		c := f.queued[0]
		f.queued = f.queued[1:]
		f.inFlight++
		f.model.serve(c, func() {
			f.inFlight--
			f.model.countAnswer(c)
			f.sendNext()
		})
	}
}

// limited uses the types of this package.
type limited struct {
	model     *model
	admission *limit.Admission
	runs      *limit.RunTimes
	issuer    *limit.Issuer
	calls     map[uint64]*call
	classes   map[uint64]limit.Class
	// declared is the declared class of long calls.
	declared limit.Class
}

// operation returns the operation of a call.
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
		l.submit(c, class)
		return
	}
	token := limit.Token{Process: "all", Number: c.id}
	a := l.issuer.Step(l.model.now, limit.TokenAsked{Token: token, Length: longLimit})[0].(limit.AnswerToken)
	switch {
	case a.Granted:
		l.submit(c, class)
	case l.model.now.Add(a.Wait + l.runs.Estimate(operation(c))).Before(c.deadline):
		l.model.schedule(a.Wait, func() { l.arrive(c) })
	}
}

func (l *limited) submit(c *call, class limit.Class) {
	l.calls[c.id] = c
	l.classes[c.id] = class
	l.apply(l.admission.Submit(l.model.now, limit.Item{
		ID:       c.id,
		Class:    class,
		Deadline: c.deadline,
		Mean:     l.runs.Mean(operation(c)),
		Estimate: l.runs.Estimate(operation(c)),
	}))
}

func (l *limited) apply(decisions []limit.Decision) {
	for _, d := range decisions {
		c, class := l.calls[d.ID], l.classes[d.ID]
		delete(l.calls, d.ID)
		delete(l.classes, d.ID)
		if d.Kind != limit.KindNone {
			l.returnToken(c, class)
			continue
		}
		sent := l.model.now
		l.model.serve(c, func() { l.finish(c, class, l.model.now.Sub(sent)) })
	}
}

func (l *limited) finish(c *call, class limit.Class, latency time.Duration) {
	s := limit.Sample{Outcome: limit.Ran, Latency: latency, BaseLatency: l.runs.BaseLatency(operation(c))}
	l.runs.Observe(operation(c), latency)
	l.model.countAnswer(c)
	l.returnToken(c, class)
	l.apply(l.admission.Finish(l.model.now, class, s))
}

func (l *limited) returnToken(c *call, class limit.Class) {
	if class == limit.Long {
		l.issuer.Step(l.model.now, limit.TokenReturned{Token: limit.Token{Process: "all", Number: c.id}})
	}
}

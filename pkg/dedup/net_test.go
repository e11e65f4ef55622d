package dedup_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/dedup"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a step of the simulation. Equal times keep the order of creation, so that a seed
// reproduces a run. It holds no pointer, so that the garbage collector does not scan the queue.
type event struct {
	at   time.Duration
	seq  int32
	slot int32
}

func (e event) before(f event) bool {
	return e.at < f.at || e.at == f.at && e.seq < f.seq
}

// events is a binary heap of events. With container/heap, the conversion of each event to an interface
// took a fifth of the run time.
type events struct {
	heap  []event
	steps []func()
	free  []int32
}

func (q *events) push(at time.Duration, seq int32, run func()) {
	if len(q.free) == 0 {
		q.free = append(q.free, int32(len(q.steps)))
		q.steps = append(q.steps, nil)
	}
	slot := q.free[len(q.free)-1]
	q.free = q.free[:len(q.free)-1]
	q.steps[slot] = run
	q.heap = append(q.heap, event{at: at, seq: seq, slot: slot})
	for i := len(q.heap) - 1; i > 0 && q.heap[i].before(q.heap[(i-1)/2]); i = (i - 1) / 2 {
		q.heap[i], q.heap[(i-1)/2] = q.heap[(i-1)/2], q.heap[i]
	}
}

func (q *events) pop() (time.Duration, func()) {
	first := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap = q.heap[:last]
	q.down()
	run := q.steps[first.slot]
	q.steps[first.slot] = nil
	q.free = append(q.free, first.slot)
	return first.at, run
}

func (q *events) down() {
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(q.heap) {
			return
		}
		if child+1 < len(q.heap) && q.heap[child+1].before(q.heap[child]) {
			child++
		}
		if !q.heap[child].before(q.heap[i]) {
			return
		}
		q.heap[i], q.heap[child] = q.heap[child], q.heap[i]
		i = child
	}
}

// faultRates holds the probability of each fault in one schedule.
type faultRates struct {
	drop, duplicate, delay  float64
	crash, pause, partition float64
	move, planEarly         float64
}

// sim runs entry processes, recorders and a decider on simulated time in one goroutine.
type sim struct {
	random     *rand.Rand
	rates      faultRates
	now        time.Time
	seq        int32
	queue      events
	processes  []*process
	decider    *decider
	histories  []*history
	config     dedup.Config
	counts     map[string]int
	violations []string
	// trace receives a line for each step; it is nil in runs of several schedules.
	trace io.Writer
}

func (s *sim) tracef(format string, args ...any) {
	if s.trace != nil {
		fmt.Fprintf(s.trace, "%8s %s\n", s.now.Sub(start), fmt.Sprintf(format, args...))
	}
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	s.queue.push(s.now.Sub(start)+d, s.seq, run)
}

func (s *sim) run() {
	for len(s.queue.heap) > 0 && len(s.violations) == 0 {
		at, step := s.queue.pop()
		if at > simEnd {
			return
		}
		s.now = start.Add(at)
		step()
	}
}

func (s *sim) chance(p float64) bool { return s.random.Float64() < p }

func (s *sim) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.random.Int64N(int64(to-from)))
}

// send delivers a message to a process once or twice, each copy after a random delay, or drops it.
func (s *sim) send(to *process, run func()) {
	copies := 1
	if s.chance(s.rates.duplicate) {
		copies = 2
	}
	for range copies {
		if s.chance(s.rates.drop) {
			continue
		}
		delay := s.between(time.Millisecond, 12*time.Millisecond)
		if s.chance(s.rates.delay) {
			delay = s.between(10*time.Millisecond, 1500*time.Millisecond)
		}
		s.after(delay, func() { s.deliver(to, run) })
	}
}

// deliver runs the handler of a message if the process is running, after any pause.
func (s *sim) deliver(to *process, run func()) {
	if to.recorder == nil {
		return
	}
	if s.now.Before(to.pausedUntil) {
		s.after(to.pausedUntil.Sub(s.now), func() { s.deliver(to, run) })
		return
	}
	run()
}

// afterInIncarnation runs a timer of a process, unless the process has restarted by then.
func (s *sim) afterInIncarnation(p *process, d time.Duration, run func()) {
	incarnation := p.incarnation
	s.after(d, func() {
		s.deliver(p, func() {
			if p.incarnation == incarnation {
				run()
			}
		})
	})
}

func (s *sim) process(id assign.ProcessID) *process {
	for _, p := range s.processes {
		if p.id == id {
			return p
		}
	}
	return nil
}

// faultLoop crashes, restarts and pauses processes, and partitions some from the decider. Those still
// reach each other, and serve with their old table until their leases expire.
func (s *sim) faultLoop() {
	if s.chance(s.rates.partition) {
		s.counts["cut"]++
		until := s.now.Add(s.between(200*time.Millisecond, 900*time.Millisecond))
		for _, p := range s.processes {
			if s.chance(0.5) {
				s.tracef("%s is partitioned from the decider", p.id)
				p.partitionedUntil = until
			}
		}
	}
	for _, p := range s.processes {
		switch {
		case p.recorder == nil:
			if s.chance(0.3) {
				p.restart()
			}
		case s.chance(s.rates.crash):
			s.counts["crash"]++
			s.tracef("%s crashes", p.id)
			p.recorder = nil
			if s.chance(0.5) {
				p.restart()
			}
		case s.chance(s.rates.pause):
			s.counts["pause"]++
			s.tracef("%s pauses", p.id)
			p.pausedUntil = s.now.Add(s.between(50*time.Millisecond, 1200*time.Millisecond))
		}
	}
	s.after(s.between(100*time.Millisecond, 300*time.Millisecond), s.faultLoop)
}

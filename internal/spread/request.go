package spread

import (
	"container/heap"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/pick"
)

// event is a function that runs at a simulated time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// events is a heap of events in order of time, and of sequence at the same time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}

// after runs a function after a delay.
func (s *simulation) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now.Add(d), sequence: s.sequence, run: run})
}

func (s *simulation) objective() time.Duration { return objectiveRuns * s.config.Run }

// arrive schedules the next request of a domain's callers.
func (s *simulation) arrive(domain int) {
	gap := s.random.ExpFloat64() / s.demand[domain]
	s.after(time.Duration(gap*float64(time.Second)), func() {
		if !s.now.Before(s.end) {
			return
		}
		group := s.processes[domain]
		r := &request{process: group[s.random.IntN(len(group))], arrived: s.now}
		if s.config.Spill {
			r.call.Objective = s.objective()
		}
		r.process.retries.CountCall(s.now)
		s.send(r)
		s.arrive(domain)
	})
}

// send makes one attempt of a request.
func (s *simulation) send(r *request) {
	r.attempts++
	p := r.process
	id, ok := p.picker.PickFor(s.now, r.call)
	if !ok {
		s.finish(r, false)
		return
	}
	p.picker.StartFor(s.now, id, r.call)
	v := s.servers[serverIndex(id)]
	way := nearWay
	if v.domain != p.domain {
		way, r.crossed = farWay, true
	}
	sent := s.now
	respond := func(rejected bool) {
		load := pick.Report{Load: float64(v.running+len(v.waiting)) / slots, MaxAge: reportMaxAge}
		s.after(way, func() {
			if s.config.Spill {
				p.picker.Report(s.now, id, load)
			}
			p.picker.Done(s.now, id, pick.Result{
				Latency: s.now.Sub(sent), Objective: r.call.Objective, Rejected: rejected, Failed: rejected,
			})
			r.call.Avoid, r.call.Rejected = id, rejected && v.domain == p.domain
			s.next(r, rejected)
		})
	}
	s.after(way, func() { s.enter(v, respond) })
}

// enter runs a request at a server, puts it in the queue, or rejects it.
func (s *simulation) enter(v *server, respond func(rejected bool)) {
	switch {
	case v.lost:
		s.after(dialTime, func() { respond(true) })
	case v.running < slots:
		s.run(v, respond)
	case len(v.waiting) < queue:
		v.waiting = append(v.waiting, func() { s.run(v, respond) })
	default:
		respond(true)
	}
}

// run runs a request in a slot of a server.
func (s *simulation) run(v *server, respond func(rejected bool)) {
	v.running++
	took := time.Duration(s.random.ExpFloat64() * float64(s.config.Run) * s.slowdown[v.domain])
	s.after(took, func() {
		v.running--
		respond(false)
		if len(v.waiting) > 0 && v.running < slots {
			first := v.waiting[0]
			v.waiting = v.waiting[1:]
			first()
		}
	})
}

// next ends a request or makes another attempt.
func (s *simulation) next(r *request, rejected bool) {
	if rejected && r.attempts < maxAttempts && r.process.retries.Take(s.now) {
		s.send(r)
		return
	}
	s.finish(r, !rejected)
}

// finish counts a request.
func (s *simulation) finish(r *request, answered bool) {
	since := r.arrived.Sub(epoch)
	count := &s.seconds[r.process.domain][int(since/time.Second)]
	count[0]++
	if r.crossed {
		count[1]++
	}
	if since < s.config.From || since >= s.config.Until {
		return
	}
	t := &s.totals[r.process.domain]
	t.Requests++
	if r.crossed {
		t.Crossed++
	}
	if answered && s.now.Sub(r.arrived) <= s.objective() {
		t.Good++
	}
}

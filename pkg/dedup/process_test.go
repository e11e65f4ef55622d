package dedup_test

import (
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/dedup"
)

const (
	simLease        = 400 * time.Millisecond
	simHeartbeat    = 70 * time.Millisecond
	simSilenceLimit = 160 * time.Millisecond
	simWindow       = 2500 * time.Millisecond
	simEnd          = 6 * time.Second
	simDeadline     = 500 * time.Millisecond
)

// process is a simulated entry process with its recorder and its bookings.
type process struct {
	sim         *sim
	id          assign.ProcessID
	incarnation uint64
	number      uint64
	recorder    *dedup.Recorder
	bookings    map[dedup.Attempt]*runningBooking
	view        dedup.View
	leaseEnds   time.Time
	pausedUntil time.Time
	// partitionedUntil is the time until which the process and the decider do not reach each other.
	partitionedUntil time.Time
}

// runningBooking is an attempt to run a booking at its entry process.
type runningBooking struct {
	*dedup.Booking
	attempt dedup.Attempt
	history *history
	// earlier holds the calls of other attempts that were sent before this one began.
	earlier   []*sentCall
	deadline  time.Time
	concluded bool
}

// restart replaces the process by a new incarnation without any state.
func (p *process) restart() {
	p.incarnation++
	p.number = 0
	c := p.sim.config
	c.Self = p.id
	c.Incarnation = p.incarnation
	p.recorder = dedup.NewRecorder(c)
	p.bookings = map[dedup.Attempt]*runningBooking{}
	p.view = dedup.View{}
	p.leaseEnds = time.Time{}
	p.pausedUntil = time.Time{}
	p.tickRecorder()
}

func (p *process) tickRecorder() {
	p.sendAsks(p.recorder.Step(p.sim.now, dedup.Tick{}))
	p.sim.afterInIncarnation(p, p.sim.between(80*time.Millisecond, 250*time.Millisecond), p.tickRecorder)
}

func (p *process) sendAsks(actions []dedup.RecorderAction) {
	for _, a := range actions {
		ask := a.(dedup.SendAsk)
		to := p.sim.process(ask.To)
		p.sim.send(to, func() {
			chunk := to.recorder.Export(p.sim.now, ask.Ask)
			p.sim.send(p, func() { p.chunkReceived(chunk) })
		})
	}
}

func (p *process) chunkReceived(c dedup.Chunk) {
	before := len(p.recorder.Ready())
	if p.sim.trace != nil {
		p.sim.tracef("%s receives %+v", p.id, c)
	}
	p.sendAsks(p.recorder.Step(p.sim.now, dedup.ChunkReceived{Chunk: c}))
	if len(p.recorder.Ready()) > before {
		p.sim.counts["copy"]++
	}
}

// heartbeat handles a heartbeat that the decider sent at the given time with its table of that time.
func (p *process) heartbeat(sent time.Time, v dedup.View) {
	if p.sim.now.Before(p.partitionedUntil) {
		return
	}
	if e := sent.Add(simLease); e.After(p.leaseEnds) {
		p.leaseEnds = e
	}
	if v.Version > p.view.Version {
		p.view = v
		p.sendAsks(p.recorder.Step(p.sim.now, dedup.TableApplied{
			Version: v.Version,
			Buckets: []assign.Bucket{v.Bucket},
		}))
		for _, a := range p.attempts() {
			p.step(p.bookings[a], dedup.TableChanged{View: v})
		}
	}
	for _, a := range p.attempts() {
		p.step(p.bookings[a], dedup.TableConfirmed{Version: v.Version, At: sent})
	}
	r := report{
		incarnation: p.incarnation,
		version:     p.recorder.Version(),
		ready:       len(p.recorder.Ready()) > 0,
	}
	p.sim.after(p.sim.between(time.Millisecond, 12*time.Millisecond), func() {
		p.sim.decider.reported(p.id, r)
	})
}

// attempts returns the open attempts sorted by number, so that a seed reproduces a run.
func (p *process) attempts() []dedup.Attempt {
	if len(p.bookings) == 0 {
		return nil
	}
	var open []dedup.Attempt
	for n := uint64(1); n <= p.number; n++ {
		a := dedup.Attempt{Process: p.id, Incarnation: p.incarnation, Number: n}
		if _, ok := p.bookings[a]; ok {
			open = append(open, a)
		}
	}
	return open
}

// submit starts an attempt for a caller.
func (p *process) submit(h *history) {
	s := p.sim
	if p.view.Version == 0 || !s.now.Before(p.leaseEnds) {
		s.counts["no-lease"]++
		return
	}
	p.number++
	a := dedup.Attempt{Process: p.id, Incarnation: p.incarnation, Number: p.number}
	deadline := s.now.Add(simDeadline)
	if end := h.first.Add(simWindow); deadline.After(end) && !issued(h.key) {
		// An identifier that a caller chose is protected for the length of the window only.
		deadline = end
	}
	b := &runningBooking{attempt: a, history: h, earlier: slices.Clone(h.sends), deadline: deadline}
	b.Booking = dedup.NewBooking(s.now, dedup.BookingConfig{
		Attempt:    a,
		Key:        h.key,
		Deadline:   deadline,
		RetryWait:  40 * time.Millisecond,
		FinishTime: 2 * time.Second,
	}, p.view)
	p.bookings[a] = b
	p.step(b, dedup.Begin{})
	p.tickBooking(b)
}

func (p *process) tickBooking(b *runningBooking) {
	if b.Closed() {
		return
	}
	p.step(b, dedup.Tick{})
	p.sim.afterInIncarnation(p, p.sim.between(30*time.Millisecond, 60*time.Millisecond), func() { p.tickBooking(b) })
}

func (p *process) step(b *runningBooking, e dedup.BookingEvent) {
	for _, a := range b.Step(p.sim.now, e) {
		if p.sim.trace != nil {
			p.sim.tracef("%v %T -> %T%+v", b.attempt, e, a, a)
		}
		switch a := a.(type) {
		case dedup.SendReserve:
			p.sendReserve(b, a)
		case dedup.SendFinish:
			p.sendFinish(b, a)
		case dedup.SendCall:
			p.sendCall(b)
		case dedup.Conclude:
			b.history.concluded(b, a)
		case dedup.Close:
			p.sim.counts["closed"]++
			p.sim.after(simDeadline, func() { delete(p.bookings, b.attempt) })
		}
	}
}

func (p *process) sendReserve(b *runningBooking, a dedup.SendReserve) {
	to := p.sim.process(a.To)
	if p.sim.chance(p.sim.rates.pause / 4) {
		// If the process pauses between request and answer for longer than its lease, the
		// reservation completes but the call must not be sent.
		p.pausedUntil = p.sim.now.Add(p.sim.between(200*time.Millisecond, simDeadline))
	}
	p.sim.send(to, func() {
		answer := to.recorder.Reserve(p.sim.now, a.Reserve)
		if p.sim.trace != nil {
			p.sim.tracef("%s answers %v with %s", a.To, a.Reserve, answer.Status)
		}
		p.sim.send(p, func() {
			if p.bookings[b.attempt] == b {
				p.step(b, dedup.ReserveAnswered{From: a.To, Reserved: answer})
			}
		})
	})
}

func (p *process) sendFinish(b *runningBooking, a dedup.SendFinish) {
	to := p.sim.process(a.To)
	p.sim.send(to, func() {
		answer := to.recorder.Finish(p.sim.now, a.Finish)
		p.sim.send(p, func() {
			if p.bookings[b.attempt] == b {
				p.step(b, dedup.FinishAnswered{From: a.To, Ended: answer})
			}
		})
	})
}

// sendCall sends the call to a simulated server, which runs it, refuses it or does not answer.
func (p *process) sendCall(b *runningBooking) {
	s := p.sim
	if !s.now.Before(p.leaseEnds) {
		s.counts["lease-lapsed"]++
		p.step(b, dedup.CallEnded{Outcome: dedup.NotRun})
		return
	}
	b.history.send(b)
	length := s.between(time.Millisecond, 60*time.Millisecond)
	if s.chance(0.1) {
		length = s.between(time.Millisecond, 2*time.Second)
	}
	s.afterInIncarnation(p, length, func() {
		e := dedup.CallEnded{Outcome: dedup.Ran, Answer: dedup.Answer{Status: b.history.answerStatus(b)}}
		switch x := s.random.Float64(); {
		case x < 0.2:
			e = dedup.CallEnded{Outcome: dedup.NotRun}
		case x < 0.35:
			e = dedup.CallEnded{Outcome: dedup.Unknown}
		}
		b.history.ended(b, e.Outcome)
		p.step(b, e)
	})
}

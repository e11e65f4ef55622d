package dedup_test

import (
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/dedup"
)

const (
	simLease    = 400 * time.Millisecond
	simBeat     = 70 * time.Millisecond
	simSilence  = 160 * time.Millisecond
	simWindow   = 2500 * time.Millisecond
	simEnd      = 6 * time.Second
	simDeadline = 500 * time.Millisecond
)

// process is one entry process: a recorder and the bookings it runs.
type process struct {
	sim         *sim
	id          assign.ProcessID
	incarnation uint64
	number      uint64
	recorder    *dedup.Recorder
	bookings    map[dedup.Attempt]*running
	view        dedup.View
	leaseEnds   time.Time
	pausedUntil time.Time
	// cutUntil is the time until which the process and the decider do not reach each other.
	cutUntil time.Time
}

// running is a booking at its entry process.
type running struct {
	*dedup.Booking
	attempt dedup.Attempt
	history *history
	// earlier are the calls of other attempts that were sent before this one began.
	earlier   []*sent
	deadline  time.Time
	concluded bool
}

// restart replaces the process by a new incarnation that has forgotten everything.
func (p *process) restart() {
	p.incarnation++
	p.number = 0
	c := p.sim.config
	c.Self = p.id
	c.Incarnation = p.incarnation
	p.recorder = dedup.NewRecorder(c)
	p.bookings = map[dedup.Attempt]*running{}
	p.view = dedup.View{}
	p.leaseEnds = time.Time{}
	p.pausedUntil = time.Time{}
	p.tickRecorder()
}

func (p *process) tickRecorder() {
	p.recorderActions(p.recorder.Step(p.sim.now, dedup.Tick{}))
	p.sim.within(p, p.sim.between(80*time.Millisecond, 250*time.Millisecond), p.tickRecorder)
}

func (p *process) recorderActions(actions []dedup.RecorderAction) {
	for _, a := range actions {
		ask := a.(dedup.SendAsk)
		to := p.sim.process(ask.To)
		p.sim.send(to, func() {
			chunk := to.recorder.Export(p.sim.now, ask.Ask)
			p.sim.send(p, func() { p.receive(chunk) })
		})
	}
}

func (p *process) receive(c dedup.Chunk) {
	before := len(p.recorder.Ready())
	if p.sim.trace != nil {
		p.sim.note("%s receives %+v", p.id, c)
	}
	p.recorderActions(p.recorder.Step(p.sim.now, dedup.ChunkReceived{Chunk: c}))
	if len(p.recorder.Ready()) > before {
		p.sim.counts["copy"]++
	}
}

// beat is a heartbeat of the decider that was sent at a time with the table of then.
func (p *process) beat(sent time.Time, v dedup.View) {
	if p.sim.now.Before(p.cutUntil) {
		return
	}
	if e := sent.Add(simLease); e.After(p.leaseEnds) {
		p.leaseEnds = e
	}
	if v.Version > p.view.Version {
		p.view = v
		p.recorderActions(p.recorder.Step(p.sim.now, dedup.TableApplied{
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

// attempts returns the open attempts in their order, so that a seed reproduces a run.
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
		// A caller's own identifier is protected for the window only.
		deadline = end
	}
	b := &running{attempt: a, history: h, earlier: slices.Clone(h.sends), deadline: deadline}
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

func (p *process) tickBooking(b *running) {
	if b.Closed() {
		return
	}
	p.step(b, dedup.Tick{})
	p.sim.within(p, p.sim.between(30*time.Millisecond, 60*time.Millisecond), func() { p.tickBooking(b) })
}

func (p *process) step(b *running, e dedup.BookingEvent) {
	for _, a := range b.Step(p.sim.now, e) {
		if p.sim.trace != nil {
			p.sim.note("%v %T -> %T%+v", b.attempt, e, a, a)
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

func (p *process) sendReserve(b *running, a dedup.SendReserve) {
	to := p.sim.process(a.To)
	if p.sim.chance(p.sim.weather.pause / 4) {
		// A pause between the request and the answer, longer than the lease, is the case in which
		// the reservation is complete and the call must not be sent.
		p.pausedUntil = p.sim.now.Add(p.sim.between(200*time.Millisecond, simDeadline))
	}
	p.sim.send(to, func() {
		answer := to.recorder.Reserve(p.sim.now, a.Reserve)
		if p.sim.trace != nil {
			p.sim.note("%s answers %v with %s", a.To, a.Reserve, answer.Status)
		}
		p.sim.send(p, func() {
			if p.bookings[b.attempt] == b {
				p.step(b, dedup.ReserveAnswered{From: a.To, Reserved: answer})
			}
		})
	})
}

func (p *process) sendFinish(b *running, a dedup.SendFinish) {
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

// sendCall sends the call to a server that runs it, refuses it or does not answer.
func (p *process) sendCall(b *running) {
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
	s.within(p, length, func() {
		e := dedup.CallEnded{Outcome: dedup.Ran, Answer: dedup.Answer{Status: b.history.mark(b)}}
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

package shard

import (
	"slices"
	"time"
)

// order returns the orders of a row that are due.
func (d *Decider) order(now time.Time, s *service, r *row) []Action {
	if d.staged(r) {
		return d.keep(now, s, r)
	}
	r.current = nil
	r.prior = slices.DeleteFunc(r.prior, func(p *prior) bool { return !now.Before(later(p.until, p.pending)) })
	if len(r.prior) > 0 {
		return recall(now, s, r)
	}
	if r.sending || now.Before(r.next) || !s.usable(now, r.Owner) {
		return nil
	}
	hold := d.hold(now, r)
	if hold <= 0 {
		return nil
	}
	r.sending = true
	r.pending = now.Add(OrderTimeout + clockMargin.AddTo(hold))
	return []Action{Grant{
		Service: s.id, Range: r.Range, Owner: r.Owner, Fence: r.Fence, Hold: hold, Handover: r.handover,
		Renewal: r.Open,
	}}
}

// hold returns for how long to grant a row. After a grant without an answer the next one ends no
// later, so that the owner can be replaced when the first one has lapsed.
func (d *Decider) hold(now time.Time, r *row) time.Duration {
	if r.Open && r.failures > 0 {
		left := r.until.Sub(now) - OrderTimeout - clockMargin.Slack
		return time.Duration(float64(left) / (1 + clockMargin.Rate))
	}
	if d.away {
		return d.config.LongestHold
	}
	return d.config.Hold
}

// keep renews the present owner while its successor is not stored, which takes long where the
// store is slow.
func (d *Decider) keep(now time.Time, s *service, r *row) []Action {
	if r.current == nil || !r.current.Open || !s.serving(now, r.current.Owner) {
		return nil
	}
	for _, p := range r.prior {
		if !p.same(r.current.Owner) || p.sending || now.Before(p.next) {
			continue
		}
		p.sending = true
		hold := d.hold(now, r)
		p.pending = now.Add(OrderTimeout + clockMargin.AddTo(hold))
		return []Action{Grant{
			Service: s.id, Range: r.Range, Owner: p.Holder, Fence: r.current.Fence, Hold: hold,
			Renewal: true,
		}}
	}
	return nil
}

// recall returns the releases of a row that are due.
func recall(now time.Time, s *service, r *row) []Action {
	var actions []Action
	for _, p := range r.prior {
		if p.sending || now.Before(p.next) || now.Before(s.silent[p.Server]) {
			continue
		}
		if _, ok := s.silent[p.Server]; ok {
			// One release tries whether the server answers again; the others follow it.
			s.silent[p.Server] = now.Add(silentFor)
		}
		p.sending = true
		actions = append(actions, Release{Service: s.id, Range: r.Range, Holder: p.Holder, Fence: r.Fence})
	}
	return actions
}

func (d *Decider) granted(now time.Time, e Granted) {
	s := d.services[e.Grant.Service]
	if s == nil {
		return
	}
	r := s.find(e.Grant.Range)
	if r == nil {
		return
	}
	if r.Fence != e.Grant.Fence || !r.Owner.same(e.Grant.Owner) {
		s.kept(now, r, e)
		return
	}
	r.sending = false
	if e.Outcome == Lost {
		r.until = later(r.until, r.pending)
	}
	r.pending = time.Time{}
	switch e.Outcome {
	case Done:
		r.failures = 0
		r.next = now.Add(min(d.config.Hold, e.Grant.Hold) / renewals)
		r.until = later(r.until, now.Add(clockMargin.AddTo(e.Grant.Hold)))
		r.handover = ""
		if !r.Open {
			r.Open = true
			d.touch(r)
		}
	case Fenced:
		// Another decider has moved the keys since, or the server has seen a later release.
		r.Fence = s.take()
		r.Open = false
		r.next = now
		r.current = nil
		d.stage(r)
	case Ended:
		r.until = now
		s.suspects[r.Owner.Server] = now.Add(suspectFor)
	case Lost:
		r.failures++
		r.next = now.Add(retryEvery)
		s.suspect(now, r)
	}
}

// kept handles the renewal of an owner whose successor is not stored yet.
func (s *service) kept(now time.Time, r *row, e Granted) {
	for _, p := range r.prior {
		if p.fence != e.Grant.Fence || !p.same(e.Grant.Owner) {
			continue
		}
		p.sending = false
		p.next = now.Add(e.Grant.Hold / renewals)
		switch e.Outcome {
		case Done:
			p.until = later(p.until, now.Add(clockMargin.AddTo(e.Grant.Hold)))
		case Lost:
			p.until = later(p.until, p.pending)
		case Fenced, Ended:
		}
		p.pending = time.Time{}
	}
}

// suspect decides whether to replace an owner that does not answer orders. One that has the keys and runs
// requests is only too busy to answer, or its answers are lost.
func (s *service) suspect(now time.Time, r *row) {
	working := r.Open && now.Sub(s.worked[r.Owner.Server]) < workingFor
	if r.failures >= suspectAfter && !working {
		s.suspects[r.Owner.Server] = now.Add(suspectFor)
	}
}

func (d *Decider) released(now time.Time, e Released) {
	s := d.services[e.Release.Service]
	if s == nil {
		return
	}
	r := s.find(e.Release.Range)
	if r == nil || r.Fence != e.Release.Fence {
		return
	}
	i := slices.IndexFunc(r.prior, func(p *prior) bool { return p.same(e.Release.Holder) })
	if i < 0 {
		return
	}
	p := r.prior[i]
	p.sending = false
	if e.Outcome == Lost || e.Outcome == Fenced {
		p.next = now.Add(retryEvery)
		s.silent[p.Server] = now.Add(silentFor)
		return
	}
	delete(s.silent, p.Server)
	r.prior = slices.Delete(r.prior, i, i+1)
	if e.Handover != "" {
		r.handover = e.Handover
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

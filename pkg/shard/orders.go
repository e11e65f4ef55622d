package shard

import (
	"slices"
	"time"
)

// dueOrders returns the orders for a row that are due.
func (d *Decider) dueOrders(now time.Time, s *service, r *row) []Action {
	if d.writePending(r) {
		return d.renewCurrent(now, s, r)
	}
	r.current = nil
	d.dropPriors(r, func(p *priorOwner) bool { return !now.Before(later(p.heldUntil, p.pendingUntil)) })
	if len(r.priorOwners) > 0 {
		return dueReleases(now, s, r)
	}
	if r.inFlight || now.Before(r.nextOrder) || !s.eligible(now, r.Owner) && !s.keepsGrant(now, r) {
		return nil
	}
	hold := d.holdFor(now, r)
	if hold <= 0 {
		return nil
	}
	r.inFlight = true
	r.pendingUntil = now.Add(GrantTimeout + clockMargin.AddTo(hold))
	return []Action{Grant{
		Service: s.id, Range: r.Range, Owner: r.Owner, Fence: r.Fence, Hold: hold, Handover: r.handover,
		Renewal: r.Open,
	}}
}

// holdFor returns the hold time of the next grant of a row. After a grant without an answer, the next one must not
// end later, so that the owner can be replaced as soon as the first one has expired.
func (d *Decider) holdFor(now time.Time, r *row) time.Duration {
	if r.Open && r.failures > 0 {
		remaining := r.heldUntil.Sub(now) - GrantTimeout - clockMargin.Slack
		return time.Duration(float64(remaining) / (1 + clockMargin.Rate))
	}
	if d.storeDown {
		return d.config.LongestHold
	}
	return d.config.Hold
}

// renewCurrent renews the grant of the owner in force while the row with its successor is not stored yet, which
// takes long if the store is slow.
func (d *Decider) renewCurrent(now time.Time, s *service, r *row) []Action {
	if r.current == nil || !r.current.Open || !s.canRenew(now, r.current.Owner) || r.heldByOthers(r.current.Owner) {
		return nil
	}
	for _, p := range r.priorOwners {
		if !p.sameRun(r.current.Owner) || p.inFlight || now.Before(p.nextOrder) {
			continue
		}
		p.inFlight = true
		hold := d.holdFor(now, r)
		p.pendingUntil = now.Add(GrantTimeout + clockMargin.AddTo(hold))
		return []Action{Grant{
			Service: s.id, Range: r.Range, Owner: p.Holder, Fence: r.current.Fence, Hold: hold,
			Renewal: true,
		}}
	}
	return nil
}

// dropPriors removes the earlier owners that hold none of the keys any more.
func (d *Decider) dropPriors(r *row, ended func(*priorOwner) bool) {
	before := len(r.priorOwners)
	r.priorOwners = slices.DeleteFunc(r.priorOwners, ended)
	if len(r.priorOwners) < before && r.Open {
		d.bumpVersion(r)
	}
}

// heldByOthers reports whether another earlier owner than the given one may hold keys of the row, after a recovery.
func (r *row) heldByOthers(h Holder) bool {
	return slices.ContainsFunc(r.priorOwners, func(p *priorOwner) bool { return !p.sameRun(h) })
}

// dueReleases returns the releases that are due to the prior owners of a row.
func dueReleases(now time.Time, s *service, r *row) []Action {
	var actions []Action
	for _, p := range r.priorOwners {
		if p.inFlight || now.Before(p.nextOrder) || now.Before(s.unresponsive[runOf(p.Holder)]) {
			continue
		}
		if _, ok := s.unresponsive[runOf(p.Holder)]; ok {
			// A single release probes whether the server answers again. The other releases wait for its outcome.
			s.unresponsive[runOf(p.Holder)] = now.Add(probeInterval)
		}
		p.inFlight = true
		actions = append(actions, Release{Service: s.id, Range: r.Range, Holder: p.Holder, Fence: r.Fence})
	}
	return actions
}

// handleGranted updates the row of a grant with its outcome. A grant that does not match the row's owner and fence is
// a renewal by renewCurrent, or outdated.
func (d *Decider) handleGranted(now time.Time, e Granted) {
	s := d.services[e.Grant.Service]
	if s == nil {
		return
	}
	r := s.find(e.Grant.Range)
	if r == nil {
		return
	}
	if r.Fence != e.Grant.Fence || !r.Owner.sameRun(e.Grant.Owner) {
		d.handleCurrentRenewal(now, r, e)
		return
	}
	r.inFlight = false
	if e.Outcome == Lost {
		r.heldUntil = later(r.heldUntil, r.pendingUntil)
	}
	r.pendingUntil = time.Time{}
	switch e.Outcome {
	case Done:
		r.failures = 0
		r.nextOrder = now.Add(min(d.config.Hold, e.Grant.Hold) / renewalsPerHold)
		r.heldUntil = later(r.heldUntil, now.Add(clockMargin.AddTo(e.Grant.Hold)))
		r.handover = ""
		if !r.Open {
			r.Open = true
			d.bumpVersion(r)
		}
	case Fenced:
		// Another decider has moved the keys since, or the server has seen a later release. The row gets a higher
		// fencing number, which must be stored before the next grant.
		r.Fence = s.allocateFence()
		r.Open = false
		r.nextOrder = now
		r.current = nil
		d.scheduleWrite(r)
	case Ended:
		r.heldUntil = now
		s.suspects[runOf(r.Owner)] = now.Add(suspectDuration)
	case Lost:
		r.failures++
		r.nextOrder = now.Add(retryInterval)
		s.suspectOwner(now, r)
	}
}

// handleCurrentRenewal handles the outcome of a renewal by renewCurrent. If the row has been stored meanwhile, the release of
// its keys is due.
func (d *Decider) handleCurrentRenewal(now time.Time, r *row, e Granted) {
	for _, p := range r.priorOwners {
		if p.fence != e.Grant.Fence || !p.sameRun(e.Grant.Owner) {
			continue
		}
		p.inFlight = false
		p.nextOrder = now
		if d.writePending(r) {
			p.nextOrder = now.Add(e.Grant.Hold / renewalsPerHold)
		}
		switch e.Outcome {
		case Done:
			p.heldUntil = later(p.heldUntil, now.Add(clockMargin.AddTo(e.Grant.Hold)))
		case Lost:
			p.heldUntil = later(p.heldUntil, p.pendingUntil)
		case Fenced, Ended:
		}
		p.pendingUntil = time.Time{}
	}
}

// suspectOwner marks the owner of a row as suspect after suspectThreshold grants without an answer, unless it has
// confirmed a grant of the keys and was recently active: such an owner is only too busy to answer, or its answers are
// lost.
func (s *service) suspectOwner(now time.Time, r *row) {
	active := r.Open && now.Sub(s.lastActive[r.Owner.Server]) < activeWindow
	if r.failures >= suspectThreshold && !active {
		s.suspects[runOf(r.Owner)] = now.Add(suspectDuration)
	}
}

// handleReleased removes a prior owner that no longer holds the keys, or schedules the next attempt.
func (d *Decider) handleReleased(now time.Time, e Released) {
	s := d.services[e.Release.Service]
	if s == nil {
		return
	}
	if s.recovery != nil && e.Release.Recovery {
		s.recovery.released(now, e)
		return
	}
	r := s.find(e.Release.Range)
	if r == nil || r.Fence != e.Release.Fence {
		return
	}
	i := slices.IndexFunc(r.priorOwners, func(p *priorOwner) bool { return p.sameRun(e.Release.Holder) })
	if i < 0 {
		return
	}
	p := r.priorOwners[i]
	p.inFlight = false
	if e.Outcome == Lost || e.Outcome == Fenced {
		p.nextOrder = now.Add(retryInterval)
		s.unresponsive[runOf(p.Holder)] = now.Add(probeInterval)
		return
	}
	delete(s.unresponsive, runOf(p.Holder))
	d.dropPriors(r, func(o *priorOwner) bool { return o == p })
	if e.Handover != "" {
		r.handover = e.Handover
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

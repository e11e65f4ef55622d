package elect

import (
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

const (
	// repeatsPerBeat is how often a candidate repeats its probes and claims in a heartbeat
	// interval, as a message may be lost or an elector's promise may lapse a little later.
	repeatsPerBeat = 4
	// maxBackoff bounds the random delay to Beat<<maxBackoff, so that several failed rounds still
	// end within the lease of the entry processes.
	maxBackoff = 1
)

// candidate is the state of the process as a candidate or decider.
type candidate struct {
	role role
	// term is the term that is claimed or held.
	term uint64
	// seen is the highest term seen anywhere, the next claim is above it.
	seen uint64
	// next is when a follower starts to probe.
	next time.Time
	// until is when a probe or claim without a majority ends; repeat is when it is sent again.
	until    time.Time
	repeat   time.Time
	failures int
	// willing are the electors that would grant a claim.
	willing map[assign.ProcessID]bool
	// refused are the electors that have promised the claimed term to another process.
	refused map[assign.ProcessID]bool
	// floor is the elector's floor before its promise to this process's own claim.
	floor uint64
	// held are the promises for term.
	held map[assign.ProcessID]*lease.Held
	// expires is when the promises of a majority are no longer all valid.
	expires time.Time
}

func (m *Machine) tick(now time.Time, e Tick) {
	if e.Latest.After(now) {
		m.skew = e.Latest.Sub(now)
	} else {
		m.skew = 0
	}
	m.latest = now.Add(m.skew)
	m.tickElector(now)
	switch m.candidate.role {
	case following:
		m.tickFollowing(now)
	case probing, claiming:
		m.tickCandidate(now)
	case leading:
		m.tickLeading(now)
	}
}

func (m *Machine) tickFollowing(now time.Time) {
	if m.stopped || now.Before(m.candidate.next) || !m.mayPromise() || !m.free(now) {
		return
	}
	c := &m.candidate
	c.role = probing
	c.willing = map[assign.ProcessID]bool{m.config.Self: true}
	c.term = max(c.seen, m.elector.highest) + 1
	c.until = now.Add(m.config.HeartbeatInterval)
	m.sendClaims(now)
	m.countWilling(now)
}

func (m *Machine) tickCandidate(now time.Time) {
	switch {
	case !now.Before(m.candidate.until):
		m.abandon(now)
	case !now.Before(m.candidate.repeat):
		m.sendClaims(now)
	}
}

func (m *Machine) tickLeading(now time.Time) {
	if !m.Leads(m.latest) {
		m.lose(now, Lapsed)
		return
	}
	if m.isElector() {
		m.promiseSelf(now)
		m.recount()
	}
}

// sendClaims sends the probe or claim to every elector that has not agreed yet.
func (m *Machine) sendClaims(now time.Time) {
	c := &m.candidate
	c.repeat = now.Add(m.config.HeartbeatInterval / repeatsPerBeat)
	for _, id := range m.electors {
		agreed := c.willing[id]
		if c.role == claiming {
			_, agreed = c.held[id]
		}
		if id == m.config.Self || agreed {
			continue
		}
		m.emit(SendClaim{
			To:              id,
			Term:            c.term,
			ElectorsVersion: m.electorsVersion,
			Probe:           c.role == probing,
		})
	}
}

// countWilling claims a term when a majority would grant it.
func (m *Machine) countWilling(now time.Time) {
	c := &m.candidate
	if len(c.willing) < m.Quorum() || !m.free(now) {
		return
	}
	c.role = claiming
	c.term = max(c.seen, m.elector.highest) + 1
	c.until = now.Add(m.config.HeartbeatInterval)
	c.held = map[assign.ProcessID]*lease.Held{}
	c.refused = map[assign.ProcessID]bool{}
	c.floor = m.elector.floor
	m.promiseSelf(now)
	m.sendClaims(now)
	m.countHeld()
}

// promiseSelf gives or renews the promise of this process's own elector. The caller has checked
// that the elector may promise.
func (m *Machine) promiseSelf(now time.Time) {
	m.elector.promise(now, m.config.Self, m.candidate.term, m.config)
	m.hold(m.config.Self, m.latest)
}

func (m *Machine) hold(from assign.ProcessID, sentAt time.Time) {
	held := m.candidate.held[from]
	if held == nil {
		held = &lease.Held{}
		m.candidate.held[from] = held
	}
	held.Extend(sentAt, m.config.TermLease)
}

func (m *Machine) promiseReceived(now time.Time, e AnswerReceived) {
	m.noteVersion(e.From, e.ElectorsVersion)
	c := &m.candidate
	c.seen = max(c.seen, e.HighestTerm)
	if !contains(m.electors, e.From) && !contains(m.previous, e.From) {
		return
	}
	switch c.role {
	case following:
	case probing:
		if e.Probe && e.Granted && e.Term == c.term {
			c.willing[e.From] = true
			m.countWilling(now)
		}
	case claiming:
		m.promiseClaiming(now, e)
	case leading:
		m.promiseLeading(now, e)
	}
}

func (m *Machine) promiseClaiming(now time.Time, e AnswerReceived) {
	switch {
	case e.Probe:
	case e.HighestTerm > m.candidate.term:
		m.abandon(now)
	case e.Granted && e.Term == m.candidate.term:
		m.hold(e.From, e.SentAt)
		m.countHeld()
	case e.HighestTerm == m.candidate.term && e.Term == m.candidate.term:
		m.candidate.refused[e.From] = true
		if len(m.electors)-len(m.candidate.refused) < m.Quorum() {
			m.abandon(now)
		}
	}
}

func (m *Machine) promiseLeading(now time.Time, e AnswerReceived) {
	switch {
	case e.HighestTerm > m.candidate.term:
		m.lose(now, HigherTerm)
	case !e.Probe && e.Granted && e.Term == m.candidate.term:
		m.hold(e.From, e.SentAt)
		m.recount()
	}
}

// countHeld takes the term when a majority has promised it.
func (m *Machine) countHeld() {
	c := &m.candidate
	c.expires = m.majorityExpires(m.electors)
	if !m.latest.Before(c.expires) {
		return
	}
	c.role = leading
	c.failures = 0
	m.known = knownDecider{process: m.config.Self, term: c.term}
	m.emit(Won{Term: c.term, Promised: m.Promised()})
}

// recount recalculates the end of the decider's lease. A majority of the set before the last
// change counts until the current set has one.
func (m *Machine) recount() {
	c := &m.candidate
	c.expires = m.majorityExpires(m.electors)
	if m.previous == nil {
		return
	}
	if m.latest.Before(c.expires) {
		m.previous = nil
		return
	}
	c.expires = m.majorityExpires(m.previous)
}

// majorityExpires returns the latest time at which the promises of a majority of the electors are
// all valid.
func (m *Machine) majorityExpires(electors []assign.ProcessID) time.Time {
	expires := make([]time.Time, 0, len(electors))
	for _, id := range electors {
		if held, ok := m.candidate.held[id]; ok {
			expires = append(expires, held.Expires())
		}
	}
	if len(expires) < quorum(electors) {
		return time.Time{}
	}
	slices.SortFunc(expires, func(a, b time.Time) int { return b.Compare(a) })
	return expires[quorum(electors)-1]
}

// abandon ends a probe or a claim and schedules the next probe.
func (m *Machine) abandon(now time.Time) {
	if m.candidate.role == claiming {
		m.sendReleases("")
		m.elector.forget(m.config.Self, m.candidate.term, m.candidate.floor)
	}
	m.candidate.failures++
	m.withdraw(now)
}

// lose ends the term.
func (m *Machine) lose(now time.Time, r LossReason) {
	term := m.candidate.term
	m.emit(Lost{Term: term, Reason: r})
	next := assign.ProcessID("")
	if r == Released {
		next = m.successor()
	}
	m.sendReleases(next)
	m.known = knownDecider{term: term}
	m.withdraw(now)
}

// withdraw returns to following. Promises that arrive later for the term are ignored.
func (m *Machine) withdraw(now time.Time) {
	c := &m.candidate
	if c.role != probing {
		m.elector.release(m.config.Self, c.term)
	}
	c.seen = max(c.seen, m.elector.highest)
	c.role = following
	c.willing = nil
	c.refused = nil
	c.held = nil
	c.expires = time.Time{}
	c.next = now.Add(m.delay())
	m.previous = nil
}

// sendReleases releases the term at every elector. The successor, where there is one, is told last,
// so that the others are free when it claims.
func (m *Machine) sendReleases(successor assign.ProcessID) {
	for _, id := range sorted(append(slices.Clone(m.electors), m.previous...)) {
		if id != m.config.Self && id != successor {
			m.emit(SendRelease{To: id, Term: m.candidate.term})
		}
	}
	if successor != "" {
		m.emit(SendRelease{To: successor, Term: m.candidate.term, Next: true})
	}
}

// successor returns the elector whose promise is the latest, as it is the most likely to be
// reachable.
func (m *Machine) successor() assign.ProcessID {
	var next assign.ProcessID
	var latest time.Time
	for _, id := range m.electors {
		held, ok := m.candidate.held[id]
		if ok && id != m.config.Self && held.Expires().After(latest) {
			next = id
			latest = held.Expires()
		}
	}
	return next
}

// stop begins the planned stop.
func (m *Machine) stop(now time.Time) {
	m.stopped = true
	switch m.candidate.role {
	case following:
	case probing, claiming:
		m.abandon(now)
	case leading:
		m.lose(now, Released)
	}
}

// delay returns a random delay that doubles its range with each failed round up to a bound.
func (m *Machine) delay() time.Duration {
	spread := m.config.HeartbeatInterval << min(m.candidate.failures, maxBackoff)
	return time.Duration(m.random.Int64N(int64(spread)))
}

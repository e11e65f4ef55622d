package elect

import (
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

const (
	// sendsPerHeartbeat is how often a candidate sends its probes and claims within a heartbeat interval,
	// as a message may be lost and an elector's promise may expire a little later.
	sendsPerHeartbeat = 4
	// maxBackoffDoublings is how often failed rounds double the range of the backoff, at most. The bound
	// lets several failed rounds end within the serving lease of the entry processes.
	maxBackoffDoublings = 1
)

// candidate is the state of the process as a follower, candidate or leader.
type candidate struct {
	role role
	// term is the term that the process probes for, claims or has.
	term uint64
	// highestSeen is the highest term in any message. The next claim is for a higher one.
	highestSeen uint64
	// probeAt is when a follower becomes a candidate and starts to probe.
	probeAt time.Time
	// deadline is when a probe or claim without a majority ends, and resendAt is when it is sent again.
	deadline     time.Time
	resendAt     time.Time
	failedRounds int
	// willing contains the electors that would grant a claim.
	willing map[assign.ProcessID]bool
	// refused contains the electors that have promised the claimed term to another process.
	refused map[assign.ProcessID]bool
	// priorMaxPromised is elector.maxPromised before the promise to this process's own claim.
	priorMaxPromised uint64
	// promises contains the electors' promises of term to this process.
	promises map[assign.ProcessID]*lease.Held
	// expires is when the lease on the term ends, as the promises of a majority are no longer all valid.
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
	if m.stopped || now.Before(m.candidate.probeAt) || !m.mayPromise() || !m.leaseFree(now) {
		return
	}
	c := &m.candidate
	c.role = probing
	c.willing = map[assign.ProcessID]bool{m.config.Self: true}
	c.term = max(c.highestSeen, m.elector.highestTerm) + 1
	c.deadline = now.Add(m.config.HeartbeatInterval)
	m.sendClaims(now)
	m.tryClaim(now)
}

func (m *Machine) tickCandidate(now time.Time) {
	switch {
	case !now.Before(m.candidate.deadline):
		m.abandon(now)
	case !now.Before(m.candidate.resendAt):
		m.sendClaims(now)
	}
}

func (m *Machine) tickLeading(now time.Time) {
	if !m.Leads(m.latest) {
		m.loseTerm(now, Lapsed)
		return
	}
	if m.isElector() {
		m.promiseSelf(now)
		m.updateExpiry()
	}
}

// sendClaims sends the probe or claim to every elector that has not agreed yet.
func (m *Machine) sendClaims(now time.Time) {
	c := &m.candidate
	c.resendAt = now.Add(m.config.HeartbeatInterval / sendsPerHeartbeat)
	for _, id := range m.electors {
		agreed := c.willing[id]
		if c.role == claiming {
			_, agreed = c.promises[id]
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

// tryClaim claims a term if a majority would grant it.
func (m *Machine) tryClaim(now time.Time) {
	c := &m.candidate
	if len(c.willing) < m.Quorum() || !m.leaseFree(now) {
		return
	}
	c.role = claiming
	c.term = max(c.highestSeen, m.elector.highestTerm) + 1
	c.deadline = now.Add(m.config.HeartbeatInterval)
	c.promises = map[assign.ProcessID]*lease.Held{}
	c.refused = map[assign.ProcessID]bool{}
	c.priorMaxPromised = m.elector.maxPromised
	m.promiseSelf(now)
	m.sendClaims(now)
	m.tryWin()
}

// promiseSelf gives or renews the promise of this process's own elector. The caller has checked that
// the elector may promise.
func (m *Machine) promiseSelf(now time.Time) {
	m.elector.promise(now, m.config.Self, m.candidate.term, m.config)
	m.recordPromise(m.config.Self, m.latest)
}

func (m *Machine) recordPromise(from assign.ProcessID, sentAt time.Time) {
	held := m.candidate.promises[from]
	if held == nil {
		held = &lease.Held{}
		m.candidate.promises[from] = held
	}
	held.Extend(sentAt, m.config.TermLease)
}

func (m *Machine) answerReceived(now time.Time, e AnswerReceived) {
	m.learnElectors(e.From, e.ElectorsVersion)
	c := &m.candidate
	c.highestSeen = max(c.highestSeen, e.HighestTerm)
	if !contains(m.electors, e.From) && !contains(m.previousElectors, e.From) {
		return
	}
	switch c.role {
	case following:
	case probing:
		if e.Probe && e.Granted && e.Term == c.term {
			c.willing[e.From] = true
			m.tryClaim(now)
		}
	case claiming:
		m.answerWhileClaiming(now, e)
	case leading:
		m.answerWhileLeading(now, e)
	}
}

func (m *Machine) answerWhileClaiming(now time.Time, e AnswerReceived) {
	switch {
	case e.Probe:
	case e.HighestTerm > m.candidate.term:
		m.abandon(now)
	case e.Granted && e.Term == m.candidate.term:
		m.recordPromise(e.From, e.SentAt)
		m.tryWin()
	case e.HighestTerm == m.candidate.term && e.Term == m.candidate.term:
		m.candidate.refused[e.From] = true
		if len(m.electors)-len(m.candidate.refused) < m.Quorum() {
			m.abandon(now)
		}
	}
}

func (m *Machine) answerWhileLeading(now time.Time, e AnswerReceived) {
	switch {
	case e.HighestTerm > m.candidate.term:
		m.loseTerm(now, HigherTerm)
	case !e.Probe && e.Granted && e.Term == m.candidate.term:
		m.recordPromise(e.From, e.SentAt)
		m.updateExpiry()
	}
}

// tryWin makes the process the leader if a majority has promised it the term.
func (m *Machine) tryWin() {
	c := &m.candidate
	c.expires = m.majorityExpiry(m.electors)
	if !m.latest.Before(c.expires) {
		return
	}
	c.role = leading
	c.failedRounds = 0
	m.known = knownLeader{process: m.config.Self, term: c.term}
	m.emit(Won{Term: c.term, Promised: m.Promised()})
}

// updateExpiry recalculates the end of the leader's lease. After a change of the elector set, a
// majority of the previous set counts until there is one of the current set.
func (m *Machine) updateExpiry() {
	c := &m.candidate
	c.expires = m.majorityExpiry(m.electors)
	if m.previousElectors == nil {
		return
	}
	if m.latest.Before(c.expires) {
		m.previousElectors = nil
		return
	}
	c.expires = m.majorityExpiry(m.previousElectors)
}

// majorityExpiry returns when the promises of a majority of the electors are no longer all valid, the
// zero time if less than a majority has promised.
func (m *Machine) majorityExpiry(electors []assign.ProcessID) time.Time {
	expires := make([]time.Time, 0, len(electors))
	for _, id := range electors {
		if held, ok := m.candidate.promises[id]; ok {
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
		m.elector.undoPromise(m.config.Self, m.candidate.term, m.candidate.priorMaxPromised)
	}
	m.candidate.failedRounds++
	m.becomeFollower(now)
}

// loseTerm gives up the term.
func (m *Machine) loseTerm(now time.Time, r LossReason) {
	term := m.candidate.term
	m.emit(Lost{Term: term, Reason: r})
	next := assign.ProcessID("")
	if r == Released {
		next = m.successor()
	}
	m.sendReleases(next)
	m.known = knownLeader{term: term}
	m.becomeFollower(now)
}

// becomeFollower returns to the role of a follower. Promises of the term that arrive later are ignored.
func (m *Machine) becomeFollower(now time.Time) {
	c := &m.candidate
	if c.role != probing {
		m.elector.release(m.config.Self, c.term)
	}
	c.highestSeen = max(c.highestSeen, m.elector.highestTerm)
	c.role = following
	c.willing = nil
	c.refused = nil
	c.promises = nil
	c.expires = time.Time{}
	c.probeAt = now.Add(m.backoff())
	m.previousElectors = nil
}

// sendReleases releases the term at every elector. The successor, if any, is told last, so that the
// other electors can already promise to it when it claims.
func (m *Machine) sendReleases(successor assign.ProcessID) {
	for _, id := range sorted(append(slices.Clone(m.electors), m.previousElectors...)) {
		if id != m.config.Self && id != successor {
			m.emit(SendRelease{To: id, Term: m.candidate.term})
		}
	}
	if successor != "" {
		m.emit(SendRelease{To: successor, Term: m.candidate.term, Next: true})
	}
}

// successor returns the other elector whose promise expires last, as it is the most likely to be
// reachable.
func (m *Machine) successor() assign.ProcessID {
	var next assign.ProcessID
	var latest time.Time
	for _, id := range m.electors {
		held, ok := m.candidate.promises[id]
		if ok && id != m.config.Self && held.Expires().After(latest) {
			next = id
			latest = held.Expires()
		}
	}
	return next
}

// stop gives up the term or claim of this process and prevents further claims.
func (m *Machine) stop(now time.Time) {
	m.stopped = true
	switch m.candidate.role {
	case following:
	case probing, claiming:
		m.abandon(now)
	case leading:
		m.loseTerm(now, Released)
	}
}

// backoff returns a random delay. Its range doubles with each failed round up to a bound.
func (m *Machine) backoff() time.Duration {
	spread := m.config.HeartbeatInterval << min(m.candidate.failedRounds, maxBackoffDoublings)
	return time.Duration(m.random.Int64N(int64(spread)))
}

package elect

import (
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// elector is the state of the process as an elector.
type elector struct {
	// highestTerm is the highest term promised, learned or accepted in a heartbeat. Terms of refused
	// claims do not raise it, so that a refused claim does not depose the leader.
	highestTerm uint64
	// maxPromised is the highest term that may already be promised to a process. Of the claims of this
	// and lower terms, only one that repeats the current promise is granted.
	maxPromised uint64
	// promisedTo has the promise of promisedTerm until granted expires. It is "" after a release.
	promisedTo   assign.ProcessID
	promisedTerm uint64
	granted      lease.Granted

	// learned is set once the state of the cell was learned after the wait that follows a start.
	// collectAt is when CollectStates is next emitted.
	learned   bool
	collectAt time.Time
	// lastRelease is the last release received. Until lastRelease.until, claims and heartbeats of its
	// sender for this and lower terms are refused, as delayed ones would renew a released promise.
	lastRelease release
}

type release struct {
	from  assign.ProcessID
	term  uint64
	until time.Time
}

// knownLeader is this process while it leads, otherwise the leader whose heartbeat was last accepted.
type knownLeader struct {
	process assign.ProcessID
	term    uint64
	// lease expires once the leader itself no longer counts the promises that answered that heartbeat.
	lease lease.Granted
}

func (el *elector) hasPromised(from assign.ProcessID, term uint64) bool {
	return el.promisedTo == from && el.promisedTerm == term
}

func (el *elector) wasReleased(now time.Time, from assign.ProcessID, term uint64) bool {
	r := el.lastRelease
	return r.from == from && term <= r.term && now.Before(r.until)
}

// promise records a promise of term to from. The answer is sent at now.
func (el *elector) promise(now time.Time, from assign.ProcessID, term uint64, c Config) {
	el.promisedTo = from
	el.promisedTerm = term
	el.highestTerm = max(el.highestTerm, term)
	el.maxPromised = max(el.maxPromised, term)
	el.granted.Extend(now, c.TermLease, c.Margin)
}

// release ends the promise to from if it is of term or of a lower one.
func (el *elector) release(from assign.ProcessID, term uint64) {
	if el.promisedTo == from && el.promisedTerm <= term {
		el.promisedTo = ""
		el.granted.Drop()
	}
}

// undoPromise ends the promise to this process's own claim of a term that it has not won and no longer
// claims, so that the term can be promised to another process. maxPromised is the value from before
// the claim.
func (el *elector) undoPromise(self assign.ProcessID, term, maxPromised uint64) {
	if el.hasPromised(self, term) && el.maxPromised == term {
		el.maxPromised = maxPromised
	}
	el.release(self, term)
}

// restartWaitEnd returns the time at which every promise given before a restart has expired.
func (m *Machine) restartWaitEnd() time.Time {
	return m.config.Started.Add(m.config.Margin.AddTo(m.config.TermLease))
}

// mayPromise reports whether the process is an elector that knows which terms were promised, and whose
// promises from before a restart have expired.
func (m *Machine) mayPromise() bool {
	return m.isElector() && m.elector.learned
}

// stateLearned records the learned term. Neither it nor a lower one may be promised to a new claim.
func (m *Machine) stateLearned(now time.Time, e StateLearned) {
	el := &m.elector
	el.highestTerm = max(el.highestTerm, e.HighestTerm)
	el.maxPromised = max(el.maxPromised, e.HighestTerm)
	if !now.Before(m.restartWaitEnd()) {
		el.learned = true
	}
	if m.candidate.role == leading && e.HighestTerm > m.candidate.term {
		m.loseTerm(now, HigherTerm)
	}
}

// tickElector requests the state of the cell repeatedly, from the end of the wait until it is learned.
func (m *Machine) tickElector(now time.Time) {
	el := &m.elector
	if el.learned || now.Before(m.restartWaitEnd()) || now.Before(el.collectAt) {
		return
	}
	el.collectAt = now.Add(m.config.HeartbeatInterval)
	from := slices.DeleteFunc(slices.Clone(m.electors), func(id assign.ProcessID) bool {
		return id == m.config.Self
	})
	m.emit(CollectStates{From: from})
}

// leaseFree reports whether, as far as this process knows, no promise of this elector is valid and no
// leader has a lease.
func (m *Machine) leaseFree(now time.Time) bool {
	return m.elector.granted.Lapsed(now) && m.known.lease.Lapsed(now) && !m.Leads(m.latest)
}

func (m *Machine) claimReceived(now time.Time, e ClaimReceived) {
	m.learnElectors(e.From, e.ElectorsVersion)
	m.breakTie(now, e)
	granted := m.wouldGrant(now, e)
	if granted && !e.Probe {
		m.yield(now, e)
		m.elector.promise(now, e.From, e.Term, m.config)
		m.candidate.probeAt = m.elector.granted.Expires().Add(m.backoff())
	}
	m.emit(AnswerClaim{
		To:              e.From,
		Term:            e.Term,
		Granted:         granted,
		HighestTerm:     m.elector.highestTerm,
		ElectorsVersion: m.electorsVersion,
		Probe:           e.Probe,
	})
}

func (m *Machine) wouldGrant(now time.Time, e ClaimReceived) bool {
	el := &m.elector
	switch {
	case !m.mayPromise(), e.ElectorsVersion < m.electorsVersion:
		return false
	case e.Probe:
		// The candidate chooses the term of its claim from the answers, so the term of the probe does not matter.
		return m.leaseFree(now)
	case e.Term < el.highestTerm, el.wasReleased(now, e.From, e.Term):
		return false
	case el.hasPromised(e.From, e.Term):
		return true
	}
	return e.Term > el.maxPromised && m.leaseFree(now)
}

// breakTie abandons this process's own claim if a process with a lower name claims the same term.
// Otherwise two candidates that each promise to themselves could both fail, with three electors even
// if no message is lost.
func (m *Machine) breakTie(now time.Time, e ClaimReceived) {
	tie := m.candidate.role == claiming && m.candidate.term == e.Term && e.From < m.config.Self
	if tie && m.isElector() && !e.Probe && e.ElectorsVersion >= m.electorsVersion &&
		!m.elector.wasReleased(now, e.From, e.Term) {
		m.abandon(now)
	}
}

// yield gives up this process's own claim or expired term when it promises to another process.
func (m *Machine) yield(now time.Time, e ClaimReceived) {
	if e.From == m.config.Self {
		return
	}
	switch m.candidate.role {
	case probing, claiming:
		m.abandon(now)
	case leading:
		// The lease has expired, as claims are refused before because of leaseFree.
		m.loseTerm(now, Lapsed)
	}
}

func (m *Machine) beatReceived(now time.Time, e BeatReceived) {
	m.learnElectors(e.From, e.ElectorsVersion)
	accepted := m.accepts(now, e)
	granted := false
	if accepted {
		m.follow(now, e)
		granted = m.renew(now, e)
	}
	m.emit(AnswerBeat{
		To:              e.From,
		Term:            e.Term,
		Accepted:        accepted,
		Granted:         granted,
		HighestTerm:     m.elector.highestTerm,
		ElectorsVersion: m.electorsVersion,
	})
}

func (m *Machine) accepts(now time.Time, e BeatReceived) bool {
	if e.Term < m.elector.highestTerm || m.elector.wasReleased(now, e.From, e.Term) {
		return false
	}
	// Only one process wins a term. A second process with the same term has restarted or is
	// misconfigured.
	return e.Term != m.Term() || m.Leader() == "" || m.Leader() == e.From
}

// follow records the sender of an accepted heartbeat as the leader.
func (m *Machine) follow(now time.Time, e BeatReceived) {
	if e.From == m.config.Self {
		return
	}
	switch m.candidate.role {
	case probing, claiming:
		m.abandon(now)
	case leading:
		m.loseTerm(now, HigherTerm)
	}
	m.elector.highestTerm = max(m.elector.highestTerm, e.Term)
	m.known.process = e.From
	m.known.term = e.Term
	m.known.lease.Extend(now, m.config.TermLease, m.config.Margin)
	m.candidate.highestSeen = max(m.candidate.highestSeen, e.Term)
	m.candidate.failedRounds = 0
	m.candidate.probeAt = m.known.lease.Expires().Add(m.backoff())
}

// renew gives or renews the promise to the sender of an accepted heartbeat, and reports whether it did.
// A heartbeat proves that its sender has won the term, so the term may equal maxPromised.
func (m *Machine) renew(now time.Time, e BeatReceived) bool {
	if !m.mayPromise() || e.ElectorsVersion < m.electorsVersion {
		return false
	}
	if !m.elector.hasPromised(e.From, e.Term) && !m.elector.granted.Lapsed(now) {
		return false
	}
	m.elector.promise(now, e.From, e.Term, m.config)
	return true
}

func (m *Machine) releaseReceived(now time.Time, e ReleaseReceived) {
	wait := m.config.Margin.AddTo(m.config.TermLease)
	m.elector.release(e.From, e.Term)
	m.elector.lastRelease = release{from: e.From, term: e.Term, until: now.Add(wait)}
	if m.known.process == e.From && m.known.term <= e.Term {
		m.known.process = ""
		m.known.lease.Drop()
	}
	if m.candidate.role != following || !m.leaseFree(now) {
		return
	}
	m.candidate.probeAt = now
	if !e.Next {
		m.candidate.probeAt = now.Add(m.backoff())
	}
}

// learnElectors requests the elector set of a process that has a later version of it.
func (m *Machine) learnElectors(from assign.ProcessID, version uint64) {
	if version > m.electorsVersion {
		m.emit(LearnElectors{From: from, Version: version})
	}
}

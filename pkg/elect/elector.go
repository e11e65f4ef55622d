package elect

import (
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// elector is the state of the process as an elector.
type elector struct {
	// highest is the highest term promised, learned or accepted in a beat. Terms of refused claims
	// do not raise it, so a claim that is refused does not disturb the decider.
	highest uint64
	// floor is the highest term that may already be promised to a process. No claim at or below it
	// is granted but a repetition by the same process.
	floor uint64
	// promisedTo has the promise for promisedTerm until given lapses. It is "" after a release.
	promisedTo   assign.ProcessID
	promisedTerm uint64
	given        lease.Granted

	// learned is set when the state of the cell was learned after the wait; collect is when the
	// owner is next asked to collect it.
	learned bool
	collect time.Time
	// released is the last release received. Claims and beats of that term that were delayed are
	// refused until released.until, so that they do not renew a released promise.
	released release
}

type release struct {
	from  assign.ProcessID
	term  uint64
	until time.Time
}

// knownDecider is the decider whose beat was last accepted.
type knownDecider struct {
	process assign.ProcessID
	term    uint64
	// live lapses when no process can hold the decider's promise of that beat any more.
	live lease.Granted
}

func (el *elector) holds(from assign.ProcessID, term uint64) bool {
	return el.promisedTo == from && el.promisedTerm == term
}

func (el *elector) wasReleased(now time.Time, from assign.ProcessID, term uint64) bool {
	r := el.released
	return r.from == from && term <= r.term && now.Before(r.until)
}

// promise records a promise that is answered at now.
func (el *elector) promise(now time.Time, from assign.ProcessID, term uint64, c Config) {
	el.promisedTo = from
	el.promisedTerm = term
	el.highest = max(el.highest, term)
	el.floor = max(el.floor, term)
	el.given.Extend(now, c.TermLease, c.Margin)
}

// release ends a promise to from for a term up to term.
func (el *elector) release(from assign.ProcessID, term uint64) {
	if el.promisedTo == from && el.promisedTerm <= term {
		el.promisedTo = ""
		el.given.Drop()
	}
}

// forget ends the promise to this process's own claim of a term that it has not won and does not
// claim any more, so that the term may be promised to another process. floor is that before the
// claim.
func (el *elector) forget(self assign.ProcessID, term, floor uint64) {
	if el.holds(self, term) && el.floor == term {
		el.floor = floor
	}
	el.release(self, term)
}

// waitEnd returns the time at which every promise given before a restart has lapsed.
func (m *Machine) waitEnd() time.Time {
	return m.config.Started.Add(m.config.Margin.AddTo(m.config.TermLease))
}

// mayPromise reports whether the process is an elector that knows which terms were promised, and
// has outwaited the promises it gave before a restart.
func (m *Machine) mayPromise() bool {
	return m.isElector() && m.elector.learned
}

// stateLearned records that no term up to the learned one may be promised to a claimant.
func (m *Machine) stateLearned(now time.Time, e StateLearned) {
	el := &m.elector
	el.highest = max(el.highest, e.HighestTerm)
	el.floor = max(el.floor, e.HighestTerm)
	if !now.Before(m.waitEnd()) {
		el.learned = true
	}
	if m.candidate.role == leading && e.HighestTerm > m.candidate.term {
		m.lose(now, HigherTerm)
	}
}

// tickElector asks for the state of the cell until it is learned.
func (m *Machine) tickElector(now time.Time) {
	el := &m.elector
	if el.learned || now.Before(m.waitEnd()) || now.Before(el.collect) {
		return
	}
	el.collect = now.Add(m.config.HeartbeatInterval)
	from := slices.DeleteFunc(slices.Clone(m.electors), func(id assign.ProcessID) bool {
		return id == m.config.Self
	})
	m.emit(CollectStates{From: from})
}

// free reports whether no process can hold a promise of this elector or is known as a live
// decider.
func (m *Machine) free(now time.Time) bool {
	return m.elector.given.Lapsed(now) && m.known.live.Lapsed(now) && !m.Leads(m.latest)
}

func (m *Machine) claimReceived(now time.Time, e ClaimReceived) {
	m.noteVersion(e.From, e.ElectorsVersion)
	m.breakTie(now, e)
	granted := m.wouldGrant(now, e)
	if granted && !e.Probe {
		m.yield(now, e)
		m.elector.promise(now, e.From, e.Term, m.config)
		m.candidate.next = m.elector.given.Expires().Add(m.delay())
	}
	m.emit(AnswerClaim{
		To:              e.From,
		Term:            e.Term,
		Granted:         granted,
		HighestTerm:     m.elector.highest,
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
		// The candidate chooses its term from the answers, so the term is not compared.
		return m.free(now)
	case e.Term < el.highest, el.wasReleased(now, e.From, e.Term):
		return false
	case el.holds(e.From, e.Term):
		return true
	}
	return e.Term > el.floor && m.free(now)
}

// breakTie gives up this process's own claim for another one of the same term by a process with a
// lower name. Two claims that each keep their own process's promise would otherwise both fail, with
// three electors even without any loss.
func (m *Machine) breakTie(now time.Time, e ClaimReceived) {
	tie := m.candidate.role == claiming && m.candidate.term == e.Term && e.From < m.config.Self
	if tie && m.isElector() && !e.Probe && e.ElectorsVersion >= m.electorsVersion &&
		!m.elector.wasReleased(now, e.From, e.Term) {
		m.abandon(now)
	}
}

// yield ends this process's own candidacy when it promises to another process.
func (m *Machine) yield(now time.Time, e ClaimReceived) {
	if e.From == m.config.Self {
		return
	}
	switch m.candidate.role {
	case probing, claiming:
		m.abandon(now)
	case leading:
		// Only reached when the lease has lapsed, as free refuses claims before.
		m.lose(now, Lapsed)
	}
}

func (m *Machine) beatReceived(now time.Time, e BeatReceived) {
	m.noteVersion(e.From, e.ElectorsVersion)
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
		HighestTerm:     m.elector.highest,
		ElectorsVersion: m.electorsVersion,
	})
}

func (m *Machine) accepts(now time.Time, e BeatReceived) bool {
	if e.Term < m.elector.highest || m.elector.wasReleased(now, e.From, e.Term) {
		return false
	}
	// A term is won by one process only; a second one at the same term has been restarted or
	// misconfigured.
	return e.Term != m.Term() || m.Leader() == "" || m.Leader() == e.From
}

// follow takes the sender of an accepted beat as the decider.
func (m *Machine) follow(now time.Time, e BeatReceived) {
	if e.From == m.config.Self {
		return
	}
	switch m.candidate.role {
	case probing, claiming:
		m.abandon(now)
	case leading:
		m.lose(now, HigherTerm)
	}
	m.elector.highest = max(m.elector.highest, e.Term)
	m.known.process = e.From
	m.known.term = e.Term
	m.known.live.Extend(now, m.config.TermLease, m.config.Margin)
	m.candidate.seen = max(m.candidate.seen, e.Term)
	m.candidate.failures = 0
	m.candidate.next = m.known.live.Expires().Add(m.delay())
}

// renew gives or renews the promise to the sender of an accepted beat, and reports whether it did.
// A beat proves that its sender has won the term, so the term may equal the floor.
func (m *Machine) renew(now time.Time, e BeatReceived) bool {
	if !m.mayPromise() || e.ElectorsVersion < m.electorsVersion {
		return false
	}
	if !m.elector.holds(e.From, e.Term) && !m.elector.given.Lapsed(now) {
		return false
	}
	m.elector.promise(now, e.From, e.Term, m.config)
	return true
}

func (m *Machine) releaseReceived(now time.Time, e ReleaseReceived) {
	wait := m.config.Margin.AddTo(m.config.TermLease)
	m.elector.release(e.From, e.Term)
	m.elector.released = release{from: e.From, term: e.Term, until: now.Add(wait)}
	if m.known.process == e.From && m.known.term <= e.Term {
		m.known.process = ""
		m.known.live.Drop()
	}
	if m.candidate.role != following || !m.free(now) {
		return
	}
	m.candidate.next = now
	if !e.Next {
		m.candidate.next = now.Add(m.delay())
	}
}

// noteVersion asks the owner for the elector set of a process that knows a later one.
func (m *Machine) noteVersion(from assign.ProcessID, version uint64) {
	if version > m.electorsVersion {
		m.emit(LearnElectors{From: from, Version: version})
	}
}

// Package elect elects one process of a cell, a group of entry processes, as its leader.
//
// The leader runs the cell's owner.Decider. Settings, status output and stored records therefore
// call this process the decider.
//
// A Machine is one process's part in the election, as elector, candidate and leader. A leader has a
// lease on a term, which it renews with the promises of a majority of the electors. A promise is
// valid for a limited time. The Machine reads no clock, opens no connection and starts no goroutine:
// the caller passes in events and the time, and carries out the actions that Step returns.
//
// An elector promises to one process at a time. It promises to another one only after its earlier
// promise has expired by its own clock or was released, and only for a term that it has not
// promised before. A restarted elector does not know its earlier promises. It therefore gives none
// until one term lease plus margin has passed since its start and it has then learned the state of
// the cell. The state must be read after this wait: a process that wins a term with a promise from
// before the restart does so during the wait, and a state read earlier may not contain that term.
//
// A candidate first probes the electors, which changes nothing at them, and claims a term only if
// a majority would grant it. A process that receives no heartbeats because its own link failed can
// therefore not raise the term and depose a healthy leader. Of two claims of the same term, the
// process with the higher name withdraws its own. A claim that wins no majority within one
// heartbeat interval is released, and the next probe follows after a random backoff.
//
// A leader counts each promise from before it sent the claim or heartbeat, and the elector counts it
// from when it answered. A leader whose lease has expired, or that learns of a higher term, gives up
// its term, releases its promises and has to claim a new term.
//
// # Usage
//
//	m := elect.New(elect.Config{
//		Self:     "entry-1",
//		Electors: []assign.ProcessID{"entry-1", "entry-2", "entry-3"},
//		Started:  c.Now(),
//		Seed:     seed,
//	})
//	for _, a := range m.Step(c.Now(), elect.Tick{Latest: c.Latest()}) {
//		switch a := a.(type) {
//		case elect.SendClaim:
//			// read c.Latest(), send the claim, and step AnswerReceived with this reading on the answer
//		case elect.SendRelease:
//			// send it once, without waiting for an answer
//		case elect.AnswerClaim, elect.AnswerBeat:
//			// send the answer to the event that was stepped
//		case elect.Won:
//			// collect the tables of m.Quorum() of m.Promised(), then start to act as the leader
//		case elect.Lost:
//			// stop acting as the leader and sending heartbeats
//		case elect.CollectStates:
//			// request the electors' states, step StateLearned when enough of them have answered
//		case elect.LearnElectors:
//			// read the elector set from a.From, step ElectorsChanged
//		}
//	}
//
// The caller steps a Tick at least every quarter of a heartbeat interval. More frequent ticks make
// simultaneous claims rarer. While m.Leads(c.Latest()) is true, the caller sends heartbeats with
// m.Term() and m.ElectorsVersion() to every other process, the first ones on Won, and steps
// AnswerReceived with each answer. The Machine renews the promise of its own process by itself.
package elect

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// Defaults of Config.
const (
	DefaultTermLease         = time.Second
	DefaultHeartbeatInterval = 200 * time.Millisecond
)

// Config configures a Machine.
type Config struct {
	// Self is this process.
	Self assign.ProcessID
	// Electors is the elector set known at the start. It may be empty until the first
	// ElectorsChanged.
	Electors []assign.ProcessID
	// ElectorsVersion is the version of Electors. It increases with each change of the set.
	ElectorsVersion uint64
	// Started is a reading of clock.Clock.Now at or after the start of the process.
	Started time.Time
	// TermLease is the length of a promise, DefaultTermLease if it is zero. It must be the same in
	// every process.
	TermLease time.Duration
	// HeartbeatInterval is the heartbeat interval, DefaultHeartbeatInterval if it is zero. The timeout of probes
	// and claims and the range of the backoff of candidates derive from it.
	HeartbeatInterval time.Duration
	// Margin bounds the clock errors, lease.DefaultMargin if it is zero.
	Margin lease.Margin
	// Seed determines the backoff of the candidate. Processes with equal seeds but different names
	// choose different backoffs.
	Seed uint64
}

// role is the part that the process has in the election besides being an elector.
type role int

const (
	following role = iota
	probing
	claiming
	leading
)

// Machine is the election state of one process. It is not safe for concurrent use.
type Machine struct {
	config Config
	random *rand.Rand

	electors        []assign.ProcessID // sorted
	electorsVersion uint64
	// previousElectors is the elector set before the last change, as long as this process leads
	// without a majority of the current set. Majorities of the two sets intersect, so a majority of
	// either set is sufficient.
	previousElectors []assign.ProcessID

	elector   elector
	candidate candidate
	known     knownLeader
	stopped   bool

	// latest is the estimate of clock.Clock.Latest at the current step. skew is how far Latest was
	// ahead of Now at the last Tick.
	latest time.Time
	skew   time.Duration

	actions []Action
}

// New returns a Machine of a process that has just started.
func New(c Config) *Machine {
	if c.TermLease == 0 {
		c.TermLease = DefaultTermLease
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.Margin == (lease.Margin{}) {
		c.Margin = lease.DefaultMargin
	}
	m := &Machine{
		config:          c,
		random:          rand.New(rand.NewPCG(c.Seed, assign.Hash(string(c.Self)))),
		electors:        sorted(c.Electors),
		electorsVersion: c.ElectorsVersion,
	}
	m.candidate.probeAt = m.restartWaitEnd().Add(m.backoff())
	return m
}

// Step handles one event and returns the actions that the caller carries out in order. now is a
// reading of clock.Clock.Now from after the event: a promise counted from a reading that is older
// than the claim would expire too early.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.latest = now.Add(m.skew)
	switch e := e.(type) {
	case Tick:
		m.tick(now, e)
	case ClaimReceived:
		m.claimReceived(now, e)
	case BeatReceived:
		m.beatReceived(now, e)
	case AnswerReceived:
		m.answerReceived(now, e)
	case ReleaseReceived:
		m.releaseReceived(now, e)
	case ElectorsChanged:
		m.electorsChanged(now, e)
	case StateLearned:
		m.stateLearned(now, e)
	case Stop:
		m.stop(now)
	}
	actions := m.actions
	m.actions = nil
	return actions
}

// Leads reports whether this process is the leader at latest, a reading of clock.Clock.Latest.
func (m *Machine) Leads(latest time.Time) bool {
	return m.candidate.role == leading && latest.Before(m.candidate.expires)
}

// Expires returns the time, on the scale of clock.Clock.Latest, at which this process's lease on its
// term ends unless it is renewed. It returns the zero time while the process has no term.
func (m *Machine) Expires() time.Time {
	if m.candidate.role != leading {
		return time.Time{}
	}
	return m.candidate.expires
}

// Term returns the term of the process that Leader returns, or of the last known leader.
func (m *Machine) Term() uint64 {
	if m.candidate.role == leading {
		return m.candidate.term
	}
	return m.known.term
}

// HighestTerm returns the highest term that this process has promised, won, learned, or accepted in
// a heartbeat. It is the term to report to a restarted elector that collects states.
func (m *Machine) HighestTerm() uint64 {
	return m.elector.highestTerm
}

// Leader returns the leader as far as it is known: this process while it has a term, otherwise the
// process whose heartbeat was last accepted, or "" if that process has released its term or none is
// known. The lease of the returned process may have expired since.
func (m *Machine) Leader() assign.ProcessID {
	if m.candidate.role == leading {
		return m.config.Self
	}
	return m.known.process
}

// Learned reports whether this process has learned the state of the cell since its start, by a
// StateLearned after the wait that follows a start. A restarted elector that collects states counts
// only the states of such processes.
func (m *Machine) Learned() bool {
	return m.elector.learned
}

// Electors returns the elector set in ascending order. The caller must not change it.
func (m *Machine) Electors() []assign.ProcessID {
	return m.electors
}

// ElectorsVersion returns the version of the elector set.
func (m *Machine) ElectorsVersion() uint64 {
	return m.electorsVersion
}

// Quorum returns the smallest number of electors that is a majority.
func (m *Machine) Quorum() int {
	return quorum(m.electors)
}

// Promised returns, in ascending order, the electors that have promised this process its current
// term. A new leader collects the tables of at least Quorum of them, each read after the promise:
// an elector that has promised the new term accepts no table of an earlier leader. The list grows
// as heartbeats are answered, so that an elector that fails in the meantime can be replaced by
// another one. It is empty while the process has no term.
func (m *Machine) Promised() []assign.ProcessID {
	if m.candidate.role != leading {
		return nil
	}
	var promised []assign.ProcessID
	for _, id := range m.electors {
		if _, ok := m.candidate.promises[id]; ok {
			promised = append(promised, id)
		}
	}
	return promised
}

// Settled reports whether this process, as the leader, has had a majority of the current elector set
// since the set last changed. The set may change again only when Settled returns true and a majority
// of the current set has the version of the current set. An assignment is acknowledged only when a
// majority of the current set has it, even while Settled returns false.
func (m *Machine) Settled() bool {
	return m.previousElectors == nil
}

func (m *Machine) electorsChanged(now time.Time, e ElectorsChanged) {
	if e.Version <= m.electorsVersion {
		return
	}
	if m.candidate.role == leading {
		m.previousElectors = m.electors
	}
	m.electors = sorted(e.Electors)
	m.electorsVersion = e.Version
	switch m.candidate.role {
	case probing, claiming:
		m.abandon(now)
	case leading:
		m.updateExpiry()
	}
}

func (m *Machine) isElector() bool {
	return contains(m.electors, m.config.Self)
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

func quorum(electors []assign.ProcessID) int {
	return len(electors)/2 + 1
}

func sorted(ids []assign.ProcessID) []assign.ProcessID {
	s := slices.Clone(ids)
	slices.Sort(s)
	return slices.Compact(s)
}

func contains(ids []assign.ProcessID, id assign.ProcessID) bool {
	_, found := slices.BinarySearch(ids, id)
	return found
}

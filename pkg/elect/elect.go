// Package elect elects the decider of a cell.
//
// A Machine is one process's part in the election: elector, candidate and decider. The authority
// of a decider is a term with a lease, which a majority of the electors renews by time-limited
// promises. The Machine reads no clock, opens no socket and starts no goroutine; its owner feeds
// it events and carries out the actions it returns.
//
// An elector promises to one process at a time. It promises to another only after its earlier
// promise has lapsed by its own clock or was released, and only for a term that it has not
// promised before. A restarted elector has forgotten its promises, so it gives none until one
// term lease plus margin has passed since its start and it has then learned the state of the cell.
// The state is read after the wait: a process that wins a term with a promise from before the
// restart does so during the wait, and a state read earlier may not show that term.
//
// A candidate first probes the electors, which changes nothing at them, and claims a term only
// when a majority would grant it. A process that hears no decider because of its own link can
// therefore not raise the term and so push out a healthy decider. Of two claims of the same term,
// the process with the higher name gives up its own. A claim that wins no majority within one
// heartbeat interval is released, and the next probe follows after a random delay.
//
// A decider counts each promise from before its claim or beat was sent; an elector counts it from
// when it answered. A decider whose lease has lapsed, or that sees a higher term, gives its term
// up, releases its promises and has to claim a new term.
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
//			// read c.Latest() before sending; step PromiseReceived with it on the answer
//		case elect.SendRelease:
//			// send once, no answer is needed
//		case elect.AnswerClaim, elect.AnswerBeat:
//			// the answer to the event that was stepped
//		case elect.Won:
//			// collect the tables of m.Quorum() of m.Promised(), then start the decider
//		case elect.Lost:
//			// stop the decider and its beats
//		case elect.CollectStates:
//			// ask the electors for their states, step StateLearned when enough have answered
//		case elect.LearnElectors:
//			// read the elector set from the process named, step ElectorsChanged
//		}
//	}
//
// The owner steps a Tick at least every quarter of a heartbeat interval; finer ticks make
// simultaneous claims rarer. While m.Leads(c.Latest()) is true, it sends beats with m.Term() and
// m.ElectorsVersion() to every other process, the first one on Won, and steps PromiseReceived with
// each answer. The Machine renews the promise of its own process by itself.
package elect

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// Default lengths of Config.
const (
	DefaultTermLease = time.Second
	DefaultBeat      = 200 * time.Millisecond
)

// Config describes one process's part in the election.
type Config struct {
	// Self is this process.
	Self assign.ProcessID
	// Electors is the elector set known at the start. It may be empty and follow with
	// ElectorsChanged.
	Electors []assign.ProcessID
	// ElectorsVersion is the version of Electors. It rises with each change of the set.
	ElectorsVersion uint64
	// Started is a reading of clock.Clock.Now at or after the start of the process.
	Started time.Time
	// TermLease is the length of a promise, DefaultTermLease where it is zero. It is the same in
	// every process.
	TermLease time.Duration
	// HeartbeatInterval is the heartbeat interval, DefaultBeat where it is zero. Delays of candidates are
	// multiples of it.
	HeartbeatInterval time.Duration
	// Margin bounds the clock errors, lease.DefaultMargin where it is zero.
	Margin lease.Margin
	// Seed determines the delays of the candidate. Processes with equal seeds but different names
	// choose different delays.
	Seed uint64
}

// role is what the process does besides being an elector.
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
	// previous is the elector set before the last change while a decider has no majority of the
	// current one yet. Majorities of the two sets intersect, so either one is sufficient.
	previous []assign.ProcessID

	elector   elector
	candidate candidate
	known     knownDecider
	stopped   bool

	// latest is the step's estimate of clock.Clock.Latest; skew is its distance from Now at the
	// last Tick.
	latest time.Time
	skew   time.Duration

	actions []Action
}

// New returns a Machine for a process that has just started.
func New(c Config) *Machine {
	if c.TermLease == 0 {
		c.TermLease = DefaultTermLease
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultBeat
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
	m.candidate.next = m.waitEnd().Add(m.delay())
	return m
}

// Step handles one event at now, and returns the actions that the owner carries out in order. now
// is a reading of clock.Clock.Now from after the event happened: a promise counted from a reading
// that is older than the claim would lapse too early.
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
		m.promiseReceived(now, e)
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

// Leads reports whether this process is the decider at latest, a reading of clock.Clock.Latest.
func (m *Machine) Leads(latest time.Time) bool {
	return m.candidate.role == leading && latest.Before(m.candidate.expires)
}

// Expires returns the time, as clock.Clock.Latest reads it, at which this process's lease of the
// term ends unless it is renewed. It is the zero time while the process has no term.
func (m *Machine) Expires() time.Time {
	if m.candidate.role != leading {
		return time.Time{}
	}
	return m.candidate.expires
}

// Term returns the term of Decider.
func (m *Machine) Term() uint64 {
	if m.candidate.role == leading {
		return m.candidate.term
	}
	return m.known.term
}

// HighestTerm returns the highest term that this process has promised, won or accepted a beat of.
// It is the term to report to a restarted elector that collects states.
func (m *Machine) HighestTerm() uint64 {
	return m.elector.highest
}

// Leader returns the process whose beat was last accepted, this process while it has the term,
// or "" where the decider has released its term or none is known. The named decider may have
// lapsed since.
func (m *Machine) Leader() assign.ProcessID {
	if m.candidate.role == leading {
		return m.config.Self
	}
	return m.known.process
}

// Learned reports whether this process has learned the state of the cell since its start, by a
// StateLearned after the wait. Only the states of such processes count for a restarted elector that
// collects states.
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

// Quorum returns the number of electors that is a majority.
func (m *Machine) Quorum() int {
	return quorum(m.electors)
}

// Promised returns, in ascending order, the electors that have promised the term this process
// has. A new decider collects the tables of at least Quorum of them, each read after the promise:
// an elector that has promised the new term takes no table of an earlier decider any more. The
// list grows while beats are answered, so that an elector lost meanwhile can be replaced. It is
// empty while the process has no term.
func (m *Machine) Promised() []assign.ProcessID {
	if m.candidate.role != leading {
		return nil
	}
	var promised []assign.ProcessID
	for _, id := range m.electors {
		if _, ok := m.candidate.held[id]; ok {
			promised = append(promised, id)
		}
	}
	return promised
}

// Settled reports whether this process, as decider, has had a majority of the current elector set
// since the set last changed. A further change of the set must wait until it is settled and until
// a majority of the current set holds the current set's version. An assignment is acknowledged
// only when a majority of the current set holds it, also while it is not settled.
func (m *Machine) Settled() bool {
	return m.previous == nil
}

func (m *Machine) electorsChanged(now time.Time, e ElectorsChanged) {
	if e.Version <= m.electorsVersion {
		return
	}
	if m.candidate.role == leading {
		m.previous = m.electors
	}
	m.electors = sorted(e.Electors)
	m.electorsVersion = e.Version
	switch m.candidate.role {
	case probing, claiming:
		m.abandon(now)
	case leading:
		m.recount()
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

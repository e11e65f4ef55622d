package owner

import (
	"maps"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// FollowerEvent is an input of Follower.Step.
type FollowerEvent interface{ followerEvent() }

// HeartbeatReceived is a heartbeat of a decider, sent as SendHeartbeat. If it is for another run of the
// process, the follower answers but ignores the table and the lease. Such a heartbeat may have been
// sent before this run started, and an elector that took an old table as the current one would hide
// a later table that its previous run acknowledged.
type HeartbeatReceived struct {
	From        assign.ProcessID
	Term        uint64
	Incarnation string
	Echo        time.Time
	Lease       time.Duration
	Table       *assign.Table
}

// TermPromised reports that this process promised a term as an elector. Heartbeats of lower terms
// are refused from then on. The caller must step it before it returns the table to the decider of
// that term, so that no late table of an old decider is acknowledged after the new decider has
// read.
type TermPromised struct{ Term uint64 }

// TableLearned is a table that this process received from another elector after it started.
type TableLearned struct{ Table *assign.Table }

// InFlightCounted reports the number of calls per server that the process still waits for after it
// applied Version: calls that were sent under an earlier version, for spans that are not open at
// that server with the same fence in Version. A call to a server of kind deadlines need not be
// counted after the deadline from which its Not-After was computed has passed by clock.Clock.Now.
// clock.Clock.Latest does not suffice, because it may have stepped.
type InFlightCounted struct {
	Version  uint64
	InFlight map[assign.ServerID]int
}

func (HeartbeatReceived) followerEvent() {}
func (TermPromised) followerEvent()      {}
func (TableLearned) followerEvent()      {}
func (InFlightCounted) followerEvent()   {}

// FollowerAction is an output of Follower.Step, which the caller carries out.
type FollowerAction interface{ followerAction() }

// Apply puts a table in force: from now on no call may start under an earlier one. The caller then
// counts the calls in flight for the spans in Closing and steps InFlightCounted, and does so again
// whenever a count decreases.
type Apply struct {
	Table   *assign.Table
	Closing []Assignment
	Opening []Assignment
}

// Assignment is a span with the server and the fence under which its calls are forwarded.
type Assignment struct {
	Service assign.ServiceID
	Span    assign.Span
	Server  assign.ServerID
	Fence   lease.Fence
}

// Answer is sent to the decider, which receives it as ProcessAnswered.
type Answer struct {
	To          assign.ProcessID
	Term        uint64
	Incarnation string
	Sent        time.Time
	Version     uint64
	InFlight    map[assign.ServerID]int
}

func (Apply) followerAction()  {}
func (Answer) followerAction() {}

// Follower holds the serving lease and the table of one process. It is not safe for concurrent
// use.
type Follower struct {
	incarnation    string
	term           uint64
	decider        assign.ProcessID
	table          *assign.Table
	servingLease   lease.Held
	firstSent      time.Time
	lastSent       time.Time
	countedVersion uint64
	inFlight       map[assign.ServerID]int
}

// NewFollower returns a Follower without a table or a lease. Each run of the process must have a
// different incarnation.
func NewFollower(incarnation string) *Follower {
	return &Follower{incarnation: incarnation}
}

// Step handles an event and returns the actions to carry out in order. latest is a reading of
// clock.Clock.Latest.
func (f *Follower) Step(latest time.Time, e FollowerEvent) []FollowerAction {
	switch e := e.(type) {
	case HeartbeatReceived:
		return f.handleHeartbeat(latest, e)
	case TermPromised:
		f.term = max(f.term, e.Term)
	case TableLearned:
		return f.applyTable(e.Table)
	case InFlightCounted:
		return f.handleCount(latest, e)
	}
	return nil
}

// Serves reports whether the process may forward calls at latest, a reading of clock.Clock.Latest.
func (f *Follower) Serves(latest time.Time) bool {
	return f.table != nil && f.servingLease.Valid(latest)
}

// Expires returns the end of the serving lease by clock.Clock.Latest. No Not-After may be later.
func (f *Follower) Expires() time.Time { return f.servingLease.Expires() }

// Table returns the table in force, or nil before the first.
func (f *Follower) Table() *assign.Table { return f.table }

// Version returns the version of the table in force, or 0 before the first.
func (f *Follower) Version() uint64 {
	if f.table == nil {
		return 0
	}
	return f.table.Version
}

// Term returns the highest term that the process has seen.
func (f *Follower) Term() uint64 { return f.term }

// Decider returns the sender of the last accepted heartbeat.
func (f *Follower) Decider() assign.ProcessID { return f.decider }

func (f *Follower) handleHeartbeat(latest time.Time, e HeartbeatReceived) []FollowerAction {
	if e.Term < f.term {
		return nil
	}
	f.term = e.Term
	f.decider = e.From
	if e.Incarnation != f.incarnation {
		return []FollowerAction{f.newAnswer(latest)}
	}
	actions := f.applyTable(e.Table)
	f.extendLease(e)
	if len(actions) > 0 {
		return actions
	}
	return []FollowerAction{f.newAnswer(latest)}
}

// extendLease extends the serving lease by a heartbeat if its echo is a timestamp of this run.
func (f *Follower) extendLease(e HeartbeatReceived) {
	ownEcho := !e.Echo.Before(f.firstSent) && !e.Echo.After(f.lastSent) && !f.firstSent.IsZero()
	if e.Lease > 0 && ownEcho {
		f.servingLease.Extend(e.Echo, e.Lease)
	}
}

func (f *Follower) applyTable(t *assign.Table) []FollowerAction {
	if t == nil || t.Version <= f.Version() || t.Term < f.term {
		return nil
	}
	f.term = t.Term
	old := f.table
	f.table = t
	return []FollowerAction{Apply{Table: t, Closing: openDifference(old, t), Opening: openDifference(t, old)}}
}

func (f *Follower) handleCount(latest time.Time, e InFlightCounted) []FollowerAction {
	if e.Version != f.Version() || e.Version < f.countedVersion {
		return nil
	}
	f.countedVersion = e.Version
	f.inFlight = maps.Clone(e.InFlight)
	if f.decider == "" {
		return nil
	}
	return []FollowerAction{f.newAnswer(latest)}
}

func (f *Follower) newAnswer(latest time.Time) Answer {
	if f.firstSent.IsZero() {
		f.firstSent = latest
	}
	f.lastSent = latest
	return Answer{
		To:          f.decider,
		Term:        f.term,
		Incarnation: f.incarnation,
		Sent:        latest,
		Version:     f.countedVersion,
		InFlight:    maps.Clone(f.inFlight),
	}
}

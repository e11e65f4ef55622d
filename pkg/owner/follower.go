package owner

import (
	"maps"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// FollowerEvent is an input of a Follower.
type FollowerEvent interface{ followerEvent() }

// HeartbeatReceived is a heartbeat of a decider, from its SendBeat. One that is meant for another run of
// the process is answered, and its table and lease are not taken: it may have been sent before this
// run started, and an elector that took an old table for the current one would hide a later one that
// its earlier run acknowledged.
type HeartbeatReceived struct {
	From        assign.ProcessID
	Term        uint64
	Incarnation string
	Echo        time.Time
	Lease       time.Duration
	Table       *assign.Table
}

// TermPromised tells that this process promised a term as an elector. From then on beats of lower
// terms are refused. It is stepped before the table is handed to the decider of that term, so that no
// late table of an old decider is acknowledged after the new one has read.
type TermPromised struct{ Term uint64 }

// TableLearned is a table received from another elector after a start of this process.
type TableLearned struct{ Table *assign.Table }

// InFlightCounted reports the calls that still have to finish for an applied version, for each
// server: those sent under an earlier version for spans that are not open at that server with the
// same fence in Version. A call to a server of kind deadlines may be left out once the deadline that
// was mapped to its Not-After has passed by clock.Clock.Now; not by Latest, which may have stepped.
type InFlightCounted struct {
	Version  uint64
	InFlight map[assign.ServerID]int
}

func (HeartbeatReceived) followerEvent() {}
func (TermPromised) followerEvent()      {}
func (TableLearned) followerEvent()      {}
func (InFlightCounted) followerEvent()   {}

// FollowerAction is an output of a Follower.
type FollowerAction interface{ followerAction() }

// Apply puts a table in force: no call starts under an earlier one from now on. The caller then
// counts the calls in flight of the spans in Closing and steps InFlightCounted, again whenever a
// count has fallen.
type Apply struct {
	Table   *assign.Table
	Closing []Closing
	Opening []Closing
}

// Closing is a span that stops or starts being forwarded to a server under a fence.
type Closing struct {
	Service assign.ServiceID
	Span    assign.Span
	Server  assign.ServerID
	Fence   lease.Fence
}

// Answer is sent to the decider, which takes it as ProcessAnswered.
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
	incarnation string
	term        uint64
	decider     assign.ProcessID
	table       *assign.Table
	held        lease.Held
	first       time.Time
	last        time.Time
	counted     uint64
	inFlight    map[assign.ServerID]int
}

// NewFollower returns a Follower without table and lease. The incarnation differs for each run of
// the process.
func NewFollower(incarnation string) *Follower {
	return &Follower{incarnation: incarnation}
}

// Step handles an event at latest, a reading of clock.Clock.Latest, and returns the actions to
// take in order.
func (f *Follower) Step(latest time.Time, e FollowerEvent) []FollowerAction {
	switch e := e.(type) {
	case HeartbeatReceived:
		return f.beat(latest, e)
	case TermPromised:
		f.term = max(f.term, e.Term)
	case TableLearned:
		return f.apply(e.Table)
	case InFlightCounted:
		return f.count(latest, e)
	}
	return nil
}

// Serves reports whether the process may forward calls at latest, a reading of
// clock.Clock.Latest.
func (f *Follower) Serves(latest time.Time) bool {
	return f.table != nil && f.held.Valid(latest)
}

// Expires returns the end of the serving lease by clock.Clock.Latest. It caps every Not-After.
func (f *Follower) Expires() time.Time { return f.held.Expires() }

// Table returns the table in force, nil before the first.
func (f *Follower) Table() *assign.Table { return f.table }

// Version returns the version of the table in force, 0 before the first.
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

func (f *Follower) beat(latest time.Time, e HeartbeatReceived) []FollowerAction {
	if e.Term < f.term {
		return nil
	}
	f.term = e.Term
	f.decider = e.From
	if e.Incarnation != f.incarnation {
		return []FollowerAction{f.answer(latest)}
	}
	actions := f.apply(e.Table)
	f.extend(e)
	if len(actions) > 0 {
		return actions
	}
	return []FollowerAction{f.answer(latest)}
}

// extend takes the lease of a heartbeat, if its echo is a timestamp of this run.
func (f *Follower) extend(e HeartbeatReceived) {
	own := !e.Echo.Before(f.first) && !e.Echo.After(f.last) && !f.first.IsZero()
	if e.Lease > 0 && own {
		f.held.Extend(e.Echo, e.Lease)
	}
}

func (f *Follower) apply(t *assign.Table) []FollowerAction {
	if t == nil || t.Version <= f.Version() || t.Term < f.term {
		return nil
	}
	f.term = t.Term
	old := f.table
	f.table = t
	return []FollowerAction{Apply{Table: t, Closing: leaving(old, t), Opening: leaving(t, old)}}
}

func (f *Follower) count(latest time.Time, e InFlightCounted) []FollowerAction {
	if e.Version != f.Version() || e.Version < f.counted {
		return nil
	}
	f.counted = e.Version
	f.inFlight = maps.Clone(e.InFlight)
	if f.decider == "" {
		return nil
	}
	return []FollowerAction{f.answer(latest)}
}

func (f *Follower) answer(latest time.Time) Answer {
	if f.first.IsZero() {
		f.first = latest
	}
	f.last = latest
	return Answer{
		To:          f.decider,
		Term:        f.term,
		Incarnation: f.incarnation,
		Sent:        latest,
		Version:     f.counted,
		InFlight:    maps.Clone(f.inFlight),
	}
}

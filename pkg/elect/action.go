package elect

import "github.com/samphiredrum/samphiredrum/pkg/assign"

// Action is something that the caller of Machine.Step does for the Machine.
//
//sumtype:decl
type Action interface {
	action()
}

// SendClaim sends a claim or a probe to another process. The caller reads clock.Clock.Latest before
// it sends, and steps AnswerReceived with this reading and the answer. The caller need not repeat a
// lost claim, as the Machine does so.
type SendClaim struct {
	To              assign.ProcessID
	Term            uint64
	ElectorsVersion uint64
	Probe           bool
}

// SendRelease tells another process that this one has given up Term or its claim of Term. It needs
// no answer: if it is lost, the receiver waits until its promise expires.
type SendRelease struct {
	To   assign.ProcessID
	Term uint64
	// Next asks the receiver to claim a term without backoff. At most one receiver of a release gets it.
	Next bool
}

// AnswerClaim answers ClaimReceived.
type AnswerClaim struct {
	To              assign.ProcessID
	Term            uint64
	Granted         bool
	HighestTerm     uint64
	ElectorsVersion uint64
	Probe           bool
}

// AnswerBeat answers BeatReceived.
type AnswerBeat struct {
	To   assign.ProcessID
	Term uint64
	// Accepted reports whether the sender is the current leader as far as this process knows. The
	// content of a heartbeat that is not accepted must not be used.
	Accepted bool
	// Granted reports whether this process is an elector and has given or renewed its promise.
	Granted         bool
	HighestTerm     uint64
	ElectorsVersion uint64
}

// Won reports that this process has won Term and is the leader.
type Won struct {
	Term uint64
	// Promised lists the electors that have promised Term so far, see Machine.Promised.
	Promised []assign.ProcessID
}

// Lost reports that this process has lost Term. The caller stops sending heartbeats.
type Lost struct {
	Term   uint64
	Reason LossReason
}

// CollectStates requests the state of the cell, see StateLearned. It is repeated every heartbeat
// interval until StateLearned has been stepped.
type CollectStates struct {
	// From lists the other electors.
	From []assign.ProcessID
}

// LearnElectors requests the elector set of From, which has a later version of it.
type LearnElectors struct {
	From    assign.ProcessID
	Version uint64
}

func (SendClaim) action()     {}
func (SendRelease) action()   {}
func (AnswerClaim) action()   {}
func (AnswerBeat) action()    {}
func (Won) action()           {}
func (Lost) action()          {}
func (CollectStates) action() {}
func (LearnElectors) action() {}

//go:generate enumer -type=LossReason -transform=kebab -text -output=lossreason_enumer.go

// LossReason says why a leader has lost its term.
type LossReason int

const (
	// Lapsed means that the lease expired because a majority of the electors did not renew it in time.
	Lapsed LossReason = iota
	// HigherTerm means that a heartbeat, an answer or a learned state contained a higher term.
	HigherTerm
	// Released means that the process gave up its term in a planned stop.
	Released
)

package elect

import "github.com/samphiredrum/samphiredrum/pkg/assign"

// Action is something that the owner of a Machine does for it.
//
//sumtype:decl
type Action interface {
	action()
}

// SendClaim sends a claim or a probe to another process. The owner reads clock.Clock.Latest before
// it sends, and steps PromiseReceived with the answer. A lost claim needs no repetition by the
// owner.
type SendClaim struct {
	To              assign.ProcessID
	Term            uint64
	ElectorsVersion uint64
	Probe           bool
}

// SendRelease tells another process that this one has given up Term, or its claim on it. It needs
// no answer; where it is lost, the receiver waits until its promise lapses.
type SendRelease struct {
	To   assign.ProcessID
	Term uint64
	// Next asks the receiver to claim without delay. One process at most gets it.
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
	// Accepted reports whether the sender is the current decider as far as this process knows. The
	// content of a beat that is not accepted must not be used.
	Accepted bool
	// Granted reports whether this process is an elector and has renewed its promise.
	Granted         bool
	HighestTerm     uint64
	ElectorsVersion uint64
}

// Won tells that this process has won Term and is the decider.
type Won struct {
	Term uint64
	// Promised are the electors that have promised Term so far, see Machine.Promised.
	Promised []assign.ProcessID
}

// Lost tells that this process has no term any more. The owner stops its beats.
type Lost struct {
	Term   uint64
	Reason LossReason
}

// CollectStates asks for the state of the cell, see StateLearned. It is repeated every heartbeat
// interval until StateLearned has been stepped.
type CollectStates struct {
	// From are the other electors.
	From []assign.ProcessID
}

// LearnElectors tells that the process named knows a later elector set.
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

// LossReason says why a decider has lost its term.
type LossReason int

const (
	// Lapsed is a lease that a majority of the electors did not renew in time.
	Lapsed LossReason = iota
	// HigherTerm is a higher term seen in a beat or an answer.
	HigherTerm
	// Released is a planned stop.
	Released
)

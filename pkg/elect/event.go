package elect

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// Event is something that happened to the process.
//
//sumtype:decl
type Event interface {
	event()
}

// Tick tells that time has passed.
type Tick struct {
	// Latest is a reading of clock.Clock.Latest taken together with the step's time. The process
	// counts the promise of its own elector from it.
	Latest time.Time
}

// ClaimReceived is a claim or a probe from another process. Its answer is AnswerClaim.
type ClaimReceived struct {
	From            assign.ProcessID
	Term            uint64
	ElectorsVersion uint64
	// Probe marks a question whether a claim would be granted.
	Probe bool
}

// BeatReceived is a heartbeat of a decider. Its answer is AnswerBeat.
type BeatReceived struct {
	From            assign.ProcessID
	Term            uint64
	ElectorsVersion uint64
}

// AnswerReceived is an elector's answer to a claim, a probe or a beat of this process.
type AnswerReceived struct {
	From assign.ProcessID
	// Term is the term of the claim, probe or beat.
	Term uint64
	// SentAt is a reading of clock.Clock.Latest from before the claim, probe or beat was sent.
	SentAt          time.Time
	Granted         bool
	HighestTerm     uint64
	ElectorsVersion uint64
	// Probe is as in the claim; it is false for the answer to a beat.
	Probe bool
}

// ReleaseReceived tells that another process has given up a term, or its claim on it.
type ReleaseReceived struct {
	From assign.ProcessID
	Term uint64
	// Next is as in SendRelease.
	Next bool
}

// ElectorsChanged gives the elector set of the stored record or of a decider's table. A set whose
// version is not above the known one is ignored. Successive sets differ by one process.
type ElectorsChanged struct {
	Electors []assign.ProcessID
	Version  uint64
}

// StateLearned tells that the process has the state of the cell, as one of
//
//   - the current table from a decider whose beat was accepted
//   - the states of Machine.Quorum other electors, counting only those for which Machine.Learned
//     is true. A majority of the others without this process is not enough where the number of
//     electors is even: a term won under the set before the last change could be missed.
//   - answers of all other electors, whether they have learned the state or not, as at the start of
//     a whole cell; nothing more can be known then. The elector set must have been read from the
//     stored record since the first CollectStates: the processes of an outdated set may all have
//     forgotten that it was replaced.
//
// Only what was received in answer to CollectStates, or in a beat since the first CollectStates,
// counts. An earlier StateLearned raises the known term but does not end the wait. The owner steps
// ElectorsChanged with the learned set first.
type StateLearned struct {
	// HighestTerm is the highest term in the learned states and in the stored record.
	HighestTerm uint64
}

// Stop begins the planned stop of this process. It gives up the term, or a claim, and claims
// none any more. It still answers as an elector.
type Stop struct{}

func (Tick) event()            {}
func (ClaimReceived) event()   {}
func (BeatReceived) event()    {}
func (AnswerReceived) event()  {}
func (ReleaseReceived) event() {}
func (ElectorsChanged) event() {}
func (StateLearned) event()    {}
func (Stop) event()            {}

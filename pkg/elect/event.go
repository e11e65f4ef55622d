package elect

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// Event is an input of Machine.Step.
//
//sumtype:decl
type Event interface {
	event()
}

// Tick reports that time has passed.
type Tick struct {
	// Latest is a reading of clock.Clock.Latest, taken at the same moment as the now of Step. The
	// process counts the promise of its own elector from it.
	Latest time.Time
}

// ClaimReceived is a claim or a probe from another process. Its answer is AnswerClaim.
type ClaimReceived struct {
	From            assign.ProcessID
	Term            uint64
	ElectorsVersion uint64
	// Probe marks a request that only asks whether a claim would be granted.
	Probe bool
}

// BeatReceived is a heartbeat from a leader. Its answer is AnswerBeat.
type BeatReceived struct {
	From            assign.ProcessID
	Term            uint64
	ElectorsVersion uint64
}

// AnswerReceived is the answer of another process to a claim, a probe or a heartbeat of this one.
type AnswerReceived struct {
	From assign.ProcessID
	// Term is the term of the claim, probe or heartbeat.
	Term uint64
	// SentAt is a reading of clock.Clock.Latest from before the claim, probe or heartbeat was sent.
	SentAt          time.Time
	Granted         bool
	HighestTerm     uint64
	ElectorsVersion uint64
	// Probe is copied from the claim. It is false in the answer to a heartbeat.
	Probe bool
}

// ReleaseReceived reports that another process has given up Term or its claim of Term.
type ReleaseReceived struct {
	From assign.ProcessID
	Term uint64
	// Next has the same meaning as in SendRelease.
	Next bool
}

// ElectorsChanged passes in the elector set of the stored record, of a leader's table or of another
// process. A set whose version is not higher than the known one is ignored. Successive sets differ
// by one process.
type ElectorsChanged struct {
	Electors []assign.ProcessID
	Version  uint64
}

// StateLearned reports that the process has learned the state of the cell, from one of these sources:
//
//   - The current table from a leader whose heartbeat was accepted.
//   - The states of Machine.Quorum other electors, counting only those for which Machine.Learned
//     is true. If the number of electors is even, a majority of the other electors alone is not
//     enough: a term won under the set before the last change could be missed.
//   - Answers of all other electors, whether they have learned the state or not. This is the case
//     when the whole cell starts, and no more can be learned then. The elector set must have been
//     read from the stored record since the first CollectStates: the processes of an outdated set
//     may all have restarted and so not know that the set was replaced.
//
// Only answers to CollectStates and heartbeats since the first CollectStates count. An earlier
// StateLearned raises the known term but does not end the wait after the start. The caller first
// steps ElectorsChanged with the learned set.
type StateLearned struct {
	// HighestTerm is the highest term in the learned states and in the stored record, if it was read.
	HighestTerm uint64
}

// Stop begins the planned stop of this process. The process gives up its term or claim, and does
// not claim a term again. It still answers as an elector.
type Stop struct{}

func (Tick) event()            {}
func (ClaimReceived) event()   {}
func (BeatReceived) event()    {}
func (AnswerReceived) event()  {}
func (ReleaseReceived) event() {}
func (ElectorsChanged) event() {}
func (StateLearned) event()    {}
func (Stop) event()            {}

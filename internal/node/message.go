package node

import (
	"time"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/elect"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// message is what the control goroutine handles.
type message interface{ message() }

// claimArrived is a claim or probe of another process.
type claimArrived struct {
	request peer.ClaimRequest
	reply   chan peer.ClaimAnswer
}

// claimAnswered is the answer to a claim or probe of this process.
type claimAnswered struct {
	from   assign.ProcessID
	claim  elect.SendClaim
	sentAt time.Time
	answer peer.ClaimAnswer
}

// beatArrived is a heartbeat.
type beatArrived struct {
	request peer.BeatRequest
	reply   chan peer.BeatAnswer
}

// beatAnswered is the answer to a heartbeat of this process.
type beatAnswered struct {
	from   assign.ProcessID
	term   uint64
	sentAt time.Time
	answer peer.BeatAnswer
}

// peerFailed is a heartbeat without answer.
type peerFailed struct {
	from  assign.ProcessID
	cause error
}

// releaseArrived tells that a decider gave up its term.
type releaseArrived struct{ request peer.ReleaseRequest }

// stateArrived asks for the state of this process.
type stateArrived struct{ reply chan peer.StateAnswer }

// stateAnswered is the state of another elector.
type stateAnswered struct {
	from   assign.ProcessID
	answer peer.StateAnswer
}

// coldStarted is the term in the stored record, read after every other elector answered that it
// knows no state.
type coldStarted struct{ highest uint64 }

// serverProbed is what a probe for the decider found.
type serverProbed struct {
	server      assign.ServerID
	incarnation string
	askedAt     time.Time
	probe       back.Probe
}

// grantAnswered is a server's answer to a grant.
type grantAnswered struct{ event owner.GrantAnswered }

// revokeAnswered is a server's answer to a revoke.
type revokeAnswered struct{ event owner.RevokeAnswered }

// serverSuspected tells that a server refuses connections.
type serverSuspected struct{ server assign.ServerID }

// recordAnswered is the outcome of a read or write of the record.
type recordAnswered struct{ event owner.DeciderEvent }

// teamsRead are objects of the store under the configuration's prefix.
type teamsRead struct{ changes []store.Change }

// vmsRead is the platform's list of VMs.
type vmsRead struct{ vms []store.VM }

// teamWritten is a team's object that an operator has written through some process.
type teamWritten struct {
	team  peer.Team
	reply chan peer.ChangedAnswer
}

// drainServer asks to drain a server, or to use it again.
type drainServer struct {
	server assign.ServerID
	cancel bool
	reply  chan bool
}

// drainSelf hands over what this process does for the cell.
type drainSelf struct{ done chan struct{} }

func (claimArrived) message()    {}
func (claimAnswered) message()   {}
func (beatArrived) message()     {}
func (beatAnswered) message()    {}
func (peerFailed) message()      {}
func (releaseArrived) message()  {}
func (stateArrived) message()    {}
func (stateAnswered) message()   {}
func (coldStarted) message()     {}
func (serverProbed) message()    {}
func (grantAnswered) message()   {}
func (revokeAnswered) message()  {}
func (serverSuspected) message() {}
func (recordAnswered) message()  {}
func (teamsRead) message()       {}
func (vmsRead) message()         {}
func (teamWritten) message()     {}
func (drainServer) message()     {}
func (drainSelf) message()       {}

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

// message is an input of the control goroutine.
type message interface{ message() }

// claimReceived is a claim or a probe from another process.
type claimReceived struct {
	request peer.ClaimRequest
	reply   chan peer.ClaimAnswer
}

// claimAnswered is the answer to a claim or a probe of this process.
type claimAnswered struct {
	from   assign.ProcessID
	claim  elect.SendClaim
	sentAt time.Time
	answer peer.ClaimAnswer
}

// heartbeatReceived is a heartbeat from the decider.
type heartbeatReceived struct {
	request peer.BeatRequest
	reply   chan peer.BeatAnswer
}

// heartbeatAnswered is the answer to a heartbeat of this process.
type heartbeatAnswered struct {
	from   assign.ProcessID
	term   uint64
	sentAt time.Time
	answer peer.BeatAnswer
}

// peerFailed reports that a heartbeat got no answer.
type peerFailed struct {
	from  assign.ProcessID
	cause error
}

// releaseReceived reports that a process gave up its term or its claim of one.
type releaseReceived struct{ request peer.ReleaseRequest }

// stateRequested requests the state of this process.
type stateRequested struct{ reply chan peer.StateAnswer }

// stateAnswered is the state of another elector.
type stateAnswered struct {
	from   assign.ProcessID
	answer peer.StateAnswer
}

// coldStarted is the term in the stored record, read when too few of the electors that answered have
// learned the state.
type coldStarted struct{ highestTerm uint64 }

// serverProbed is the result of a probe.
type serverProbed struct {
	server      assign.ServerID
	incarnation string
	probedAt    time.Time
	probe       back.Probe
}

// grantAnswered is a server's answer to a grant.
type grantAnswered struct{ event owner.GrantAnswered }

// revokeAnswered is a server's answer to a revoke.
type revokeAnswered struct{ event owner.RevokeAnswered }

// serverSuspected reports that a server refused a connection.
type serverSuspected struct{ server assign.ServerID }

// recordAnswered is the result of a read or write of the assignment record.
type recordAnswered struct{ event owner.DeciderEvent }

// teamsRead contains team configurations from the object store.
type teamsRead struct{ changes []store.Change }

// vmsRead contains the platform's VM list.
type vmsRead struct{ vms []store.VM }

// teamWritten is a team configuration that an operator has written through any process.
type teamWritten struct {
	team  peer.Team
	reply chan peer.ChangedAnswer
}

// drainServer requests to drain a server, or to cancel its drain.
type drainServer struct {
	server assign.ServerID
	cancel bool
	reply  chan bool
}

// drainSelf requests to hand over the buckets and the term of this process.
type drainSelf struct{ done chan struct{} }

func (claimReceived) message()     {}
func (claimAnswered) message()     {}
func (heartbeatReceived) message() {}
func (heartbeatAnswered) message() {}
func (peerFailed) message()        {}
func (releaseReceived) message()   {}
func (stateRequested) message()    {}
func (stateAnswered) message()     {}
func (coldStarted) message()       {}
func (serverProbed) message()      {}
func (grantAnswered) message()     {}
func (revokeAnswered) message()    {}
func (serverSuspected) message()   {}
func (recordAnswered) message()    {}
func (teamsRead) message()         {}
func (vmsRead) message()           {}
func (teamWritten) message()       {}
func (drainServer) message()       {}
func (drainSelf) message()         {}

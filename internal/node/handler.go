package node

import (
	"github.com/samphiredrum/samphiredrum/internal/peer"
)

// Claim implements peer.Handler.
func (n *Node) Claim(request peer.ClaimRequest) peer.ClaimAnswer {
	n.logical.Witness(request.Logical)
	reply := make(chan peer.ClaimAnswer, 1)
	if !n.post(claimReceived{request: request, reply: reply}) {
		return peer.ClaimAnswer{}
	}
	select {
	case answer := <-reply:
		return answer
	case <-n.ctx.Done():
		return peer.ClaimAnswer{}
	}
}

// Beat implements peer.Handler.
func (n *Node) Beat(request peer.BeatRequest) peer.BeatAnswer {
	n.logical.Witness(request.Logical)
	reply := make(chan peer.BeatAnswer, 1)
	if !n.post(heartbeatReceived{request: request, reply: reply}) {
		return peer.BeatAnswer{}
	}
	select {
	case answer := <-reply:
		return answer
	case <-n.ctx.Done():
		return peer.BeatAnswer{}
	}
}

// Release implements peer.Handler.
func (n *Node) Release(request peer.ReleaseRequest) peer.ReleaseAnswer {
	n.logical.Witness(request.Logical)
	n.post(releaseReceived{request: request})
	return peer.ReleaseAnswer{Header: n.header()}
}

// State implements peer.Handler.
func (n *Node) State(request peer.StateRequest) peer.StateAnswer {
	n.logical.Witness(request.Logical)
	reply := make(chan peer.StateAnswer, 1)
	if !n.post(stateRequested{reply: reply}) {
		return peer.StateAnswer{}
	}
	select {
	case answer := <-reply:
		return answer
	case <-n.ctx.Done():
		return peer.StateAnswer{}
	}
}

// Events implements peer.Handler.
func (n *Node) Events(request peer.EventsRequest) peer.EventsAnswer {
	n.logical.Witness(request.Logical)
	answer := peer.EventsAnswer{Header: n.header()}
	for _, e := range n.ring.Events() {
		if e.Logical > request.After {
			answer.Events = append(answer.Events, e)
		}
	}
	return answer
}

// Changed implements peer.Handler.
func (n *Node) Changed(request peer.ChangedRequest) peer.ChangedAnswer {
	n.logical.Witness(request.Logical)
	reply := make(chan peer.ChangedAnswer, 1)
	if !n.post(teamWritten{team: request.Team, reply: reply}) {
		return peer.ChangedAnswer{}
	}
	select {
	case answer := <-reply:
		return answer
	case <-n.ctx.Done():
		return peer.ChangedAnswer{}
	}
}

// Drain implements peer.Handler.
func (n *Node) Drain(request peer.DrainRequest) peer.DrainAnswer {
	n.logical.Witness(request.Logical)
	reply := make(chan bool, 1)
	m := drainServer{server: request.Server, cancel: request.Cancel, reply: reply}
	if !n.post(m) {
		return peer.DrainAnswer{}
	}
	select {
	case accepted := <-reply:
		return peer.DrainAnswer{Header: n.header(), Accepted: accepted}
	case <-n.ctx.Done():
		return peer.DrainAnswer{}
	}
}

// Token implements peer.Handler.
func (n *Node) Token(request peer.TokenRequest) peer.TokenAnswer {
	n.logical.Witness(request.Logical)
	return n.issuers.answer(request)
}

// Reserve implements peer.Handler.
func (n *Node) Reserve(request peer.ReserveRequest) peer.ReserveAnswer {
	n.logical.Witness(request.Logical)
	return peer.ReserveAnswer{Header: n.header(), Reserved: n.recorder.reserve(request.Reserve)}
}

// Finish implements peer.Handler.
func (n *Node) Finish(request peer.FinishRequest) peer.FinishAnswer {
	n.logical.Witness(request.Logical)
	return peer.FinishAnswer{Header: n.header(), Ended: n.recorder.finish(request.Finish)}
}

// Export implements peer.Handler.
func (n *Node) Export(request peer.ExportRequest) peer.ExportAnswer {
	n.logical.Witness(request.Logical)
	return peer.ExportAnswer{Header: n.header(), Chunk: n.recorder.export(request.Ask)}
}

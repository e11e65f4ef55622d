package node

import (
	"context"

	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/elect"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// outboxLength is the number of messages that may wait for one peer. Older ones are dropped beyond
// it: each control message replaces what an earlier one said.
const outboxLength = 4

// courier sends the control messages to one peer, one after the other.
type courier struct {
	node   *Node
	to     assign.ProcessID
	link   *peer.Link
	outbox chan outgoing
}

func newCourier(n *Node, to assign.ProcessID, link *peer.Link) *courier {
	return &courier{node: n, to: to, link: link, outbox: make(chan outgoing, outboxLength)}
}

// outgoing is a message to a peer.
type outgoing interface{ outgoing() }

// claimTask sends a claim or probe.
type claimTask struct{ claim elect.SendClaim }

// releaseTask tells that a term was given up.
type releaseTask struct{ release elect.SendRelease }

// stateTask asks for the state.
type stateTask struct{}

// beatTask sends a heartbeat.
type beatTask struct {
	beat    owner.SendHeartbeat
	request peer.BeatRequest
}

func (claimTask) outgoing()   {}
func (releaseTask) outgoing() {}
func (stateTask) outgoing()   {}
func (beatTask) outgoing()    {}

// send hands a message to the courier without waiting. The oldest message is dropped where too
// many wait.
func (p *courier) send(o outgoing) {
	for p.outbox != nil {
		select {
		case p.outbox <- o:
			return
		default:
		}
		select {
		case <-p.outbox:
		default:
		}
	}
}

func (p *courier) loop() {
	for {
		select {
		case <-p.node.ctx.Done():
			return
		case o := <-p.outbox:
			p.deliver(o)
		}
	}
}

func (p *courier) deliver(o outgoing) {
	// Two heartbeat intervals: a later heartbeat says more than a late one.
	ctx, cancel := context.WithTimeout(p.node.ctx, 2*p.node.settings.Timing.Beat)
	defer cancel()
	sentAt := p.node.clock.Latest()
	switch o := o.(type) {
	case claimTask:
		answer, err := p.link.Claim(ctx, peer.ClaimRequest{
			Header: p.node.header(), Term: o.claim.Term, ElectorsVersion: o.claim.ElectorsVersion, Probe: o.claim.Probe,
		})
		if err == nil {
			p.node.logical.Witness(answer.Logical)
			p.node.post(claimAnswered{from: p.to, claim: o.claim, sentAt: sentAt, answer: answer})
		}
	case releaseTask:
		_, _ = p.link.Release(ctx, peer.ReleaseRequest{Header: p.node.header(), Term: o.release.Term, Next: o.release.Next})
	case stateTask:
		answer, err := p.link.State(ctx, peer.StateRequest{Header: p.node.header()})
		if err == nil {
			p.node.logical.Witness(answer.Logical)
			p.node.post(stateAnswered{from: p.to, answer: answer})
		}
	case beatTask:
		o.request.Header = p.node.header()
		answer, err := p.link.Beat(ctx, o.request)
		if err != nil {
			p.node.post(peerFailed{from: p.to, cause: err})
			return
		}
		p.node.logical.Witness(answer.Logical)
		p.node.post(beatAnswered{from: p.to, term: o.beat.Term, sentAt: sentAt, answer: answer})
	}
}

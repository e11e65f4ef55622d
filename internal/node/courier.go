package node

import (
	"context"

	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/elect"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// outboxLength is the capacity of a peer's outbox. Beyond it the oldest message is dropped, as each
// control message supersedes earlier ones.
const outboxLength = 4

// sender sends the control messages to one peer, one at a time.
type sender struct {
	node   *Node
	to     assign.ProcessID
	link   *peer.Link
	outbox chan outgoing
}

func newSender(n *Node, to assign.ProcessID, link *peer.Link) *sender {
	return &sender{node: n, to: to, link: link, outbox: make(chan outgoing, outboxLength)}
}

// outgoing is a message to a peer.
type outgoing interface{ outgoing() }

// outgoingClaim is a claim or a probe.
type outgoingClaim struct{ claim elect.SendClaim }

// outgoingRelease reports that a term was given up.
type outgoingRelease struct{ release elect.SendRelease }

// outgoingStateRequest requests the peer's state.
type outgoingStateRequest struct{}

// outgoingHeartbeat is a heartbeat.
type outgoingHeartbeat struct {
	heartbeat owner.SendHeartbeat
	request   peer.BeatRequest
}

func (outgoingClaim) outgoing()        {}
func (outgoingRelease) outgoing()      {}
func (outgoingStateRequest) outgoing() {}
func (outgoingHeartbeat) outgoing()    {}

// send enqueues a message without blocking. If the outbox is full, the oldest message is dropped.
func (s *sender) send(o outgoing) {
	for s.outbox != nil {
		select {
		case s.outbox <- o:
			return
		default:
		}
		select {
		case <-s.outbox:
		default:
		}
	}
}

func (s *sender) loop() {
	for {
		select {
		case <-s.node.ctx.Done():
			return
		case o := <-s.outbox:
			s.deliver(o)
		}
	}
}

func (s *sender) deliver(o outgoing) {
	// The timeout is two heartbeat intervals, as a later heartbeat supersedes one that takes longer.
	ctx, cancel := context.WithTimeout(s.node.ctx, 2*s.node.settings.Timing.Beat)
	defer cancel()
	sentAt := s.node.clock.Latest()
	switch o := o.(type) {
	case outgoingClaim:
		answer, err := s.link.Claim(ctx, peer.ClaimRequest{
			Header: s.node.header(), Term: o.claim.Term, ElectorsVersion: o.claim.ElectorsVersion, Probe: o.claim.Probe,
		})
		if err == nil {
			s.node.logical.Witness(answer.Logical)
			s.node.post(claimAnswered{from: s.to, claim: o.claim, sentAt: sentAt, answer: answer})
		}
	case outgoingRelease:
		_, _ = s.link.Release(ctx, peer.ReleaseRequest{Header: s.node.header(), Term: o.release.Term, Next: o.release.Next})
	case outgoingStateRequest:
		answer, err := s.link.State(ctx, peer.StateRequest{Header: s.node.header()})
		if err == nil {
			s.node.logical.Witness(answer.Logical)
			s.node.post(stateAnswered{from: s.to, answer: answer})
		}
	case outgoingHeartbeat:
		o.request.Header = s.node.header()
		answer, err := s.link.Beat(ctx, o.request)
		if err != nil {
			s.node.post(peerFailed{from: s.to, cause: err})
			return
		}
		s.node.logical.Witness(answer.Logical)
		s.node.post(heartbeatAnswered{from: s.to, term: o.heartbeat.Term, sentAt: sentAt, answer: answer})
	}
}

package elect_test

import (
	"fmt"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/elect"
)

// sendBeats sends heartbeats to all other nodes if nd is the leader.
func (n *network) sendBeats(nd *node) {
	if !nd.leads(n.now) {
		return
	}
	nd.nextBeat = n.now + elect.DefaultHeartbeatInterval
	sentAt := nd.latestAt(n.now)
	e := elect.BeatReceived{From: nd.id, Term: nd.machine.Term(), ElectorsVersion: nd.machine.ElectorsVersion()}
	electors := nd.machine.Electors()
	for _, to := range n.nodes {
		if to == nd {
			continue
		}
		n.send(nd, to, func() {
			if n.step(to, e, sentAt) {
				n.setElectors(to, electors, e.ElectorsVersion)
				if to.collecting {
					n.step(to, elect.StateLearned{HighestTerm: e.Term}, time.Time{})
				}
			}
		})
	}
}

// step steps an event, carries out the actions, and reports whether a heartbeat was accepted. sentAt is
// the reading of the sender's clock that the answer returns to it.
func (n *network) step(nd *node, e elect.Event, sentAt time.Time) bool {
	accepted := false
	for _, a := range nd.machine.Step(nd.nowAt(n.now), e) {
		switch a := a.(type) {
		case elect.SendClaim:
			n.sendClaim(nd, a)
		case elect.SendRelease:
			to := n.byID[a.To]
			n.send(nd, to, func() {
				n.step(to, elect.ReleaseReceived{From: nd.id, Term: a.Term, Next: a.Next}, time.Time{})
			})
		case elect.AnswerClaim:
			n.sendAnswer(nd, a.To, elect.AnswerReceived{
				From: nd.id, Term: a.Term, SentAt: sentAt, Granted: a.Granted, HighestTerm: a.HighestTerm,
				ElectorsVersion: a.ElectorsVersion, Probe: a.Probe,
			})
		case elect.AnswerBeat:
			accepted = a.Accepted
			n.sendAnswer(nd, a.To, elect.AnswerReceived{
				From: nd.id, Term: a.Term, SentAt: sentAt, Granted: a.Granted, HighestTerm: a.HighestTerm,
				ElectorsVersion: a.ElectorsVersion,
			})
		case elect.Won:
			n.won(nd, a)
		case elect.Lost:
			nd.losses++
			n.log("%v %s lost term %d: %s", n.now.Round(time.Millisecond), nd.id, a.Term, a.Reason)
		case elect.CollectStates:
			nd.collecting = true
			for _, id := range a.From {
				n.requestState(nd, n.byID[id], true)
			}
		case elect.LearnElectors:
			n.requestState(nd, n.byID[a.From], false)
		}
	}
	n.checkLeaders()
	return accepted
}

func (n *network) sendClaim(nd *node, a elect.SendClaim) {
	to := n.byID[a.To]
	sentAt := nd.latestAt(n.now)
	n.send(nd, to, func() {
		n.step(to, elect.ClaimReceived{
			From: nd.id, Term: a.Term, ElectorsVersion: a.ElectorsVersion, Probe: a.Probe,
		}, sentAt)
	})
}

func (n *network) sendAnswer(from *node, to assign.ProcessID, e elect.AnswerReceived) {
	nd := n.byID[to]
	n.reply(from, nd, func() {
		nd.versions[e.From] = e.ElectorsVersion
		n.step(nd, e, time.Time{})
	})
}

func (n *network) won(nd *node, a elect.Won) {
	n.log("%v %s won term %d promised by %v", n.now.Round(time.Millisecond), nd.id, a.Term, a.Promised)
	name := fmt.Sprintf("%s/%d", nd.id, nd.incarnation)
	if other, ok := n.winners[a.Term]; ok {
		n.report("term %d won by %s and by %s", a.Term, other, name)
	}
	n.winners[a.Term] = name
	n.record.term = max(n.record.term, a.Term)
	if len(a.Promised) < nd.machine.Quorum() {
		n.report("term %d won with %d promises", a.Term, len(a.Promised))
	}
	nd.versions = map[assign.ProcessID]uint64{}
	n.setElectors(nd, n.record.electors, n.record.version)
	n.sendBeats(nd)
}

// requestState requests the state of a process. With collect, the answer counts as one to CollectStates.
func (n *network) requestState(nd, from *node, collect bool) {
	incarnation := nd.incarnation
	n.send(nd, from, func() {
		s := state{
			learned:     from.machine.Learned(),
			highestTerm: from.machine.HighestTerm(),
			electors:    from.machine.Electors(),
			version:     from.machine.ElectorsVersion(),
		}
		n.reply(from, nd, func() {
			if nd.incarnation == incarnation {
				n.stateReceived(nd, from.id, s, collect)
			}
		})
	})
}

func (n *network) stateReceived(nd *node, from assign.ProcessID, answer state, collect bool) {
	n.setElectors(nd, answer.electors, answer.version)
	if !collect || nd.machine.Learned() {
		return
	}
	nd.learnedBy[from] = nd.learnedBy[from] || answer.learned
	nd.highestTerm = max(nd.highestTerm, answer.highestTerm)
	answered, learned := nd.countStates()
	if answered {
		// The whole cell may have restarted. Only the stored record shows whether this set is current.
		n.setElectors(nd, n.record.electors, n.record.version)
		nd.highestTerm = max(nd.highestTerm, n.record.term)
		answered, learned = nd.countStates()
	}
	if answered || learned >= nd.machine.Quorum() {
		n.step(nd, elect.StateLearned{HighestTerm: nd.highestTerm}, time.Time{})
	}
}

// countStates reports whether all other electors have answered, and how many of them had learned the
// state.
func (nd *node) countStates() (answered bool, learned int) {
	answered = true
	for _, id := range nd.machine.Electors() {
		l, ok := nd.learnedBy[id]
		if l {
			learned++
		}
		if !ok && id != nd.id {
			answered = false
		}
	}
	return answered, learned
}

func (n *network) setElectors(nd *node, electors []assign.ProcessID, version uint64) {
	if version > nd.machine.ElectorsVersion() {
		n.step(nd, elect.ElectorsChanged{Electors: electors, Version: version}, time.Time{})
	}
}

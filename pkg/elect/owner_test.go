package elect_test

import (
	"fmt"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/elect"
)

// beat sends heartbeats while nd is the decider.
func (n *network) beat(nd *node) {
	if !nd.leads(n.now) {
		return
	}
	nd.beatAt = n.now + elect.DefaultBeat
	sentAt := nd.latest(n.now)
	e := elect.BeatReceived{From: nd.id, Term: nd.machine.Term(), ElectorsVersion: nd.machine.ElectorsVersion()}
	electors := nd.machine.Electors()
	for _, to := range n.nodes {
		if to == nd {
			continue
		}
		n.send(nd, to, func() {
			if n.step(to, e, sentAt) {
				n.changeElectors(to, electors, e.ElectorsVersion)
				if to.collecting {
					n.step(to, elect.StateLearned{HighestTerm: e.Term}, time.Time{})
				}
			}
		})
	}
}

// step steps an event and carries out the actions. It reports whether a beat was accepted. sentAt is
// the sender's clock reading that is returned to it with the answer.
func (n *network) step(nd *node, e elect.Event, sentAt time.Time) bool {
	accepted := false
	for _, a := range nd.machine.Step(nd.clock(n.now), e) {
		switch a := a.(type) {
		case elect.SendClaim:
			n.claim(nd, a)
		case elect.SendRelease:
			to := n.byID[a.To]
			n.send(nd, to, func() {
				n.step(to, elect.ReleaseReceived{From: nd.id, Term: a.Term, Next: a.Next}, time.Time{})
			})
		case elect.AnswerClaim:
			n.promise(nd, a.To, elect.AnswerReceived{
				From: nd.id, Term: a.Term, SentAt: sentAt, Granted: a.Granted, HighestTerm: a.HighestTerm,
				ElectorsVersion: a.ElectorsVersion, Probe: a.Probe,
			})
		case elect.AnswerBeat:
			accepted = a.Accepted
			n.promise(nd, a.To, elect.AnswerReceived{
				From: nd.id, Term: a.Term, SentAt: sentAt, Granted: a.Granted, HighestTerm: a.HighestTerm,
				ElectorsVersion: a.ElectorsVersion,
			})
		case elect.Won:
			n.won(nd, a)
		case elect.Lost:
			nd.lost++
			n.log("%v %s lost term %d: %s", n.now.Round(time.Millisecond), nd.id, a.Term, a.Reason)
		case elect.CollectStates:
			nd.collecting = true
			for _, id := range a.From {
				n.askState(nd, n.byID[id], true)
			}
		case elect.LearnElectors:
			n.askState(nd, n.byID[a.From], false)
		}
	}
	n.check()
	return accepted
}

func (n *network) claim(nd *node, a elect.SendClaim) {
	to := n.byID[a.To]
	sentAt := nd.latest(n.now)
	n.send(nd, to, func() {
		n.step(to, elect.ClaimReceived{
			From: nd.id, Term: a.Term, ElectorsVersion: a.ElectorsVersion, Probe: a.Probe,
		}, sentAt)
	})
}

func (n *network) promise(from *node, to assign.ProcessID, e elect.AnswerReceived) {
	nd := n.byID[to]
	n.answer(from, nd, func() {
		nd.versions[e.From] = e.ElectorsVersion
		n.step(nd, e, time.Time{})
	})
}

func (n *network) won(nd *node, a elect.Won) {
	n.log("%v %s won term %d promised by %v", n.now.Round(time.Millisecond), nd.id, a.Term, a.Promised)
	name := fmt.Sprintf("%s/%d", nd.id, nd.incarnation)
	if other, ok := n.winners[a.Term]; ok {
		n.fault("term %d won by %s and by %s", a.Term, other, name)
	}
	n.winners[a.Term] = name
	n.record.term = max(n.record.term, a.Term)
	if len(a.Promised) < nd.machine.Quorum() {
		n.fault("term %d won with %d promises", a.Term, len(a.Promised))
	}
	nd.versions = map[assign.ProcessID]uint64{}
	n.changeElectors(nd, n.record.electors, n.record.version)
	n.beat(nd)
}

// askState asks a process for its state. Only answers to CollectStates count for learning.
func (n *network) askState(nd, of *node, collect bool) {
	incarnation := nd.incarnation
	n.send(nd, of, func() {
		s := state{
			learned:  of.machine.Learned(),
			highest:  of.machine.HighestTerm(),
			electors: of.machine.Electors(),
			version:  of.machine.ElectorsVersion(),
		}
		n.answer(of, nd, func() {
			if nd.incarnation == incarnation {
				n.stateAnswered(nd, of.id, s, collect)
			}
		})
	})
}

func (n *network) stateAnswered(nd *node, from assign.ProcessID, s state, collect bool) {
	n.changeElectors(nd, s.electors, s.version)
	if !collect || nd.machine.Learned() {
		return
	}
	nd.learned[from] = nd.learned[from] || s.learned
	nd.highest = max(nd.highest, s.highest)
	answered, learned := nd.countStates()
	if answered {
		// The whole cell may have started. Only the stored record shows whether this set is current.
		n.changeElectors(nd, n.record.electors, n.record.version)
		nd.highest = max(nd.highest, n.record.term)
		answered, learned = nd.countStates()
	}
	if answered || learned >= nd.machine.Quorum() {
		n.step(nd, elect.StateLearned{HighestTerm: nd.highest}, time.Time{})
	}
}

// countStates reports whether all other electors have answered, and how many of them had learned
// the state.
func (nd *node) countStates() (answered bool, learned int) {
	answered = true
	for _, id := range nd.machine.Electors() {
		l, ok := nd.learned[id]
		if l {
			learned++
		}
		if !ok && id != nd.id {
			answered = false
		}
	}
	return answered, learned
}

func (n *network) changeElectors(nd *node, electors []assign.ProcessID, version uint64) {
	if version > nd.machine.ElectorsVersion() {
		n.step(nd, elect.ElectorsChanged{Electors: electors, Version: version}, time.Time{})
	}
}

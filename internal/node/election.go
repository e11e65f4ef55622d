package node

import (
	"time"

	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/elect"
	"github.com/samphiredrum/samphiredrum/pkg/event"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// elect steps the election and carries out its actions, except for answers to the event itself,
// which are returned.
func (c *control) elect(e elect.Event) []elect.Action {
	var answers []elect.Action
	for _, action := range c.machine.Step(c.node.clock.Now(), e) {
		switch a := action.(type) {
		case elect.SendClaim:
			c.sendClaim(a)
		case elect.SendRelease:
			c.courier(a.To).send(releaseTask{release: a})
		case elect.AnswerClaim, elect.AnswerBeat:
			answers = append(answers, action)
		case elect.Won:
			c.won(a)
		case elect.Lost:
			c.lost(a)
		case elect.CollectStates:
			c.states = make(map[assign.ProcessID]peer.StateAnswer)
			for _, id := range a.From {
				c.courier(id).send(stateTask{})
			}
		case elect.LearnElectors:
			// The elector set of the settings has one version.
		}
	}
	return answers
}

// courier returns the sender of messages to a process. A process that is not a peer gets one that
// drops them.
func (c *control) courier(id assign.ProcessID) *courier {
	if p := c.peers[id]; p != nil {
		return p
	}
	return &courier{}
}

// sendClaim asks another elector. The tables that come with promises of an earlier term are
// dropped.
func (c *control) sendClaim(a elect.SendClaim) {
	if !a.Probe && a.Term != c.claimed {
		c.claimed = a.Term
		clear(c.claims)
		c.follow(owner.TermPromised{Term: a.Term})
	}
	c.courier(a.To).send(claimTask{claim: a})
}

func (c *control) claimArrived(m claimArrived) {
	r := m.request
	answers := c.elect(elect.ClaimReceived{From: r.From, Term: r.Term, ElectorsVersion: r.ElectorsVersion, Probe: r.Probe})
	answer := peer.ClaimAnswer{Header: c.header()}
	for _, action := range answers {
		a, ok := action.(elect.AnswerClaim)
		if !ok {
			continue
		}
		answer.Granted, answer.HighestTerm, answer.ElectorsVersion = a.Granted, a.HighestTerm, a.ElectorsVersion
		if a.Granted && !a.Probe {
			// The table is read after the promise: from now on no table of a lower term is taken.
			c.follow(owner.TermPromised{Term: a.Term})
			answer.State = c.state()
		}
	}
	m.reply <- answer
}

func (c *control) claimAnswered(m claimAnswered) {
	if !m.claim.Probe && m.answer.Granted && m.claim.Term == c.claimed {
		c.claims[m.from] = m.answer.State.Table
		c.teams.merge(m.answer.State.Teams)
	}
	c.elect(elect.AnswerReceived{
		From: m.from, Term: m.claim.Term, SentAt: m.sentAt, Granted: m.answer.Granted,
		HighestTerm: m.answer.HighestTerm, ElectorsVersion: m.answer.ElectorsVersion, Probe: m.claim.Probe,
	})
}

// stateAnswered collects states after a start, until they are those of a majority or of all.
func (c *control) stateAnswered(m stateAnswered) {
	c.states[m.from] = m.answer
	learned, highest := 0, uint64(0)
	for _, s := range c.states {
		highest = max(highest, s.HighestTerm)
		if s.Learned {
			learned++
		}
	}
	if learned < c.machine.Quorum() {
		// At the start of a whole cell nobody has learned the state. The term in the stored record
		// then tells what the answers of all other electors may have forgotten.
		if c.coldStart() {
			c.node.group.Go((&coldTask{node: c.node, highest: highest}).run)
		}
		return
	}
	c.learn(highest)
}

// coldWait is the time for which a process that starts waits for the answers of all other electors.
// After it, a majority without memory is enough: the leases of whatever decider the missing ones
// remember have lapsed, and the record has fences above all that were granted.
const coldWait = 5 * time.Second

// coldStart reports whether enough electors have answered that they know no state.
func (c *control) coldStart() bool {
	answered := len(c.states) + 1
	if answered == len(c.machine.Electors()) {
		return true
	}
	return answered >= c.machine.Quorum() && c.node.clock.Now().Sub(c.startedAt) >= coldWait
}

// learn takes over the state of the cell after a start.
func (c *control) learn(highest uint64) {
	var table *assign.Table
	for _, s := range c.states {
		c.teams.merge(s.State.Teams)
		if t := s.State.Table; t != nil && (table == nil || t.Version > table.Version) {
			table = t
		}
	}
	if table != nil {
		c.follow(owner.TableLearned{Table: table})
	}
	c.applyTeams()
	c.elect(elect.StateLearned{HighestTerm: highest})
}

// won starts the decider from the tables that came with the promises.
func (c *control) won(a elect.Won) {
	c.note(event.Event{Kind: event.TermWon, Version: a.Term})
	tables := []*assign.Table{c.follower.Table()}
	for _, t := range c.claims {
		tables = append(tables, t)
	}
	c.leading = &leading{
		term:      a.Term,
		cancel:    c.startFeed(),
		followers: make(map[assign.ProcessID]peer.BeatAnswer),
		draining:  make(map[assign.ProcessID]bool),
	}
	c.applyTeams()
	c.decide(owner.Started{
		Term:         a.Term,
		RecordUnread: true,
		Tables:       tables,
		Servers:      c.exclusiveServers(),
		Processes:    c.node.processes(),
		Electors:     c.node.electors(),
	})
	c.listServers()
}

func (c *control) lost(a elect.Lost) {
	c.note(event.Event{Kind: event.TermLost, Version: a.Term, Detail: a.Reason.String()})
	c.endTerm()
}

// endTerm stops what belongs to the term.
func (c *control) endTerm() {
	if c.leading == nil {
		return
	}
	for _, w := range c.leading.waiting {
		w.reply <- peer.ChangedAnswer{}
	}
	c.leading.cancel()
	c.leading = nil
	c.events = nil
	c.decider.Step(c.node.clock.Now(), owner.Stopped{})
}

// release gives up the term and every claim on one, so that another process need not wait.
func (c *control) release() {
	c.elect(elect.Stop{})
}

// coldTask reads the term of the stored record at the start of a whole cell. While the object API is
// down, the process learns nothing and promises nothing.
type coldTask struct {
	node    *Node
	highest uint64
}

func (t *coldTask) run() {
	record, _, ok := t.node.readRecord()
	if !ok {
		// The election asks for the states again.
		return
	}
	highest := t.highest
	if record != nil {
		highest = max(highest, record.Term)
	}
	t.node.post(coldStarted{highest: highest})
}

func (c *control) coldStarted(m coldStarted) {
	if c.machine.Learned() {
		return
	}
	c.learn(m.highest)
}

package node

import (
	"time"

	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/elect"
	"github.com/samphiredrum/samphiredrum/pkg/event"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// stepElection steps the election and executes its actions, except for the answers to the event itself,
// which it returns.
func (c *control) stepElection(e elect.Event) []elect.Action {
	var answers []elect.Action
	for _, action := range c.election.Step(c.node.clock.Now(), e) {
		switch a := action.(type) {
		case elect.SendClaim:
			c.sendClaim(a)
		case elect.SendRelease:
			c.sender(a.To).send(outgoingRelease{release: a})
		case elect.AnswerClaim, elect.AnswerBeat:
			answers = append(answers, action)
		case elect.Won:
			c.termWon(a)
		case elect.Lost:
			c.termLost(a)
		case elect.CollectStates:
			c.states = make(map[assign.ProcessID]peer.StateAnswer)
			for _, id := range a.From {
				c.sender(id).send(outgoingStateRequest{})
			}
		case elect.LearnElectors:
			// The elector set comes from the settings and has only one version.
		}
	}
	return answers
}

// sender returns the sender of messages to a process. For a process that is not a peer, it returns one that
// drops all messages.
func (c *control) sender(id assign.ProcessID) *sender {
	if s := c.senders[id]; s != nil {
		return s
	}
	return &sender{}
}

// sendClaim sends a claim or a probe to another elector. A claim of a new term discards the tables that came
// with promises of an earlier term.
func (c *control) sendClaim(a elect.SendClaim) {
	if !a.Probe && a.Term != c.claimedTerm {
		c.claimedTerm = a.Term
		clear(c.promisedTables)
		c.stepFollower(owner.TermPromised{Term: a.Term})
	}
	c.sender(a.To).send(outgoingClaim{claim: a})
}

func (c *control) claimReceived(m claimReceived) {
	r := m.request
	answers := c.stepElection(elect.ClaimReceived{From: r.From, Term: r.Term, ElectorsVersion: r.ElectorsVersion, Probe: r.Probe})
	answer := peer.ClaimAnswer{Header: c.header()}
	for _, action := range answers {
		a, ok := action.(elect.AnswerClaim)
		if !ok {
			continue
		}
		answer.Granted, answer.HighestTerm, answer.ElectorsVersion = a.Granted, a.HighestTerm, a.ElectorsVersion
		if a.Granted && !a.Probe {
			// The table is read after the promise: from here on, tables of lower terms are rejected.
			c.stepFollower(owner.TermPromised{Term: a.Term})
			answer.State = c.state()
		}
	}
	m.reply <- answer
}

func (c *control) claimAnswered(m claimAnswered) {
	if !m.claim.Probe && m.answer.Granted && m.claim.Term == c.claimedTerm {
		c.promisedTables[m.from] = m.answer.State.Table
		c.teams.merge(m.answer.State.Teams)
	}
	c.stepElection(elect.AnswerReceived{
		From: m.from, Term: m.claim.Term, SentAt: m.sentAt, Granted: m.answer.Granted,
		HighestTerm: m.answer.HighestTerm, ElectorsVersion: m.answer.ElectorsVersion, Probe: m.claim.Probe,
	})
}

// stateAnswered collects the states of other electors after a start, until enough of them are known.
func (c *control) stateAnswered(m stateAnswered) {
	c.states[m.from] = m.answer
	learned, highestTerm := 0, uint64(0)
	for _, s := range c.states {
		highestTerm = max(highestTerm, s.HighestTerm)
		if s.Learned {
			learned++
		}
	}
	if learned < c.election.Quorum() {
		// When the whole cell starts, no process has learned the state. The stored record then provides the
		// term that the other electors may have forgotten.
		if c.isColdStart() {
			c.node.group.Go((&coldStartTask{node: c.node, highestTerm: highestTerm}).run)
		}
		return
	}
	c.learnState(highestTerm)
}

// coldStartTimeout is how long a starting process waits for the answers of all other electors. After it, a
// majority that has learned no state is enough: the leases of any decider that the missing electors
// remember have expired, and the fences in the record are above all granted ones.
const coldStartTimeout = 5 * time.Second

// isColdStart reports whether enough electors have answered that they have learned no state.
func (c *control) isColdStart() bool {
	answered := len(c.states) + 1
	if answered == len(c.election.Electors()) {
		return true
	}
	return answered >= c.election.Quorum() && c.node.clock.Now().Sub(c.startedAt) >= coldStartTimeout
}

// learnState adopts the latest table and configurations of the other electors after a start.
func (c *control) learnState(highestTerm uint64) {
	var table *assign.Table
	for _, s := range c.states {
		c.teams.merge(s.State.Teams)
		if t := s.State.Table; t != nil && (table == nil || t.Version > table.Version) {
			table = t
		}
	}
	if table != nil {
		c.stepFollower(owner.TableLearned{Table: table})
	}
	c.applyTeams()
	c.stepElection(elect.StateLearned{HighestTerm: highestTerm})
}

// termWon starts the decider with the tables that came with the promises.
func (c *control) termWon(a elect.Won) {
	c.recordEvent(event.Event{Kind: event.TermWon, Version: a.Term})
	tables := []*assign.Table{c.follower.Table()}
	for _, t := range c.promisedTables {
		tables = append(tables, t)
	}
	c.leading = &leaderState{
		term:      a.Term,
		cancel:    c.startFeed(),
		followers: make(map[assign.ProcessID]peer.BeatAnswer),
		draining:  make(map[assign.ProcessID]bool),
	}
	c.applyTeams()
	c.stepDecider(owner.Started{
		Term:         a.Term,
		RecordUnread: true,
		Tables:       tables,
		Servers:      c.exclusiveServers(),
		Processes:    c.node.processes(),
		Electors:     c.node.electors(),
	})
	c.updateServerList()
}

func (c *control) termLost(a elect.Lost) {
	c.recordEvent(event.Event{Kind: event.TermLost, Version: a.Term, Detail: a.Reason.String()})
	c.endTerm()
}

// endTerm discards the state of the term and stops the decider.
func (c *control) endTerm() {
	if c.leading == nil {
		return
	}
	for _, w := range c.leading.waiting {
		w.reply <- peer.ChangedAnswer{}
	}
	c.leading.cancel()
	c.leading = nil
	c.pending = nil
	c.decider.Step(c.node.clock.Now(), owner.Stopped{})
}

// resign gives up the term or the claim of one, so that other processes need not wait for it to expire.
func (c *control) resign() {
	c.stepElection(elect.Stop{})
}

// coldStartTask reads the term of the stored record when the whole cell starts. While the object API is down,
// the process does not learn the state and gives no promises.
type coldStartTask struct {
	node        *Node
	highestTerm uint64
}

func (t *coldStartTask) run() {
	record, _, ok := t.node.readRecord()
	if !ok {
		// The election requests the states again.
		return
	}
	highestTerm := t.highestTerm
	if record != nil {
		highestTerm = max(highestTerm, record.Term)
	}
	t.node.post(coldStarted{highestTerm: highestTerm})
}

func (c *control) coldStarted(m coldStarted) {
	if c.election.Learned() {
		return
	}
	c.learnState(m.highestTerm)
}

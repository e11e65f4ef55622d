package node

import (
	"maps"

	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/elect"
	"github.com/samphiredrum/samphiredrum/pkg/event"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// maxRecentTables is how many applied tables are kept until a majority of the electors holds them.
const maxRecentTables = 8

// sendHeartbeat sends a heartbeat. One to this process itself is handled directly, without the network.
func (c *control) sendHeartbeat(a owner.SendHeartbeat) {
	request := peer.BeatRequest{
		Term:            a.Term,
		ElectorsVersion: c.election.ElectorsVersion(),
		Incarnation:     a.Incarnation,
		Echo:            a.Echo,
		Lease:           a.Lease,
		Table:           a.Table,
		Held:            c.committedVersion(),
		Versions:        c.teams.versions(),
		Leaving:         sortedIDs(c.servers.leaving),
		Ordered:         sortedIDs(c.servers.drainRequested),
	}
	// A process whose versions are unknown gets every team's configuration: its lease must not be extended
	// while it lacks a configuration that is in force.
	request.Teams = c.teams.newerThan(c.leading.followers[a.Process].Versions)
	if a.Process == c.node.settings.Name {
		request.From = a.Process
		answer := c.applyHeartbeat(request)
		answer.Accepted = true
		c.followerAnswered(a.Process, answer)
		return
	}
	c.sender(a.Process).send(outgoingHeartbeat{heartbeat: a, request: request})
}

// committedVersion returns the version of the latest table that a majority of the electors holds.
func (c *control) committedVersion() uint64 {
	t := c.decider.Table()
	if t != nil && c.decider.Committed(t.Version) {
		return t.Version
	}
	if c.committed == nil {
		return 0
	}
	return c.committed.Version
}

func (c *control) heartbeatReceived(m heartbeatReceived) {
	r := m.request
	answers := c.stepElection(elect.BeatReceived{From: r.From, Term: r.Term, ElectorsVersion: r.ElectorsVersion})
	answer := peer.BeatAnswer{Header: c.header()}
	for _, action := range answers {
		a, ok := action.(elect.AnswerBeat)
		if !ok {
			continue
		}
		if a.Accepted {
			answer = c.applyHeartbeat(r)
		}
		answer.Accepted, answer.Promised = a.Accepted, a.Granted
		answer.HighestTerm, answer.ElectorsVersion = a.HighestTerm, a.ElectorsVersion
	}
	m.reply <- answer
}

// applyHeartbeat applies the content of the decider's heartbeat and returns the answer.
func (c *control) applyHeartbeat(r peer.BeatRequest) peer.BeatAnswer {
	c.teams.merge(r.Teams)
	c.applyTeams()
	c.setDraining(toSet(r.Leaving), toSet(r.Ordered))
	learned := c.election.Learned()
	c.countInFlight()
	answer := c.stepFollower(owner.HeartbeatReceived{
		From: r.From, Term: r.Term, Incarnation: r.Incarnation, Echo: r.Echo, Lease: r.Lease, Table: r.Table,
	})
	c.applyCommitted(r.Held)
	c.node.router.SetLeaseExpiry(c.follower.Expires())
	// A heartbeat for an earlier run of this process may come from a decider that was paused in between, and
	// its table may be older than the tables that the earlier run acknowledged.
	if !learned && r.Incarnation == c.node.incarnationText() && c.follower.Table() != nil {
		c.stepElection(elect.StateLearned{HighestTerm: r.Term})
	}
	result := peer.BeatAnswer{
		Header:   c.header(),
		Versions: c.teams.versions(),
		Load:     c.takeLoad(),
		Copied:   c.node.recorder.copied(),
		Suspects: c.takeSuspects(),
		Draining: c.draining,
	}
	if answer != nil {
		result.Stamp = answer.Sent
		result.TableVersion = answer.Version
		result.InFlight = answer.InFlight
		result.Incarnation = answer.Incarnation
	}
	return result
}

// stepFollower steps the follower, applies tables, and returns the answer to the decider, or nil.
func (c *control) stepFollower(e owner.FollowerEvent) *owner.Answer {
	var answer *owner.Answer
	for _, action := range c.follower.Step(c.node.clock.Latest(), e) {
		switch a := action.(type) {
		case owner.Apply:
			c.applyTable(a)
			c.inFlight = c.node.router.Tracker().InFlight(a.Table)
			answer = c.stepFollower(owner.InFlightCounted{Version: a.Table.Version, InFlight: c.inFlight})
		case owner.Answer:
			answer = &a
		}
	}
	return answer
}

func (c *control) applyTable(a owner.Apply) {
	c.recentTables = append(c.recentTables, a.Table)
	if len(c.recentTables) > maxRecentTables {
		c.recentTables = c.recentTables[1:]
	}
	c.publishView()
	for _, s := range a.Closing {
		c.recordEvent(event.Event{Kind: event.Close, Service: s.Service, Server: s.Server, Fence: s.Fence, Version: a.Table.Version}.On(s.Span))
	}
	for _, s := range a.Opening {
		c.recordEvent(event.Event{Kind: event.Open, Service: s.Service, Server: s.Server, Fence: s.Fence, Version: a.Table.Version}.On(s.Span))
	}
}

// countInFlight reports the calls in flight of closed spans to the follower if a count has changed.
func (c *control) countInFlight() *owner.Answer {
	t := c.follower.Table()
	if t == nil || len(c.inFlight) == 0 {
		return nil
	}
	counts := c.node.router.Tracker().InFlight(t)
	if maps.Equal(counts, c.inFlight) {
		return nil
	}
	c.inFlight = counts
	return c.stepFollower(owner.InFlightCounted{Version: t.Version, InFlight: counts})
}

// reportInFlight counts the calls in flight between heartbeats. Other processes report the count in the
// answer to the next heartbeat; the decider steps its own count at once.
func (c *control) reportInFlight() {
	answer := c.countInFlight()
	if answer != nil && c.leading != nil {
		c.stepDecider(processAnswer(c.node.settings.Name, *answer))
	}
}

func processAnswer(from assign.ProcessID, a owner.Answer) owner.ProcessAnswered {
	return owner.ProcessAnswered{
		Process: from, Incarnation: a.Incarnation, Term: a.Term, Sent: a.Sent, Version: a.Version, InFlight: a.InFlight,
	}
}

// applyCommitted puts the buckets of a table in force once a majority of the electors holds the table.
func (c *control) applyCommitted(version uint64) {
	for _, t := range c.recentTables {
		if t.Version <= version && (c.committed == nil || t.Version > c.committed.Version) {
			c.committed = t
			c.node.recorder.apply(t)
			c.updateIssuers()
			c.publishView()
		}
	}
}

// heartbeatAnswered processes a follower's answer.
func (c *control) heartbeatAnswered(m heartbeatAnswered) {
	c.stepElection(elect.AnswerReceived{
		From: m.from, Term: m.term, SentAt: m.sentAt, Granted: m.answer.Promised,
		HighestTerm: m.answer.HighestTerm, ElectorsVersion: m.answer.ElectorsVersion,
	})
	if c.leading != nil && c.leading.term == m.term && m.answer.Accepted {
		c.followerAnswered(m.from, m.answer)
	}
}

func (c *control) followerAnswered(from assign.ProcessID, answer peer.BeatAnswer) {
	l := c.leading
	l.followers[from] = answer
	if answer.Draining != l.draining[from] {
		l.draining[from] = answer.Draining
		c.stepDecider(owner.DrainProcess{Process: from, Cancel: !answer.Draining})
	}
	for _, id := range answer.Suspects {
		c.serverSuspected(serverSuspected{server: id})
	}
	for _, b := range answer.Copied {
		c.stepDecider(owner.BucketCopied{Process: from, Bucket: b.Bucket, Generation: b.Generation})
	}
	for _, report := range loadReports(from, answer.Load) {
		c.stepDecider(report)
	}
	if answer.Incarnation == "" || c.leading != l {
		return
	}
	c.stepDecider(owner.ProcessAnswered{
		Process: from, Incarnation: answer.Incarnation, Term: l.term, Sent: answer.Stamp,
		Version: answer.TableVersion, InFlight: answer.InFlight,
	})
}

// peerFailed reports to the decider that a process has ended if its address refuses connections.
func (c *control) peerFailed(m peerFailed) {
	if c.leading == nil || !peer.Refused(m.cause) {
		return
	}
	// Without an answer in this term the incarnation is empty, which means the runs that have not answered
	// in this term.
	last, answered := c.leading.followers[m.from]
	if answered {
		delete(c.leading.followers, m.from)
		c.recordEvent(event.Event{Kind: event.Fault, Detail: "process " + string(m.from) + " refuses connections"})
	}
	c.stepDecider(owner.ProcessEnded{Process: m.from, Incarnation: last.Incarnation})
}

// takeLoad returns the call rates of the spans since the last heartbeat.
func (c *control) takeLoad() []peer.SpanLoad {
	now := c.node.clock.Now()
	seconds := now.Sub(c.loadTakenAt).Seconds()
	c.loadTakenAt = now
	if seconds <= 0 {
		return nil
	}
	var loads []peer.SpanLoad
	for _, l := range c.node.router.Tracker().TakeLoad() {
		loads = append(loads, peer.SpanLoad{
			Service: l.Service, Span: l.Span, Rate: float64(l.Calls) / seconds,
			HotHash: l.HotHash, HotRate: float64(l.HotCalls) / seconds,
		})
	}
	return loads
}

// loadReports groups the loads of a process by service.
func loadReports(from assign.ProcessID, loads []peer.SpanLoad) []owner.LoadReported {
	reports := make(map[assign.ServiceID]*owner.LoadReported)
	var list []owner.LoadReported
	for _, l := range loads {
		r := reports[l.Service]
		if r == nil {
			r = &owner.LoadReported{
				Process: from, Service: l.Service,
				Spans: make(map[assign.Span]float64), Keys: make(map[uint64]float64),
			}
			reports[l.Service] = r
		}
		r.Spans[l.Span] += l.Rate
		if l.HotRate > 0 {
			r.Keys[l.HotHash] += l.HotRate
		}
	}
	for _, r := range reports {
		list = append(list, *r)
	}
	return list
}

package node

import (
	"maps"

	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/elect"
	"github.com/samphiredrum/samphiredrum/pkg/event"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// recentTables is the number of tables kept until a majority is known to hold them.
const recentTables = 8

// sendBeat sends a heartbeat, to this process itself without the network.
func (c *control) sendBeat(a owner.SendHeartbeat) {
	request := peer.BeatRequest{
		Term:            a.Term,
		ElectorsVersion: c.machine.ElectorsVersion(),
		Incarnation:     a.Incarnation,
		Echo:            a.Echo,
		Lease:           a.Lease,
		Table:           a.Table,
		Held:            c.heldVersion(),
		Versions:        c.teams.versions(),
		Leaving:         names(c.servers.leaving),
		Ordered:         names(c.servers.ordered),
	}
	// A process whose versions are not known gets every team: its lease must not outlive a
	// configuration that it has not applied.
	request.Teams = c.teams.after(c.leading.followers[a.Process].Versions)
	if a.Process == c.node.settings.Name {
		request.From = a.Process
		answer := c.followBeat(request)
		answer.Accepted = true
		c.followerAnswered(a.Process, answer)
		return
	}
	c.courier(a.Process).send(beatTask{beat: a, request: request})
}

// heldVersion returns the version of the latest table that a majority of the electors holds.
func (c *control) heldVersion() uint64 {
	t := c.decider.Table()
	if t != nil && c.decider.Committed(t.Version) {
		return t.Version
	}
	if c.held == nil {
		return 0
	}
	return c.held.Version
}

func (c *control) beatArrived(m beatArrived) {
	r := m.request
	answers := c.elect(elect.BeatReceived{From: r.From, Term: r.Term, ElectorsVersion: r.ElectorsVersion})
	answer := peer.BeatAnswer{Header: c.header()}
	for _, action := range answers {
		a, ok := action.(elect.AnswerBeat)
		if !ok {
			continue
		}
		if a.Accepted {
			answer = c.followBeat(r)
		}
		answer.Accepted, answer.Promised = a.Accepted, a.Granted
		answer.HighestTerm, answer.ElectorsVersion = a.HighestTerm, a.ElectorsVersion
	}
	m.reply <- answer
}

// followBeat takes over what a heartbeat of the decider says, and answers it.
func (c *control) followBeat(r peer.BeatRequest) peer.BeatAnswer {
	c.teams.merge(r.Teams)
	c.applyTeams()
	c.setDraining(setOf(r.Leaving), setOf(r.Ordered))
	learned := c.machine.Learned()
	c.countInFlight()
	answer := c.follow(owner.HeartbeatReceived{
		From: r.From, Term: r.Term, Incarnation: r.Incarnation, Echo: r.Echo, Lease: r.Lease, Table: r.Table,
	})
	c.takeHeld(r.Held)
	c.node.router.SetLeaseExpiry(c.follower.Expires())
	// A heartbeat meant for an earlier run may come from a decider that was paused since, and its table
	// may be older than what that run had promised.
	if !learned && r.Incarnation == c.node.run() && c.follower.Table() != nil {
		c.elect(elect.StateLearned{HighestTerm: r.Term})
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

// follow steps the follower, applies tables, and returns its answer to the decider, if any.
func (c *control) follow(e owner.FollowerEvent) *owner.Answer {
	var answer *owner.Answer
	for _, action := range c.follower.Step(c.node.clock.Latest(), e) {
		switch a := action.(type) {
		case owner.Apply:
			c.applyTable(a)
			c.inFlight = c.node.router.Tracker().InFlight(a.Table)
			answer = c.follow(owner.InFlightCounted{Version: a.Table.Version, InFlight: c.inFlight})
		case owner.Answer:
			answer = &a
		}
	}
	return answer
}

func (c *control) applyTable(a owner.Apply) {
	c.recent = append(c.recent, a.Table)
	if len(c.recent) > recentTables {
		c.recent = c.recent[1:]
	}
	c.publishView()
	for _, s := range a.Closing {
		c.note(event.Event{Kind: event.Close, Service: s.Service, Server: s.Server, Fence: s.Fence, Version: a.Table.Version}.On(s.Span))
	}
	for _, s := range a.Opening {
		c.note(event.Event{Kind: event.Open, Service: s.Service, Server: s.Server, Fence: s.Fence, Version: a.Table.Version}.On(s.Span))
	}
}

// countInFlight tells the follower the calls in flight of closed spans where a count has fallen.
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
	return c.follow(owner.InFlightCounted{Version: t.Version, InFlight: counts})
}

// reportDrained counts the calls in flight between heartbeats. The next heartbeat carries the
// count; the decider's own count is taken at once.
func (c *control) reportDrained() {
	answer := c.countInFlight()
	if answer != nil && c.leading != nil {
		c.decide(processAnswer(c.node.settings.Name, *answer))
	}
}

func processAnswer(from assign.ProcessID, a owner.Answer) owner.ProcessAnswered {
	return owner.ProcessAnswered{
		Process: from, Incarnation: a.Incarnation, Term: a.Term, Sent: a.Sent, Version: a.Version, InFlight: a.InFlight,
	}
}

// takeHeld puts the buckets of a table in force once a majority of the electors holds it.
func (c *control) takeHeld(version uint64) {
	for _, t := range c.recent {
		if t.Version <= version && (c.held == nil || t.Version > c.held.Version) {
			c.held = t
			c.node.recorder.apply(t)
			c.updateKeepers()
			c.publishView()
		}
	}
}

// beatAnswered takes over a follower's answer.
func (c *control) beatAnswered(m beatAnswered) {
	c.elect(elect.AnswerReceived{
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
		c.decide(owner.DrainProcess{Process: from, Cancel: !answer.Draining})
	}
	for _, id := range answer.Suspects {
		c.suspected(serverSuspected{server: id})
	}
	for _, b := range answer.Copied {
		c.decide(owner.BucketCopied{Process: from, Bucket: b.Bucket, Generation: b.Generation})
	}
	for _, report := range loadReports(from, answer.Load) {
		c.decide(report)
	}
	if answer.Incarnation == "" || c.leading != l {
		return
	}
	c.decide(owner.ProcessAnswered{
		Process: from, Incarnation: answer.Incarnation, Term: l.term, Sent: answer.Stamp,
		Version: answer.TableVersion, InFlight: answer.InFlight,
	})
}

// peerFailed tells the decider that a process has ended where its address refuses connections.
func (c *control) peerFailed(m peerFailed) {
	if c.leading == nil || !peer.Refused(m.cause) {
		return
	}
	// Without an answer in this term the incarnation is empty, which stands for the runs of earlier
	// terms.
	last, answered := c.leading.followers[m.from]
	if answered {
		delete(c.leading.followers, m.from)
		c.note(event.Event{Kind: event.Fault, Detail: "process " + string(m.from) + " refuses connections"})
	}
	c.decide(owner.ProcessEnded{Process: m.from, Incarnation: last.Incarnation})
}

// takeLoad returns the rates of the spans since the last heartbeat.
func (c *control) takeLoad() []peer.SpanLoad {
	now := c.node.clock.Now()
	seconds := now.Sub(c.loadedAt).Seconds()
	c.loadedAt = now
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
	var ordered []owner.LoadReported
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
		ordered = append(ordered, *r)
	}
	return ordered
}

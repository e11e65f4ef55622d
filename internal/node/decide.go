package node

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/entry"
	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/elect"
	"github.com/samphiredrum/samphiredrum/pkg/event"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// Timeouts of the decider's requests to servers.
const (
	// serverTimeout bounds a grant, a probe or a health check. It is shorter than the silence after which a
	// server counts as lost, so that one lost packet does not make a server silent.
	serverTimeout = 400 * time.Millisecond
	// revokeTimeout bounds a revoke, which waits for running work.
	revokeTimeout = 2 * time.Second
)

// recordPrefix is the prefix of the names of assignment records in the object store.
const recordPrefix = "assignments/"

// stepDecider steps the decider and executes its actions. It does nothing if this process has no term.
func (c *control) stepDecider(e owner.DeciderEvent) {
	if c.leading == nil {
		return
	}
	// The clock is read before the term is checked. Otherwise the process could be paused in between, lose the
	// term and still act at the later time.
	now := c.node.clock.Now()
	if !c.election.Leads(c.node.clock.Latest()) {
		c.stepElection(elect.Tick{Latest: c.node.clock.Latest()})
		return
	}
	// An action may cause another event, such as this process's answer to its own heartbeat. Such events are
	// queued, so that all actions of one step are executed before the next step.
	c.pending = append(c.pending, e)
	if c.stepping {
		return
	}
	c.stepping = true
	defer func() { c.stepping = false }()
	for len(c.pending) > 0 {
		next := c.pending[0]
		c.pending = c.pending[1:]
		for _, action := range c.decider.Step(now, next) {
			c.execute(action)
		}
	}
}

// stepDown gives up the term because the stored record shows that it is over.
func (c *control) stepDown(a owner.StepDown) {
	c.recordEvent(event.Event{Kind: event.TermLost, Version: a.Term, Detail: a.Reason.String()})
	c.endTerm()
	switch a.Reason {
	case owner.HigherTerm:
		// The election gives up its term when it learns a higher one, and may claim a later term.
		c.stepElection(elect.StateLearned{HighestTerm: a.Term})
	case owner.NotElector:
		c.stepElection(elect.Stop{})
	}
}

func (c *control) execute(action owner.DeciderAction) {
	n := c.node
	switch a := action.(type) {
	case owner.SendHeartbeat:
		if c.leading != nil {
			c.sendHeartbeat(a)
		}
	case owner.SendGrant:
		if m := c.servers.members[a.Server]; m != nil {
			m.grants.send(a)
		}
	case owner.SendRevoke:
		if s := c.servers.get(a.Server); s != nil {
			n.group.Go((&revokeTask{node: n, server: s, action: a}).run)
		}
	case owner.ProbeServer:
		if s := c.servers.get(a.Server); s != nil {
			n.group.Go((&probeTask{node: n, server: s, incarnation: a.Incarnation, probedAt: n.clock.Now()}).run)
		}
	case owner.WriteRecord:
		n.group.Go((&writeRecordTask{node: n, action: a}).run)
	case owner.ReadRecord:
		n.group.Go((&readRecordTask{node: n}).run)
	case owner.StepDown:
		c.stepDown(a)
	case owner.Note:
		c.recordNote(a)
	}
}

// eventKinds maps the decider's notes to control events. Notes of other kinds are not recorded.
var eventKinds = map[owner.NoteKind]event.Kind{
	owner.NoteClosed:      event.Move,
	owner.NoteServerLost:  event.Fault,
	owner.NoteServerBack:  event.Fault,
	owner.NoteProcessLost: event.Fault,
	owner.NoteRecord:      event.RecordWritten,
	owner.NoteHorizon:     event.Fault,
}

func (c *control) recordNote(a owner.Note) {
	kind, ok := eventKinds[a.Kind]
	if !ok {
		return
	}
	e := event.Event{Kind: kind, Service: a.Service, Server: a.Server, Fence: a.Fence, Version: a.Version, Detail: a.Kind.String()}
	if a.Process != "" {
		e.Detail += " " + string(a.Process)
	}
	if a.Service != "" {
		e = e.On(a.Span)
	}
	c.recordEvent(e)
}

// grantSender sends the grants of one server, one at a time. A pending grant is replaced by a later one.
// Each grant replaces all spans of the server, so a grant that arrives late would remove spans that were
// granted in the meantime.
type grantSender struct {
	node    *Node
	server  *entry.Server
	ctx     context.Context
	pending chan owner.SendGrant
}

func newGrantSender(ctx context.Context, n *Node, server *entry.Server) *grantSender {
	return &grantSender{node: n, server: server, ctx: ctx, pending: make(chan owner.SendGrant, 1)}
}

// send replaces the pending grant. Only the control goroutine calls it.
func (g *grantSender) send(a owner.SendGrant) {
	select {
	case <-g.pending:
	default:
	}
	g.pending <- a
}

func (g *grantSender) loop() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case a := <-g.pending:
			g.deliver(a)
		}
	}
}

func (g *grantSender) deliver(a owner.SendGrant) {
	ctx, cancel := context.WithTimeout(g.ctx, serverTimeout)
	defer cancel()
	notAfter, known := g.server.NotAfter(a.Deadline)
	if !known {
		health, err := g.server.Client.Health(ctx)
		if err != nil {
			return
		}
		g.server.Observe(health.Receipt)
		if notAfter, known = g.server.NotAfter(a.Deadline); !known {
			return
		}
	}
	receipt, err := g.server.Client.Grant(ctx, notAfter, toGranted(a.Spans))
	if err != nil && back.KindOf(err) != back.Stale {
		return
	}
	if err == nil {
		g.server.Observe(receipt)
	}
	g.node.post(grantAnswered{event: owner.GrantAnswered{
		Server: a.Server, Incarnation: receipt.Incarnation, Version: a.Version, OK: err == nil,
	}})
}

func toGranted(spans []owner.Grant) []back.Granted {
	list := make([]back.Granted, len(spans))
	for i, s := range spans {
		list[i] = back.Granted{Service: s.Service, Span: s.Span, Fence: s.Fence}
	}
	return list
}

// revokeTask revokes spans of a server.
type revokeTask struct {
	node   *Node
	server *entry.Server
	action owner.SendRevoke
}

func (t *revokeTask) run() {
	ctx, cancel := context.WithTimeout(t.node.ctx, revokeTimeout)
	defer cancel()
	_, err := t.server.Client.Revoke(ctx, toGranted(t.action.Spans))
	t.node.post(revokeAnswered{event: owner.RevokeAnswered{Server: t.server.ID, Version: t.action.Version, OK: err == nil}})
}

// probeTask checks whether a server is alive.
type probeTask struct {
	node   *Node
	server *entry.Server
	// incarnation is the last known run of the server. If a probe that was sent after this run became known
	// finds no process, the run has ended.
	incarnation string
	probedAt    time.Time
}

func (t *probeTask) run() {
	ctx, cancel := context.WithTimeout(t.node.ctx, serverTimeout)
	defer cancel()
	probe := t.server.Client.Probe(ctx)
	t.node.post(serverProbed{server: t.server.ID, incarnation: t.incarnation, probedAt: t.probedAt, probe: probe})
}

func (c *control) serverProbed(m serverProbed) {
	s := c.servers.get(m.server)
	if s == nil {
		return
	}
	switch m.probe.Liveness {
	case back.Alive:
		s.Observe(m.probe.Health.Receipt)
		c.stepDecider(owner.ServerAnswered{
			Server:      m.server,
			Incarnation: m.probe.Health.Incarnation,
			ProbedAt:    m.probedAt,
			Idle:        m.probe.Health.Busy == 0 && m.probe.Health.Queued == 0,
			Draining:    m.probe.Health.Status == back.StatusDraining,
		})
	case back.Ended:
		s.MarkEnded()
		c.stepDecider(owner.ServerEnded{Server: m.server, Incarnation: m.incarnation})
	case back.Silent:
	}
}

// serverSuspected handles a refused connection to a server. The decider probes the server at once, as
// waiting for the silence timeout would leave its keys without an owner for longer. Other processes report
// the server in the answer to the next heartbeat.
func (c *control) serverSuspected(m serverSuspected) {
	if c.leading == nil {
		c.suspects[m.server] = true
		return
	}
	if s := c.servers.get(m.server); s != nil {
		c.node.group.Go((&probeTask{node: c.node, server: s, incarnation: s.Incarnation(), probedAt: c.node.clock.Now()}).run)
	}
}

// takeSuspects returns the servers that refused a connection since the last heartbeat.
func (c *control) takeSuspects() []assign.ServerID {
	suspects := slices.Sorted(maps.Keys(c.suspects))
	clear(c.suspects)
	return suspects
}

func (n *Node) recordName() string {
	return recordPrefix + n.settings.User
}

// writeRecordTask stores the assignment record.
type writeRecordTask struct {
	node   *Node
	action owner.WriteRecord
}

func (t *writeRecordTask) run() {
	ctx, cancel := context.WithTimeout(t.node.ctx, t.node.settings.Timing.StoreTimeout)
	defer cancel()
	token := t.action.Record.Token
	text, err := json.Marshal(t.action.Record)
	if err != nil {
		t.node.log.Error().Err(err).Msg("cannot encode the assignment record")
		return
	}
	version, err := t.node.api.Put(ctx, t.node.recordName(), text, t.action.IfVersion)
	if err != nil {
		conflict := store.KindOf(err) == store.Conflict
		t.node.post(recordAnswered{event: owner.RecordFailed{Token: token, Conflict: conflict}})
		return
	}
	t.node.post(recordAnswered{event: owner.RecordWritten{Version: version, Token: token}})
}

// readRecordTask reads the assignment record.
type readRecordTask struct{ node *Node }

func (t *readRecordTask) run() {
	record, version, ok := t.node.readRecord()
	if !ok {
		// The decider requests the record again.
		return
	}
	t.node.post(recordAnswered{event: owner.RecordRead{Record: record, Version: version}})
}

// readRecord returns the stored record and its version, or nil and 0 if there is none. It returns false if
// the object API does not answer or the object cannot be parsed.
func (n *Node) readRecord() (*assign.Record, uint64, bool) {
	ctx, cancel := context.WithTimeout(n.ctx, n.settings.Timing.StoreTimeout)
	defer cancel()
	object, err := n.api.Get(ctx, n.recordName())
	switch store.KindOf(err) {
	case store.NoError:
		record := new(assign.Record)
		if err := json.Unmarshal(object.Value, record); err != nil {
			n.log.Error().Err(err).Msg("cannot parse the stored assignment record; restore the object from the platform's history")
			return nil, 0, false
		}
		return record, object.Version, true
	case store.NotFound:
		return nil, 0, true
	case store.Conflict, store.Limited, store.TooOld, store.Unknown, store.Down:
	}
	return nil, 0, false
}

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

// Times of the decider's tasks.
const (
	// serverTime bounds a grant or probe. It is below the silence after which a server counts as
	// lost, so that one lost packet does not make a server silent.
	serverTime = 400 * time.Millisecond
	// revokeTime bounds a revoke, which waits for work that runs.
	revokeTime = 2 * time.Second
)

// recordPrefix is where the assignment records are stored.
const recordPrefix = "assignments/"

// decide steps the decider and carries out its actions. Without the term it does nothing.
func (c *control) decide(e owner.DeciderEvent) {
	if c.leading == nil {
		return
	}
	// The time is read before the term is checked: otherwise a pause between the two could let a
	// process without the term act.
	now := c.node.clock.Now()
	if !c.machine.Leads(c.node.clock.Latest()) {
		c.elect(elect.Tick{Latest: c.node.clock.Latest()})
		return
	}
	// An action may lead to another event, such as this process's answer to its own heartbeat. Such
	// events wait, so that the actions of one step are carried out before those of the next.
	c.events = append(c.events, e)
	if c.deciding {
		return
	}
	c.deciding = true
	defer func() { c.deciding = false }()
	for len(c.events) > 0 {
		next := c.events[0]
		c.events = c.events[1:]
		for _, action := range c.decider.Step(now, next) {
			c.carryOut(action)
		}
	}
}

// stepDown gives the term up where the stored record says that it is over.
func (c *control) stepDown(a owner.StepDown) {
	c.note(event.Event{Kind: event.TermLost, Version: a.Term, Detail: a.Reason.String()})
	c.endTerm()
	switch a.Reason {
	case owner.HigherTerm:
		// The election gives its term up when it learns a higher one, and may claim a later one.
		c.elect(elect.StateLearned{HighestTerm: a.Term})
	case owner.NotElector:
		c.elect(elect.Stop{})
	}
}

func (c *control) carryOut(action owner.DeciderAction) {
	n := c.node
	switch a := action.(type) {
	case owner.SendHeartbeat:
		if c.leading != nil {
			c.sendBeat(a)
		}
	case owner.SendGrant:
		if m := c.servers.members[a.Server]; m != nil {
			m.granter.send(a)
		}
	case owner.SendRevoke:
		if s := c.servers.get(a.Server); s != nil {
			n.group.Go((&revokeTask{node: n, server: s, action: a}).run)
		}
	case owner.ProbeServer:
		if s := c.servers.get(a.Server); s != nil {
			n.group.Go((&probeTask{node: n, server: s, incarnation: a.Incarnation, askedAt: n.clock.Now()}).run)
		}
	case owner.WriteRecord:
		n.group.Go((&writeTask{node: n, action: a}).run)
	case owner.ReadRecord:
		n.group.Go((&readTask{node: n}).run)
	case owner.StepDown:
		c.stepDown(a)
	case owner.Note:
		c.noteDecision(a)
	}
}

// noteKinds maps the notes of the decider to control events.
var noteKinds = map[owner.NoteKind]event.Kind{
	owner.NoteClosed:      event.Move,
	owner.NoteServerLost:  event.Fault,
	owner.NoteServerBack:  event.Fault,
	owner.NoteProcessLost: event.Fault,
	owner.NoteRecord:      event.RecordWritten,
	owner.NoteHorizon:     event.Fault,
}

func (c *control) noteDecision(a owner.Note) {
	kind, ok := noteKinds[a.Kind]
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
	c.note(e)
}

// granter sends the grants of one server, one after the other. A grant that waits is replaced by a
// later one: each grant replaces all spans of the server, so an overtaken one would take away spans
// that were granted meanwhile.
type granter struct {
	node    *Node
	server  *entry.Server
	ctx     context.Context
	waiting chan owner.SendGrant
}

func newGranter(ctx context.Context, n *Node, server *entry.Server) *granter {
	return &granter{node: n, server: server, ctx: ctx, waiting: make(chan owner.SendGrant, 1)}
}

// send replaces the grant that waits. Only the control goroutine calls it.
func (g *granter) send(a owner.SendGrant) {
	select {
	case <-g.waiting:
	default:
	}
	g.waiting <- a
}

func (g *granter) loop() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case a := <-g.waiting:
			g.deliver(a)
		}
	}
}

func (g *granter) deliver(a owner.SendGrant) {
	ctx, cancel := context.WithTimeout(g.ctx, serverTime)
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
	receipt, err := g.server.Client.Grant(ctx, notAfter, granted(a.Spans))
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

func granted(spans []owner.Grant) []back.Granted {
	list := make([]back.Granted, len(spans))
	for i, s := range spans {
		list[i] = back.Granted{Service: s.Service, Span: s.Span, Fence: s.Fence}
	}
	return list
}

// revokeTask takes spans from a server.
type revokeTask struct {
	node   *Node
	server *entry.Server
	action owner.SendRevoke
}

func (t *revokeTask) run() {
	ctx, cancel := context.WithTimeout(t.node.ctx, revokeTime)
	defer cancel()
	_, err := t.server.Client.Revoke(ctx, granted(t.action.Spans))
	t.node.post(revokeAnswered{event: owner.RevokeAnswered{Server: t.server.ID, Version: t.action.Version, OK: err == nil}})
}

// probeTask finds out whether a server lives.
type probeTask struct {
	node   *Node
	server *entry.Server
	// incarnation is the run of the server that is looked for. A probe that was sent when this run
	// was known, and that finds no process, proves that this run has ended.
	incarnation string
	askedAt     time.Time
}

func (t *probeTask) run() {
	ctx, cancel := context.WithTimeout(t.node.ctx, serverTime)
	defer cancel()
	probe := t.server.Client.Probe(ctx)
	t.node.post(serverProbed{server: t.server.ID, incarnation: t.incarnation, askedAt: t.askedAt, probe: probe})
}

func (c *control) serverProbed(m serverProbed) {
	s := c.servers.get(m.server)
	if s == nil {
		return
	}
	switch m.probe.Liveness {
	case back.Alive:
		s.Observe(m.probe.Health.Receipt)
		c.decide(owner.ServerAnswered{
			Server:      m.server,
			Incarnation: m.probe.Health.Incarnation,
			ProbedAt:    m.askedAt,
			Idle:        m.probe.Health.Busy == 0 && m.probe.Health.Queued == 0,
			Draining:    m.probe.Health.Status == back.StatusDraining,
		})
	case back.Ended:
		s.MarkEnded()
		c.decide(owner.ServerEnded{Server: m.server, Incarnation: m.incarnation})
	case back.Silent:
	}
}

// suspected tells the decider about a server that refused a connection, which probes it at once.
// Waiting for the silence of the server would leave its keys without an owner for longer.
func (c *control) suspected(m serverSuspected) {
	if c.leading == nil {
		c.suspects[m.server] = true
		return
	}
	if s := c.servers.get(m.server); s != nil {
		c.node.group.Go((&probeTask{node: c.node, server: s, incarnation: s.Incarnation(), askedAt: c.node.clock.Now()}).run)
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

// writeTask stores the record.
type writeTask struct {
	node   *Node
	action owner.WriteRecord
}

func (t *writeTask) run() {
	ctx, cancel := context.WithTimeout(t.node.ctx, t.node.settings.Timing.StoreTimeout)
	defer cancel()
	token := t.action.Record.Token
	text, err := json.Marshal(t.action.Record)
	if err != nil {
		t.node.log.Error().Err(err).Msg("the record cannot be encoded")
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

// readTask reads the record.
type readTask struct{ node *Node }

func (t *readTask) run() {
	record, version, ok := t.node.readRecord()
	if !ok {
		// The decider asks again.
		return
	}
	t.node.post(recordAnswered{event: owner.RecordRead{Record: record, Version: version}})
}

// readRecord returns the stored record and its version, nil and 0 where there is none. It reports
// false where the object API does not answer or the object cannot be read.
func (n *Node) readRecord() (*assign.Record, uint64, bool) {
	ctx, cancel := context.WithTimeout(n.ctx, n.settings.Timing.StoreTimeout)
	defer cancel()
	object, err := n.api.Get(ctx, n.recordName())
	switch store.KindOf(err) {
	case store.NoError:
		record := new(assign.Record)
		if err := json.Unmarshal(object.Value, record); err != nil {
			n.log.Error().Err(err).Msg("the stored record cannot be read; restore the object from the platform's history")
			return nil, 0, false
		}
		return record, object.Version, true
	case store.NotFound:
		return nil, 0, true
	case store.Conflict, store.Limited, store.TooOld, store.Unknown, store.Down:
	}
	return nil, 0, false
}

package node

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/elect"
	"github.com/samphiredrum/samphiredrum/pkg/event"
	"github.com/samphiredrum/samphiredrum/pkg/owner"
)

// tickInterval is the time between two checks of the timers and the calls in flight. It bounds how late a
// drained span is acknowledged.
const tickInterval = 20 * time.Millisecond

// churnPeriod is the period that the churn budgets of the settings refer to.
const churnPeriod = time.Minute

// versionsPerWindow is the minimum number of table versions within a booking window.
const versionsPerWindow = 4

// initialElectorsVersion is the version of the elector set in the settings.
const initialElectorsVersion = 1

// control is the control state of a node. Only the goroutine that runs loop accesses it.
type control struct {
	node     *Node
	election *elect.Machine
	follower *owner.Follower
	decider  *owner.Decider
	// leading is nil unless this process is the decider.
	leading *leaderState
	teams   *teams
	servers *servers

	senders map[assign.ProcessID]*sender
	// promisedTables contains the tables that electors sent with their promises, by elector.
	promisedTables map[assign.ProcessID]*assign.Table
	// claimedTerm is the term that promisedTables belongs to.
	claimedTerm uint64
	states      map[assign.ProcessID]peer.StateAnswer

	// committed is the latest table that a majority of the electors is known to hold.
	committed    *assign.Table
	recentTables []*assign.Table
	inFlight     map[assign.ServerID]int
	loadTakenAt  time.Time
	startedAt    time.Time
	heartbeatAt  time.Time
	// suspects contains the servers that refused a connection since the last heartbeat.
	suspects  map[assign.ServerID]bool
	draining  bool
	drainDone chan struct{}
	serving   bool
	// pending contains the events that wait until the actions of an earlier event have been executed.
	pending  []owner.DeciderEvent
	stepping bool
}

// leaderState is the state of one term in which this process is the decider.
type leaderState struct {
	term uint64
	// cancel stops following the configuration in the store.
	cancel context.CancelFunc
	// followers contains the last answer of each process.
	followers map[assign.ProcessID]peer.BeatAnswer
	waiting   []teamWritten
	vmsReadAt time.Time
	draining  map[assign.ProcessID]bool
}

func newControl(n *Node) *control {
	c := &control{
		node:           n,
		follower:       owner.NewFollower(n.incarnationText()),
		decider:        owner.NewDecider(n.deciderConfig()),
		teams:          newTeams(n),
		servers:        newServers(n),
		senders:        make(map[assign.ProcessID]*sender),
		promisedTables: make(map[assign.ProcessID]*assign.Table),
		states:         make(map[assign.ProcessID]peer.StateAnswer),
		suspects:       make(map[assign.ServerID]bool),
		loadTakenAt:    n.clock.Now(),
		startedAt:      n.clock.Now(),
	}
	c.election = elect.New(elect.Config{
		Self:              n.settings.Name,
		Electors:          n.electors(),
		ElectorsVersion:   initialElectorsVersion,
		Started:           n.clock.Now(),
		TermLease:         n.settings.Timing.TermLease,
		HeartbeatInterval: n.settings.Timing.Beat,
		Margin:            n.settings.Timing.Margin,
		Seed:              n.incarnation,
	})
	for id, l := range n.links {
		c.senders[id] = newSender(n, id, l.control)
		n.group.Go(c.senders[id].loop)
	}
	return c
}

func (n *Node) electors() []assign.ProcessID {
	ids := make([]assign.ProcessID, 0, len(n.settings.Peers))
	for _, p := range n.settings.Peers {
		ids = append(ids, p.Name)
	}
	return ids
}

func (n *Node) processes() []owner.Process {
	ps := make([]owner.Process, 0, len(n.settings.Peers))
	for _, p := range n.settings.Peers {
		ps = append(ps, owner.Process{ID: p.Name, FailureDomain: p.FailureDomain})
	}
	return ps
}

func (n *Node) deciderConfig() owner.Config {
	t := n.settings.Timing
	return owner.Config{
		Cell:              n.settings.User,
		Self:              n.settings.Name,
		ServingLease:      t.ServingLease,
		Grant:             t.Grant,
		HeartbeatInterval: t.Beat,
		Silence:           t.Silence,
		StoreTimeout:      t.StoreTimeout,
		Margin:            t.Margin,
		ChurnPeriod:       churnPeriod,
		RefreshInterval:   t.BookingWindow / versionsPerWindow,
	}
}

func (c *control) loop() {
	defer c.stop()
	c.readTeams()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.node.ctx.Done():
			return
		case m := <-c.node.inbox:
			c.handle(m)
		case <-ticker.C:
			c.tick()
		}
	}
}

func (c *control) stop() {
	c.endTerm()
	c.servers.close()
}

func (c *control) handle(m message) {
	switch m := m.(type) {
	case claimReceived:
		c.claimReceived(m)
	case claimAnswered:
		c.claimAnswered(m)
	case heartbeatReceived:
		c.heartbeatReceived(m)
	case heartbeatAnswered:
		c.heartbeatAnswered(m)
	case peerFailed:
		c.peerFailed(m)
	case releaseReceived:
		c.stepElection(elect.ReleaseReceived{From: m.request.From, Term: m.request.Term, Next: m.request.Next})
	case stateRequested:
		m.reply <- peer.StateAnswer{
			Header: c.node.header(), State: c.state(), HighestTerm: c.election.HighestTerm(),
			ElectorsVersion: c.election.ElectorsVersion(), Learned: c.election.Learned(),
		}
	case stateAnswered:
		c.stateAnswered(m)
	case coldStarted:
		c.coldStarted(m)
	case serverProbed:
		c.serverProbed(m)
	case grantAnswered:
		c.stepDecider(m.event)
	case revokeAnswered:
		c.stepDecider(m.event)
	case serverSuspected:
		c.serverSuspected(m)
	case recordAnswered:
		c.stepDecider(m.event)
	case teamsRead:
		c.teamsRead(m)
	case vmsRead:
		c.vmsRead(m)
	case teamWritten:
		c.teamWritten(m)
	case drainServer:
		c.drainServer(m)
	case drainSelf:
		c.draining = true
		c.drainDone = m.done
	}
}

// tick runs the timers and periodic checks.
func (c *control) tick() {
	c.stepElection(elect.Tick{Latest: c.node.clock.Latest()})
	c.reportInFlight()
	now := c.node.clock.Now()
	if now.Sub(c.heartbeatAt) >= c.node.settings.Timing.Beat {
		c.heartbeatAt = now
		c.stepDecider(owner.Tick{})
		c.node.recorder.tick()
		c.readVMs(now)
		c.answerWaiting()
	}
	c.finishDrain()
	c.updateServing()
	c.publishStatus()
}

// updateServing records an event when the serving lease is gained or lost.
func (c *control) updateServing() {
	serving := c.follower.Serves(c.node.clock.Latest())
	if serving == c.serving {
		return
	}
	c.serving = serving
	kind := event.LeaseLost
	if serving {
		kind = event.LeaseGained
	}
	c.recordEvent(event.Event{Kind: kind, Version: c.follower.Version()})
}

// state returns the table and the configurations in force in this process, for other processes.
func (c *control) state() peer.State {
	return peer.State{Table: c.follower.Table(), Teams: c.teams.all()}
}

func (c *control) header() peer.Header {
	return c.node.header()
}

// recordEvent adds a control event to the ring and the log.
func (c *control) recordEvent(e event.Event) {
	e = c.node.ring.Add(e)
	c.node.meter.events.WithLabelValues(e.Kind.String()).Inc()
	level := zerolog.InfoLevel
	if e.Kind == event.Open || e.Kind == event.Close {
		// A table that moves many spans would log as many lines in each process.
		level = zerolog.DebugLevel
	}
	c.node.log.WithLevel(level).Str("kind", e.Kind.String()).Uint64("logical", e.Logical).
		Str("service", string(e.Service)).Str("server", string(e.Server)).
		Uint64("version", e.Version).Uint64("fence", uint64(e.Fence)).Str("detail", e.Detail).Msg("control")
}

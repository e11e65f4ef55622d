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

// tickInterval is the time between two looks at timers and calls in flight. It bounds how late a
// drained span is acknowledged.
const tickInterval = 20 * time.Millisecond

// churnPeriod is the time that the churn budgets of the settings are for.
const churnPeriod = time.Minute

// windowParts is the number of table versions that a booking window sees at least.
const windowParts = 4

// firstElectors is the version of the elector set that the settings name.
const firstElectors = 1

// control is the control state of a node. All of it belongs to the goroutine of loop.
type control struct {
	node     *Node
	machine  *elect.Machine
	follower *owner.Follower
	decider  *owner.Decider
	// leading is set while this process is the decider.
	leading *leading
	teams   *teams
	servers *servers

	peers map[assign.ProcessID]*courier
	// claims holds the tables that electors sent with their promises, by elector.
	claims map[assign.ProcessID]*assign.Table
	// claimed is the term that claims belong to.
	claimed uint64
	states  map[assign.ProcessID]peer.StateAnswer

	// held is the latest table that a majority of the electors is known to hold.
	held      *assign.Table
	recent    []*assign.Table
	inFlight  map[assign.ServerID]int
	loadedAt  time.Time
	startedAt time.Time
	beatAt    time.Time
	// suspects are the servers that refused a connection since the last heartbeat.
	suspects map[assign.ServerID]bool
	draining bool
	drained  chan struct{}
	serving  bool
	// events wait while the actions of an earlier one are carried out.
	events   []owner.DeciderEvent
	deciding bool
}

// leading is what belongs to one term as decider.
type leading struct {
	term uint64
	// cancel ends the feed of the configuration.
	cancel context.CancelFunc
	// followers holds the last answer of each process.
	followers map[assign.ProcessID]peer.BeatAnswer
	waiting   []teamWritten
	vmsAt     time.Time
	draining  map[assign.ProcessID]bool
}

func newControl(n *Node) *control {
	c := &control{
		node:      n,
		follower:  owner.NewFollower(n.run()),
		decider:   owner.NewDecider(n.deciderConfig()),
		teams:     newTeams(n),
		servers:   newServers(n),
		peers:     make(map[assign.ProcessID]*courier),
		claims:    make(map[assign.ProcessID]*assign.Table),
		states:    make(map[assign.ProcessID]peer.StateAnswer),
		suspects:  make(map[assign.ServerID]bool),
		loadedAt:  n.clock.Now(),
		startedAt: n.clock.Now(),
	}
	c.machine = elect.New(elect.Config{
		Self:              n.settings.Name,
		Electors:          n.electors(),
		ElectorsVersion:   firstElectors,
		Started:           n.clock.Now(),
		TermLease:         n.settings.Timing.TermLease,
		HeartbeatInterval: n.settings.Timing.Beat,
		Margin:            n.settings.Timing.Margin,
		Seed:              n.incarnation,
	})
	for id, l := range n.links {
		c.peers[id] = newCourier(n, id, l.control)
		n.group.Go(c.peers[id].loop)
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
		RefreshInterval:   t.BookingWindow / windowParts,
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
	case claimArrived:
		c.claimArrived(m)
	case claimAnswered:
		c.claimAnswered(m)
	case beatArrived:
		c.beatArrived(m)
	case beatAnswered:
		c.beatAnswered(m)
	case peerFailed:
		c.peerFailed(m)
	case releaseArrived:
		c.elect(elect.ReleaseReceived{From: m.request.From, Term: m.request.Term, Next: m.request.Next})
	case stateArrived:
		m.reply <- peer.StateAnswer{
			Header: c.node.header(), State: c.state(), HighestTerm: c.machine.HighestTerm(),
			ElectorsVersion: c.machine.ElectorsVersion(), Learned: c.machine.Learned(),
		}
	case stateAnswered:
		c.stateAnswered(m)
	case coldStarted:
		c.coldStarted(m)
	case serverProbed:
		c.serverProbed(m)
	case grantAnswered:
		c.decide(m.event)
	case revokeAnswered:
		c.decide(m.event)
	case serverSuspected:
		c.suspected(m)
	case recordAnswered:
		c.decide(m.event)
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
		c.drained = m.done
	}
}

// tick looks at everything that depends on time.
func (c *control) tick() {
	c.elect(elect.Tick{Latest: c.node.clock.Latest()})
	c.reportDrained()
	now := c.node.clock.Now()
	if now.Sub(c.beatAt) >= c.node.settings.Timing.Beat {
		c.beatAt = now
		c.decide(owner.Tick{})
		c.node.recorder.tick()
		c.readVMs(now)
		c.answerWaiting()
	}
	c.finishDrain()
	c.updateServing()
	c.publishStatus()
}

// updateServing notes when the serving lease is gained or lost.
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
	c.note(event.Event{Kind: kind, Version: c.follower.Version()})
}

// state returns what this process holds, for other processes.
func (c *control) state() peer.State {
	return peer.State{Table: c.follower.Table(), Teams: c.teams.all()}
}

func (c *control) header() peer.Header {
	return c.node.header()
}

// note adds a control event to the ring and the log.
func (c *control) note(e event.Event) {
	e = c.node.ring.Add(e)
	c.node.meter.events.WithLabelValues(e.Kind.String()).Inc()
	level := zerolog.InfoLevel
	if e.Kind == event.Open || e.Kind == event.Close {
		// A table that moves many spans would write as many lines in each process.
		level = zerolog.DebugLevel
	}
	c.node.log.WithLevel(level).Str("kind", e.Kind.String()).Uint64("logical", e.Logical).
		Str("service", string(e.Service)).Str("server", string(e.Server)).
		Uint64("version", e.Version).Uint64("fence", uint64(e.Fence)).Str("detail", e.Detail).Msg("control")
}

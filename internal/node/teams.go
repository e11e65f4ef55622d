package node

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/peer"
	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/event"
)

// teamPrefix is the prefix of the names of team configurations in the object store.
const teamPrefix = "config/"

// teams contains the configuration of each team. A team's version never decreases.
type teams struct {
	node *Node
	// latest contains the highest known version of each team, inForce the parsed version that is used.
	latest  map[string]peer.Team
	inForce map[string]teamInForce
	// rejected contains the last invalid version of each team, so that it is parsed and logged only once.
	rejected map[string]uint64
}

type teamInForce struct {
	version uint64
	source  peer.Team
	team    conf.Team
}

func newTeams(n *Node) *teams {
	return &teams{node: n, latest: make(map[string]peer.Team), inForce: make(map[string]teamInForce), rejected: make(map[string]uint64)}
}

// merge adds the versions that are higher than the known ones.
func (t *teams) merge(others []peer.Team) {
	for _, o := range others {
		if o.Version > t.latest[o.Name].Version && o.Version != t.rejected[o.Name] {
			t.latest[o.Name] = o
		}
	}
}

// apply puts the latest versions in force and returns the teams that changed. An invalid text is not put in
// force: the process that accepted it validates by other rules, and the version in force is known to work.
func (t *teams) apply() []string {
	var changed []string
	for name, l := range t.latest {
		if l.Version <= t.inForce[name].version {
			continue
		}
		if len(l.Text) == 0 {
			t.inForce[name] = teamInForce{version: l.Version, source: l, team: conf.Team{Name: name}}
			changed = append(changed, name)
			continue
		}
		team, faults := conf.ParseTeam(name, teamPrefix+name, string(l.Text))
		if len(faults) > 0 {
			// The version in force is sent to other processes instead, also to starting ones.
			t.rejected[name] = l.Version
			t.latest[name] = t.inForce[name].source
			t.node.log.Error().Str("team", name).Uint64("version", l.Version).Stringer("fault", faults[0]).
				Msg("configuration refused")
			continue
		}
		t.inForce[name] = teamInForce{version: l.Version, source: l, team: team}
		changed = append(changed, name)
	}
	slices.Sort(changed)
	return changed
}

// versions returns the versions in force.
func (t *teams) versions() map[string]uint64 {
	versions := make(map[string]uint64, len(t.inForce))
	for name, f := range t.inForce {
		versions[name] = f.version
	}
	return versions
}

// newerThan returns the teams whose version in force is higher than in versions.
func (t *teams) newerThan(versions map[string]uint64) []peer.Team {
	var newer []peer.Team
	for name, f := range t.inForce {
		if f.version > versions[name] {
			newer = append(newer, f.source)
		}
	}
	return newer
}

// all returns every team.
func (t *teams) all() []peer.Team {
	return t.newerThan(nil)
}

// services returns the services in force, sorted by name.
func (t *teams) services() []conf.Service {
	var services []conf.Service
	for _, f := range t.inForce {
		services = append(services, f.team.Services...)
	}
	slices.SortFunc(services, func(a, b conf.Service) int { return cmp.Compare(a.ID, b.ID) })
	return services
}

// applyTeams puts the latest configurations in force and updates the servers and the view.
func (c *control) applyTeams() {
	changed := c.teams.apply()
	if len(changed) == 0 {
		return
	}
	for _, name := range changed {
		c.recordEvent(event.Event{Kind: event.Configuration, Version: c.teams.inForce[name].version, Detail: name})
	}
	c.servers.update(c.teams.services(), c.processCount())
	c.publishView()
	c.updateIssuers()
	c.updateServerList()
}

// readTeams reads the configuration once at the start, so that the process need not wait for a decider that
// sends it.
func (c *control) readTeams() {
	c.node.group.Go((&teamsTask{node: c.node}).run)
}

// teamsTask reads all team configurations.
type teamsTask struct{ node *Node }

func (t *teamsTask) run() {
	ctx, cancel := context.WithTimeout(t.node.ctx, t.node.settings.Timing.StoreTimeout)
	defer cancel()
	objects, _, err := t.node.api.List(ctx, teamPrefix)
	if err != nil {
		t.node.log.Warn().Err(err).Msg("cannot read the team configurations; waiting to receive them from other processes")
		return
	}
	var changes []store.Change
	for _, o := range objects {
		changes = append(changes, store.Change{Object: o})
	}
	t.node.post(teamsRead{changes: changes})
}

// startFeed follows the configuration in the store until the returned function is called.
func (c *control) startFeed() context.CancelFunc {
	ctx, cancel := context.WithCancel(c.node.ctx)
	c.node.group.Go((&feedTask{node: c.node, ctx: ctx}).run)
	return cancel
}

// feedTask posts changes of the configuration to the control goroutine.
type feedTask struct {
	node *Node
	// ctx is cancelled at the end of the term.
	ctx context.Context
}

func (t *feedTask) run() {
	feed := store.NewFeed(t.node.api, teamPrefix, store.FeedOptions{Timeout: t.node.settings.Timing.StoreTimeout})
	feed.Start(t.ctx)
	for update := range feed.Updates() {
		if len(update.Changes) > 0 {
			t.node.post(teamsRead{changes: update.Changes})
		}
	}
}

func (c *control) teamsRead(m teamsRead) {
	var read []peer.Team
	for _, change := range m.changes {
		read = append(read, peer.Team{
			Name: strings.TrimPrefix(change.Name, teamPrefix), Version: change.Version, Text: change.Value,
		})
	}
	c.teams.merge(read)
	c.applyTeams()
	c.triggerHeartbeat()
}

// teamWritten handles a configuration that a process has written to the store. The answer is delayed until a
// majority of the electors has the configuration in force.
func (c *control) teamWritten(m teamWritten) {
	if c.leading == nil {
		m.reply <- peer.ChangedAnswer{}
		return
	}
	c.teams.merge([]peer.Team{m.team})
	c.applyTeams()
	c.leading.waiting = append(c.leading.waiting, m)
	c.triggerHeartbeat()
}

// answerWaiting answers the requests whose configuration a majority of the electors has in force.
func (c *control) answerWaiting() {
	if c.leading == nil {
		return
	}
	remaining := c.leading.waiting[:0]
	for _, w := range c.leading.waiting {
		n := c.electorsInForce(w.team)
		if 2*n <= len(c.election.Electors()) {
			remaining = append(remaining, w)
			continue
		}
		w.reply <- peer.ChangedAnswer{Header: c.header(), InForce: n, Electors: len(c.election.Electors())}
	}
	c.leading.waiting = remaining
}

// electorsInForce counts the electors that have at least the team's version in force.
func (c *control) electorsInForce(team peer.Team) int {
	n := 0
	for _, id := range c.election.Electors() {
		if c.leading.followers[id].Versions[team.Name] >= team.Version {
			n++
		}
	}
	return n
}

// triggerHeartbeat sends heartbeats at the next tick instead of after the interval.
func (c *control) triggerHeartbeat() {
	if c.leading != nil {
		c.heartbeatAt = time.Time{}
	}
}

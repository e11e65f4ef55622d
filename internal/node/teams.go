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

// teamPrefix is where the configurations of the teams are stored.
const teamPrefix = "config/"

// teams holds the configuration. A team's version only rises.
type teams struct {
	node *Node
	// latest is the highest version known of each team, inForce the parsed one that is used.
	latest  map[string]peer.Team
	inForce map[string]teamInForce
	// refused is the last version of each team that has faults. It is parsed and logged once.
	refused map[string]uint64
}

type teamInForce struct {
	version uint64
	source  peer.Team
	team    conf.Team
}

func newTeams(n *Node) *teams {
	return &teams{node: n, latest: make(map[string]peer.Team), inForce: make(map[string]teamInForce), refused: make(map[string]uint64)}
}

// merge takes over the versions that are higher than the known ones.
func (t *teams) merge(others []peer.Team) {
	for _, o := range others {
		if o.Version > t.latest[o.Name].Version && o.Version != t.refused[o.Name] {
			t.latest[o.Name] = o
		}
	}
}

// apply puts the latest versions in force, and returns the teams that changed. A text with faults
// is not put in force: what accepted it had other rules, and the one in force is known to work.
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
			// The one in force is passed on instead, also to processes that start.
			t.refused[name] = l.Version
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

// after returns the teams whose version in force is higher than the given one.
func (t *teams) after(versions map[string]uint64) []peer.Team {
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
	return t.after(nil)
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

// applyTeams puts configurations in force and publishes what follows from them.
func (c *control) applyTeams() {
	changed := c.teams.apply()
	if len(changed) == 0 {
		return
	}
	for _, name := range changed {
		c.note(event.Event{Kind: event.Configuration, Version: c.teams.inForce[name].version, Detail: name})
	}
	c.servers.update(c.teams.services(), c.processCount())
	c.publishView()
	c.updateKeepers()
	c.listServers()
}

// readTeams reads the configuration once, so that a process which starts need not wait for a
// decider to know it.
func (c *control) readTeams() {
	c.node.group.Go((&teamsTask{node: c.node}).run)
}

// teamsTask lists the configuration.
type teamsTask struct{ node *Node }

func (t *teamsTask) run() {
	ctx, cancel := context.WithTimeout(t.node.ctx, t.node.settings.Timing.StoreTimeout)
	defer cancel()
	objects, _, err := t.node.api.List(ctx, teamPrefix)
	if err != nil {
		t.node.log.Warn().Err(err).Msg("the configuration is learned from other processes")
		return
	}
	var changes []store.Change
	for _, o := range objects {
		changes = append(changes, store.Change{Object: o})
	}
	t.node.post(teamsRead{changes: changes})
}

// startFeed follows the configuration in the store until the function returned is called.
func (c *control) startFeed() context.CancelFunc {
	ctx, cancel := context.WithCancel(c.node.ctx)
	c.node.group.Go((&feedTask{node: c.node, ctx: ctx}).run)
	return cancel
}

// feedTask passes changes of the configuration on.
type feedTask struct {
	node *Node
	// ctx ends with the term.
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
	c.beatNow()
}

// teamWritten takes over a configuration that some process has written to the store. The answer
// waits until a majority of the electors has it in force.
func (c *control) teamWritten(m teamWritten) {
	if c.leading == nil {
		m.reply <- peer.ChangedAnswer{}
		return
	}
	c.teams.merge([]peer.Team{m.team})
	c.applyTeams()
	c.leading.waiting = append(c.leading.waiting, m)
	c.beatNow()
}

// answerWaiting answers the operators whose configuration a majority of the electors has in force.
func (c *control) answerWaiting() {
	if c.leading == nil {
		return
	}
	kept := c.leading.waiting[:0]
	for _, w := range c.leading.waiting {
		n := c.inForceAt(w.team)
		if 2*n <= len(c.machine.Electors()) {
			kept = append(kept, w)
			continue
		}
		w.reply <- peer.ChangedAnswer{Header: c.header(), InForce: n, Electors: len(c.machine.Electors())}
	}
	c.leading.waiting = kept
}

// inForceAt counts the electors that have at least the team's version in force.
func (c *control) inForceAt(team peer.Team) int {
	n := 0
	for _, id := range c.machine.Electors() {
		if c.leading.followers[id].Versions[team.Name] >= team.Version {
			n++
		}
	}
	return n
}

// beatNow sends heartbeats without waiting for the interval.
func (c *control) beatNow() {
	if c.leading != nil {
		c.beatAt = time.Time{}
	}
}

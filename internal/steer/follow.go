package steer

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/leader"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// followed handles the leader's answer.
func (c *Control) followed(now time.Time, e followed) {
	if e.err == nil && e.answer.Ceded && !c.leads {
		c.options.Log.Info().Msg("lead-offered")
		c.advance(now, leader.Ceded{Version: c.candidate.Version()})
		return
	}
	if e.err != nil || !e.answer.Leads || c.leads {
		if e.err != nil && !c.leads && !c.leaderless {
			c.leaderless = true
			c.options.Log.Warn().Err(e.err).Str("leader", c.candidate.Holder()).Msg("leader-unreachable")
		}
		return
	}
	if c.leaderless {
		c.leaderless = false
		c.options.Log.Info().Str("leader", c.candidate.Holder()).Msg("leader-back")
	}
	a := e.answer
	c.following, c.heard = e.from, now
	c.advance(now, leader.Heartbeat{Candidates: a.Processes})
	switch {
	case !a.StoreAway && !a.Yields:
		c.claiming = time.Time{}
	case c.claiming.IsZero():
		c.claiming = now
	}
	if a.Yields || a.StoreAway && age(now, c.claiming) >= c.options.delay() && rand.IntN(max(1, a.Rank)) < claimants {
		c.advance(now, leader.Refresh{})
	}
	if confirmed := e.sent.Add(a.Parked - a.ConfigAge); c.config.confirmed.Before(confirmed) {
		c.config.confirmed = confirmed
	}
	if a.Config != nil {
		c.unpackConfig(now, a)
	}
	have := a.Have
	if c.takeServers(e.sent.Add(a.Parked-a.ServersAge), e.news) {
		have = Versions{}
	}
	c.followTables(e.news)
	if a.Processes != c.processes || a.Config != nil || !e.news.empty() {
		// The leader's versions may be those of the last view, which had less.
		c.processes = a.Processes
		c.published = Versions{}
	}
	c.have = a.Have
	c.known.Store(&have)
}

func (c *Control) unpackConfig(now time.Time, a Answer) {
	text, err := unpack(a.Config)
	if err != nil {
		c.options.Log.Error().Err(err).Msg("config-unreadable")
		return
	}
	c.useConfig(now, store.Object{Name: c.options.Formats.ConfigObject, Version: a.ConfigRevision, Value: text})
}

// takeServers takes over the servers of an answer as they were at a time, unless this process knows
// them from a later reading. It reports whether the leader should send all of them next time, because
// its changes lead to a list that this process does not have.
func (c *Control) takeServers(at time.Time, n news) bool {
	older := c.list.directory.Known() && c.list.confirmed.Sub(at) > callJitter
	if older && (c.ownList || n.Whole) {
		c.ownList = true
		return false
	}
	if !older {
		c.list.confirmed = at
	}
	c.followServers(n)
	whole := c.ownList && !n.Whole
	c.ownList = false
	return whole
}

func (c *Control) followServers(n news) {
	if !n.Listed || !n.Whole && len(n.Servers) == 0 && len(n.Removed) == 0 {
		return
	}
	var before []assign.Server
	if !n.Whole {
		before = c.list.directory.Servers()
	}
	if c.list.directory.Replace(apply(before, n.Servers, n.Removed)) {
		c.logServers()
	}
}

func (c *Control) followTables(n news) {
	if !n.Whole && len(n.Rows) == 0 {
		return
	}
	tables := map[assign.ServiceID]shard.Table{}
	if !n.Whole {
		maps.Copy(tables, c.tables)
	}
	for id, rows := range n.Rows {
		tables[id] = tables[id].Overlay(rows)
	}
	c.tables = tables
}

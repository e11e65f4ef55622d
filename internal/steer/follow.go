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

// handleFollowResult handles the end of a call to the leader.
func (c *Control) handleFollowResult(now time.Time, e followResult) {
	if e.err == nil && e.answer.Ceded && !c.leads {
		// Reports that the leader has transferred leadership to this process, not merely offered it.
		c.options.Log.Info().Msg("lead-offered")
		c.stepCandidate(now, leader.Ceded{Version: c.candidate.Version()})
		return
	}
	if e.err != nil || !e.answer.Leads || c.leads {
		if e.err != nil && !c.leads && !c.leaderUnreachable {
			c.leaderUnreachable = true
			if c.mayCheckLeader() {
				c.stepCandidate(now, leader.Refresh{})
			}
			c.options.Log.Warn().Err(e.err).Str("leader", c.candidate.Holder()).Msg("leader-unreachable")
		}
		return
	}
	if c.leaderUnreachable {
		c.leaderUnreachable = false
		c.options.Log.Info().Str("leader", c.candidate.Holder()).Msg("leader-back")
	}
	a := e.answer
	c.leaderAddress, c.lastLeaderAnswer = e.from, now
	c.stepCandidate(now, leader.Heartbeat{Candidates: a.Processes, Version: a.Record})
	switch {
	case !a.StoreAway && !a.Yields:
		c.offeredSince = time.Time{}
	case c.offeredSince.IsZero():
		c.offeredSince = now
	}
	if a.Yields || a.StoreAway && age(now, c.offeredSince) >= c.options.electionDelay() && rand.IntN(max(1, a.Rank)) < takeoverCandidates {
		c.stepCandidate(now, leader.Refresh{})
	}
	if confirmed := e.sent.Add(a.Parked - a.ConfigAge); c.config.confirmedAt.Before(confirmed) {
		c.config.confirmedAt = confirmed
	}
	if a.Config != nil {
		c.unpackConfig(now, a)
	}
	if a.HasLimits {
		c.followLimits(now, a.Limits)
	}
	c.followEvacuations(now, e.sent.Add(a.Parked), a.Evacuations)
	c.updateReport(a, e.update)
	have, readAt := a.Have, e.sent.Add(a.Parked-a.ServersAge)
	if a.HasCold {
		c.followCold(now, readAt, a.Cold)
	}
	if c.mergeServers(readAt, e.update) {
		have = Versions{}
	}
	c.applyTables(e.update)
	if a.Processes != c.processes || a.Config != nil || !e.update.empty() {
		// The leader's versions may equal those of the last View, although the View lacked this data.
		c.processes = a.Processes
		c.published = Versions{}
	}
	c.have = a.Have
	c.acked.Store(&have)
}

// mayCheckLeader decides at random whether this process reads the record as soon as the leader does not answer. About
// takeoverCandidates of all processes do so. The others wait until the candidate reads the record by itself.
func (c *Control) mayCheckLeader() bool { return rand.IntN(max(1, c.processes)) < takeoverCandidates }

func (c *Control) unpackConfig(now time.Time, a Answer) {
	value, err := unpack(a.Config)
	if err != nil {
		c.options.Log.Error().Err(err).Msg("config-unreadable")
		return
	}
	c.applyConfig(now, store.Object{Name: c.options.Formats.ConfigObject, Version: a.ConfigRevision, Value: value})
}

// mergeServers applies the servers of an update that the leader read at readAt, unless this process has a
// list from a later read. It reports whether the leader has to send a snapshot next time, because the
// update was a delta to a list that this process does not have.
func (c *Control) mergeServers(readAt time.Time, u update) bool {
	older := c.servers.directory.Known() && c.servers.confirmedAt.Sub(readAt) > callJitter
	if older && (c.listDiverged || u.Whole) {
		c.listDiverged = true
		return false
	}
	c.applyServers(u)
	if !older {
		c.confirmServers(readAt)
	}
	resync := c.listDiverged && !u.Whole
	c.listDiverged = false
	return resync
}

func (c *Control) applyServers(u update) {
	if !u.Listed || !u.Whole && len(u.Servers) == 0 && len(u.Removed) == 0 {
		return
	}
	var before []assign.Server
	if !u.Whole {
		before = c.servers.directory.Servers()
	}
	if c.servers.directory.Replace(applyChanges(before, u.Servers, u.Removed)) {
		c.logServers()
	}
}

func (c *Control) applyTables(u update) {
	if !u.Whole && len(u.Rows) == 0 {
		return
	}
	tables := map[assign.ServiceID]shard.Table{}
	if !u.Whole {
		maps.Copy(tables, c.tables)
	}
	for id, rows := range u.Rows {
		tables[id] = tables[id].Overlay(rows)
	}
	c.tables = tables
}

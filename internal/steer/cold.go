package steer

import (
	"time"

	"github.com/samphiredrum/samphiredrum/internal/disco"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// ColdNotice is a disco.ColdRun between processes, whose clocks differ.
type ColdNotice struct {
	Server assign.ServerID
	Born   int64
	// Left is the time for which the run counts as cold from now on.
	Left time.Duration
	Firm bool
}

// entryLag is how old an entry of a server may be when the leader's next read of the list has ended.
func (o Options) entryLag() time.Duration { return o.Heartbeat + listInterval }

// observeCold records the warm-up times of the entries that were read.
func (c *Control) observeCold(now time.Time, listed []assign.Server) {
	if !c.options.ColdBound || !c.cold.Observe(now, listed, c.servers.directory.ListsCopies(now)) {
		return
	}
	c.coldChanged(now)
}

// coldChanged passes changed cold runs on to the followers, the relay and the decider.
func (c *Control) coldChanged(now time.Time) {
	c.have.Cold++
	c.logCold(now)
	c.setCold(now)
}

// setCold passes the cold runs to the decider, with the requests per second that they tolerate.
func (c *Control) setCold(now time.Time) {
	if !c.leads || !c.options.ColdBound || c.config.parsed == nil {
		return
	}
	services := map[shard.Run]assign.ServiceID{}
	for _, s := range c.servers.directory.Servers() {
		services[shard.Run{Server: s.ID, Born: s.Born}] = s.Service
	}
	runs := map[shard.Run]shard.ColdRun{}
	for _, r := range c.cold.Runs(now) {
		run := shard.Run{Server: r.Server, Born: r.Born}
		if s := c.config.parsed.Services[services[run]]; s.Partitioned && s.WarmUpRate > 0 {
			runs[run] = shard.ColdRun{Until: r.Until, PerSecond: s.WarmUpRate}
		}
	}
	c.stepDecider(now, shard.Cold{Runs: runs})
}

// coldNotices returns the cold runs as the leader sends them to followers.
func (c *Control) coldNotices(now time.Time) []ColdNotice {
	var list []ColdNotice
	for _, r := range c.cold.Runs(now) {
		list = append(list, ColdNotice{Server: r.Server, Born: r.Born, Left: r.Until.Sub(now), Firm: r.Firm})
	}
	return list
}

// followCold takes over the cold runs that the leader knows by a list that was read at readAt.
func (c *Control) followCold(now, readAt time.Time, list []ColdNotice) {
	runs := make([]disco.ColdRun, len(list))
	for i, n := range list {
		runs[i] = disco.ColdRun{Server: n.Server, Born: n.Born, Until: now.Add(n.Left), Firm: n.Firm}
	}
	c.cold.Replace(now, runs, c.servers.confirmedAt.Sub(readAt) > callJitter)
	c.published = Versions{}
}

// coldServers returns the listed servers that count as cold, each with the time until which it does.
func (c *Control) coldServers(now time.Time) map[assign.ServerID]time.Time {
	cold := map[assign.ServerID]time.Time{}
	for _, s := range c.servers.directory.Servers() {
		if until := c.cold.Until(s); now.Before(until) {
			cold[s.ID] = until
		}
	}
	return cold
}

// holdDomainCold counts the servers of a failure domain as cold for the warm-up time of their services and the time by which
// entries lag. It is called when the evacuation of the domain has been revoked: its servers have had no requests, and entries
// from before say nothing of that. A follower may learn of that before the leader, whose next list of cold runs replaces its own.
func (c *Control) holdDomainCold(now time.Time, domain string) {
	if !c.options.ColdBound || c.config.parsed == nil {
		return
	}
	changed := false
	for _, s := range c.servers.directory.Servers() {
		service := c.config.parsed.Services[s.Service]
		if s.FailureDomain != domain || service.WarmUpRate <= 0 {
			continue
		}
		changed = c.cold.Hold(s, now.Add(service.WarmUp+c.options.entryLag())) || changed
	}
	if changed {
		c.coldChanged(now)
	}
}

// confirmServers records that the list of servers was read at a time.
func (c *Control) confirmServers(readAt time.Time) {
	c.servers.confirmedAt = readAt
	c.servers.directory.Confirm(readAt)
	c.options.Views.SetListedAt(readAt)
}

// logCold logs the runs that count as cold. At most maxLoggedServers of them are named.
func (c *Control) logCold(now time.Time) {
	runs := c.cold.Runs(now)
	for _, r := range runs[:min(len(runs), maxLoggedServers)] {
		c.options.Log.Info().Str("server", string(r.Server)).Int64("born", r.Born).Dur("left-ms", r.Until.Sub(now)).
			Bool("firm", r.Firm).Msg("server-cold")
	}
	c.options.Log.Info().Int("servers", len(runs)).Bool("leads", c.leads).Msg("servers-cold")
}

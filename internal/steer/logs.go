package steer

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// maxLoggedServers bounds the log lines about single servers per change of the list.
const maxLoggedServers = 12

// maxLoggedDomains bounds the log lines about evacuations per change of their list.
const maxLoggedDomains = 12

// logServers logs the last change of the list of servers.
func (c *Control) logServers() {
	changes := c.servers.directory.Changes()
	for i, ch := range changes {
		if i == maxLoggedServers {
			break
		}
		c.options.Log.Info().Str("server", string(ch.Server.ID)).Str("service", string(ch.Server.Service)).
			Stringer("address", ch.Server.Address).Bool("draining", ch.Server.Draining).Bool("gone", ch.Gone).
			Int64("born", ch.Server.Born).Msg("server-changed")
	}
	c.options.Log.Info().Int("servers", len(c.servers.directory.Servers())).Int("changes", len(changes)).
		Bool("leads", c.leads).Msg("servers-changed")
}

// logGrant logs the end of a grant, except for successful renewals.
func (c *Control) logGrant(e shard.Event) {
	g, ok := e.(shard.Granted)
	if !ok || g.Outcome == shard.Done && g.Grant.Renewal {
		return
	}
	event, line := "keys-granted", c.options.Log.Info()
	if g.Outcome != shard.Done {
		event, line = "grant-failed", c.options.Log.Warn()
	}
	line.Str("service", string(g.Grant.Service)).Uint16("first", g.Grant.Range.First).Uint16("last", g.Grant.Range.Last).
		Str("to", string(g.Grant.Owner.Server)).Uint64("fence", uint64(g.Grant.Fence)).Stringer("outcome", g.Outcome).
		Bool("renewal", g.Grant.Renewal).Msg(event)
}

// logRelease logs a release that is sent, except for those of a recovery, which go to all servers.
func (c *Control) logRelease(r shard.Release) {
	if r.Recovery {
		return
	}
	c.options.Log.Info().Str("service", string(r.Service)).Uint16("first", r.Range.First).Uint16("last", r.Range.Last).
		Str("from", string(r.Holder.Server)).Uint64("fence", uint64(r.Fence)).Msg("keys-recalled")
}

// logRecovery logs the end of a recovery of the owners, and the servers that did not answer it.
func (c *Control) logRecovery(now time.Time) {
	if recovering := c.decider.Recovering(); recovering != c.recovering {
		c.recovering = recovering
		if recovering {
			return
		}
		silent := c.decider.Silent()
		c.options.Log.Info().Dur("took-ms", age(now, c.leadSince)).Int("silent", len(silent)).Msg("owners-confirmed")
		for _, h := range silent[:min(len(silent), maxLoggedServers)] {
			c.options.Log.Warn().Str("server", string(h.Server)).Int64("born", h.Born).Stringer("address", h.Address).Msg("owner-silent")
		}
	}
}

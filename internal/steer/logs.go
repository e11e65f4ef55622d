package steer

import "github.com/samphiredrum/samphiredrum/pkg/shard"

// loggedServers bounds the lines about single servers for one change of the list.
const loggedServers = 12

// logServers logs the last change of the list of servers.
func (c *Control) logServers() {
	changes := c.list.directory.Changes()
	for i, h := range changes {
		if i == loggedServers {
			break
		}
		c.options.Log.Info().Str("server", string(h.Server.ID)).Str("service", string(h.Server.Service)).
			Stringer("address", h.Server.Address).Bool("draining", h.Server.Draining).Bool("gone", h.Gone).
			Int64("born", h.Server.Born).Msg("server-changed")
	}
	c.options.Log.Info().Int("servers", len(c.list.directory.Servers())).Int("changes", len(changes)).
		Bool("leads", c.leads).Msg("servers-changed")
}

// logOrder logs the end of an order to a server, but for renewals that succeed.
func (c *Control) logOrder(e shard.Event) {
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

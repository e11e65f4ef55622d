package steer

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

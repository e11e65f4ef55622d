package steer

import (
	"strconv"
	"strings"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// laterThan reports whether a process with these versions may know owners of keys that one with the other versions does
// not.
func (v Versions) laterThan(o Versions) bool {
	if v.Run == o.Run {
		return v.Tables > o.Tables
	}
	// After the store has come back from an older copy, two leaders may have had the same term.
	return v.term() >= o.term()
}

// term returns the term of the leader, 0 if there was none yet.
func (v Versions) term() uint64 {
	_, text, _ := strings.Cut(v.Run, "/")
	term, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		// Run has no term.
		return 0
	}
	return term
}

// tablesConfirmed reports whether the tables in force are those of a leader that was sure of the owners.
func (c *Control) tablesConfirmed() bool { return c.have.Run == c.confirmed.Run }

// noteConfirmed records the versions of this leader's tables, if it is sure of the owners.
func (c *Control) noteConfirmed() {
	if !c.decider.Recovering() {
		c.confirmed = c.have
		c.report.Store(nil)
	}
}

// updateReport notes the holders of keys that the leader may not know, for the next calls, while the leader finds out who
// holds the keys. It is called before this process uses the leader's answer.
//
// Only processes know what the store has lost. Without them, a leader that did not follow the last one, and whose list lacks a
// server, would give the keys of that server to another one.
func (c *Control) updateReport(a Answer, u update) {
	if !a.OwnersUnknown {
		c.confirmed = a.Have
		c.report.Store(nil)
		return
	}
	if !u.Whole || !c.tablesConfirmed() || !c.confirmed.laterThan(a.Believed) {
		return
	}
	report, count := c.unknownHolders(u)
	if count == 0 {
		return
	}
	c.report.Store(&report)
	c.options.Log.Warn().Int("holders", count).Str("leader", c.candidate.Holder()).Msg("holders-reported")
}

// reported returns what updateReport has noted.
func (c *Control) reported() map[assign.ServiceID][]shard.Holder {
	if report := c.report.Load(); report != nil {
		return *report
	}
	return nil
}

// unknownHolders returns the holders in the tables in force that a snapshot of the leader does not name, and their number.
func (c *Control) unknownHolders(u update) (map[assign.ServiceID][]shard.Holder, int) {
	known := map[shard.Run]bool{}
	for _, s := range u.Servers {
		known[shard.Run{Server: s.ID, Born: s.Born}] = true
	}
	for _, rows := range u.Rows {
		for _, h := range (shard.Table{Rows: rows}).Holding() {
			known[shard.Run{Server: h.Server, Born: h.Born}] = true
		}
	}
	unknown, count := map[assign.ServiceID][]shard.Holder{}, 0
	for id, t := range c.tables {
		for _, h := range t.Holding() {
			if !known[shard.Run{Server: h.Server, Born: h.Born}] {
				unknown[id] = append(unknown[id], h)
				count++
			}
		}
	}
	return unknown, count
}

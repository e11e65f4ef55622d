package steer

import (
	"time"

	"github.com/samphiredrum/samphiredrum/internal/disco"
	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/leader"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// eraFenceBits is the number of bits of a fencing number below the era of the store in which a leader first used it, if
// it could not know the last numbers of earlier leaders.
const eraFenceBits = 32

// eraState is what this process knows of the era of the store.
type eraState struct {
	number uint64
	known  bool
	// since is when this process learned of the era.
	since time.Time
}

// trackEra notices a new era of the store: the store has come back from an older copy. It is called with each result of a
// call to the store, before the result is used.
//
// What is in force stays in force: the configuration, the tables of key owners, and what is known of servers that leave.
// The store is read again.
func (c *Control) trackEra(now time.Time) {
	number := c.options.Objects.Era()
	if c.era.known && number == c.era.number {
		return
	}
	first := !c.era.known
	c.era = eraState{number: number, known: true, since: now}
	c.stepCandidate(now, leader.Era{Number: number})
	if first {
		return
	}
	c.config.revision = 0
	c.config.nextRead, c.servers.nextRead, c.evacuations.nextRead = now, now, now
	c.servers.directory.MarkRestored(now)
	c.stepDecider(now, shard.Restored{ListedFrom: now.Add(disco.RecoveryTime)})
	c.options.Log.Warn().Uint64("era", number).Bool("leads", c.leads).Dur("silent-ms", age(now, c.lastStoreAnswer)).Msg("store-restored")
}

// outdated reports whether a version is of an earlier era than the present one.
func (c *Control) outdated(version uint64) bool { return store.EraOf(version) != c.era.number }

// startEvent returns the event with which the decider starts a term. If the record may lack what an earlier leader
// stored, the owners are those by which requests were sent last.
func (c *Control) startEvent() shard.Started {
	e := shard.Started{Tables: c.record.Services, LastGrant: c.candidate.PredecessorEnd()}
	if !c.candidate.SucceedsUnknown() && !c.record.Unconfirmed {
		return e
	}
	e.Unknown = true
	e.Older = c.record.Services
	if c.tables != nil {
		e.Tables = c.tables
	}
	e.FirstFence = lease.Fence((c.era.number + 1) << eraFenceBits)
	e.ListedFrom = c.era.since.Add(disco.RecoveryTime)
	e.Leaving = c.leaving()
	c.options.Log.Warn().Uint64("era", c.era.number).Bool("record-unconfirmed", c.record.Unconfirmed).
		Int("services", len(e.Tables)).Msg("owners-unknown")
	return e
}

// leaving returns the servers that drain or have left. It returns none if the tables are those of a leader that was not sure of
// the owners: such a server may hold keys that another one owns in them.
func (c *Control) leaving() map[shard.Run]bool {
	leaving := map[shard.Run]bool{}
	if !c.tablesConfirmed() {
		return leaving
	}
	for _, s := range c.servers.directory.Leaving() {
		leaving[shard.Run{Server: s.ID, Born: s.Born}] = true
	}
	return leaving
}

// useStoredTables sends requests by the tables of a record until the leader answers, unless the record is older than the
// tables that this process has, or was written without knowing the owners.
func (c *Control) useStoredTables(r record) {
	run := termID(r.Leader.Run, r.Leader.Term)
	if c.tables != nil && (c.have.Run == run || r.Leader.Era != c.era.number || r.Unconfirmed) {
		return
	}
	c.tables = r.Services
	if c.tables == nil {
		c.tables = map[assign.ServiceID]shard.Table{}
	}
	c.have.Run, c.have.Tables = run, 0
	c.published = Versions{}
}

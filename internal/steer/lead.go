package steer

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/leader"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// stepCandidate steps the candidate of the leader election and carries out its actions.
func (c *Control) stepCandidate(now time.Time, e leader.Event) {
	actions := c.candidate.Step(now, e)
	c.updateLeadership(now)
	for _, a := range actions {
		switch a := a.(type) {
		case leader.Read:
			c.start(readRecord{control: c}.run)
		case leader.Write:
			c.startRecordWrite(a)
		}
	}
}

// updateLeadership updates the control state if this process has become the leader or no longer leads.
func (c *Control) updateLeadership(now time.Time) {
	leads := c.candidate.Leads(now)
	if leads {
		c.leadUntil.Store(c.candidate.Expires().UnixNano())
	}
	if leads == c.leads {
		return
	}
	c.leads = leads
	if !leads {
		c.leadUntil.Store(0)
		c.options.Log.Info().Uint64("term", c.candidate.Term()).Msg("lead-lost")
		c.answerPending(now)
		return
	}
	c.options.Log.Info().Uint64("term", c.candidate.Term()).Msg("lead-taken")
	started := c.startEvent()
	c.believed = c.confirmed
	c.have.Run = termID(c.run, c.candidate.Term())
	c.leadSince = now
	c.processes = 1
	c.changeLog = newChangeLog()
	c.changeLog.replace(c.servers.directory.Servers(), c.have.Servers)
	c.allotter.Reset()
	c.options.Limits.Renew(now)
	c.evacuations.nextRead = now
	c.setTarget(netip.AddrPort{})
	c.stepDecider(now, started)
	c.stepDecider(now, shard.Reported{Holders: c.reported()})
	c.updateDecider(now)
	c.setLimits(now)
	c.setCold(now)
}

// termID identifies one term of one run of a process. The run is not enough: a process may lead, follow and
// lead again, and its versions of different terms are not comparable.
func termID(run string, term uint64) string {
	return run + "/" + strconv.FormatUint(term, 10)
}

// stepDecider steps the decider of key owners and carries out its actions, if this process leads.
func (c *Control) stepDecider(now time.Time, e shard.Event) {
	if !c.leads {
		return
	}
	for _, a := range c.decider.Step(now, e) {
		switch a := a.(type) {
		case shard.Write:
			c.writeDue = true
			c.candidate.RenewNow(now)
		case shard.Grant:
			c.start(sendGrant{control: c, grant: a}.run)
		case shard.Release:
			c.logRelease(a)
			c.start(sendRelease{control: c, release: a}.run)
		}
	}
	c.logRecovery(now)
	if c.writeDue {
		c.writeDue = false
		c.stepCandidate(now, leader.Tick{})
	}
}

// startRecordWrite starts a write of the record. The record has the tables of the decider or, at the start of a term,
// the tables of the record that it replaces.
func (c *Control) startRecordWrite(w leader.Write) {
	r := record{
		Leader: w.Record, Address: c.options.Address, Services: c.record.Services,
		Unconfirmed: c.record.Unconfirmed || c.candidate.SucceedsUnknown(),
	}
	deciderWrite := uint64(0)
	if c.leads {
		r.Services, deciderWrite = c.decider.Tables()
		r.Unconfirmed = c.decider.Recovering()
	}
	value, err := r.encode()
	if err != nil {
		// Reports that the record could not be encoded. A failed write is a record-write-failed.
		c.options.Log.Error().Err(err).Msg("record-unwritable")
		return
	}
	c.start(writeRecord{control: c, record: r, value: value, deciderWrite: deciderWrite, ifVersion: w.IfVersion}.run)
}

func (c *Control) handleRecordWritten(now time.Time, e recordWritten) {
	c.trackStore(now, e.err)
	switch {
	case e.err == nil && c.outdated(e.version):
		// The store has lost what it confirmed.
		c.stepCandidate(now, leader.Failed{Write: true})
	case e.err == nil:
		// The answer may restore leadership after the lease has expired. The decider then has to start from
		// the tables of this write.
		c.record.Services, c.record.Unconfirmed = e.services, e.unconfirmed
		c.stepCandidate(now, leader.Written{Sequence: e.record.Sequence, Version: e.version})
		c.stepDecider(now, shard.Stored{Write: e.deciderWrite})
		if c.decider.Unstored() {
			c.candidate.RenewNow(now)
			c.stepCandidate(now, leader.Tick{})
		}
	case store.KindOf(e.err) == store.Conflict:
		c.options.Log.Info().Uint64("sequence", e.record.Sequence).Msg("record-conflict")
		c.stepCandidate(now, leader.Conflict{})
	default:
		c.options.Log.Warn().Uint64("sequence", e.record.Sequence).Err(e.err).Msg("record-write-failed")
		c.stepCandidate(now, leader.Failed{Write: true})
	}
}

func (c *Control) handleRecordRead(now time.Time, e recordRead) {
	c.trackStore(now, e.err)
	if store.KindOf(e.err) == store.NotFound {
		c.record = record{}
		c.stepCandidate(now, leader.Missing{})
		return
	}
	if e.err != nil {
		c.options.Log.Warn().Str("what", "record").Err(e.err).Msg("store-read-failed")
		c.stepCandidate(now, leader.Failed{})
		return
	}
	if c.outdated(e.object.Version) {
		c.stepCandidate(now, leader.Failed{})
		return
	}
	r, err := parseRecord(e.object)
	if err != nil {
		c.options.Log.Error().Err(err).Msg("record-unreadable")
		c.stepCandidate(now, leader.Failed{})
		return
	}
	c.record = r
	c.stepCandidate(now, leader.Found{Record: r.Leader, Version: e.object.Version})
	if c.leads {
		return
	}
	if !c.offeredSince.IsZero() {
		c.claim.Store(e.object.Version)
	}
	c.useStoredTables(r)
	outdated := r.Leader.Era != c.era.number && c.leaderAddress.IsValid()
	if r.Leader.Holder != "" && r.Leader.Run != c.run && !outdated {
		c.setTarget(r.Address)
	}
}

// setTarget sets the address of the process to follow, the zero value for none.
func (c *Control) setTarget(address netip.AddrPort) {
	c.leaderAddress = address
	select {
	case <-c.follower.target:
	default:
	}
	c.follower.target <- address
}

// handleFollowRequest handles a follower's call. The call is kept open until answerPending answers it, unless
// leadership is transferred to the follower.
func (c *Control) handleFollowRequest(now time.Time, r followRequest) {
	if c.leads {
		c.followers[r.ask.From] = followerState{lastCall: now, power: r.ask.Power}
		c.addLoad(now, r.ask.Load)
		c.mergeLimits(now, r.ask.Limits)
		if len(r.ask.Holders) > 0 {
			c.stepDecider(now, shard.Reported{Holders: r.ask.Holders})
		}
		c.followEvacuations(now, time.Time{}, r.ask.Evacuations)
		if c.transferLead(now, r) {
			return
		}
	}
	c.pending = append(c.pending, r)
	c.answerPending(now)
}

// storeFailing reports whether all calls to the store have failed for at least transferAfter.
func (c *Control) storeFailing(now time.Time) bool {
	return !c.failingSince.IsZero() && age(now, c.failingSince) >= transferAfter
}

// yieldsTo reports whether a process on a VM with the given CPU power should lead instead of this one. The
// leader has the most work, so it should run on a strong VM.
func (c *Control) yieldsTo(now time.Time, power float64) bool {
	return c.options.Power > 0 && power >= yieldRatio*c.options.Power && age(now, c.leadSince) >= minLeadTime
}

// transferLead transfers leadership to a follower that claims it with the current version of the record, if
// this process cannot reach the store or its VM is weaker. The follower then does not have to wait until
// the lease expires. transferLead reports whether it did so.
func (c *Control) transferLead(now time.Time, r followRequest) bool {
	if r.ask.Claim == 0 || r.ask.Claim != c.candidate.Version() || !c.storeFailing(now) && !c.yieldsTo(now, r.ask.Power) {
		return false
	}
	// silent-ms is the time since the store last answered.
	c.options.Log.Info().Stringer("to", r.ask.From).Dur("silent-ms", age(now, c.lastStoreAnswer)).Msg("lead-ceded")
	c.leaderAddress = r.ask.From
	c.stepCandidate(now, leader.Cede{})
	r.answer <- Answer{Ceded: true}
	return true
}

// addLoad passes the load that a process reported to the decider.
func (c *Control) addLoad(now time.Time, l Load) {
	for service, keys := range l.Keys {
		c.stepDecider(now, shard.KeysRequested{Service: service, Keys: keys, Over: l.Over})
	}
	for service, work := range l.Work {
		c.stepDecider(now, shard.WorkDone{Service: service, Work: work})
	}
}

// answerPending answers the calls that have waited for currentPollTimeout. It also answers the calls of followers
// that are out of date, but only once the batch time has passed since the last update, see batchTimePerFollower.
// If this process does not lead, it answers all.
func (c *Control) answerPending(now time.Time) {
	kept := c.pending[:0]
	due := age(now, c.lastUpdateSent) >= time.Duration(len(c.followers))*batchTimePerFollower
	for _, r := range c.pending {
		outdated := r.ask.Have != c.published
		if c.leads && (!outdated || !due) && age(now, r.received) < c.currentPollTimeout(now) {
			kept = append(kept, r)
			continue
		}
		if outdated {
			c.lastUpdateSent = now
		}
		r.answer <- c.answer(now, r)
	}
	clear(c.pending[len(kept):])
	c.pending = kept
}

// currentPollTimeout returns how long a call is kept open. It is 0 while calls to the store fail, so that a follower
// soon learns of it and takes leadership over.
func (c *Control) currentPollTimeout(now time.Time) time.Duration {
	if c.storeFailing(now) {
		return 0
	}
	return pollTimeout
}

// answer returns the answer to a call, with the data that the follower lacks.
func (c *Control) answer(now time.Time, r followRequest) Answer {
	if !c.leads {
		return Answer{Leader: c.leaderAddress}
	}
	for address, f := range c.followers {
		if age(now, f.lastCall) > followerTimeout {
			delete(c.followers, address)
		}
	}
	c.processes = 1 + len(c.followers)
	a := Answer{
		Leads:      true,
		Have:       c.published,
		Processes:  c.processes,
		Record:     c.candidate.Version(),
		StoreAway:  c.storeFailing(now),
		Yields:     c.yieldsTo(now, r.ask.Power),
		Parked:     age(now, r.received),
		ConfigAge:  age(now, c.config.confirmedAt),
		ServersAge: age(now, c.servers.confirmedAt),
	}
	if c.options.evacuates() {
		a.Evacuations = c.evacuationNews(now)
	}
	if c.decider.Recovering() {
		a.OwnersUnknown, a.Believed = true, c.believed
	}
	if a.StoreAway {
		a.Rank = c.rank(r.ask.Power)
	}
	if r.ask.Peers < min(maxPeers, len(c.followers)-1) {
		a.Peers = c.peers(r.ask.From)
	}
	if r.ask.Have.Run != c.published.Run || r.ask.Have.Config != c.published.Config {
		a.Config, a.ConfigRevision = c.config.packed, c.config.object.Version
	}
	if r.ask.Have.Run != c.published.Run || r.ask.Have.Limits != c.published.Limits {
		a.Limits, a.HasLimits = limitNotices(now, c.options.Limits.Notices()), true
	}
	if r.ask.Have.Run != c.published.Run || r.ask.Have.Cold != c.published.Cold {
		a.Cold, a.HasCold = c.coldNotices(now), true
	}
	a.News = c.updateSince(r.ask.Have)
	return a
}

// updateSince returns the packed update for a follower with the given versions, nil if it lacks nothing. Most
// followers have the same versions, so the result is cached.
func (c *Control) updateSince(have Versions) []byte {
	if c.packedFor != c.published {
		clear(c.packedUpdates)
		c.packedFor = c.published
	}
	if packed, ok := c.packedUpdates[have]; ok {
		return packed
	}
	u := update{
		Whole:  have.Run != c.published.Run || !c.changeLog.covers(have.Servers),
		Listed: c.servers.directory.Known(),
	}
	since := have
	if u.Whole {
		since = Versions{}
	}
	u.Servers, u.Removed = c.changeLog.since(since.Servers)
	if since.Tables != c.published.Tables {
		u.Rows = c.decider.Since(since.Tables)
	}
	var packed []byte
	if !u.empty() {
		var err error
		if packed, err = c.packer.packUpdate(u); err != nil {
			// Reports that the update could not be packed.
			c.options.Log.Error().Err(err).Msg("news-unpackable")
		}
	}
	c.packedUpdates[have] = packed
	return packed
}

// rank returns the number of followers whose VMs have at least the given CPU power.
func (c *Control) rank(power float64) int {
	count := 0
	for _, f := range c.followers {
		if f.power >= power {
			count++
		}
	}
	return count
}

// peers returns at most maxPeers followers other than the given one.
func (c *Control) peers(except netip.AddrPort) []netip.AddrPort {
	var list []netip.AddrPort
	for address := range c.followers {
		if address != except && len(list) < maxPeers {
			list = append(list, address)
		}
	}
	return list
}

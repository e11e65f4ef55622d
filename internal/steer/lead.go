package steer

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/leader"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// advance steps the candidate and carries out its actions.
func (c *Control) advance(now time.Time, e leader.Event) {
	actions := c.candidate.Step(now, e)
	c.lead(now)
	for _, a := range actions {
		switch a := a.(type) {
		case leader.Read:
			c.group.Go(readRecord{control: c}.run)
		case leader.Write:
			c.writeRecord(a)
		}
	}
}

// lead follows a change of who leads.
func (c *Control) lead(now time.Time) {
	leads := c.candidate.Leads(now)
	if leads {
		c.until.Store(c.candidate.Expires().UnixNano())
	}
	if leads == c.leads {
		return
	}
	c.leads = leads
	if !leads {
		c.until.Store(0)
		c.options.Log.Info().Uint64("term", c.candidate.Term()).Msg("lead-lost")
		c.answerParked(now)
		return
	}
	c.options.Log.Info().Uint64("term", c.candidate.Term()).Msg("lead-taken")
	c.have.Run = reign(c.run, c.candidate.Term())
	c.led = now
	c.processes = 1
	c.changes = newChanges()
	c.changes.update(c.list.directory.Servers(), c.have.Servers)
	c.target(netip.AddrPort{})
	c.decide(now, shard.Started{Tables: c.record.Services})
	c.relist(now)
}

// reign names one time in the lead of one run of a process. A process may lead, follow and lead again.
func reign(run string, term uint64) string {
	return run + "/" + strconv.FormatUint(term, 10)
}

// decide steps the decider and carries out its actions.
func (c *Control) decide(now time.Time, e shard.Event) {
	if !c.leads {
		return
	}
	for _, a := range c.decider.Step(now, e) {
		switch a := a.(type) {
		case shard.Write:
			c.urgent = true
			c.candidate.RenewNow(now)
		case shard.Grant:
			c.group.Go(grantOrder{control: c, grant: a}.run)
		case shard.Release:
			c.options.Log.Info().Str("service", string(a.Service)).Uint16("first", a.Range.First).Uint16("last", a.Range.Last).
				Str("from", string(a.Holder.Server)).Uint64("fence", uint64(a.Fence)).Msg("keys-recalled")
			c.group.Go(releaseOrder{control: c, release: a}.run)
		}
	}
	if c.urgent {
		c.urgent = false
		c.advance(now, leader.Tick{})
	}
}

// writeRecord writes the record with the tables: those of the decider, or at the start of a term
// those of the record that it replaces.
func (c *Control) writeRecord(w leader.Write) {
	r := record{Leader: w.Record, Address: c.options.Address, Services: c.record.Services}
	tables := uint64(0)
	if c.leads {
		r.Services, tables = c.decider.Tables()
	}
	value, err := r.value()
	if err != nil {
		c.options.Log.Error().Err(err).Msg("record-unwritable")
		return
	}
	c.group.Go(writeRecord{control: c, record: r, value: value, tables: tables, ifVersion: w.IfVersion}.run)
}

func (c *Control) recordWritten(now time.Time, e recordWritten) {
	c.answered(now, e.err)
	switch {
	case e.err == nil:
		// The answer may give a lapsed lead back, which goes on from these tables.
		c.record.Services = e.services
		c.advance(now, leader.Written{Sequence: e.record.Sequence, Version: e.version})
		c.decide(now, shard.Stored{Write: e.tables})
		if c.decider.Unstored() {
			c.candidate.RenewNow(now)
			c.advance(now, leader.Tick{})
		}
	case store.KindOf(e.err) == store.Conflict:
		c.options.Log.Info().Uint64("sequence", e.record.Sequence).Msg("record-conflict")
		c.advance(now, leader.Conflict{})
	default:
		c.options.Log.Warn().Uint64("sequence", e.record.Sequence).Err(e.err).Msg("record-write-failed")
		c.advance(now, leader.Failed{Write: true})
	}
}

func (c *Control) recordRead(now time.Time, e recordRead) {
	c.answered(now, e.err)
	if store.KindOf(e.err) == store.NotFound {
		c.record = record{}
		c.advance(now, leader.Missing{})
		return
	}
	if e.err != nil {
		c.options.Log.Warn().Str("what", "record").Err(e.err).Msg("store-read-failed")
		c.advance(now, leader.Failed{})
		return
	}
	r, err := parseRecord(e.object)
	if err != nil {
		c.options.Log.Error().Err(err).Msg("record-unreadable")
		c.advance(now, leader.Failed{})
		return
	}
	c.record = r
	c.advance(now, leader.Found{Record: r.Leader, Version: e.object.Version})
	if c.leads {
		return
	}
	if !c.claiming.IsZero() {
		c.claim.Store(e.object.Version)
	}
	if run := reign(r.Leader.Run, r.Leader.Term); c.tables == nil || c.have.Run != run {
		// Until the leader answers, the stored tables are the best that is known.
		c.tables = r.Services
		c.have.Run, c.have.Tables = run, 0
		c.published = Versions{}
	}
	if r.Leader.Holder != "" && r.Leader.Run != c.run {
		c.target(r.Address)
	}
}

// target sets the process to follow.
func (c *Control) target(address netip.AddrPort) {
	c.following = address
	select {
	case <-c.follow.target:
	default:
	}
	c.follow.target <- address
}

// asked handles a follower's call: it is answered at once where the follower lacks something, or
// kept until something changes.
func (c *Control) asked(now time.Time, a asked) {
	if c.leads {
		c.followers[a.ask.From] = followerState{called: now, power: a.ask.Power}
		c.weigh(now, a.ask.Load)
		if c.cede(now, a) {
			return
		}
	}
	c.parked = append(c.parked, a)
	c.answerParked(now)
}

// refused reports whether the store has not answered this process for some time.
func (c *Control) refused(now time.Time) bool {
	return !c.failing.IsZero() && age(now, c.failing) >= cedeAfter
}

// weaker reports whether a process on a VM of that power should lead instead of this one. The leader
// has the most work.
func (c *Control) weaker(now time.Time, power float64) bool {
	return c.options.Power > 0 && power >= yieldRatio*c.options.Power && age(now, c.led) >= yieldAfter
}

// cede gives the lead to a follower that has read the record, where this process does not reach the
// store or its VM is weaker, so that nobody has to wait for the lease to lapse. It reports whether it
// did.
func (c *Control) cede(now time.Time, a asked) bool {
	if a.ask.Claim == 0 || a.ask.Claim != c.candidate.Version() || !c.refused(now) && !c.weaker(now, a.ask.Power) {
		return false
	}
	c.options.Log.Info().Stringer("to", a.ask.From).Dur("silent-ms", age(now, c.spoke)).Msg("lead-ceded")
	c.following = a.ask.From
	c.advance(now, leader.Cede{})
	a.answer <- Answer{Ceded: true}
	return true
}

// weigh tells the decider what a process saw of the requests.
func (c *Control) weigh(now time.Time, l Load) {
	for service, keys := range l.Keys {
		c.decide(now, shard.KeysRequested{Service: service, Keys: keys})
	}
	for service, work := range l.Work {
		c.decide(now, shard.WorkDone{Service: service, Work: work})
	}
}

// answerParked answers the calls that have waited long enough or lack something.
func (c *Control) answerParked(now time.Time) {
	kept := c.parked[:0]
	due := age(now, c.told) >= time.Duration(len(c.followers))*tellShare
	for _, a := range c.parked {
		lacks := a.ask.Have != c.published
		if c.leads && (!lacks || !due) && age(now, a.since) < c.parkTime(now) {
			kept = append(kept, a)
			continue
		}
		if lacks {
			c.told = now
		}
		a.answer <- c.answer(now, a)
	}
	clear(c.parked[len(kept):])
	c.parked = kept
}

// parkTime returns how long a call is kept open. While the store refuses this process the followers
// have to answer soon.
func (c *Control) parkTime(now time.Time) time.Duration {
	if c.refused(now) {
		return 0
	}
	return parkTime
}

// answer returns what the follower lacks.
func (c *Control) answer(now time.Time, q asked) Answer {
	if !c.leads {
		return Answer{Leader: c.following}
	}
	for address, f := range c.followers {
		if age(now, f.called) > followerAge {
			delete(c.followers, address)
		}
	}
	c.processes = 1 + len(c.followers)
	a := Answer{
		Leads:      true,
		Have:       c.published,
		Processes:  c.processes,
		StoreAway:  c.refused(now),
		Yields:     c.weaker(now, q.ask.Power),
		Parked:     age(now, q.since),
		ConfigAge:  age(now, c.config.confirmed),
		ServersAge: age(now, c.list.confirmed),
	}
	if a.StoreAway {
		a.Rank = c.rank(q.ask.Power)
	}
	if q.ask.Peers < min(knownPeers, len(c.followers)-1) {
		a.Peers = c.peers(q.ask.From)
	}
	if q.ask.Have.Run != c.published.Run || q.ask.Have.Config != c.published.Config {
		a.Config, a.ConfigRevision = c.config.packed, c.config.object.Version
	}
	a.News = c.newsSince(q.ask.Have)
	return a
}

// newsSince returns the packed news for a follower with the given versions. Most followers have the same
// ones, so that they are packed once.
func (c *Control) newsSince(have Versions) []byte {
	if c.packedFor != c.published {
		clear(c.packedNews)
		c.packedFor = c.published
	}
	if packed, ok := c.packedNews[have]; ok {
		return packed
	}
	n := news{
		Whole:  have.Run != c.published.Run || !c.changes.covers(have.Servers),
		Listed: c.list.directory.Known(),
	}
	since := have
	if n.Whole {
		since = Versions{}
	}
	n.Servers, n.Removed = c.changes.since(since.Servers)
	if since.Tables != c.published.Tables {
		n.Rows = c.decider.Since(since.Tables)
	}
	var packed []byte
	if !n.empty() {
		var err error
		if packed, err = c.packer.packNews(n); err != nil {
			c.options.Log.Error().Err(err).Msg("news-unpackable")
		}
	}
	c.packedNews[have] = packed
	return packed
}

// rank returns the number of followers whose VMs have at least the given power.
func (c *Control) rank(power float64) int {
	count := 0
	for _, f := range c.followers {
		if f.power >= power {
			count++
		}
	}
	return count
}

// peers returns some of the followers but the given one.
func (c *Control) peers(but netip.AddrPort) []netip.AddrPort {
	var list []netip.AddrPort
	for address := range c.followers {
		if address != but && len(list) < knownPeers {
			list = append(list, address)
		}
	}
	return list
}

package steer

import (
	"context"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/evac"
	"github.com/samphiredrum/samphiredrum/internal/store"
)

// evacuationState holds the evacuations and the state of the reads of their list.
type evacuationState struct {
	board   *evac.Board
	reading bool
	// nextRead is the earliest time of the next read.
	nextRead time.Time
}

// EvacuationNews are the evacuations that a leader knows, for its followers.
type EvacuationNews struct {
	// Known reports that the leader has read the evacuations.
	Known bool
	// Age is the time since the leader last confirmed them at the store, whose version was Version then.
	Age     time.Duration
	Version uint64
	Domains []EvacuatedDomain
}

// EvacuatedDomain is an evacuated failure domain.
type EvacuatedDomain struct {
	Name string
	// Dated reports that the leader knows when the domain was not evacuated yet: Age ago.
	Dated bool
	Age   time.Duration
}

// listEvacuations reads the evacuations.
type listEvacuations struct{ control *Control }

func (l listEvacuations) run() { l.control.post(l.read(l.control.ctx)) }

func (l listEvacuations) read(parent context.Context) evacuationsRead {
	options := l.control.options
	read := evacuationsRead{sent: options.Clock.Now()}
	ctx, cancel := context.WithTimeout(parent, readTimeout)
	defer cancel()
	read.objects, read.version, read.err = options.Objects.List(ctx, options.Formats.EvacuationsPrefix)
	return read
}

// lastEvacuations reads the evacuations after Stop, as a follower without a leader, until Close: the process still answers
// requests, and sends them to servers.
func (c *Control) lastEvacuations() {
	for c.options.evacuates() && c.awaitLastRead() {
		read := listEvacuations{control: c}.read(c.lastReads)
		if c.lastReads.Err() != nil {
			return
		}
		c.handleEvacuationsRead(c.options.Clock.Now(), read)
		c.publish()
	}
}

// awaitLastRead waits until a read after Stop is due. It returns false after Close.
func (c *Control) awaitLastRead() bool {
	now, s := c.options.Clock.Now(), &c.evacuations
	timer := time.NewTimer(max(c.options.maxEvacuationsAge()-age(now, s.board.Confirmed()), s.nextRead.Sub(now)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.lastReads.Done():
		return false
	}
}

// pollEvacuations starts a read of the evacuations if one is due.
func (c *Control) pollEvacuations(now time.Time) {
	s := &c.evacuations
	if !c.options.evacuates() || s.reading || now.Before(s.nextRead) {
		return
	}
	if !c.leads && (age(now, s.board.Confirmed()) < c.options.maxEvacuationsAge() || c.probing(now)) {
		return
	}
	s.reading = true
	s.nextRead = now.Add(c.options.evacuationInterval())
	c.start(listEvacuations{control: c}.run)
}

// evacuationsKnown reports whether the evacuations are known, if the deployment has any. Before that, a process does not
// know to which servers it may send requests.
func (c *Control) evacuationsKnown() bool {
	return !c.options.evacuates() || c.evacuations.board.Known()
}

// evacuatedDomains returns the set of the evacuated failure domains.
func (c *Control) evacuatedDomains() map[string]bool {
	domains := map[string]bool{}
	for d := range c.evacuations.board.Domains() {
		domains[d] = true
	}
	return domains
}

func (c *Control) handleEvacuationsRead(now time.Time, e evacuationsRead) {
	s := &c.evacuations
	s.reading = false
	c.trackStore(now, e.err)
	// A store that has never had an evacuation may not know their kind.
	none := store.KindOf(e.err) == store.NotFound && len(s.board.Domains()) == 0
	if e.err != nil && !none {
		s.nextRead = now.Add(c.readRetryDelay(now))
		c.options.Log.Warn().Str("what", "evacuations").Err(e.err).Msg("store-read-failed")
		return
	}
	if none {
		e.version = s.board.Version()
	}
	report := evac.Report{At: e.sent, Version: e.version, Domains: map[string]time.Time{}}
	for _, o := range e.objects {
		domain, err := c.options.Formats.Evacuation(o)
		switch {
		case err != nil:
			c.options.Log.Debug().Err(err).Msg("evacuation-unreadable")
		case !o.Deleting:
			report.Domains[domain] = time.Time{}
		}
	}
	current := c.applyEvacuations(now, report)
	if current && !c.leads {
		news := c.evacuationNews(now)
		c.readEvacuations.Store(&news)
	}
	if !current {
		s.nextRead = now.Add(storeRetryDelay)
		c.options.Log.Warn().Uint64("version", e.version).Uint64("known", s.board.Version()).Msg("evacuations-outdated")
	}
}

// applyEvacuations applies a report of the evacuations and what follows from its changes. It returns false if the report
// is older than what is known.
func (c *Control) applyEvacuations(now time.Time, r evac.Report) bool {
	board := c.evacuations.board
	first := !board.Known()
	changes, current := board.Update(now, r)
	if !first && len(changes) == 0 {
		return current
	}
	c.logEvacuations(now, r, changes)
	c.have.Evacuations++
	if !c.leads {
		// The next answer of the leader replaces the versions.
		c.published = Versions{}
	}
	for _, change := range changes {
		if !change.Began {
			c.evacuationEnded(now, change.Domain)
		}
	}
	c.updateDecider(now)
	return current
}

// evacuationEnded is called when an evacuation has ended: the servers of the failure domain are used again. They have had no
// requests, so that they count as cold at first.
func (c *Control) evacuationEnded(now time.Time, domain string) {
	c.holdDomainCold(now, domain)
	c.options.Log.Info().Str("failure-domain", domain).Int("servers", c.serversIn(domain)).
		Dur("age-ms", age(now, c.evacuations.board.Confirmed())).Bool("leads", c.leads).Msg("evacuation-ended")
}

// evacuationNews returns the evacuations for a follower.
func (c *Control) evacuationNews(now time.Time) EvacuationNews {
	board := c.evacuations.board
	n := EvacuationNews{Known: board.Known(), Age: age(now, board.Confirmed()), Version: board.Version()}
	for name, since := range board.Domains() {
		n.Domains = append(n.Domains, EvacuatedDomain{Name: name, Dated: !since.IsZero(), Age: age(now, since)})
	}
	return n
}

// ownEvacuations returns the evacuations that this process has read and the leader does not know. It is safe for
// concurrent use.
func (c *Control) ownEvacuations() EvacuationNews {
	if news := c.readEvacuations.Load(); news != nil {
		return *news
	}
	return EvacuationNews{}
}

// followEvacuations takes over the evacuations that the leader knew when it answered or, in the leader, those that a follower
// has read. The time of the latter is not known, so that sent is the zero time then.
func (c *Control) followEvacuations(now, sent time.Time, n EvacuationNews) {
	if !c.options.evacuates() || !n.Known {
		return
	}
	r := evac.Report{Version: n.Version, Domains: map[string]time.Time{}}
	if !sent.IsZero() {
		r.At = sent.Add(-n.Age)
	}
	for _, d := range n.Domains {
		r.Domains[d.Name] = time.Time{}
		if d.Dated && !sent.IsZero() {
			r.Domains[d.Name] = sent.Add(-d.Age)
		}
	}
	if n.Version >= c.evacuations.board.Version() {
		c.readEvacuations.Store(nil)
	}
	c.applyEvacuations(now, r)
}

// serversIn returns the number of listed servers in a failure domain.
func (c *Control) serversIn(domain string) int {
	count := 0
	for _, s := range c.servers.directory.Servers() {
		if s.FailureDomain == domain {
			count++
		}
	}
	return count
}

// logEvacuations logs the evacuations that have begun. The age is that of the information.
func (c *Control) logEvacuations(now time.Time, r evac.Report, changes []evac.Change) {
	for _, change := range changes[:min(len(changes), maxLoggedDomains)] {
		if change.Began {
			c.options.Log.Info().Str("failure-domain", change.Domain).Int("servers", c.serversIn(change.Domain)).
				Dur("age-ms", age(now, r.At)).Bool("leads", c.leads).Msg("evacuation-began")
		}
	}
}

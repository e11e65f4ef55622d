package steer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/disco"
	"github.com/samphiredrum/samphiredrum/internal/route"
	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/internal/view"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/leader"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// queueLength bounds the events that wait for the control goroutine.
const queueLength = 1024

// Control is the control side of one entry process.
type Control struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	events  chan event
	done    chan struct{}
	stop    chan struct{}
	group   conc.WaitGroup
	host    *host
	follow  *follower
	// until is the end of the lead in ns of the clock, for checks by other goroutines.
	until atomic.Int64
	tally *tally
	// known are the versions that the last answer of the leader gave.
	known atomic.Pointer[Versions]
	// claim is the version of the record that the next call to the leader claims the lead with.
	claim atomic.Uint64

	// What follows belongs to the control goroutine.
	run       string
	candidate *leader.Candidate
	decider   *shard.Decider
	leads     bool
	// led is when this process last took the lead.
	led time.Time
	// record and recordVersion are the last record that was read.
	record record
	// urgent reports that the tables changed in a way that must be stored before it is acted on.
	urgent bool
	// spoke is when the store last answered.
	spoke time.Time
	// heard is when the leader last answered.
	heard time.Time
	// failing is since when every call to the store failed, the zero time where the last one did not.
	failing time.Time
	config  configState
	list    listState
	// tables are those that the leader sent, for a process that follows.
	tables    map[assign.ServiceID]shard.Table
	have      Versions
	published Versions
	processes int
	// leaderless reports that the last call to the leader failed.
	leaderless bool
	// ownList reports that a follower has read the servers itself since the leader's last news.
	ownList bool
	// claiming is since when the leader does not reach the store, the zero time where it does.
	claiming  time.Time
	parked    []asked
	followers map[netip.AddrPort]followerState
	// following is the process that leads as far as this one knows, the zero value where it knows none.
	following netip.AddrPort
	changes   *changes
	// told is when a follower last got a change.
	told   time.Time
	packer *packer
	// packedNews are the news for followers with given versions, while packedFor is published.
	packedNews map[Versions][]byte
	packedFor  Versions
	stopping   bool
}

// followerState is what the leader knows of a follower.
type followerState struct {
	called time.Time
	power  float64
}

// configState is what is known of the configuration.
type configState struct {
	object store.Object
	// packed is the object's value as it is sent to followers.
	packed   []byte
	parsed   *route.Config
	revision uint64
	// confirmed is a time at which it was the latest one.
	confirmed time.Time
	reading   bool
	next      time.Time
}

// listState is what is known of the servers.
type listState struct {
	directory *disco.Directory
	confirmed time.Time
	reading   bool
	next      time.Time
}

// Start starts the control side. It returns ErrListen where the address cannot be used.
func Start(o Options) (*Control, error) {
	c := newControl(o)
	var err error
	if c.host, err = listen(c); err != nil {
		return nil, err
	}
	c.group.Go(c.follow.run)
	c.group.Go(c.loop)
	return c, nil
}

// newControl returns a Control without goroutines.
func newControl(o Options) *Control {
	run := rand.Uint64()
	c := &Control{
		options:    o,
		events:     make(chan event, queueLength),
		done:       make(chan struct{}),
		stop:       make(chan struct{}),
		run:        strconv.FormatUint(run, 36),
		list:       listState{directory: disco.New()},
		tally:      newTally(),
		changes:    newChanges(),
		followers:  map[netip.AddrPort]followerState{},
		packer:     newPacker(),
		packedNews: map[Versions][]byte{},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.candidate = leader.New(leader.Config{Name: o.Name, Run: c.run, Lease: leaseTime, Delay: o.delay()}, rand.New(rand.NewPCG(run, rand.Uint64())))
	c.decider = shard.NewDecider(shard.Config{Hold: min(holdTime, o.LongestHold), LongestHold: o.LongestHold})
	// The leader gets a moment to answer before this process reads the store itself.
	started := o.Clock.Now().Add(firstReading)
	c.config.confirmed, c.list.confirmed = started.Add(-staleConfig), started.Add(-staleServers)
	c.have.Run = c.run
	c.known.Store(&Versions{})
	c.follow = &follower{control: c, target: make(chan netip.AddrPort, 1)}
	return c
}

// CountKey counts the key of a request, for the balance of keys over servers.
func (c *Control) CountKey(service assign.ServiceID, key uint16) { c.tally.use(service, key) }

// CountRun counts the time of a request that the owner of its key ran.
func (c *Control) CountRun(service assign.ServiceID, server assign.ServerID, took time.Duration) {
	c.tally.ran(service, server, took)
}

// Stop resigns the lead, waits a bounded time for the resignation, and ends all goroutines but
// those of followers' connections.
func (c *Control) Stop() {
	close(c.stop)
	select {
	case <-c.done:
	case <-time.After(resignTime):
	}
	c.cancel()
	c.host.listener.Close()
}

// post hands an event to the control goroutine. It reports false where that has ended.
func (c *Control) post(e event) bool {
	select {
	case c.events <- e:
		return true
	case <-c.done:
		return false
	}
}

func (c *Control) loop() {
	defer close(c.done)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	stop := c.stop
	for {
		select {
		case e := <-c.events:
			c.handle(c.options.Clock.Now(), e)
		case <-ticker.C:
			c.tick(c.options.Clock.Now())
		case <-stop:
			stop = nil
			c.stopping = true
			c.advance(c.options.Clock.Now(), leader.Resign{})
		}
		c.publish()
		if c.stopping && !c.leads {
			return
		}
	}
}

func (c *Control) handle(now time.Time, e event) {
	switch e := e.(type) {
	case recordRead:
		c.recordRead(now, e)
	case recordWritten:
		c.recordWritten(now, e)
	case serversRead:
		c.serversRead(now, e)
	case configRead:
		c.configRead(now, e)
	case ordered:
		c.logOrder(e.result)
		c.decide(now, e.result)
	case asked:
		c.asked(now, e)
	case followed:
		c.followed(now, e)
	}
}

// tick lets time pass: it renews what is due and reads what is too old.
func (c *Control) tick(now time.Time) {
	c.advance(now, leader.Tick{})
	if c.leads {
		c.weigh(now, c.tally.take())
		c.decide(now, shard.Tick{StoreDown: age(now, c.spoke) > awayAfter})
		c.answerParked(now)
	}
	c.pollConfig(now)
	c.pollServers(now)
}

func (c *Control) pollConfig(now time.Time) {
	if c.config.reading || now.Before(c.config.next) {
		return
	}
	watch := c.leads && c.config.revision > 0
	if !watch && !c.leads && (age(now, c.config.confirmed) < staleConfig || c.probing(now)) {
		return
	}
	c.config.reading = true
	c.group.Go(readConfig{control: c, watch: watch, after: c.config.revision}.run)
}

func (c *Control) pollServers(now time.Time) {
	if c.list.reading || now.Before(c.list.next) {
		return
	}
	if !c.leads && (age(now, c.list.confirmed) < staleServers || c.probing(now)) {
		return
	}
	c.list.reading = true
	c.list.next = now.Add(leaderListEvery)
	c.group.Go(listServers{control: c}.run)
}

// probing reports whether the candidate's reads of the record tell when the store is back, so that there
// is no use in other reads.
func (c *Control) probing(now time.Time) bool {
	return !c.failing.IsZero() && age(now, c.heard) >= leaderSilence
}

// answered records whether the store answered.
func (c *Control) answered(now time.Time, err error) {
	switch {
	case reached(err):
		if !c.failing.IsZero() {
			c.options.Log.Info().Dur("silent-ms", age(now, c.spoke)).Msg("store-back")
			c.config.next, c.list.next = now, now
		}
		c.spoke = now
		c.failing = time.Time{}
	case c.failing.IsZero():
		c.options.Log.Warn().Err(err).Msg("store-away")
		c.failing = now
	}
}

func (c *Control) configRead(now time.Time, e configRead) {
	c.config.reading = false
	c.answered(now, e.err)
	if e.err != nil {
		c.options.Log.Warn().Str("what", "config").Bool("watch", e.watch).Err(e.err).Msg("store-read-failed")
		c.config.next = now.Add(storeRetry)
		// The revision may be forgotten, so the next read is a list.
		c.config.revision = 0
		return
	}
	c.config.revision = max(c.config.revision, e.revision)
	if c.config.confirmed.Before(e.sent) {
		c.config.confirmed = e.sent
	}
	if e.found {
		c.useConfig(now, e.object)
	}
}

// useConfig puts a configuration in force, unless it is not newer than the present one.
func (c *Control) useConfig(now time.Time, o store.Object) {
	if c.config.parsed != nil && o.Version <= c.config.object.Version {
		return
	}
	parsed, err := c.options.Formats.Config(o)
	if err != nil {
		c.options.Log.Error().Err(err).Msg("config-unreadable")
		return
	}
	if c.config.parsed != nil && parsed.Version <= c.config.parsed.Version {
		return
	}
	c.config.object, c.config.parsed, c.config.packed = o, parsed, c.packer.pack(o.Value)
	c.have.Config++
	c.options.Log.Info().Uint64("version", parsed.Version).Uint64("revision", o.Version).Msg("config-in-force")
	c.relist(now)
}

func (c *Control) serversRead(now time.Time, e serversRead) {
	c.list.reading = false
	c.answered(now, e.err)
	if e.err != nil {
		c.list.next = now.Add(storeRetry)
		c.options.Log.Warn().Str("what", "servers").Err(e.err).Msg("store-read-failed")
		return
	}
	servers := make([]assign.Server, 0, len(e.objects))
	for _, o := range e.objects {
		s, err := c.options.Formats.Server(o)
		if err != nil {
			c.options.Log.Debug().Err(err).Msg("server-entry-unreadable")
			continue
		}
		servers = append(servers, s)
	}
	if age(e.sent, c.list.confirmed) >= missedHeartbeats*c.options.Heartbeat {
		// Entries may have lapsed because the store was away. Where only this process did not reach it, the
		// leader's news say so.
		c.list.directory.MarkStale()
	}
	c.list.confirmed = e.sent
	if c.list.directory.Update(now, servers) {
		c.have.Servers++
		c.changes.update(c.list.directory.Servers(), c.have.Servers)
		c.logServers()
		c.relist(now)
	}
	c.ownList = !c.leads
}

// relist tells the decider which servers the partitioned services have.
func (c *Control) relist(now time.Time) {
	if !c.leads || c.config.parsed == nil || !c.list.directory.Known() {
		return
	}
	services := map[assign.ServiceID][]assign.Server{}
	for id, s := range c.config.parsed.Services {
		if s.Partitioned {
			services[id] = nil
		}
	}
	for _, s := range c.list.directory.Servers() {
		if _, ok := services[s.Service]; ok {
			services[s.Service] = append(services[s.Service], s)
		}
	}
	c.decide(now, shard.Listed{Services: services})
}

// publish makes a new View, where something changed.
func (c *Control) publish() {
	tables := c.tables
	if c.leads {
		c.have.Tables = c.decider.Version()
	}
	if c.have == c.published {
		return
	}
	if c.leads {
		tables = c.decider.View()
		c.tables = tables
	}
	c.published = c.have
	v := view.View{
		Config:       c.config.parsed,
		ServersKnown: c.list.directory.Known(),
		Services:     map[assign.ServiceID][]assign.Server{},
		Tables:       tables,
		Processes:    c.processes,
	}
	for _, s := range c.list.directory.Servers() {
		v.Services[s.Service] = append(v.Services[s.Service], s)
	}
	c.options.Board.Publish(v)
	c.answerParked(c.options.Clock.Now())
}

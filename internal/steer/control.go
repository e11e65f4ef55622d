package steer

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/disco"
	"github.com/samphiredrum/samphiredrum/internal/evac"
	"github.com/samphiredrum/samphiredrum/internal/route"
	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/internal/view"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/leader"
	"github.com/samphiredrum/samphiredrum/pkg/quota"
	"github.com/samphiredrum/samphiredrum/pkg/shard"
)

// queueLength bounds the events that wait for the control goroutine.
const queueLength = 1024

// Control is the control plane of one entry process.
type Control struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	events  chan event
	done    chan struct{}
	stop    chan struct{}
	// lastReads is the context of the reads after Stop, which Close ends with closeReads.
	lastReads  context.Context
	closeReads context.CancelFunc
	failed     chan struct{}
	failOnce   sync.Once
	group      conc.WaitGroup
	rpcServer  *rpcServer
	follower   *follower
	// leadUntil is when the leader's lease ends, in Unix nanoseconds, for checks by other goroutines.
	leadUntil atomic.Int64
	load      *loadCounter
	// allotter reserves the requests to servers with limits while this process leads, and decidedRates are the limits that
	// the decider has. Only the control goroutine uses them.
	allotter     *quota.Allotter
	decidedRates map[shard.Run]float64
	// acked are the versions that the next call to the leader reports. The zero value requests a snapshot.
	acked atomic.Pointer[Versions]
	// claim is the version of the record with which the next call to the leader claims leadership, 0 for none.
	claim atomic.Uint64
	// report has the holders of keys that the leader may not know, nil for none.
	report atomic.Pointer[map[assign.ServiceID][]shard.Holder]
	// readEvacuations are the evacuations that this process has read from the store and the leader does not know, nil for
	// none.
	readEvacuations atomic.Pointer[EvacuationNews]

	// The fields below are used by the control goroutine only.
	run       string
	candidate *leader.Candidate
	decider   *shard.Decider
	leads     bool
	// recovering reports that the decider is finding out who holds the keys.
	recovering bool
	// leadSince is when this process last took leadership, and believed are the versions of what it knew then.
	leadSince time.Time
	believed  Versions
	// record is the record as last read, with the tables as last read or written.
	record record
	// writeDue reports that the tables changed in a way that must be stored before it is acted on.
	writeDue bool
	// lastStoreAnswer is when the store last answered.
	lastStoreAnswer time.Time
	// lastLeaderAnswer is when the leader last answered.
	lastLeaderAnswer time.Time
	// lastStoreFailure is when a call to the store last got no answer.
	lastStoreFailure time.Time
	// failingSince is since when all calls to the store have failed, the zero time if the last one did not.
	failingSince time.Time
	era          eraState
	config       configState
	servers      serversState
	evacuations  evacuationState
	// cold has the runs of servers that count as cold.
	cold *disco.Cold
	// tables are the tables of key owners in force. A follower gets them from the leader.
	tables map[assign.ServiceID]shard.Table
	// have are the versions of the present data, published the versions of the last View, and confirmed those of the last
	// tables of a leader that was sure of the owners.
	have      Versions
	published Versions
	confirmed Versions
	// processes is the number of entry processes, 0 while unknown.
	processes int
	// leaderUnreachable reports that the last call to the leader failed.
	leaderUnreachable bool
	// listDiverged reports that the list of servers is not the one that the leader last sent, so that a delta
	// does not fit it and a snapshot is needed: this follower has read the list itself since, or has kept a
	// later list instead of the one that the leader sent.
	listDiverged bool
	// offeredSince is since when the leader has offered leadership, the zero time if it does not.
	offeredSince time.Time
	// pending are the calls of followers that wait for a change.
	pending   []followRequest
	followers map[netip.AddrPort]followerState
	// leaderAddress is the address of the leader, the zero value if this process does not know it or leads
	// itself.
	leaderAddress netip.AddrPort
	changeLog     *changeLog
	// lastUpdateSent is when a follower last got a change.
	lastUpdateSent time.Time
	packer         *packer
	// packedUpdates caches the packed updates by the versions that the follower has. It is valid while
	// packedFor equals published.
	packedUpdates map[Versions][]byte
	packedFor     Versions
	stopping      bool
}

// followerState holds the time of a follower's last call and the CPU power of its VM.
type followerState struct {
	lastCall time.Time
	power    float64
}

// configState holds the configuration in force and the state of its reads.
type configState struct {
	object store.Object
	// packed is the object's value as it is sent to followers.
	packed []byte
	parsed *route.Config
	// revision is the revision of the store to watch from, 0 if it has to be listed first.
	revision uint64
	// confirmedAt is the latest time at which the configuration is known to have been current.
	confirmedAt time.Time
	reading     bool
	// nextRead is the earliest time of the next read.
	nextRead time.Time
}

// serversState holds the servers and the state of the reads of their list.
type serversState struct {
	directory *disco.Directory
	// confirmedAt is the latest time at which the list is known to have been current.
	confirmedAt time.Time
	reading     bool
	// nextRead is the earliest time of the next read.
	nextRead time.Time
}

// Start starts the control plane. It returns ErrListen if the address cannot be used.
func Start(o Options) (*Control, error) {
	c := newControl(o)
	var err error
	if c.rpcServer, err = listen(c); err != nil {
		return nil, err
	}
	c.start(c.follower.run)
	c.start(c.loop)
	return c, nil
}

// newControl returns a Control without starting its goroutines.
func newControl(o Options) *Control {
	run := rand.Uint64()
	c := &Control{
		options:       o,
		events:        make(chan event, queueLength),
		done:          make(chan struct{}),
		stop:          make(chan struct{}),
		failed:        make(chan struct{}),
		run:           strconv.FormatUint(run, 36),
		servers:       serversState{directory: disco.New()},
		evacuations:   evacuationState{board: evac.New(o.MaxSkew)},
		cold:          disco.NewCold(o.entryLag()),
		load:          newLoadCounter(o.Clock.Now()),
		allotter:      quota.NewAllotter(),
		changeLog:     newChangeLog(),
		followers:     map[netip.AddrPort]followerState{},
		packer:        newPacker(),
		packedUpdates: map[Versions][]byte{},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.lastReads, c.closeReads = context.WithCancel(context.Background())
	c.candidate = leader.New(leader.Config{Name: o.Name, Run: c.run, Lease: leaderLease, Delay: o.electionDelay(), FirstStart: o.FirstStart}, rand.New(rand.NewPCG(run, rand.Uint64())))
	c.decider = shard.NewDecider(shard.Config{Hold: min(grantLease, o.LongestHold), LongestHold: o.LongestHold})
	// The leader has this long to answer before this process reads the store itself.
	deadline := o.Clock.Now().Add(o.startupGrace())
	c.config.confirmedAt, c.servers.confirmedAt = deadline.Add(-o.maxConfigAge()), deadline.Add(-o.maxServersAge())
	c.servers.directory.Confirm(c.servers.confirmedAt)
	c.evacuations.nextRead = deadline
	c.have.Run = c.run
	c.acked.Store(&Versions{})
	c.follower = &follower{control: c, target: make(chan netip.AddrPort, 1)}
	return c
}

// CountKey counts a request by its key, so that the leader can balance the keys over the servers.
func (c *Control) CountKey(service assign.ServiceID, key uint16) { c.load.countKey(service, key) }

// CountRun counts a request that the owner of its key ran, and its run time.
func (c *Control) CountRun(service assign.ServiceID, server assign.ServerID, took time.Duration) {
	c.load.countRun(service, server, took)
}

// Stop resigns leadership, waits for the resignation for at most resignTimeout, and ends all goroutines
// except those that serve the connections of followers and the one that reads the evacuations until Close.
func (c *Control) Stop() {
	close(c.stop)
	select {
	case <-c.done:
	case <-time.After(resignTimeout):
	}
	c.cancel()
	c.rpcServer.listener.Close()
}

// Close ends the reads of the evacuations after Stop. The process sends no more requests to servers then.
func (c *Control) Close() { c.closeReads() }

// post sends an event to the control goroutine. It returns false if that goroutine has ended.
func (c *Control) post(e event) bool {
	select {
	case c.events <- e:
		return true
	case <-c.done:
		return false
	}
}

func (c *Control) loop() {
	c.handleEvents()
	c.lastEvacuations()
}

// handleEvents handles all events until this process has resigned after Stop.
func (c *Control) handleEvents() {
	defer close(c.done)
	ticker := time.NewTicker(tickInterval)
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
			c.stepCandidate(c.options.Clock.Now(), leader.Resign{})
		}
		c.publish()
		if c.stopping && !c.leads && !c.candidate.Resigning() {
			return
		}
	}
}

func (c *Control) handle(now time.Time, e event) {
	switch e := e.(type) {
	case recordRead:
		c.handleRecordRead(now, e)
	case recordWritten:
		c.handleRecordWritten(now, e)
	case serversRead:
		c.handleServersRead(now, e)
	case configRead:
		c.handleConfigRead(now, e)
	case evacuationsRead:
		c.handleEvacuationsRead(now, e)
	case orderDone:
		c.logGrant(e.result)
		c.stepDecider(now, e.result)
	case followRequest:
		c.handleFollowRequest(now, e)
	case reserveRequest:
		e.answer <- c.reserve(now, e.ask)
	case followResult:
		c.handleFollowResult(now, e)
	}
}

// tick renews the leases and starts the reads that are due.
func (c *Control) tick(now time.Time) {
	c.stepCandidate(now, leader.Tick{})
	if c.leads {
		c.updateLimits(now)
		c.addLoad(now, c.load.take(now))
		c.stepDecider(now, shard.Tick{StoreDown: age(now, c.lastStoreAnswer) > storeUnreachableAfter})
		c.answerPending(now)
	}
	c.pollConfig(now)
	c.pollServers(now)
	c.pollEvacuations(now)
}

func (c *Control) pollConfig(now time.Time) {
	if c.config.reading || now.Before(c.config.nextRead) {
		return
	}
	watch := c.leads && c.config.revision > 0
	if !watch && !c.leads && (age(now, c.config.confirmedAt) < c.options.maxConfigAge() || c.probing(now)) {
		return
	}
	c.config.reading = true
	c.start(readConfig{control: c, watch: watch, after: c.config.revision}.run)
}

func (c *Control) pollServers(now time.Time) {
	if c.servers.reading || now.Before(c.servers.nextRead) {
		return
	}
	if !c.leads && (age(now, c.servers.confirmedAt) < c.options.maxServersAge() || c.probing(now)) {
		return
	}
	c.servers.reading = true
	c.servers.nextRead = now.Add(listInterval)
	c.start(listServers{control: c}.run)
}

// probing reports whether calls to the store fail and the candidate keeps reading the record, because the
// leader does not answer either. These reads show when the store is back, so other reads are not needed.
func (c *Control) probing(now time.Time) bool {
	return !c.failingSince.IsZero() && age(now, c.lastLeaderAnswer) >= leaderTimeout
}

// trackStore records from the error of a call whether the store answered.
func (c *Control) trackStore(now time.Time, err error) {
	switch {
	case storeAnswered(err):
		c.trackEra(now)
		if !c.failingSince.IsZero() {
			// Reports that the store answers again, and the time since its previous answer.
			c.options.Log.Info().Dur("silent-ms", age(now, c.lastStoreAnswer)).Msg("store-back")
			c.config.nextRead, c.servers.nextRead, c.evacuations.nextRead = now, now, now
		}
		c.lastStoreAnswer = now
		c.failingSince = time.Time{}
	case c.failingSince.IsZero():
		// Reports that a call to the store failed after one that did not.
		c.options.Log.Warn().Err(err).Msg("store-away")
		c.failingSince = now
		c.lastStoreFailure = now
	default:
		c.lastStoreFailure = now
	}
}

// readRetryDelay returns the time from a failed read of the store to the next one. All followers depend on the reads of
// the leader, which repeats the first failed ones quickly.
func (c *Control) readRetryDelay(now time.Time) time.Duration {
	if c.leads && age(now, c.failingSince) < quickRetryTime {
		return quickRetryDelay
	}
	return storeRetryDelay
}

func (c *Control) handleConfigRead(now time.Time, e configRead) {
	c.config.reading = false
	c.trackStore(now, e.err)
	if e.err != nil {
		c.options.Log.Warn().Str("what", "config").Bool("watch", e.watch).Err(e.err).Msg("store-read-failed")
		c.config.nextRead = now.Add(c.readRetryDelay(now))
		// The store may no longer have the changes since the revision, so the next read is a list.
		c.config.revision = 0
		return
	}
	c.config.revision = max(c.config.revision, e.revision)
	if c.config.confirmedAt.Before(e.sent) {
		c.config.confirmedAt = e.sent
	}
	if e.found {
		c.applyConfig(now, e.object)
	}
}

// applyConfig puts a configuration in force if the operator's number of it is higher than the present one's. The revision
// does not tell: the store may have come back from an older copy.
func (c *Control) applyConfig(now time.Time, o store.Object) {
	if c.config.parsed != nil && o.Version == c.config.object.Version {
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
	c.updateDecider(now)
}

func (c *Control) handleServersRead(now time.Time, e serversRead) {
	c.servers.reading = false
	c.trackStore(now, e.err)
	if e.err != nil {
		c.servers.nextRead = now.Add(c.readRetryDelay(now))
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
	if c.entriesMayHaveExpired(e.sent) {
		c.servers.directory.MarkStale()
	}
	changed := c.servers.directory.Update(now, servers)
	c.confirmServers(e.sent)
	c.observeCold(now, servers)
	if !changed && c.decider.Recovering() {
		c.updateDecider(now)
	}
	if changed {
		c.have.Servers++
		c.changeLog.replace(c.servers.directory.Servers(), c.have.Servers)
		c.logServers()
		c.updateDecider(now)
	}
	c.listDiverged = !c.leads
}

// entriesMayHaveExpired reports whether servers may be missing in a list that was read at the given time because they
// could not reach the store either. A long time since the last list is not enough: this process may have had no reason to
// read, or the leader may have been lost. If only this process could not reach the store, the leader's updates have kept
// confirmedAt recent.
func (c *Control) entriesMayHaveExpired(readAt time.Time) bool {
	return age(readAt, c.servers.confirmedAt) >= missedHeartbeats*c.options.Heartbeat &&
		c.lastStoreFailure.After(c.servers.confirmedAt)
}

// updateDecider passes the servers of the partitioned services to the decider.
func (c *Control) updateDecider(now time.Time) {
	if !c.leads || c.config.parsed == nil || !c.servers.directory.Known() {
		return
	}
	services := map[assign.ServiceID][]assign.Server{}
	for id, s := range c.config.parsed.Services {
		if s.Partitioned {
			services[id] = nil
		}
	}
	for _, s := range c.servers.directory.Servers() {
		if _, ok := services[s.Service]; ok {
			services[s.Service] = append(services[s.Service], s)
		}
	}
	c.setCold(now)
	c.stepDecider(now, shard.Listed{Services: services, ReadAt: c.servers.confirmedAt, Evacuated: c.evacuatedDomains()})
}

// publish publishes a new View if something changed.
func (c *Control) publish() {
	tables := c.tables
	if c.leads {
		c.have.Tables = c.decider.Version()
		c.have.Limits = c.options.Limits.Version()
		c.noteConfirmed()
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
		ServersKnown: c.servers.directory.Known() && c.evacuationsKnown(),
		Services:     map[assign.ServiceID][]assign.Server{},
		Leaving:      map[assign.ServerID]time.Time{},
		Cold:         c.coldServers(c.options.Clock.Now()),
		Tables:       tables,
		Evacuated:    maps.Clone(c.evacuations.board.Domains()),
		Processes:    c.processes,
	}
	for _, s := range c.servers.directory.Servers() {
		v.Services[s.Service] = append(v.Services[s.Service], s)
		if s.Draining {
			v.Leaving[s.ID] = c.servers.directory.LeavingSince(s)
		}
	}
	c.options.Views.Publish(v)
	c.answerPending(c.options.Clock.Now())
}

package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

// Process is one entry process of the cell.
type Process struct {
	ID            assign.ProcessID
	FailureDomain string
}

// Config holds the settings of a Decider. Zero values stand for the defaults of the design page.
type Config struct {
	// Cell is the name of the cell.
	Cell string
	// Self is the name of this process.
	Self assign.ProcessID
	// ServingLease is the length of the right to forward calls, 2 s by default.
	ServingLease time.Duration
	// Grant is the length of the right of a server to run work, 2 s by default.
	Grant time.Duration
	// HeartbeatInterval is the interval of heartbeats, 200 ms by default.
	HeartbeatInterval time.Duration
	// Silence is the time without an answer after which a server is treated as lost, 1 s by
	// default.
	Silence time.Duration
	// StoreTimeout is the time after which a read of the record is repeated, 500 ms by default.
	StoreTimeout time.Duration
	// Margin bounds the errors of clocks, lease.DefaultMargin by default.
	Margin lease.Margin
	// RefreshInterval is the longest time between two versions of the table, 0 for no bound. Recorders of
	// booking identifiers need a new version at least every quarter of their window.
	RefreshInterval time.Duration
	// ChurnBudget is the share of a service's keys that voluntary moves may move in ChurnPeriod,
	// 0.05 in 10 s by default. A negative value allows none.
	ChurnBudget float64
	ChurnPeriod time.Duration
}

func (c Config) withDefaults() Config {
	c.ServingLease = cmp.Or(c.ServingLease, 2*time.Second)
	c.Grant = cmp.Or(c.Grant, 2*time.Second)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, 200*time.Millisecond)
	c.Silence = cmp.Or(c.Silence, time.Second)
	c.StoreTimeout = cmp.Or(c.StoreTimeout, 500*time.Millisecond)
	c.Margin = cmp.Or(c.Margin, lease.DefaultMargin)
	c.ChurnBudget = cmp.Or(c.ChurnBudget, 0.05)
	c.ChurnPeriod = cmp.Or(c.ChurnPeriod, 10*time.Second)
	return c
}

// Decider decides which server owns which span of a cell during one term. It is not safe for
// concurrent use.
type Decider struct {
	config Config
	state
	out []DeciderAction
}

// state is what a Decider knows during one term.
type state struct {
	running  bool
	term     uint64
	wonAt    time.Time
	lastTick time.Time

	electors  []assign.ProcessID
	processes []Process
	runs      []*run
	current   map[assign.ProcessID]*run
	// dead holds the runs that ended in this term: a late answer of one must not replace the
	// current run.
	dead map[assign.Run]bool

	servers map[assign.ServerID]*server
	budgets map[assign.ServiceID]float64
	spans   map[assign.ServiceID][]*span
	// sorted holds the keys of spans; services are added and never removed during a term.
	sorted []assign.ServiceID
	// look is set where servers or spans have changed, so that spans may have to move. A cell has
	// thousands of spans, and most events concern none of them.
	look        bool
	closedSpans int
	buckets     []assign.Bucket
	// lostRecorders are the processes that lost their memory since the buckets were checked.
	lostRecorders     map[assign.ProcessID]bool
	drainingProcesses map[assign.ProcessID]bool
	checkBuckets      bool
	// gathered is set once every process has answered in this term.
	gathered bool
	// raised are the buckets whose horizon rises with the next table.
	raised []int

	table       *assign.Table
	publishedAt time.Time
	versions    uint64
	grants      uint64
	beats       uint64
	beatDue     bool
	dirty       bool
	record      stored
	voluntary   voluntary
}

// NewDecider returns a Decider that has no term.
func NewDecider(c Config) *Decider {
	return &Decider{config: c.withDefaults()}
}

// Step handles an event and returns the actions to take in order. The term must be held at now, a
// reading of clock.Clock.Now: the caller reads now, then checks the term, then steps. Otherwise a
// process that was paused could grant after the next decider has started.
func (d *Decider) Step(now time.Time, e DeciderEvent) []DeciderAction {
	if s, ok := e.(Started); ok {
		d.start(now, s)
	} else if d.running {
		d.handle(now, e)
	}
	if d.running {
		d.advance(now)
	}
	out := d.out
	d.out = nil
	return out
}

// Table returns the latest published table, nil before the first.
func (d *Decider) Table() *assign.Table {
	return d.table
}

// Committed reports whether a majority of electors holds the version, so that it is in force.
func (d *Decider) Committed(version uint64) bool {
	n := 0
	for _, id := range d.electors {
		if r := d.current[id]; r != nil && !r.ended && r.acked >= version {
			n++
		}
	}
	return version > 0 && 2*n > len(d.electors)
}

func (d *Decider) handle(now time.Time, e DeciderEvent) {
	switch e := e.(type) {
	case Stopped:
		d.state = state{}
	case Tick:
		d.tick(now)
	case ProcessAnswered:
		d.processAnswered(now, e)
	case ProcessEnded:
		d.processEnded(now, e)
	case ProcessesListed:
		d.processes = sortedProcesses(e.Processes)
	case ServersListed:
		d.budgets = e.Budgets
		d.listServers(now, e.Servers)
	case ServerAnswered:
		d.serverAnswered(now, e)
	case ServerEnded:
		d.serverEnded(now, e)
	case GrantAnswered:
		d.grantAnswered(now, e)
	case RevokeAnswered:
		d.revokeAnswered(e)
	case RecordWritten:
		d.recordWritten(e)
	case RecordFailed:
		d.recordFailed(now, e)
	case RecordRead:
		d.recordRead(now, e)
	case LoadReported:
		d.voluntary.report(now, e)
	case DrainServer:
		d.drainServer(e)
	case BucketCopied:
		d.bucketCopied(e)
	case DrainProcess:
		d.drainProcess(e)
	}
}

// advance takes every step that the state allows at now.
func (d *Decider) advance(now time.Time) {
	d.repairBuckets(now)
	if d.look || d.closedSpans > 0 {
		d.moveSpans(now)
	}
	if d.config.RefreshInterval > 0 && now.Sub(d.publishedAt) >= d.config.RefreshInterval {
		d.dirty = true
	}
	if d.publish(now) || d.beatDue {
		d.sendBeats()
	}
	d.plan(now)
}

// tick sends what is due each beat: grants, probes, revokes and heartbeats.
func (d *Decider) tick(now time.Time) {
	d.forgivePause(now)
	d.lastTick = now
	d.look = true
	d.checkSilence(now)
	d.dropRuns(now)
	d.checkRecorders(now)
	d.renewGrants(now)
	d.repeatRevokes()
	d.beatDue = true
}

// forgivePause moves the last answers of servers forward by the time this process was paused, at most
// to now: their answers may wait in its queue.
func (d *Decider) forgivePause(now time.Time) {
	gap := now.Sub(d.lastTick)
	if d.lastTick.IsZero() || gap <= 2*d.config.HeartbeatInterval {
		return
	}
	for _, s := range d.servers {
		s.heard = s.heard.Add(gap - d.config.HeartbeatInterval)
		if s.heard.After(now) {
			s.heard = now
		}
	}
}

func (d *Decider) act(a DeciderAction) {
	d.out = append(d.out, a)
}

func sortedProcesses(ps []Process) []Process {
	ps = slices.Clone(ps)
	slices.SortFunc(ps, func(a, b Process) int { return cmp.Compare(a.ID, b.ID) })
	return ps
}

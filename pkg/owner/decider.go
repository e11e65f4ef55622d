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

// Config configures a Decider. A field with its zero value gets the default that its comment names.
type Config struct {
	// Cell is the name of the cell.
	Cell string
	// Self is the name of this process.
	Self assign.ProcessID
	// ServingLease is how long a serving lease allows an entry process to forward calls, 2 s by
	// default.
	ServingLease time.Duration
	// Grant is how long a grant allows a server to run calls, 2 s by default.
	Grant time.Duration
	// HeartbeatInterval is the interval of heartbeats, 200 ms by default.
	HeartbeatInterval time.Duration
	// Silence is the time without an answer after which a server or a recorder counts as lost, 1 s
	// by default.
	Silence time.Duration
	// StoreTimeout is the time after which a read of the record is retried, 500 ms by default.
	StoreTimeout time.Duration
	// Margin bounds the clock errors, lease.DefaultMargin by default.
	Margin lease.Margin
	// RefreshInterval is the maximum time between two versions of the table, 0 for no maximum. The
	// recorders of booking identifiers need a new version at least every quarter of the booking
	// window.
	RefreshInterval time.Duration
	// ChurnBudget is the share of a service's keys that rebalancing may move within ChurnPeriod,
	// 0.05 in 10 s by default. A negative value disables rebalancing.
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

// Decider assigns the spans of a cell to servers during one term. It is not safe for concurrent
// use.
type Decider struct {
	config Config
	state
	actions []DeciderAction
}

// state is the state of a Decider during one term.
type state struct {
	running  bool
	term     uint64
	wonAt    time.Time
	lastTick time.Time

	electors    []assign.ProcessID
	processes   []Process
	runs        []*run
	currentRuns map[assign.ProcessID]*run
	// endedRuns are the runs that ended in this term. A late answer of one must not replace the
	// current run.
	endedRuns map[assign.Run]bool

	servers      map[assign.ServerID]*server
	churnBudgets map[assign.ServiceID]float64
	spans        map[assign.ServiceID][]*span
	// sortedServices are the sorted keys of spans. Services are added and never removed during a
	// term.
	sortedServices []assign.ServiceID
	// checkSpans is set when servers or spans have changed, so that spans may have to move. A cell
	// has thousands of spans and most events affect none of them.
	checkSpans  bool
	closedSpans int
	buckets     []assign.Bucket
	// lostRecorders are the processes that have lost their identifiers since the buckets were last
	// checked.
	lostRecorders     map[assign.ProcessID]bool
	drainingProcesses map[assign.ProcessID]bool
	checkBuckets      bool
	// allAnswered is set once every process has answered in this term.
	allAnswered bool
	// pendingHorizons are the indexes of the buckets whose horizon is set to the version of the
	// next table.
	pendingHorizons []int

	table        *assign.Table
	publishedAt  time.Time
	tableCount   uint64
	grantVersion uint64
	ticks        uint64
	heartbeatDue bool
	tableDirty   bool
	record       recordState
	rebalancing  rebalancing
}

// NewDecider returns a Decider that has no term.
func NewDecider(c Config) *Decider {
	return &Decider{config: c.withDefaults()}
}

// Step handles an event and returns the actions to carry out in order. now is a reading of
// clock.Clock.Now, and the term must be held at that time: the caller first reads now, then checks
// the term, then calls Step. Otherwise a process that was paused could send grants after the next
// decider has started.
func (d *Decider) Step(now time.Time, e DeciderEvent) []DeciderAction {
	if s, ok := e.(Started); ok {
		d.start(now, s)
	} else if d.running {
		d.handle(now, e)
	}
	if d.running {
		d.advance(now)
	}
	out := d.actions
	d.actions = nil
	return out
}

// Table returns the latest published table, or nil before the first.
func (d *Decider) Table() *assign.Table {
	return d.table
}

// Committed reports whether a majority of the electors has acknowledged the version, which puts it in
// force.
func (d *Decider) Committed(version uint64) bool {
	n := 0
	for _, id := range d.electors {
		if r := d.currentRuns[id]; r != nil && !r.ended && r.ackedVersion >= version {
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
		d.churnBudgets = e.Budgets
		d.setServers(now, e.Servers)
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
		d.rebalancing.addReport(now, e)
	case DrainServer:
		d.drainServer(e)
	case BucketCopied:
		d.bucketCopied(e)
	case DrainProcess:
		d.drainProcess(e)
	}
}

// advance performs all actions that the state allows at now.
func (d *Decider) advance(now time.Time) {
	d.repairBuckets(now)
	if d.checkSpans || d.closedSpans > 0 {
		d.moveSpans(now)
	}
	if d.config.RefreshInterval > 0 && now.Sub(d.publishedAt) >= d.config.RefreshInterval {
		d.tableDirty = true
	}
	if d.publish(now) || d.heartbeatDue {
		d.sendHeartbeats()
	}
	d.syncRecord(now)
}

// tick performs the actions that are due at each heartbeat interval: grants, probes, revokes and
// heartbeats.
func (d *Decider) tick(now time.Time) {
	d.compensatePause(now)
	d.lastTick = now
	d.checkSpans = true
	d.checkSilence(now)
	d.dropRuns(now)
	d.checkRecorders(now)
	d.renewGrants(now)
	d.resendRevokes()
	d.heartbeatDue = true
}

// compensatePause moves the time of each server's last answer forward by the time that this process
// was paused, but not past now, because answers may still be waiting in the process's queue.
func (d *Decider) compensatePause(now time.Time) {
	gap := now.Sub(d.lastTick)
	if d.lastTick.IsZero() || gap <= 2*d.config.HeartbeatInterval {
		return
	}
	for _, s := range d.servers {
		s.answeredAt = s.answeredAt.Add(gap - d.config.HeartbeatInterval)
		if s.answeredAt.After(now) {
			s.answeredAt = now
		}
	}
}

func (d *Decider) emit(a DeciderAction) {
	d.actions = append(d.actions, a)
}

func sortedProcesses(ps []Process) []Process {
	ps = slices.Clone(ps)
	slices.SortFunc(ps, func(a, b Process) int { return cmp.Compare(a.ID, b.ID) })
	return ps
}

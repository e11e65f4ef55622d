// Package leader elects one of several processes as the leader, through an object in a store with
// conditional updates.
//
// The object contains a Record, which the leader rewrites to renew its lease. Another process may
// replace a record that has not changed for longer than the lease, on the condition that it still
// has the version that was read. The leader counts its lease from before it sent the write, and the
// other candidates count from after they first read the version, so that the leader stops leading
// before another one starts.
//
// A Candidate is a state machine without I/O: the caller passes in events and the time, and carries
// out the actions that Step returns. The Candidate handles only the Record; any other content of the
// stored object is up to the caller.
//
// # Usage
//
//	candidate := leader.New(leader.Config{Name: "entry-1", Run: run, Lease: 3 * time.Second}, random)
//	for _, a := range candidate.Step(now, leader.Tick{}) {
//		switch a := a.(type) {
//		case leader.Read:
//			// read the record, then Step with Found, Missing or Failed
//		case leader.Write:
//			// write a.Record if the stored version is a.IfVersion, then Step with Written,
//			// Conflict or Failed
//		}
//	}
//	if candidate.Leads(now) {
//		// act as the leader
//	}
package leader

import (
	"math/rand/v2"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

const (
	// minReadInterval is the shortest regular time between reads of the record while no heartbeat of the leader
	// arrives.
	minReadInterval = 500 * time.Millisecond
	// heartbeatTimeout is how long after a heartbeat of the leader a candidate neither reads the record nor
	// takes over.
	heartbeatTimeout = 1200 * time.Millisecond
	// renewalsPerLease is how often the leader rewrites the record within one lease.
	renewalsPerLease = 3
	// retryInterval is the time until a failed write is retried, and the mean first backoff of a failed read.
	retryInterval = 250 * time.Millisecond
	// maxRetryInterval bounds the mean backoff of reads that fail, which doubles at most maxRetryDoublings times.
	maxRetryInterval  = 1500 * time.Millisecond
	maxRetryDoublings = 4
	// maxTakeoverJitter bounds the random time before a candidate repeats its attempt to take over, so that
	// candidates do not all write at the same moment.
	maxTakeoverJitter = 200 * time.Millisecond
	// maxCreateJitter bounds the random time that a candidate waits before it creates a missing record. A
	// candidate that waits longer than another one finds the record that the other has created.
	maxCreateJitter = time.Second
	// readIntervalPerCandidate is multiplied by the number of candidates to give the time between reads of each, so
	// that many candidates together read no more often than a few.
	readIntervalPerCandidate = 60 * time.Millisecond
	// maxReadInterval bounds the time between reads, however many candidates there are.
	maxReadInterval = 2 * time.Second
)

// Config configures a Candidate.
type Config struct {
	// Name names the VM, and Run this run of its process.
	Name string
	Run  string
	// Lease is how long the leader may lead after it sent a successful write of the record.
	Lease time.Duration
	// Delay is added to the time that this candidate waits before it takes over, so that candidates
	// that are better suited come first.
	Delay time.Duration
	// FirstStart reports that the whole system starts for the first time, so that a missing record means that there was
	// no leader before.
	FirstStart bool
}

// Record is the part of the stored object that names the leader. An empty Holder means that the last
// leader resigned.
type Record struct {
	// Term increases with each process that takes over.
	Term uint64 `json:"term"`
	// Holder is the name of the leader's VM, Run identifies the run of its process.
	Holder string `json:"holder"`
	Run    string `json:"run"`
	// Era is the era of the store in which the record was written. A record of an earlier era comes from an older copy
	// of the store: a later leader may still lead.
	Era uint64 `json:"era"`
	// Sequence numbers the writes of one run, so that a candidate recognises its own write in the
	// record when it received no answer to it.
	Sequence uint64 `json:"sequence"`
}

// Candidate is the election state of one process that may lead. It is not safe for concurrent use.
type Candidate struct {
	config Config
	random *rand.Rand
	// record and version are from the last read or write. Unless known is set, the record has to be read
	// before it is written.
	record  Record
	version uint64
	known   bool
	// versionSince is when this candidate first read or wrote the version, or heard of it from the leader.
	versionSince time.Time
	// heardVersion is the version in the leader's last heartbeat, and heardSince when this candidate first heard of it.
	heardVersion uint64
	heardSince   time.Time
	// lastHeartbeat is the time of the leader's last heartbeat. The zero time lets the candidate read the record
	// and take over without waiting for heartbeatTimeout.
	lastHeartbeat time.Time
	held          lease.Held
	// leading is set by the first successful write of a term. The process leads only while held is valid as well.
	leading  bool
	term     uint64
	sequence uint64
	// predecessorEnd is the result of PredecessorEnd for the current or the next term.
	predecessorEnd time.Time
	// unconfirmed maps the sequence of each write whose outcome is unknown to the time at which it was sent.
	unconfirmed         map[uint64]time.Time
	reading, writing    bool
	nextRead, nextWrite time.Time
	resigned            bool
	// resigning is set while a leader that resigned has not stored a record without a holder.
	resigning bool
	// candidates is the number of candidates in the leader's last heartbeat.
	candidates int
	// refresh is set from a Refresh event until the read that it requests starts.
	refresh bool
	// cededVersion is the version of the record whose holder ceded to this candidate, 0 if none did.
	cededVersion uint64
	// readFailures counts consecutive failed reads.
	readFailures int
	// missing is set once a read found no record. The next such read allows this candidate to create the record.
	missing bool
	// era is the era of the store, and eraSince when this candidate learned of it. They are valid with eraKnown.
	era      uint64
	eraSince time.Time
	eraKnown bool
	// restored is set once the store has come back from an older copy.
	restored bool
	// succeedsUnknown is the result of SucceedsUnknown for the current or the next term.
	succeedsUnknown bool
}

// New returns a Candidate that has not read the record yet. It uses random for the jitter that keeps
// candidates from acting at the same moment.
func New(c Config, random *rand.Rand) *Candidate {
	return &Candidate{config: c, random: random, unconfirmed: map[uint64]time.Time{}}
}

// Leads reports whether this process is the leader at now.
func (c *Candidate) Leads(now time.Time) bool { return c.leading && c.held.Valid(now) }

// Expires returns the time at which the lease of this process ends or ended. It is zero if the process
// never had a lease or gave it up.
func (c *Candidate) Expires() time.Time { return c.held.Expires() }

// PredecessorEnd returns the latest time at which another process, or an earlier term of this one, may have led. It is
// valid while this process leads.
func (c *Candidate) PredecessorEnd() time.Time { return c.predecessorEnd }

// SucceedsUnknown reports that this term replaced a record that is older than the last leader's, because the store came
// back from an older copy. What that leader stored besides is unknown. It is valid while this process leads.
func (c *Candidate) SucceedsUnknown() bool { return c.succeedsUnknown }

// Resigning reports whether this process has resigned as the leader and has yet to store that.
func (c *Candidate) Resigning() bool { return c.resigning }

// Version returns the version of the record as this candidate last read or wrote it.
func (c *Candidate) Version() uint64 { return c.version }

// Term returns the term in the record as this candidate last read or wrote it.
func (c *Candidate) Term() uint64 { return c.record.Term }

// Holder returns the name of the leader's VM in the record as this candidate last read or wrote it, ""
// if there is none.
func (c *Candidate) Holder() string { return c.record.Holder }

// Step handles an event that happens at now and returns the actions that the caller carries out.
func (c *Candidate) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Found:
		c.reading = false
		c.readFailures = 0
		c.nextRead = now.Add(c.readInterval())
		c.handleFound(now, e)
	case Missing:
		c.handleMissing(now)
	case Era:
		c.handleEra(now, e)
	case Heartbeat:
		c.handleHeartbeat(now, e)
	case Refresh:
		c.refresh = true
	case Ceded:
		c.cededVersion = e.Version
		c.lastHeartbeat = time.Time{}
	case Cede:
		c.stopLeading(now)
		c.known = false
		c.nextRead = now.Add(c.config.Lease)
	case Written:
		c.writing = false
		c.handleWritten(now, e.Sequence, e.Version)
	case Conflict:
		c.writing = false
		c.known = false
		c.nextRead = now
		c.lastHeartbeat = time.Time{}
	case Failed:
		c.handleFailed(now, e)
	case Resign:
		c.resigning = c.leading && c.held.Valid(now)
		c.resigned = true
		c.stopLeading(now)
		c.nextWrite = now
	case Tick:
	}
	return c.nextActions(now)
}

func (c *Candidate) handleHeartbeat(now time.Time, e Heartbeat) {
	c.lastHeartbeat = now
	c.candidates = e.Candidates
	if e.Version != c.heardVersion {
		c.heardVersion, c.heardSince = e.Version, now
	}
	if e.Version != 0 && e.Version != c.version {
		// A write on the condition of the version that this candidate has would be rejected.
		c.known = false
	}
}

// stopLeading ends the current term, if there is one, at the end of its lease or now.
func (c *Candidate) stopLeading(now time.Time) {
	if !c.leading {
		return
	}
	c.leading = false
	c.predecessorEnd = earlier(now, c.held.Expires())
	c.held.Drop()
}

// readInterval returns the time between reads, which grows with the number of candidates.
func (c *Candidate) readInterval() time.Duration {
	return min(maxReadInterval, max(minReadInterval, time.Duration(c.candidates)*readIntervalPerCandidate))
}

// handleEra begins a new era. A leader goes on for its lease: another candidate waits for that, since it counts from
// a later time. All that was read or ceded before is outdated.
func (c *Candidate) handleEra(now time.Time, e Era) {
	c.restored = c.restored || c.eraKnown && c.era != e.Number
	c.era, c.eraSince, c.eraKnown = e.Number, now, true
	c.known = false
	c.cededVersion = 0
	c.nextRead = now
}

// outdated reports whether the record is from an earlier era, or missing although there was one.
func (c *Candidate) outdated() bool {
	if c.version == 0 {
		return c.restored || !c.config.FirstStart
	}
	return c.record.Era != c.era
}

// handleMissing handles a read that found no record. The first time, the candidate only waits for a random time,
// in which another candidate usually creates the record. A leader whose lease lasts creates it again at once: the store
// has lost it.
func (c *Candidate) handleMissing(now time.Time) {
	c.reading = false
	c.record, c.version = Record{}, 0
	if c.restored && c.leading {
		c.known = true
		return
	}
	c.resigning = false
	c.stopLeading(now)
	c.nextRead = now.Add(minReadInterval)
	c.known = c.missing
	if !c.missing {
		c.missing = true
		c.nextRead = now.Add(c.config.Delay + time.Duration(c.random.Int64N(int64(maxCreateJitter))))
	}
}

// handleFound handles the record that a read returned. A record that this run wrote, but received no answer for,
// confirms that write.
func (c *Candidate) handleFound(now time.Time, e Found) {
	present := e.Record.Era == c.era
	if present && e.Record.Run == c.config.Run && c.unconfirmed[e.Record.Sequence] != (time.Time{}) {
		c.handleWritten(now, e.Record.Sequence, e.Version)
		return
	}
	if e.Version != c.version {
		c.versionSince = now
		if e.Version == c.heardVersion {
			// The leader wrote the version before it sent the heartbeat, so its lease began before that.
			c.versionSince = c.heardSince
		}
	}
	if present && e.Record.Run != c.config.Run {
		c.stopLeading(now)
		c.resigning = false
	}
	c.record, c.version, c.known = e.Record, e.Version, true
}

// handleWritten handles a write that has taken effect: this process leads, or has resigned.
func (c *Candidate) handleWritten(now time.Time, sequence, version uint64) {
	sentAt := c.unconfirmed[sequence]
	clear(c.unconfirmed)
	c.record = Record{Term: c.term, Holder: c.config.Name, Run: c.config.Run, Era: c.era, Sequence: sequence}
	c.version, c.known, c.versionSince = version, true, now
	c.nextWrite = sentAt.Add(c.config.Lease / renewalsPerLease)
	if c.resigned {
		c.record.Holder = ""
		c.resigning = false
		return
	}
	if c.leading {
		// The record that this term began with has been replaced by what this process knows.
		c.succeedsUnknown = false
	}
	c.leading = true
	c.held.Extend(sentAt, c.config.Lease)
}

// handleFailed schedules the next read after a read that failed, or a write whose outcome is unknown.
func (c *Candidate) handleFailed(now time.Time, e Failed) {
	if e.Write {
		c.writing = false
		c.nextWrite = now.Add(retryInterval)
		// The write may have taken effect, so the record is read before the next write.
		c.known = false
		c.nextRead = now
		c.lastHeartbeat = time.Time{}
		return
	}
	c.reading = false
	c.nextRead = now.Add(c.readBackoff())
	c.readFailures++
}

// readBackoff returns the time from a failed read to the next one. While the store is unavailable,
// candidates that do not lead back off, because it is enough that one of them reaches the store again.
func (c *Candidate) readBackoff() time.Duration {
	if c.leading || c.record.Holder == c.config.Name {
		// The last leader can continue at once, while the others have to wait for its lease to lapse.
		return retryInterval
	}
	wait := min(maxRetryInterval, retryInterval<<min(c.readFailures, maxRetryDoublings))
	return wait/2 + time.Duration(c.random.Int64N(int64(wait)))
}

// nextActions gives up an expired lease and returns the read and the write that are due.
func (c *Candidate) nextActions(now time.Time) []Action {
	if c.leading && !c.held.Valid(now) {
		c.stopLeading(now)
		c.known = false
	}
	if c.resigning && c.known && c.outdated() {
		// A resignation repeats the data of the record, which lacks what this process stored as the leader.
		c.resigning = false
	}
	var actions []Action
	if c.readDue(now) {
		c.reading, c.refresh = true, false
		actions = append(actions, Read{})
	}
	if c.known && !c.writing && !now.Before(c.nextWrite) && c.mayWrite(now) {
		actions = append(actions, c.newWrite(now))
	}
	return actions
}

// readDue reports whether to read the record now. A leader reads it only if it is not known. The other
// candidates read it on request and when no heartbeats of the leader arrive.
func (c *Candidate) readDue(now time.Time) bool {
	if c.reading || c.writing || now.Before(c.nextRead) && !c.refresh {
		return false
	}
	if c.leading || c.resigning {
		return !c.known
	}
	return c.refresh || now.Sub(c.lastHeartbeat) >= heartbeatTimeout
}

// mayWrite reports whether this candidate may write the record: as the leader, or to take over from one
// that has ceded, resigned or ended, or whose lease has lapsed.
func (c *Candidate) mayWrite(now time.Time) bool {
	if c.resigned {
		return c.resigning
	}
	if c.leading {
		return true
	}
	if now.Sub(c.lastHeartbeat) < heartbeatTimeout {
		return false
	}
	if c.cededVersion != 0 && c.cededVersion == c.version {
		return true
	}
	if c.outdated() {
		// Whoever is or is not named in it, a later leader may lead until its lease has ended.
		return !now.Before(c.leaseEnd().Add(c.config.Delay))
	}
	switch c.record.Holder {
	case "":
		// The last leader has resigned, or there is no record.
		return now.Sub(c.versionSince) >= c.config.Delay
	case c.config.Name:
		// The leader was this run or an earlier one on this VM, so no other process leads.
		return true
	}
	return !now.Before(c.leaseEnd().Add(c.config.Delay))
}

// leaseEnd returns the latest time at which the lease of the record's holder ends, or that of an unknown leader if the
// record is outdated: its last write was before the new era.
func (c *Candidate) leaseEnd() time.Time {
	if c.outdated() {
		return c.eraSince.Add(lease.DefaultMargin.AddTo(c.config.Lease))
	}
	return c.versionSince.Add(lease.DefaultMargin.AddTo(c.config.Lease))
}

// newWrite returns the next write and records when it was sent. A candidate that does not lead starts a
// new term.
func (c *Candidate) newWrite(now time.Time) Action {
	c.sequence++
	if !c.leading && !c.resigning {
		c.term = c.record.Term + 1
		c.predecessorEnd = earlier(now, c.leaseEnd())
		c.succeedsUnknown = c.outdated()
		c.nextWrite = now.Add(time.Duration(c.random.Int64N(int64(maxTakeoverJitter))))
	}
	c.writing = true
	c.unconfirmed[c.sequence] = now
	r := Record{Term: c.term, Holder: c.config.Name, Run: c.config.Run, Era: c.era, Sequence: c.sequence}
	if c.resigned {
		r.Holder = ""
	}
	return Write{Record: r, IfVersion: c.version}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// RenewNow makes the leader write the record at the next Step instead of when the next renewal is due.
func (c *Candidate) RenewNow(now time.Time) {
	if c.leading && c.known {
		c.nextWrite = now
	}
}

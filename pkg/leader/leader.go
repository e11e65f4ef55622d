// Package leader elects one process through an object in a store with conditional updates.
//
// The object is a Record, which the leader rewrites while it leads. A record that stays the same
// for longer than the lease may be replaced by another process, on the condition that it is still
// that version. The leader counts its lease from before the write was sent, and the others count
// from after they first read the version, so that the leader stops before another begins.
//
// The Candidate is a state machine: events go in, actions come out, the time is passed in. It
// knows of the record only who holds it; what else the record has is the caller's.
//
// # Usage
//
//	candidate := leader.New(leader.Config{Name: "entry-1", Run: run, Lease: 3 * time.Second}, random)
//	for _, a := range candidate.Step(now, leader.Tick{}) {
//		switch a := a.(type) {
//		case leader.Read:
//			// read the record, then Step with Seen, Missing or Failed
//		case leader.Write:
//			// write a Record with a.Sequence if its version is a.IfVersion, then Step with
//			// Written, Conflict or Failed
//		}
//	}
//	if candidate.Leads(now) {
//		// act
//	}
package leader

import (
	"math/rand/v2"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

const (
	// readEvery is the time between reads of the record while the leader is not known to be alive.
	readEvery = 500 * time.Millisecond
	// aliveFor is how long a sign of life of the leader makes reads needless.
	aliveFor = 1200 * time.Millisecond
	// renewals is the number of times that the record is rewritten in a lease.
	renewals = 3
	// retryEvery is the time between tries of a write that failed.
	retryEvery = 250 * time.Millisecond
	// longestRetry bounds the mean time between tries of a read that fails, which doubles maxDoublings
	// times at most.
	longestRetry = 1500 * time.Millisecond
	maxDoublings = 4
	// maxJitter spreads the candidates that would all write at the same moment.
	maxJitter = 200 * time.Millisecond
	// firstJitter spreads the candidates where there is no record yet. One that wakes later finds it.
	firstJitter = time.Second
	// readShare is the time between reads for each candidate, so that many read no more than a few.
	readShare = 60 * time.Millisecond
	// longestRead bounds the time between reads.
	longestRead = 2 * time.Second
)

// Config configures a Candidate.
type Config struct {
	// Name names the VM, and Run this run of its process.
	Name string
	Run  string
	// Lease is how long the leader leads after it sent a write of the record.
	Lease time.Duration
	// Delay is how much longer this candidate waits before it takes a free lead over, so that others
	// that are better suited come first.
	Delay time.Duration
}

// Record is what the stored object says about the leader. A Holder of "" means that the last one
// resigned.
type Record struct {
	Term uint64 `json:"term"`
	// Holder is the name of the VM, Run the run of the process.
	Holder string `json:"holder"`
	Run    string `json:"run"`
	// Sequence is the number of the write, so that a leader recognises a write without an answer.
	Sequence uint64 `json:"sequence"`
}

// Event is something that happened.
type Event interface{ event() }

// Found is the record as it was read, not from a cache, with the time at which the answer arrived.
type Found struct {
	Record  Record
	Version uint64
}

// Missing says that there is no record.
type Missing struct{}

// Heartbeat says that the leader showed that it leads, and how many candidates there are.
type Heartbeat struct{ Candidates int }

// Refresh asks to read the record, though the leader is alive.
type Refresh struct{}

// Ceded says that the leader has stopped to lead in favour of this candidate, if the record still has
// the version.
type Ceded struct{ Version uint64 }

// Cede stops to lead without a write, so that another candidate may write at once.
type Cede struct{}

// Written is the success of a Write.
type Written struct{ Sequence, Version uint64 }

// Conflict is a Write whose condition did not hold.
type Conflict struct{}

// Failed is a Read or Write whose effect is not known.
type Failed struct{ Write bool }

// Resign gives the lead up.
type Resign struct{}

// Tick lets time pass.
type Tick struct{}

func (Found) event()     {}
func (Missing) event()   {}
func (Heartbeat) event() {}
func (Refresh) event()   {}
func (Ceded) event()     {}
func (Cede) event()      {}
func (Written) event()   {}
func (Conflict) event()  {}
func (Failed) event()    {}
func (Resign) event()    {}
func (Tick) event()      {}

// Action is something to do.
type Action interface{ action() }

// Read asks to read the record.
type Read struct{}

// Write asks to write the record, on the condition that it has the version, 0 for no record.
type Write struct {
	Record    Record
	IfVersion uint64
}

func (Read) action()  {}
func (Write) action() {}

// Candidate is one process that may lead. It is not safe for concurrent use.
type Candidate struct {
	config Config
	random *rand.Rand
	// record and version are the last that was read or written, known whether there was an answer.
	record  Record
	version uint64
	known   bool
	// since is when this version was first read.
	since time.Time
	alive time.Time
	held  lease.Held
	// leads is set from the first successful write on.
	leads    bool
	term     uint64
	sequence uint64
	// sent has the times at which the writes without a known end were sent.
	sent              map[uint64]time.Time
	reading, writing  bool
	nextRead, nextTry time.Time
	resigned          bool
	// candidates is the number of candidates that the leader last told.
	candidates int
	// looked is set while a read is asked for though the leader is alive.
	looked bool
	// ceded is the version of the record whose holder ceded the lead to this candidate.
	ceded uint64
	// failures counts the reads in a row that failed.
	failures int
	// missed reports that no record was found before, so that the next finding may lead to a write.
	missed bool
}

// New returns a Candidate that knows nothing of the record. The random source spreads candidates.
func New(c Config, random *rand.Rand) *Candidate {
	return &Candidate{config: c, random: random, sent: map[uint64]time.Time{}}
}

// Leads reports whether this process leads at now.
func (c *Candidate) Leads(now time.Time) bool { return c.leads && c.held.Valid(now) }

// Expires returns when the lease ends.
func (c *Candidate) Expires() time.Time { return c.held.Expires() }

// Version returns the version of the record as this candidate last read or wrote it.
func (c *Candidate) Version() uint64 { return c.version }

// Term returns the term of the last record.
func (c *Candidate) Term() uint64 { return c.record.Term }

// Holder returns the name of the VM in the last record, "" where there is none.
func (c *Candidate) Holder() string { return c.record.Holder }

// Step handles an event and returns what to do.
func (c *Candidate) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Found:
		c.reading = false
		c.failures = 0
		c.nextRead = now.Add(c.readEvery())
		c.see(now, e)
	case Missing:
		c.miss(now)
	case Heartbeat:
		c.alive = now
		c.candidates = e.Candidates
	case Refresh:
		c.looked = true
	case Ceded:
		c.ceded = e.Version
		c.alive = time.Time{}
	case Cede:
		c.leads, c.known = false, false
		c.held.Drop()
		c.nextRead = now.Add(c.config.Lease)
	case Written:
		c.writing = false
		c.wrote(now, e.Sequence, e.Version)
	case Conflict:
		c.writing = false
		c.known = false
		c.nextRead = now
		c.alive = time.Time{}
	case Failed:
		c.fail(now, e)
	case Resign:
		c.resigned = true
		c.nextTry = now
	case Tick:
	}
	return c.act(now)
}

// readEvery returns the time between reads, which is longer where many candidates read.
func (c *Candidate) readEvery() time.Duration {
	return min(longestRead, max(readEvery, time.Duration(c.candidates)*readShare))
}

// miss handles the lack of a record. The first time it only waits a random time, after which another
// candidate has mostly made the record.
func (c *Candidate) miss(now time.Time) {
	c.reading, c.leads = false, false
	c.record, c.version = Record{}, 0
	c.nextRead = now.Add(readEvery)
	c.known = c.missed
	if !c.missed {
		c.missed = true
		c.nextRead = now.Add(c.config.Delay + time.Duration(c.random.Int64N(int64(firstJitter))))
	}
}

func (c *Candidate) see(now time.Time, e Found) {
	if e.Record.Run == c.config.Run && c.sent[e.Record.Sequence] != (time.Time{}) {
		c.wrote(now, e.Record.Sequence, e.Version)
		return
	}
	if !c.known || e.Version != c.version {
		c.since = now
	}
	if e.Record.Run != c.config.Run {
		c.leads = false
	}
	c.record, c.version, c.known = e.Record, e.Version, true
}

// wrote handles a write that is known to have taken effect.
func (c *Candidate) wrote(now time.Time, sequence, version uint64) {
	sent := c.sent[sequence]
	clear(c.sent)
	c.record = Record{Term: c.term, Holder: c.config.Name, Run: c.config.Run, Sequence: sequence}
	c.version, c.known, c.since = version, true, now
	c.nextTry = sent.Add(c.config.Lease / renewals)
	if c.resigned {
		c.record.Holder = ""
		c.leads = false
		c.held.Drop()
		return
	}
	c.leads = true
	c.held.Extend(sent, c.config.Lease)
}

func (c *Candidate) fail(now time.Time, e Failed) {
	if e.Write {
		c.writing = false
		c.nextTry = now.Add(retryEvery)
		// The write may have taken effect, so the record is read before the next one.
		c.known = false
		c.nextRead = now
		c.alive = time.Time{}
		return
	}
	c.reading = false
	c.nextRead = now.Add(c.retryAfter())
	c.failures++
}

// retryAfter returns the time from a read that failed to the next one. While the store is away, those who
// do not lead read less and less often; the first of them that reaches it is enough.
func (c *Candidate) retryAfter() time.Duration {
	if c.leads || c.record.Holder == c.config.Name {
		// The last leader can go on at once, while others have to wait for its lease to lapse.
		return retryEvery
	}
	wait := min(longestRetry, retryEvery<<min(c.failures, maxDoublings))
	return wait/2 + time.Duration(c.random.Int64N(int64(wait)))
}

func (c *Candidate) act(now time.Time) []Action {
	if c.leads && !c.held.Valid(now) {
		c.leads = false
		c.known = false
	}
	var actions []Action
	if c.readDue(now) {
		c.reading, c.looked = true, false
		actions = append(actions, Read{})
	}
	if c.known && !c.writing && !now.Before(c.nextTry) && c.mayWrite(now) {
		actions = append(actions, c.write(now))
	}
	return actions
}

func (c *Candidate) readDue(now time.Time) bool {
	if c.reading || c.writing || now.Before(c.nextRead) && !c.looked {
		return false
	}
	if c.leads {
		return !c.known
	}
	return !c.known || c.looked || now.Sub(c.alive) >= aliveFor
}

// mayWrite reports whether the record may be written: by the leader, or where it has lapsed.
func (c *Candidate) mayWrite(now time.Time) bool {
	if c.resigned {
		return c.leads
	}
	if c.leads {
		return true
	}
	if now.Sub(c.alive) < aliveFor {
		return false
	}
	if c.ceded != 0 && c.ceded == c.version {
		return true
	}
	switch c.record.Holder {
	case "":
		// The holder has resigned.
		return now.Sub(c.since) >= c.config.Delay
	case c.config.Name:
		// The holder is an earlier run on this VM, which has ended.
		return true
	}
	return now.Sub(c.since) >= lease.DefaultMargin.AddTo(c.config.Lease)+c.config.Delay
}

func (c *Candidate) write(now time.Time) Action {
	c.sequence++
	if !c.leads {
		c.term = c.record.Term + 1
		c.nextTry = now.Add(time.Duration(c.random.Int64N(int64(maxJitter))))
	}
	c.writing = true
	c.sent[c.sequence] = now
	r := Record{Term: c.term, Holder: c.config.Name, Run: c.config.Run, Sequence: c.sequence}
	if c.resigned {
		r.Holder = ""
	}
	return Write{Record: r, IfVersion: c.version}
}

// RenewNow makes the leader write at its next Step instead of at the next renewal.
func (c *Candidate) RenewNow(now time.Time) {
	if c.leads && c.known {
		c.nextTry = now
	}
}

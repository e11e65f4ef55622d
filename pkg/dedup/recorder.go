package dedup

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

const (
	defaultWindow     = 10 * time.Minute
	defaultGrace      = 3 * time.Second
	defaultEntries    = 8192
	defaultBytes      = 4 << 20
	defaultChunkBytes = 256 << 10
	defaultAskWait    = 200 * time.Millisecond
)

// Config configures a Recorder. Zero values of durations and bounds mean the defaults.
type Config struct {
	// Self and Incarnation identify this process. Incarnation differs after each restart.
	Self        assign.ProcessID
	Incarnation uint64
	// Window is how long an identifier is kept after its last change; 10 min by default. It must be
	// longer than HoldLimit and than the longest run time of a booking.
	Window time.Duration
	// Grace is added to Window after a rise of the horizon, because a process that has not seen
	// the rise may still run bookings until its serving lease lapses. It must be longer than the
	// serving lease with its margin; 3 s by default.
	Grace time.Duration
	// Entries is the maximum number of identifiers of one bucket; 8192 by default.
	Entries int
	// Bytes is the maximum total size of the stored answers of one bucket; 4 MiB by default.
	// Beyond it, answers are stored without headers and body.
	Bytes int
	// ChunkBytes limits the size of an exported chunk; 256 KiB by default. The last entry of a chunk
	// may exceed it.
	ChunkBytes int
	// AskWait is the time after which an unanswered request for a chunk is repeated; 200 ms by
	// default.
	AskWait time.Duration
}

func (c Config) withDefaults() Config {
	if c.Window <= 0 {
		c.Window = defaultWindow
	}
	if c.Grace <= 0 {
		c.Grace = defaultGrace
	}
	if c.Entries <= 0 {
		c.Entries = defaultEntries
	}
	if c.Bytes <= 0 {
		c.Bytes = defaultBytes
	}
	if c.ChunkBytes <= 0 {
		c.ChunkBytes = defaultChunkBytes
	}
	if c.AskWait <= 0 {
		c.AskWait = defaultAskWait
	}
	return c
}

// doubtPeriod is how long unknown identifiers that callers chose are refused after the entries of a
// bucket were lost.
func (c Config) doubtPeriod() time.Duration {
	return lease.DefaultMargin.AddTo(c.Window) + c.Grace
}

// Recorder holds, in the memory of one process, the identifiers of the buckets that list the process.
type Recorder struct {
	config  Config
	version uint64
	// buckets has one element for each bucket of the table, which is nil if this process is not listed.
	buckets []*bucket
	// dropped holds for each bucket the highest generation whose entries this process dropped. The
	// bucket must not start empty again in that generation or an earlier one.
	dropped map[int]uint64
}

// NewRecorder returns a Recorder without buckets.
func NewRecorder(c Config) *Recorder {
	return &Recorder{config: c.withDefaults(), dropped: map[int]uint64{}}
}

// Step handles an event.
func (r *Recorder) Step(now time.Time, e RecorderEvent) []RecorderAction {
	switch e := e.(type) {
	case TableApplied:
		r.apply(now, e)
	case ChunkReceived:
		r.receive(now, e.Chunk)
	case Tick:
		r.expire(now)
	}
	return r.sendAsks(now)
}

// Reserve reserves an identifier for an attempt, or answers why it cannot. A repeat by the same
// attempt gets the same answer.
func (r *Recorder) Reserve(now time.Time, q Reserve) Reserved {
	a := Reserved{Status: Stale, Attempt: q.Attempt, Version: r.version}
	b := r.bucket(q.Bucket)
	if b == nil {
		return a
	}
	a.Generation = b.spec.Generation
	if !b.ready || q.Generation != b.spec.Generation || !q.Key.valid() {
		return a
	}
	b.expire(now)
	a.Status, a.Answer = b.reserve(now, q, r.version)
	return a
}

// Finish records how an attempt ended. It is idempotent.
func (r *Recorder) Finish(now time.Time, q Finish) Ended {
	a := Ended{Status: Stale, Attempt: q.Attempt, Version: r.version}
	b := r.bucket(q.Bucket)
	if b == nil {
		return a
	}
	a.Generation = b.spec.Generation
	if !b.ready || q.Generation != b.spec.Generation || !q.Key.valid() {
		return a
	}
	b.expire(now)
	b.finish(now, q)
	a.Status = Accepted
	return a
}

// Export returns a chunk of a bucket for another recorder that is new in the bucket's generation.
func (r *Recorder) Export(now time.Time, q Ask) Chunk {
	c := Chunk{
		Status:      Stale,
		Bucket:      q.Bucket,
		Generation:  q.Generation,
		From:        r.config.Self,
		Incarnation: r.config.Incarnation,
		After:       q.After,
	}
	b := r.bucket(q.Bucket)
	if b == nil || !b.ready || q.Generation != b.spec.Generation {
		return c
	}
	if _, ok := listed(b.spec, q.From, q.Incarnation); !ok {
		return c
	}
	b.expire(now)
	b.export(now, &c)
	return c
}

// Ready returns the indices of the buckets that this Recorder answers for, in order. The decider
// needs them to determine which recorders keep their entries in a new assignment.
func (r *Recorder) Ready() []int {
	var ready []int
	for i, b := range r.buckets {
		if b != nil && b.ready {
			ready = append(ready, i)
		}
	}
	return ready
}

// Version returns the version of the table last applied.
func (r *Recorder) Version() uint64 { return r.version }

// Len returns the number of identifiers kept in all buckets.
func (r *Recorder) Len() int {
	n := 0
	for _, b := range r.buckets {
		if b != nil {
			n += len(b.entries)
		}
	}
	return n
}

func (r *Recorder) bucket(i int) *bucket {
	if i < 0 || i >= len(r.buckets) {
		return nil
	}
	return r.buckets[i]
}

func (r *Recorder) expire(now time.Time) {
	for _, b := range r.buckets {
		if b != nil {
			b.expire(now)
		}
	}
}

package dedup

import (
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// Config configures a Recorder. Zero values of durations and bounds mean the defaults.
type Config struct {
	// Self and Incarnation name this process. Incarnation differs after each restart.
	Self        assign.ProcessID
	Incarnation uint64
	// Window is how long an identifier is kept after its last change; 10 min by default.
	Window time.Duration
	// Grace is added to Window after a rise of the horizon, because a process that has not seen
	// the rise may still run bookings until its serving lease lapses; 3 s by default.
	Grace time.Duration
	// Entries is the largest number of identifiers of one bucket; 8192 by default.
	Entries int
	// Bytes is the largest total size of the stored answers of one bucket; 4 MiB by default.
	// Beyond it, answers are kept without headers and body.
	Bytes int
	// ChunkBytes bounds the size of an exported chunk; 256 KiB by default.
	ChunkBytes int
	// AskWait is the time after which an unanswered request for a chunk is repeated; 200 ms by
	// default.
	AskWait time.Duration
}

// Recorder is the memory of one process for the buckets that list it.
type Recorder struct {
	config Config
}

// NewRecorder returns a Recorder without buckets.
func NewRecorder(c Config) *Recorder { return &Recorder{config: c} }

// Step handles an event.
func (r *Recorder) Step(now time.Time, e RecorderEvent) []RecorderAction { return nil }

// Reserve reserves an identifier for an attempt, or says why not. A repeat by the same attempt gets
// the same answer.
func (r *Recorder) Reserve(now time.Time, q Reserve) Reserved { return Reserved{Status: Stale} }

// Finish records how an attempt ended. A repeat is harmless.
func (r *Recorder) Finish(now time.Time, q Finish) Ended { return Ended{Status: Stale} }

// Export returns a chunk of a bucket for another recorder that is new in the bucket's generation.
func (r *Recorder) Export(now time.Time, q Ask) Chunk { return Chunk{Status: Stale} }

// Ready returns the indices of the buckets that this Recorder answers for, in order. The decider
// needs them to tell which recorders survive a change.
func (r *Recorder) Ready() []int { return nil }

// Len returns the number of identifiers kept in all buckets.
func (r *Recorder) Len() int { return 0 }

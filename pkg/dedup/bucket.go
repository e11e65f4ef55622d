package dedup

import (
	"container/heap"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// entry is one identifier held by a recorder.
type entry struct {
	key     Key
	attempt Attempt
	// status is InProgress, Finished or Unresolved.
	status  Status
	answer  Answer
	expires time.Time
	// index is the position in expiryHeap.
	index int
}

// bucket holds the identifiers of one bucket.
type bucket struct {
	config Config
	spec   assign.Bucket
	// ready reports that the entries are complete since the horizon.
	ready   bool
	entries map[Key]*entry
	expiry  expiryHeap
	// bytes is the total size of the stored answers.
	bytes int
	// floor is the highest table version at which a deleted identifier was issued.
	floor uint64
	// doubtUntil is the time until which unknown identifiers that callers chose are refused as Doubtful.
	doubtUntil time.Time
	released   releasedAttempts
	copying    copyState
}

func newBucket(c Config, spec assign.Bucket) *bucket {
	return &bucket{
		config:   c,
		spec:     spec,
		entries:  map[Key]*entry{},
		released: releasedAttempts{limit: c.Entries, expiries: map[Attempt]time.Time{}},
	}
}

// reserve implements Recorder.Reserve for a bucket that is ready and has the generation of q.
func (b *bucket) reserve(now time.Time, q Reserve, version uint64) (Status, Answer) {
	if e, ok := b.entries[q.Key]; ok {
		if e.status == InProgress && e.attempt == q.Attempt {
			return New, Answer{}
		}
		return e.status, e.answer
	}
	if b.released.has(q.Attempt) {
		return Stale, Answer{}
	}
	if s := b.checkUnused(now, q.Key, version); s != New {
		return s, Answer{}
	}
	if len(b.entries) >= b.config.Entries {
		return Full, Answer{}
	}
	b.add(&entry{
		key:     q.Key,
		attempt: q.Attempt,
		status:  InProgress,
		expires: now.Add(b.config.Window),
	})
	return New, Answer{}
}

// checkUnused returns New if an identifier without an entry cannot have been used before, and
// Doubtful if it can. It returns Stale for an identifier issued at a later table version than this
// recorder's: the horizon may have risen with that version, and the recorders since then would
// not know of a reservation made here.
func (b *bucket) checkUnused(now time.Time, k Key, version uint64) Status {
	issued, ok := Parse(k.Identifier)
	switch {
	case ok && issued.Version > version:
		return Stale
	case ok && (issued.Version < b.spec.Horizon || issued.Version <= b.floor):
		return Doubtful
	case !ok && now.Before(b.doubtUntil):
		return Doubtful
	}
	return New
}

// finish implements Recorder.Finish for a bucket that is ready and has the generation of q.
func (b *bucket) finish(now time.Time, q Finish) {
	e, ok := b.entries[q.Key]
	switch {
	case q.Outcome == NotRun:
		b.released.add(now, q.Attempt)
		if ok && e.attempt == q.Attempt && e.status != Finished {
			b.remove(e)
		}
	case !ok:
		b.addOutcome(now, q)
	case e.attempt == q.Attempt && e.status != Finished:
		b.setOutcome(now, e, q)
	}
}

// addOutcome stores the outcome of an attempt whose reservation has expired, if there is room.
func (b *bucket) addOutcome(now time.Time, q Finish) {
	if len(b.entries) >= b.config.Entries {
		return
	}
	e := &entry{key: q.Key, attempt: q.Attempt, status: InProgress}
	b.add(e)
	b.setOutcome(now, e, q)
}

func (b *bucket) setOutcome(now time.Time, e *entry, q Finish) {
	e.status = Unresolved
	if q.Outcome == Ran {
		e.status = Finished
		e.answer = b.limitAnswer(q.Answer)
		b.bytes += e.answer.size()
	}
	e.expires = now.Add(b.config.Window)
	heap.Fix(&b.expiry, e.index)
}

// limitAnswer returns the part of an answer that fits the size limits.
func (b *bucket) limitAnswer(a Answer) Answer {
	a = a.trimmed()
	if b.bytes+a.size() > b.config.Bytes {
		return Answer{Status: a.Status, Omitted: true}
	}
	return a
}

func (b *bucket) add(e *entry) {
	b.entries[e.key] = e
	b.bytes += e.answer.size()
	heap.Push(&b.expiry, e)
}

func (b *bucket) remove(e *entry) {
	delete(b.entries, e.key)
	b.bytes -= e.answer.size()
	heap.Remove(&b.expiry, e.index)
}

// expire deletes the entries whose window has passed. Identifiers issued by this system are still
// refused afterwards, because floor rises to their table version.
func (b *bucket) expire(now time.Time) {
	b.released.expire(now)
	for len(b.expiry) > 0 && !now.Before(b.expiry[0].expires) {
		e := b.expiry[0]
		b.remove(e)
		if issued, ok := Parse(e.key.Identifier); ok {
			b.floor = max(b.floor, issued.Version)
		}
	}
}

// expiryHeap orders entries by expiry. It implements heap.Interface.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

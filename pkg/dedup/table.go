package dedup

import (
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// apply takes over the buckets of a table.
func (r *Recorder) apply(now time.Time, t TableApplied) {
	if t.Version <= r.version {
		return
	}
	r.version = t.Version
	for i := len(t.Buckets); i < len(r.buckets); i++ {
		r.drop(i)
	}
	buckets := make([]*bucket, len(t.Buckets))
	copy(buckets, r.buckets)
	r.buckets = buckets
	for i, spec := range t.Buckets {
		r.applyBucket(now, i, spec)
	}
}

func (r *Recorder) applyBucket(now time.Time, i int, spec assign.Bucket) {
	at, ok := listed(spec, r.config.Self, r.config.Incarnation)
	if !ok {
		r.drop(i)
		return
	}
	old := r.buckets[i]
	if old != nil && old.spec.Generation == spec.Generation && sameBucket(old.spec, spec) {
		return
	}
	joined := spec.Joined[at]
	if old != nil && old.follows(spec, joined) {
		old.change(now, spec)
		return
	}
	r.drop(i)
	if spec.Generation <= r.lost[i] {
		// A decider gave this generation twice. What was answered in it cannot be known.
		return
	}
	b := newBucket(r.config, spec)
	r.buckets[i] = b
	if joined == spec.Start && joined > r.lost[i] {
		b.startEmpty(now)
	}
}

// follows reports whether the memory of b is complete in the generation of spec: the recorder
// held the bucket when it joined or later, and was listed since then.
func (b *bucket) follows(spec assign.Bucket, joined uint64) bool {
	return b.ready && spec.Generation > b.spec.Generation && joined <= b.spec.Generation
}

// change keeps the memory in a later generation.
func (b *bucket) change(now time.Time, spec assign.Bucket) {
	if spec.Horizon > b.spec.Horizon {
		b.doubtUntil = now.Add(b.config.doubt())
	}
	b.spec = spec
}

// startEmpty begins a memory that goes back to the horizon only. A horizon of 0 means that the
// bucket is new, so that nothing was forgotten.
func (b *bucket) startEmpty(now time.Time) {
	b.ready = true
	if b.spec.Horizon > 0 {
		b.doubtUntil = now.Add(b.config.doubt())
	}
}

// drop forgets a bucket.
func (r *Recorder) drop(i int) {
	b := r.buckets[i]
	if b == nil {
		return
	}
	r.lost[i] = max(r.lost[i], b.spec.Generation)
	r.buckets[i] = nil
}

func sameBucket(a, b assign.Bucket) bool {
	return a.Horizon == b.Horizon && a.Start == b.Start &&
		slices.Equal(a.Recorders, b.Recorders) &&
		slices.Equal(a.Incarnations, b.Incarnations) &&
		slices.Equal(a.Joined, b.Joined)
}

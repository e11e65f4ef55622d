package dedup

import (
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// apply updates the buckets to a table, unless a table of this version or a later one was applied.
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
	index, ok := listed(spec, r.config.Self, r.config.Incarnation)
	if !ok {
		r.drop(i)
		return
	}
	old := r.buckets[i]
	if old != nil && old.spec.Generation == spec.Generation && sameBucket(old.spec, spec) {
		return
	}
	joined := spec.Joined[index]
	if old != nil && old.canContinue(spec, joined) {
		old.setSpec(now, spec)
		return
	}
	r.drop(i)
	if spec.Generation <= r.dropped[i] {
		// This generation was assigned twice. The answers that were given in it before are unknown.
		return
	}
	b := newBucket(r.config, spec)
	r.buckets[i] = b
	if joined == spec.Start && joined > r.dropped[i] {
		b.startEmpty(now)
	}
}

// canContinue reports whether the entries of b are complete in the generation of spec as well: the
// recorder held the whole bucket when it joined or later, and has been listed since then.
func (b *bucket) canContinue(spec assign.Bucket, joined uint64) bool {
	return b.ready && spec.Generation > b.spec.Generation && joined <= b.spec.Generation
}

// setSpec changes to the assignment of a later generation and keeps the entries.
func (b *bucket) setSpec(now time.Time, spec assign.Bucket) {
	if spec.Horizon > b.spec.Horizon {
		b.doubtUntil = now.Add(b.config.doubtPeriod())
	}
	b.spec = spec
}

// startEmpty makes an empty bucket ready. It has no entries from before the horizon. A horizon of 0
// means that the bucket is new, so that no entries are missing.
func (b *bucket) startEmpty(now time.Time) {
	b.ready = true
	if b.spec.Horizon > 0 {
		b.doubtUntil = now.Add(b.config.doubtPeriod())
	}
}

// drop deletes a bucket and stores its generation.
func (r *Recorder) drop(i int) {
	b := r.buckets[i]
	if b == nil {
		return
	}
	r.dropped[i] = max(r.dropped[i], b.spec.Generation)
	r.buckets[i] = nil
}

func sameBucket(a, b assign.Bucket) bool {
	return a.Horizon == b.Horizon && a.Start == b.Start &&
		slices.Equal(a.Recorders, b.Recorders) &&
		slices.Equal(a.Incarnations, b.Incarnations) &&
		slices.Equal(a.Joined, b.Joined)
}

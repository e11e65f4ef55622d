package dedup

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// entryOverhead is the approximate size in bytes of an exported entry without its strings.
const entryOverhead = 64

// copyState is the progress of a copy from another recorder. One copy uses a single source, because
// the entries that a source freed or expired are consistent with its own chunks only.
type copyState struct {
	// source is the position of the source in the bucket's recorders.
	source   int
	after    Key
	askedAt  time.Time
	asked    bool
	timeouts int
}

// maxChunkTimeouts is the number of unanswered requests after which another source is tried.
const maxChunkTimeouts = 3

// export fills a chunk with the entries after c.After.
func (b *bucket) export(now time.Time, c *Chunk) {
	c.Status = Accepted
	c.Floor = b.floor
	c.Doubt = max(0, b.doubtUntil.Sub(now))
	size := 0
	rest := b.entriesAfter(c.After)
	for len(rest) > 0 && (size < b.config.ChunkBytes || len(c.Entries) == 0) {
		e := rest[0]
		rest = rest[1:]
		size += entryOverhead + e.key.size() + e.answer.size()
		c.Entries = append(c.Entries, Entry{
			Key:     e.key,
			Attempt: e.attempt,
			Status:  e.status,
			Answer:  e.answer,
			Left:    e.expires.Sub(now),
		})
	}
	c.Last = len(rest) == 0
}

// entriesAfter returns the entries with keys greater than k, sorted by key.
func (b *bucket) entriesAfter(k Key) []*entry {
	var rest []*entry
	for _, e := range b.entries {
		if compareKeys(e.key, k) > 0 {
			rest = append(rest, e)
		}
	}
	slices.SortFunc(rest, func(a, b *entry) int { return compareKeys(a.key, b.key) })
	return rest
}

// sendAsks returns the requests for chunks that are due, at most one for each bucket.
func (r *Recorder) sendAsks(now time.Time) []RecorderAction {
	var actions []RecorderAction
	for i, b := range r.buckets {
		if b == nil || b.ready {
			continue
		}
		if a, ok := b.nextAsk(now); ok {
			a.Ask.Bucket = i
			actions = append(actions, a)
		}
	}
	return actions
}

func (b *bucket) nextAsk(now time.Time) (SendAsk, bool) {
	c := &b.copying
	if c.asked && now.Before(c.askedAt.Add(b.config.AskWait)) {
		return SendAsk{}, false
	}
	if c.asked {
		c.timeouts++
	}
	if c.timeouts >= maxChunkTimeouts {
		b.nextSource()
	}
	to, ok := b.source()
	if !ok {
		return SendAsk{}, false
	}
	c.asked = true
	c.askedAt = now
	return SendAsk{To: to, Ask: Ask{
		Generation:  b.spec.Generation,
		From:        b.config.Self,
		Incarnation: b.config.Incarnation,
		After:       c.after,
	}}, true
}

// source returns the recorder to copy from, which is never this one.
func (b *bucket) source() (assign.ProcessID, bool) {
	if len(b.spec.Recorders) < 2 {
		return "", false
	}
	b.copying.source %= len(b.spec.Recorders)
	if b.spec.Recorders[b.copying.source] == b.config.Self {
		b.copying.source = (b.copying.source + 1) % len(b.spec.Recorders)
	}
	return b.spec.Recorders[b.copying.source], true
}

// nextSource starts the copy again from another recorder.
func (b *bucket) nextSource() {
	next := b.copying.source + 1
	*b = *newBucket(b.config, b.spec)
	b.copying.source = next
}

// receive stores the entries of a chunk and continues the copy.
func (r *Recorder) receive(now time.Time, c Chunk) {
	b := r.bucket(c.Bucket)
	if b == nil || b.ready || !b.expects(c) {
		return
	}
	if c.Status != Accepted {
		// The source has not applied this table yet, or is still copying the bucket itself. Ask again
		// after AskWait.
		return
	}
	for _, e := range c.Entries {
		b.importEntry(now, e)
	}
	b.floor = max(b.floor, c.Floor)
	if until := now.Add(c.Doubt); until.After(b.doubtUntil) {
		b.doubtUntil = until
	}
	b.ready = c.Last
	b.copying.asked = false
	b.copying.timeouts = 0
	if len(c.Entries) > 0 {
		b.copying.after = c.Entries[len(c.Entries)-1].Key
	}
}

// expects reports whether c is the chunk that the copy needs next.
func (b *bucket) expects(c Chunk) bool {
	index, ok := listed(b.spec, c.From, c.Incarnation)
	return ok && index == b.copying.source && c.Generation == b.spec.Generation && c.After == b.copying.after
}

func (b *bucket) importEntry(now time.Time, e Entry) {
	if _, ok := b.entries[e.Key]; ok {
		return
	}
	b.add(&entry{
		key:     e.Key,
		attempt: e.Attempt,
		status:  e.Status,
		answer:  e.Answer,
		expires: now.Add(e.Left),
	})
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Identifier, b.Identifier))
}

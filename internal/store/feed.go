package store

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	defaultListEvery = 5 * time.Second
	defaultMaxWait   = 2 * time.Second
	defaultBackoff   = 200 * time.Millisecond
)

// FeedOptions are the settings of a Feed. Zero values take the defaults.
type FeedOptions struct {
	// ListEvery is the longest time between two full lists, 5 s by default.
	ListEvery time.Duration
	// MaxWait bounds the wait of one watch, 2 s by default. A watch that stalls silently delays
	// nothing by more than ListEvery.
	MaxWait time.Duration
	// Timeout bounds each list, 500 ms by default.
	Timeout time.Duration
	// Backoff is the pause after an error, 200 ms by default.
	Backoff time.Duration
}

// Update is one step of a Feed.
type Update struct {
	// Changes are ordered by version. An object's versions rise from one update to the next.
	Changes []Change
	// Full reports that all changes up to Revision have been delivered: it is set after each full
	// list, also where the list brought no change.
	Full bool
	// Revision is the store's revision of the list for a full update.
	Revision uint64
}

// Feed follows the objects under a prefix. It delivers the newest version of each, once, in
// rising order of versions for each object. A watch that breaks, stalls, repeats, skips or is too
// old delays a change until the next full list, but never loses it. Versions of one object that
// follow each other quickly may be merged to the newest.
type Feed struct {
	api     API
	prefix  string
	options FeedOptions
	updates chan Update
	cancel  context.CancelFunc
	group   conc.WaitGroup

	// versions holds the newest known version of each live object, and of objects deleted after
	// the floor.
	versions map[string]known
	// floor is the highest revision of a full list. Everything up to it has been delivered.
	floor uint64
	// after is the revision from which the next watch goes on.
	after    uint64
	nextList time.Time
}

type known struct {
	version uint64
	deleted bool
}

// NewFeed returns a Feed of the objects under prefix. It does nothing before Start.
func NewFeed(api API, prefix string, o FeedOptions) *Feed {
	setDuration(&o.ListEvery, defaultListEvery)
	setDuration(&o.MaxWait, defaultMaxWait)
	setDuration(&o.Timeout, defaultTimeout)
	setDuration(&o.Backoff, defaultBackoff)
	return &Feed{
		api:      api,
		prefix:   prefix,
		options:  o,
		updates:  make(chan Update),
		versions: map[string]known{},
	}
}

func setDuration(value *time.Duration, standard time.Duration) {
	if *value <= 0 {
		*value = standard
	}
}

// Start begins to follow the store until ctx ends or Stop is called. It is called once.
func (f *Feed) Start(ctx context.Context) {
	ctx, f.cancel = context.WithCancel(ctx)
	f.group.Go(func() { f.run(ctx) })
}

// Stop ends the feed and waits for its goroutine. It does nothing before Start.
func (f *Feed) Stop() {
	if f.cancel == nil {
		return
	}
	f.cancel()
	f.group.Wait()
}

// Updates returns the stream, which is closed when the feed ends. The feed waits for a slow
// reader; it does not queue.
func (f *Feed) Updates() <-chan Update {
	return f.updates
}

func (f *Feed) run(ctx context.Context) {
	defer close(f.updates)
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			pause(ctx, f.options.Backoff)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// step makes one call. The watch ends before the next list is due, so that a watch that stalls
// does not delay the list.
func (f *Feed) step(ctx context.Context) error {
	wait := min(f.options.MaxWait, time.Until(f.nextList))
	if wait <= 0 {
		return f.list(ctx)
	}
	return f.watch(ctx, wait)
}

func (f *Feed) list(ctx context.Context) error {
	started := time.Now()
	limited, cancel := context.WithTimeout(ctx, f.options.Timeout)
	defer cancel()
	objects, revision, err := f.api.List(limited, f.prefix)
	if err != nil {
		return err
	}
	f.nextList = started.Add(f.options.ListEvery)
	if revision < f.floor {
		// An answer older than an earlier list brings nothing new.
		return nil
	}
	changes := f.difference(objects, revision)
	f.floor = revision
	f.after = max(f.after, revision)
	f.forget()
	return f.deliver(ctx, Update{Changes: changes, Full: true, Revision: revision})
}

func (f *Feed) watch(ctx context.Context, wait time.Duration) error {
	started := time.Now()
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	changes, revision, err := f.api.Watch(limited, f.prefix, f.after)
	if KindOf(err) == TooOld {
		f.nextList = time.Time{}
	}
	if err != nil {
		return err
	}
	f.after = max(f.after, revision)
	fresh := f.fresh(changes, f.floor)
	if len(fresh) == 0 {
		return restless(started, wait)
	}
	return f.deliver(ctx, Update{Changes: fresh})
}

var errRestless = errors.New("a watch without news ended before its time")

// restless returns an error for a watch that brought nothing new and did not wait, so that a
// watch that only repeats is not called in a busy loop.
func restless(started time.Time, wait time.Duration) error {
	if time.Since(started) < wait/2 {
		return errRestless
	}
	return nil
}

func (f *Feed) deliver(ctx context.Context, u Update) error {
	select {
	case f.updates <- u:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// difference returns what a full list changes. An object that is missing was deleted at or before
// the list's revision.
func (f *Feed) difference(objects []Object, revision uint64) []Change {
	changes := make([]Change, 0, len(objects))
	listed := make(map[string]struct{}, len(objects))
	for _, o := range objects {
		listed[o.Name] = struct{}{}
		changes = append(changes, Change{Object: o})
	}
	for name, k := range f.versions {
		if _, ok := listed[name]; !ok && !k.deleted {
			changes = append(changes, Change{Object: Object{Name: name, Version: revision}, Deleted: true})
		}
	}
	return f.fresh(changes, 0)
}

// fresh keeps the newest change of each object that is newer than what is known, and records it.
// Changes of unknown objects up to floor are old.
func (f *Feed) fresh(changes []Change, floor uint64) []Change {
	changes = slices.Clone(changes)
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	newest := map[string]uint64{}
	for _, h := range changes {
		newest[h.Name] = h.Version
	}
	return slices.DeleteFunc(changes, func(h Change) bool {
		return h.Version < newest[h.Name] || !f.learn(h, floor)
	})
}

// learn records a change and reports whether it is newer than what is known of its object.
func (f *Feed) learn(h Change, floor uint64) bool {
	k, ok := f.versions[h.Name]
	if h.Version <= k.version {
		return false
	}
	if !ok && h.Version <= floor {
		// The last full list did not hold the object, so it was deleted after this change.
		return false
	}
	f.versions[h.Name] = known{version: h.Version, deleted: h.Deleted}
	return true
}

// forget drops deleted objects that the floor covers.
func (f *Feed) forget() {
	for name, k := range f.versions {
		if k.deleted && k.version <= f.floor {
			delete(f.versions, name)
		}
	}
}

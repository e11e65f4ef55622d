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
	defaultListInterval = 5 * time.Second
	defaultMaxWait      = 2 * time.Second
	defaultBackoff      = 200 * time.Millisecond
)

// FeedOptions configures a Feed. A field that is zero takes its default.
type FeedOptions struct {
	// ListInterval is the maximum time between two full lists, 5 s by default.
	ListInterval time.Duration
	// MaxWait is the maximum duration of one watch, 2 s by default. A watch that hangs delays no
	// change by more than ListInterval.
	MaxWait time.Duration
	// Timeout is the timeout of each list, 500 ms by default.
	Timeout time.Duration
	// Backoff is the delay after an error, 200 ms by default.
	Backoff time.Duration
}

// Update is a batch of changes that a Feed delivers.
type Update struct {
	// Changes are ordered by version. The version of an object increases from one update to the next.
	Changes []Change
	// Full reports that all changes up to Revision have been delivered. It is set after each full
	// list, even if the list contained no change.
	Full bool
	// Revision is the store's revision at which the list was taken. It is set in full updates only.
	Revision uint64
}

// Feed follows the objects under a prefix and delivers each new version of an object once, in
// increasing order of versions per object. A watch that fails, hangs, repeats or skips changes, or
// starts from a revision that is too old, delays a change until the next full list, but never loses
// it. If an object changes several times in a short time, only its newest version may be delivered.
type Feed struct {
	api     API
	prefix  string
	options FeedOptions
	updates chan Update
	cancel  context.CancelFunc
	group   conc.WaitGroup

	// versions holds the newest known version of each existing object, and of each object deleted
	// after listRevision.
	versions map[string]knownVersion
	// listRevision is the highest revision of a full list. All changes up to it have been delivered.
	listRevision uint64
	// after is the revision after which the next watch returns changes.
	after    uint64
	nextList time.Time
}

type knownVersion struct {
	version uint64
	deleted bool
}

// NewFeed returns a Feed of the objects under prefix. The feed makes no call before Start.
func NewFeed(api API, prefix string, o FeedOptions) *Feed {
	setDefaultDuration(&o.ListInterval, defaultListInterval)
	setDefaultDuration(&o.MaxWait, defaultMaxWait)
	setDefaultDuration(&o.Timeout, defaultTimeout)
	setDefaultDuration(&o.Backoff, defaultBackoff)
	return &Feed{
		api:      api,
		prefix:   prefix,
		options:  o,
		updates:  make(chan Update),
		versions: map[string]knownVersion{},
	}
}

func setDefaultDuration(value *time.Duration, defaultValue time.Duration) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// Start follows the store in a goroutine until ctx ends or Stop is called. Start must be called only once.
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

// Updates returns the channel of updates, which is closed when the feed ends. The channel is
// unbuffered: the feed makes no further call until the reader has received an update.
func (f *Feed) Updates() <-chan Update {
	return f.updates
}

func (f *Feed) run(ctx context.Context) {
	defer close(f.updates)
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			sleep(ctx, f.options.Backoff)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// step makes one call: a list if one is due, a watch otherwise. The watch times out when the next
// list is due, so that a watch that hangs does not delay the list.
func (f *Feed) step(ctx context.Context) error {
	wait := min(f.options.MaxWait, time.Until(f.nextList))
	if wait <= 0 {
		return f.list(ctx)
	}
	return f.watch(ctx, wait)
}

func (f *Feed) list(ctx context.Context) error {
	started := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, f.options.Timeout)
	defer cancel()
	objects, revision, err := f.api.List(callCtx, f.prefix)
	if err != nil {
		return err
	}
	f.nextList = started.Add(f.options.ListInterval)
	if revision < f.listRevision {
		// The response is older than an earlier list, so it contains nothing new.
		return nil
	}
	changes := f.diff(objects, revision)
	f.listRevision = revision
	f.after = max(f.after, revision)
	f.dropDeleted()
	return f.deliver(ctx, Update{Changes: changes, Full: true, Revision: revision})
}

func (f *Feed) watch(ctx context.Context, wait time.Duration) error {
	started := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	changes, revision, err := f.api.Watch(callCtx, f.prefix, f.after)
	if KindOf(err) == TooOld {
		f.nextList = time.Time{}
	}
	if err != nil {
		return err
	}
	f.after = max(f.after, revision)
	newChanges := f.filterNew(changes, f.listRevision)
	if len(newChanges) == 0 {
		return checkEarlyReturn(started, wait)
	}
	return f.deliver(ctx, Update{Changes: newChanges})
}

var errEarlyReturn = errors.New("watch returned early without new changes")

// checkEarlyReturn returns an error if a watch without new changes returned before half of its wait.
// The error makes the feed back off, so that it does not call such a watch in a busy loop.
func checkEarlyReturn(started time.Time, wait time.Duration) error {
	if time.Since(started) < wait/2 {
		return errEarlyReturn
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

// diff returns the changes between the known versions and a full list. A known object that the
// list does not contain was deleted at or before the list's revision.
func (f *Feed) diff(objects []Object, revision uint64) []Change {
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
	return f.filterNew(changes, 0)
}

// filterNew returns, ordered by version, the newest change of each object if it is newer than the
// known version, and records it. It drops changes up to listRevision to objects that are not known.
func (f *Feed) filterNew(changes []Change, listRevision uint64) []Change {
	changes = slices.Clone(changes)
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	newest := map[string]uint64{}
	for _, c := range changes {
		newest[c.Name] = c.Version
	}
	return slices.DeleteFunc(changes, func(c Change) bool {
		return c.Version < newest[c.Name] || !f.recordVersion(c, listRevision)
	})
}

// recordVersion reports whether a change is new to the feed and, if it is, records its version.
func (f *Feed) recordVersion(c Change, listRevision uint64) bool {
	k, ok := f.versions[c.Name]
	if c.Version <= k.version {
		return false
	}
	if !ok && c.Version <= listRevision {
		// The last full list did not contain the object, so the object was deleted after this change.
		return false
	}
	f.versions[c.Name] = knownVersion{version: c.Version, deleted: c.Deleted}
	return true
}

// dropDeleted removes the entries of objects that were deleted at or before listRevision.
func (f *Feed) dropDeleted() {
	for name, k := range f.versions {
		if k.deleted && k.version <= f.listRevision {
			delete(f.versions, name)
		}
	}
}

package store_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/internal/store"
)

// faulty wraps an API and replaces its watch. It passes all other calls on.
type faulty struct {
	store.API
	watch func(ctx context.Context, api store.API, prefix string, after uint64) ([]store.Change, uint64, error)
	list  func(ctx context.Context, api store.API, prefix string) ([]store.Object, uint64, error)
}

func (f *faulty) Watch(ctx context.Context, prefix string, after uint64) ([]store.Change, uint64, error) {
	if f.watch == nil {
		return f.API.Watch(ctx, prefix, after)
	}
	return f.watch(ctx, f.API, prefix, after)
}

func (f *faulty) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	if f.list == nil {
		return f.API.List(ctx, prefix)
	}
	return f.list(ctx, f.API, prefix)
}

// view is what a reader of a feed knows. It fails the test where the stream goes back.
type view struct {
	mu       sync.Mutex
	versions map[string]uint64
	live     map[string]string
	full     int
	faults   []string
}

func (v *view) run(updates <-chan store.Update) {
	for u := range updates {
		v.apply(u)
	}
}

func (v *view) apply(u store.Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if u.Full {
		v.full++
	}
	last := uint64(0)
	names := map[string]bool{}
	for _, c := range u.Changes {
		if names[c.Name] {
			v.faults = append(v.faults, c.Name+" is twice in an update")
		}
		names[c.Name] = true
		if c.Version <= v.versions[c.Name] || c.Version < last {
			v.faults = append(v.faults, fmt.Sprint(c.Name, " went back to ", c.Version))
		}
		last = c.Version
		v.versions[c.Name] = c.Version
		if c.Deleted {
			delete(v.live, c.Name)
		} else {
			v.live[c.Name] = string(c.Value)
		}
	}
}

func (v *view) state() map[string]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := map[string]string{}
	for name, value := range v.live {
		state[name] = value
	}
	return state
}

func (v *view) check() {
	GinkgoHelper()
	v.mu.Lock()
	defer v.mu.Unlock()
	Expect(v.faults).To(BeEmpty())
	Expect(v.full).To(BeNumerically(">", 0))
}

// follow starts a feed over api with short times.
func follow(api store.API) *view {
	feed := store.NewFeed(api, "config/", store.FeedOptions{
		ListEvery: 100 * time.Millisecond, MaxWait: 60 * time.Millisecond, Backoff: 10 * time.Millisecond,
	})
	feed.Start(context.Background())
	v := &view{versions: map[string]uint64{}, live: map[string]string{}}
	var group conc.WaitGroup
	group.Go(func() { v.run(feed.Updates()) })
	DeferCleanup(func() {
		feed.Stop()
		group.Wait()
	})
	return v
}

// edit makes random writes and deletions and returns what is stored in the end.
func edit(client *store.Client, steps int) map[string]string {
	ctx := within(20 * time.Second)
	versions, want := map[string]uint64{}, map[string]string{}
	for i := range steps {
		name := fmt.Sprint("config/", rand.IntN(5))
		if versions[name] > 0 && rand.IntN(3) == 0 {
			Expect(client.Delete(ctx, name, versions[name])).To(Succeed())
			delete(versions, name)
			delete(want, name)
			continue
		}
		version, err := client.Put(ctx, name, []byte(fmt.Sprint(i)), versions[name])
		Expect(err).NotTo(HaveOccurred())
		versions[name], want[name] = version, fmt.Sprint(i)
		time.Sleep(time.Duration(rand.IntN(5)) * time.Millisecond)
	}
	return want
}

var fast = store.Options{WritesPerSecond: 1000, ReadsPerSecond: 1000}

var _ = DescribeTable("the feed loses no change and never goes back where the watch",
	func(f *faulty, o stand.PlatformOptions) {
		_, client := pair(o, fast)
		f.API = client
		v := follow(f)
		want := edit(client, 200)
		Eventually(v.state, "5s").Should(Equal(want))
		v.check()
	},
	Entry("works", &faulty{}, stand.PlatformOptions{}),
	Entry("is too old", &faulty{}, stand.PlatformOptions{KeepChanges: 1}),
	Entry("breaks", &faulty{watch: func(context.Context, store.API, string, uint64) ([]store.Change, uint64, error) {
		return nil, 0, errors.New("broken")
	}}, stand.PlatformOptions{}),
	Entry("stalls silently", &faulty{watch: func(ctx context.Context, _ store.API, _ string, _ uint64) ([]store.Change, uint64, error) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}}, stand.PlatformOptions{}),
	Entry("repeats old changes in the wrong order", &faulty{watch: repeating}, stand.PlatformOptions{}),
	Entry("skips changes but moves on", &faulty{watch: skipping}, stand.PlatformOptions{}),
	Entry("works but old lists are answered late", &faulty{list: lagging()}, stand.PlatformOptions{}),
)

func repeating(ctx context.Context, api store.API, prefix string, after uint64) ([]store.Change, uint64, error) {
	back := uint64(rand.IntN(20))
	changes, revision, err := api.Watch(ctx, prefix, after-min(after, back))
	rand.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
	return changes, revision - min(revision, back), err
}

func skipping(ctx context.Context, api store.API, prefix string, after uint64) ([]store.Change, uint64, error) {
	changes, revision, err := api.Watch(ctx, prefix, after)
	kept := changes[:0]
	for _, c := range changes {
		if rand.IntN(2) == 0 {
			kept = append(kept, c)
		}
	}
	return kept, revision, err
}

// lagging answers every third list with the list before the last.
func lagging() func(context.Context, store.API, string) ([]store.Object, uint64, error) {
	type answer struct {
		objects  []store.Object
		revision uint64
	}
	var before, last answer
	calls := 0
	return func(ctx context.Context, api store.API, prefix string) ([]store.Object, uint64, error) {
		calls++
		if calls%3 == 0 {
			return before.objects, before.revision, nil
		}
		objects, revision, err := api.List(ctx, prefix)
		before, last = last, answer{objects, revision}
		return objects, revision, err
	}
}

var _ = Describe("the feed", func() {
	// Guards against a platform whose watches hang past their wait, seen through the real client.
	It("goes on by lists while the platform stalls watches", func() {
		platform, client := pair(stand.PlatformOptions{}, fast)
		platform.SetFault(stand.PlatformFault{StallWatches: true})
		v := follow(client)
		want := edit(client, 50)
		Eventually(v.state, "5s").Should(Equal(want))
		v.check()
		platform.SetFault(stand.PlatformFault{})
	})

	// Guards against changes that are lost during an outage.
	It("catches up after an outage", func() {
		platform, client := pair(stand.PlatformOptions{}, fast)
		v := follow(client)
		edit(client, 20)
		platform.SetFault(stand.PlatformFault{Down: true})
		time.Sleep(400 * time.Millisecond)
		platform.SetFault(stand.PlatformFault{})
		_, err := client.Put(within(time.Second), "config/new", []byte("x"), 0)
		Expect(err).NotTo(HaveOccurred())
		Eventually(v.state, "5s").Should(HaveKeyWithValue("config/new", "x"))
		v.check()
	})

	// Guards against an object that comes back from a list that was answered late.
	It("does not bring a deleted object back from an older list", func() {
		old := []store.Object{{Name: "config/a", Version: 1}}
		lists := []struct {
			objects  []store.Object
			revision uint64
		}{{old, 1}, {nil, 2}, {old, 1}, {nil, 3}}
		calls := 0
		f := &faulty{
			list: func(context.Context, store.API, string) ([]store.Object, uint64, error) {
				l := lists[min(calls, len(lists)-1)]
				calls++
				return l.objects, l.revision, nil
			},
			watch: func(ctx context.Context, _ store.API, _ string, _ uint64) ([]store.Change, uint64, error) {
				<-ctx.Done()
				return nil, 0, nil
			},
		}
		feed := store.NewFeed(f, "config/", store.FeedOptions{ListEvery: 20 * time.Millisecond})
		feed.Start(within(5 * time.Second))
		var seen []store.Change
		for u := range feed.Updates() {
			seen = append(seen, u.Changes...)
			if u.Revision == 3 {
				break
			}
		}
		feed.Stop()
		Expect(seen).To(Equal([]store.Change{
			{Object: store.Object{Name: "config/a", Version: 1}},
			{Object: store.Object{Name: "config/a", Version: 2}, Deleted: true},
		}))
	})

	// Guards against a busy loop that uses up the platform's rate.
	It("does not call a watch in a busy loop that returns at once without news", func() {
		_, client := pair(stand.PlatformOptions{}, fast)
		_, err := client.Put(within(time.Second), "config/a", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		calls := 0
		f := &faulty{API: client, watch: func(context.Context, store.API, string, uint64) ([]store.Change, uint64, error) {
			calls++
			return []store.Change{{Object: store.Object{Name: "config/a", Version: 1}}}, 1, nil
		}}
		feed := store.NewFeed(f, "config/", store.FeedOptions{Backoff: 50 * time.Millisecond})
		feed.Start(within(500 * time.Millisecond))
		for range feed.Updates() {
		}
		feed.Stop()
		Expect(calls).To(BeNumerically("<=", 11))
		Expect(calls).To(BeNumerically(">", 0))
	})
})

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

// faultyAPI wraps an API and replaces its watch, its list or both. It forwards all other calls.
type faultyAPI struct {
	store.API
	watch func(ctx context.Context, api store.API, prefix string, after uint64) ([]store.Change, uint64, error)
	list  func(ctx context.Context, api store.API, prefix string) ([]store.Object, uint64, error)
}

func (f *faultyAPI) Watch(ctx context.Context, prefix string, after uint64) ([]store.Change, uint64, error) {
	if f.watch == nil {
		return f.API.Watch(ctx, prefix, after)
	}
	return f.watch(ctx, f.API, prefix, after)
}

func (f *faultyAPI) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	if f.list == nil {
		return f.API.List(ctx, prefix)
	}
	return f.list(ctx, f.API, prefix)
}

// feedReader applies the updates of a feed and records violations of their order: a version that does
// not increase, or an object that is twice in one update.
type feedReader struct {
	mu          sync.Mutex
	versions    map[string]uint64
	live        map[string]string
	fullUpdates int
	violations  []string
}

func (r *feedReader) run(updates <-chan store.Update) {
	for u := range updates {
		r.apply(u)
	}
}

func (r *feedReader) apply(u store.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.Full {
		r.fullUpdates++
	}
	last := uint64(0)
	seen := map[string]bool{}
	for _, c := range u.Changes {
		if seen[c.Name] {
			r.violations = append(r.violations, c.Name+" is twice in one update")
		}
		seen[c.Name] = true
		if c.Version <= r.versions[c.Name] || c.Version < last {
			r.violations = append(r.violations, fmt.Sprint(c.Name, " went back to version ", c.Version))
		}
		last = c.Version
		r.versions[c.Name] = c.Version
		if c.Deleted {
			delete(r.live, c.Name)
		} else {
			r.live[c.Name] = string(c.Value)
		}
	}
}

func (r *feedReader) state() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := map[string]string{}
	for name, value := range r.live {
		state[name] = value
	}
	return state
}

func (r *feedReader) expectValid() {
	GinkgoHelper()
	r.mu.Lock()
	defer r.mu.Unlock()
	Expect(r.violations).To(BeEmpty())
	Expect(r.fullUpdates).To(BeNumerically(">", 0))
}

// readFeed starts a feed of api with short intervals and reads it until the test ends.
func readFeed(api store.API) *feedReader {
	feed := store.NewFeed(api, "config/", store.FeedOptions{
		ListInterval: 100 * time.Millisecond, MaxWait: 60 * time.Millisecond, Backoff: 10 * time.Millisecond,
	})
	feed.Start(context.Background())
	r := &feedReader{versions: map[string]uint64{}, live: map[string]string{}}
	var group conc.WaitGroup
	group.Go(func() { r.run(feed.Updates()) })
	DeferCleanup(func() {
		feed.Stop()
		group.Wait()
	})
	return r
}

// writeRandomly makes random writes and deletions and returns the values that are stored at the end.
func writeRandomly(client *store.Client, steps int) map[string]string {
	ctx := timeoutContext(20 * time.Second)
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

var highRates = store.Options{WritesPerSecond: 1000, ReadsPerSecond: 1000}

var _ = DescribeTable("the feed loses no change and delivers versions in order if the watch",
	func(f *faultyAPI, o stand.PlatformOptions) {
		_, client := setup(o, highRates)
		f.API = client
		r := readFeed(f)
		want := writeRandomly(client, 200)
		Eventually(r.state, "5s").Should(Equal(want))
		r.expectValid()
	},
	Entry("works", &faultyAPI{}, stand.PlatformOptions{}),
	Entry("starts from a revision that is too old", &faultyAPI{}, stand.PlatformOptions{KeepChanges: 1}),
	Entry("fails", &faultyAPI{watch: func(context.Context, store.API, string, uint64) ([]store.Change, uint64, error) {
		return nil, 0, errors.New("broken")
	}}, stand.PlatformOptions{}),
	Entry("hangs until its deadline", &faultyAPI{watch: func(ctx context.Context, _ store.API, _ string, _ uint64) ([]store.Change, uint64, error) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}}, stand.PlatformOptions{}),
	Entry("repeats old changes in the wrong order", &faultyAPI{watch: repeatOldChanges}, stand.PlatformOptions{}),
	Entry("skips changes but advances the revision", &faultyAPI{watch: skipRandomChanges}, stand.PlatformOptions{}),
	Entry("works but every third list is stale", &faultyAPI{list: answerStaleLists()}, stand.PlatformOptions{}),
)

func repeatOldChanges(ctx context.Context, api store.API, prefix string, after uint64) ([]store.Change, uint64, error) {
	rewind := uint64(rand.IntN(20))
	changes, revision, err := api.Watch(ctx, prefix, after-min(after, rewind))
	rand.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
	return changes, revision - min(revision, rewind), err
}

func skipRandomChanges(ctx context.Context, api store.API, prefix string, after uint64) ([]store.Change, uint64, error) {
	changes, revision, err := api.Watch(ctx, prefix, after)
	kept := changes[:0]
	for _, c := range changes {
		if rand.IntN(2) == 0 {
			kept = append(kept, c)
		}
	}
	return kept, revision, err
}

// answerStaleLists returns a list function that answers every third call with the list before the last one.
func answerStaleLists() func(context.Context, store.API, string) ([]store.Object, uint64, error) {
	type answer struct {
		objects  []store.Object
		revision uint64
	}
	var previous, last answer
	calls := 0
	return func(ctx context.Context, api store.API, prefix string) ([]store.Object, uint64, error) {
		calls++
		if calls%3 == 0 {
			return previous.objects, previous.revision, nil
		}
		objects, revision, err := api.List(ctx, prefix)
		previous, last = last, answer{objects, revision}
		return objects, revision, err
	}
}

var _ = Describe("the feed", func() {
	// Guards against lost or late changes when the platform holds watches beyond their wait. It uses
	// the real client instead of a faultyAPI.
	It("relies on lists while the platform stalls watches", func() {
		platform, client := setup(stand.PlatformOptions{}, highRates)
		platform.SetFault(stand.PlatformFault{StallWatches: true})
		r := readFeed(client)
		want := writeRandomly(client, 50)
		Eventually(r.state, "5s").Should(Equal(want))
		r.expectValid()
		platform.SetFault(stand.PlatformFault{})
	})

	// Guards against changes that are lost because the feed does not recover from an outage.
	It("catches up after an outage", func() {
		platform, client := setup(stand.PlatformOptions{}, highRates)
		r := readFeed(client)
		writeRandomly(client, 20)
		platform.SetFault(stand.PlatformFault{Down: true})
		time.Sleep(400 * time.Millisecond)
		platform.SetFault(stand.PlatformFault{})
		_, err := client.Put(timeoutContext(time.Second), "config/new", []byte("x"), 0)
		Expect(err).NotTo(HaveOccurred())
		Eventually(r.state, "5s").Should(HaveKeyWithValue("config/new", "x"))
		r.expectValid()
	})

	// Guards against a deleted object that reappears because an older list arrives late.
	It("does not restore a deleted object from an older list", func() {
		old := []store.Object{{Name: "config/a", Version: 1}}
		lists := []struct {
			objects  []store.Object
			revision uint64
		}{{old, 1}, {nil, 2}, {old, 1}, {nil, 3}}
		calls := 0
		f := &faultyAPI{
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
		feed := store.NewFeed(f, "config/", store.FeedOptions{ListInterval: 20 * time.Millisecond})
		feed.Start(timeoutContext(5 * time.Second))
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

	// Guards against a busy loop that exhausts the platform's rate limit.
	It("backs off if a watch returns at once without new changes", func() {
		_, client := setup(stand.PlatformOptions{}, highRates)
		_, err := client.Put(timeoutContext(time.Second), "config/a", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		calls := 0
		f := &faultyAPI{API: client, watch: func(context.Context, store.API, string, uint64) ([]store.Change, uint64, error) {
			calls++
			return []store.Change{{Object: store.Object{Name: "config/a", Version: 1}}}, 1, nil
		}}
		feed := store.NewFeed(f, "config/", store.FeedOptions{Backoff: 50 * time.Millisecond})
		feed.Start(timeoutContext(500 * time.Millisecond))
		for range feed.Updates() {
		}
		feed.Stop()
		Expect(calls).To(BeNumerically("<=", 11))
		Expect(calls).To(BeNumerically(">", 0))
	})
})

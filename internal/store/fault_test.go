package store_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/internal/store"
)

func storedValue(client *store.Client, name string) func() string {
	return func() string {
		o, _ := client.Get(timeoutContext(time.Second), name)
		return string(o.Value)
	}
}

var _ = Describe("a write", func() {
	// Guards against treating a write as failed because its response was lost.
	It("returns Unknown if the response is lost, although it has taken effect", func() {
		platform, client := setup(stand.PlatformOptions{}, store.Options{})
		platform.SetFault(stand.PlatformFault{LoseAnswers: true})
		_, err := client.Put(timeoutContext(time.Second), "a", []byte("1"), 0)
		Expect(store.KindOf(err)).To(Equal(store.Unknown))
		Expect(storedValue(client, "a")()).To(Equal("1"))
		Expect(platform.Calls()).To(HaveKeyWithValue("put", uint64(1)))
	})

	// Guards against treating a write as failed because a later read does not show it yet: a slow
	// write takes effect after the client has given up.
	It("returns Unknown if the client times out, and takes effect later", func() {
		platform, client := setup(stand.PlatformOptions{}, store.Options{})
		platform.SetFault(stand.PlatformFault{LateWriteMs: 500})
		_, err := client.Put(timeoutContext(100*time.Millisecond), "a", []byte("1"), 0)
		Expect(store.KindOf(err)).To(Equal(store.Unknown))
		Eventually(storedValue(client, "a"), "3s").Should(Equal("1"))
	})

	// Guards against returning Unknown, which stops the caller's work, although nothing was written.
	It("returns Down if the platform refuses it or cannot be reached", func() {
		platform, client := setup(stand.PlatformOptions{}, store.Options{})
		platform.SetFault(stand.PlatformFault{Down: true})
		_, err := client.Put(timeoutContext(time.Second), "a", []byte("1"), 0)
		Expect(store.KindOf(err)).To(Equal(store.Down))
		unreachable := store.NewClient(netip.MustParseAddrPort("127.0.0.1:1"), store.Options{})
		defer unreachable.Close()
		Expect(store.KindOf(unreachable.Delete(timeoutContext(time.Second), "a", 1))).To(Equal(store.Down))
	})

	// Guards against two writers that both get success for the creation of the same object.
	It("fails if the object exists, is absent or has another version than expected", func() {
		_, client := setup(stand.PlatformOptions{}, store.Options{})
		ctx := timeoutContext(time.Second)
		_, err := client.Put(ctx, "a", nil, 7)
		Expect(store.KindOf(err)).To(Equal(store.Conflict))
		Expect(store.CurrentVersion(err)).To(BeZero())
		version, err := client.Put(ctx, "a", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Put(ctx, "a", nil, 0)
		Expect(store.CurrentVersion(err)).To(Equal(version))
		Expect(store.KindOf(client.Delete(ctx, "a", version+1))).To(Equal(store.Conflict))
		Expect(store.KindOf(client.Delete(ctx, "b", 1))).To(Equal(store.NotFound))
	})
})

var _ = Describe("a read", func() {
	// Guards against a call that takes longer than its caller waits.
	It("returns Down at its deadline if the platform is slow", func() {
		platform, client := setup(stand.PlatformOptions{}, store.Options{Timeout: 50 * time.Millisecond})
		platform.SetFault(stand.PlatformFault{SlowMs: 2000})
		_, err := client.Get(GinkgoT().Context(), "a")
		Expect(store.KindOf(err)).To(Equal(store.Down))
	})
})

var _ = Describe("rate limits", func() {
	// Guards against a client that exhausts the platform's rate limit for all other clients.
	It("of the client apply to reads and writes separately, and are counted", func() {
		platform, client := setup(stand.PlatformOptions{}, store.Options{WritesPerSecond: 1, ReadsPerSecond: 2})
		ctx := timeoutContext(time.Second)
		_, err := client.Put(ctx, "a", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Put(ctx, "b", nil, 0)
		Expect(store.KindOf(err)).To(Equal(store.Limited))
		_, err = client.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Counts().Sent).To(And(
			HaveKeyWithValue(store.Put, uint64(1)), HaveKeyWithValue(store.Get, uint64(1))))
		Expect(client.Counts().Refused).To(Equal(uint64(1)))
		Expect(platform.Calls()).To(Equal(map[string]uint64{"put": 1, "get": 1}))
	})

	// Guards against treating a call refused by the rate limit as an outage.
	It("of the platform return Limited", func() {
		platform, client := setup(stand.PlatformOptions{WritesPerSecond: 1}, store.Options{})
		kinds := map[store.Kind]int{}
		for range 10 {
			_, err := client.Put(timeoutContext(time.Second), "a", nil, 99)
			kinds[store.KindOf(err)]++
		}
		Expect(kinds).To(HaveKey(store.Limited))
		Expect(kinds).To(HaveLen(2))
		Expect(platform.Calls()).To(HaveKeyWithValue("put", uint64(10)))
	})
})

var _ = Describe("a watch", func() {
	// Guards against a watch that returns changes only at the next poll.
	It("returns changes under its prefix as soon as they are made, and counts as one call", func() {
		_, client := setup(stand.PlatformOptions{}, store.Options{})
		ctx := timeoutContext(5 * time.Second)
		var changes []store.Change
		var err error
		var group conc.WaitGroup
		group.Go(func() { changes, _, err = client.Watch(ctx, "config/", 0) })
		Eventually(func() uint64 { return client.Counts().Sent[store.Watch] }).Should(Equal(uint64(1)))
		for _, name := range []string{"other", "config/a"} {
			_, err := client.Put(ctx, name, []byte("1"), 0)
			Expect(err).NotTo(HaveOccurred())
		}
		group.Wait()
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Name).To(Equal("config/a"))
		Expect(client.Counts().Sent[store.Watch]).To(Equal(uint64(1)))
	})

	// Guards against a watch without changes that fails at its deadline like in an outage.
	It("without changes returns before its deadline", func() {
		_, client := setup(stand.PlatformOptions{}, store.Options{})
		changes, revision, err := client.Watch(timeoutContext(time.Second), "", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(BeEmpty())
		Expect(revision).To(BeZero())
	})

	// Guards against a watch that silently omits changes that the platform no longer holds.
	It("returns TooOld for a revision whose changes the platform no longer holds", func() {
		_, client := setup(stand.PlatformOptions{KeepChanges: 2}, store.Options{})
		ctx := timeoutContext(time.Second)
		for _, name := range []string{"a", "b", "c"} {
			_, err := client.Put(ctx, name, nil, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		_, _, err := client.Watch(ctx, "", 0)
		Expect(store.KindOf(err)).To(Equal(store.TooOld))
		changes, _, err := client.Watch(ctx, "", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(HaveLen(2))
	})
})

var _ = Describe("the list of VMs", func() {
	// Guards against a stand-in platform whose list is always up to date, which would hide the lag
	// of the real one from all tests.
	It("lags behind the actual state", func() {
		platform, client := setup(stand.PlatformOptions{VMLag: 300 * time.Millisecond}, store.Options{})
		vm := store.VM{
			Name: "ledger-1", Address: netip.MustParseAddrPort("127.0.0.1:7101"), Role: store.Backend,
			Service: "depot/ledger", FailureDomain: "fd-1", State: store.Leaving,
		}
		setAt := time.Now()
		platform.SetVMs([]store.VM{vm})
		list := func() []store.VM { l, _ := client.VMs(timeoutContext(time.Second)); return l }
		Eventually(list, "3s").Should(Equal([]store.VM{vm}))
		Expect(time.Since(setAt)).To(BeNumerically(">=", 300*time.Millisecond))
	})
})

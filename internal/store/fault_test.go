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

func value(client *store.Client, name string) func() string {
	return func() string {
		o, _ := client.Get(within(time.Second), name)
		return string(o.Value)
	}
}

var _ = Describe("a write", func() {
	// Guards against believing that a write failed because its answer was lost.
	It("is unknown where its answer is lost, and has taken effect", func() {
		platform, client := pair(stand.PlatformOptions{}, store.Options{})
		platform.SetFault(stand.PlatformFault{LoseAnswers: true})
		_, err := client.Put(within(time.Second), "a", []byte("1"), 0)
		Expect(store.KindOf(err)).To(Equal(store.Unknown))
		Expect(value(client, "a")()).To(Equal("1"))
		Expect(platform.Calls()).To(HaveKeyWithValue("put", uint64(1)))
	})

	// Guards against believing that a write has not taken effect because a read does not show it.
	It("is unknown where the client gave up, and takes effect afterwards", func() {
		platform, client := pair(stand.PlatformOptions{}, store.Options{})
		platform.SetFault(stand.PlatformFault{LateWriteMs: 500})
		_, err := client.Put(within(100*time.Millisecond), "a", []byte("1"), 0)
		Expect(store.KindOf(err)).To(Equal(store.Unknown))
		Eventually(value(client, "a"), "3s").Should(Equal("1"))
	})

	// Guards against reporting unknown, which stops work, where nothing was written.
	It("is down where the platform refuses it or cannot be reached", func() {
		platform, client := pair(stand.PlatformOptions{}, store.Options{})
		platform.SetFault(stand.PlatformFault{Down: true})
		_, err := client.Put(within(time.Second), "a", []byte("1"), 0)
		Expect(store.KindOf(err)).To(Equal(store.Down))
		gone := store.NewClient(netip.MustParseAddrPort("127.0.0.1:1"), store.Options{})
		defer gone.Close()
		Expect(store.KindOf(gone.Delete(within(time.Second), "a", 1))).To(Equal(store.Down))
	})

	// Guards against two writers that both believe they created an object.
	It("conflicts where the object exists, is absent or has another version", func() {
		_, client := pair(stand.PlatformOptions{}, store.Options{})
		ctx := within(time.Second)
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
	// Guards against a call that waits longer than its caller.
	It("is down at its deadline where the platform is slow", func() {
		platform, client := pair(stand.PlatformOptions{}, store.Options{Timeout: 50 * time.Millisecond})
		platform.SetFault(stand.PlatformFault{SlowMs: 2000})
		_, err := client.Get(GinkgoT().Context(), "a")
		Expect(store.KindOf(err)).To(Equal(store.Down))
	})
})

var _ = Describe("rates", func() {
	// Guards against a client that uses up the platform's rate for all others.
	It("are limited by the client for reads and writes apart, and counted", func() {
		platform, client := pair(stand.PlatformOptions{}, store.Options{WritesPerSecond: 1, ReadsPerSecond: 2})
		ctx := within(time.Second)
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

	// Guards against taking a refusal for an outage.
	It("of the platform give limited", func() {
		platform, client := pair(stand.PlatformOptions{WritesPerSecond: 1}, store.Options{})
		kinds := map[store.Kind]int{}
		for range 10 {
			_, err := client.Put(within(time.Second), "a", nil, 99)
			kinds[store.KindOf(err)]++
		}
		Expect(kinds).To(HaveKey(store.Limited))
		Expect(kinds).To(HaveLen(2))
		Expect(platform.Calls()).To(HaveKeyWithValue("put", uint64(10)))
	})
})

var _ = Describe("a watch", func() {
	// Guards against changes that are seen only at the next poll.
	It("returns changes under its prefix when they are made, and counts as one call", func() {
		_, client := pair(stand.PlatformOptions{}, store.Options{})
		ctx := within(5 * time.Second)
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

	// Guards against a quiet watch that looks like an outage.
	It("returns no change before its deadline", func() {
		_, client := pair(stand.PlatformOptions{}, store.Options{})
		changes, revision, err := client.Watch(within(time.Second), "", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(BeEmpty())
		Expect(revision).To(BeZero())
	})

	// Guards against a watch that silently leaves out changes it no longer has.
	It("from a forgotten revision is too old", func() {
		_, client := pair(stand.PlatformOptions{KeepChanges: 2}, store.Options{})
		ctx := within(time.Second)
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
	// Guards against tests in which the list is always up to date.
	It("lags behind the truth", func() {
		platform, client := pair(stand.PlatformOptions{VMLag: 300 * time.Millisecond}, store.Options{})
		vm := store.VM{
			Name: "ledger-1", Address: netip.MustParseAddrPort("127.0.0.1:7101"), Role: store.Backend,
			Service: "depot/ledger", FailureDomain: "fd-1", State: store.Leaving,
		}
		set := time.Now()
		platform.SetVMs([]store.VM{vm})
		list := func() []store.VM { l, _ := client.VMs(within(time.Second)); return l }
		Eventually(list, "3s").Should(Equal([]store.VM{vm}))
		Expect(time.Since(set)).To(BeNumerically(">=", 300*time.Millisecond))
	})
})

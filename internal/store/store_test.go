package store_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/internal/store"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store")
}

// pair starts a stand-in platform and a client of it. Both end with the test.
func pair(o stand.PlatformOptions, c store.Options) (*stand.Platform, *store.Client) {
	platform := stand.NewPlatform(o)
	Expect(platform.Start()).To(Succeed())
	client := store.NewClient(platform.Address(), c)
	DeferCleanup(func() {
		client.Close()
		platform.Stop()
	})
	return platform, client
}

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

var _ = Describe("the client", func() {
	// Guards against a wire format on which client and platform disagree.
	It("writes, reads, lists and deletes objects by version", func() {
		_, client := pair(stand.PlatformOptions{}, store.Options{})
		ctx := within(5 * time.Second)
		first, err := client.Put(ctx, "config/a b", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		second, err := client.Put(ctx, "config/a b", []byte("2"), first)
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Get(ctx, "config/a b")).To(Equal(store.Object{Name: "config/a b", Version: second, Value: []byte("2")}))

		_, err = client.Put(ctx, "config/a b", []byte("3"), first)
		Expect(store.KindOf(err)).To(Equal(store.Conflict))
		Expect(store.CurrentVersion(err)).To(Equal(second))

		objects, revision, err := client.List(ctx, "config/")
		Expect(err).NotTo(HaveOccurred())
		Expect(objects).To(HaveLen(1))
		Expect(revision).To(Equal(second))

		Expect(client.Delete(ctx, "config/a b", second)).To(Succeed())
		_, err = client.Get(ctx, "config/a b")
		Expect(store.KindOf(err)).To(Equal(store.NotFound))
	})
})

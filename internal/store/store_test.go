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

// setup starts a stand-in platform and returns it with a client of it. Both are closed when the test ends.
func setup(o stand.PlatformOptions, clientOptions store.Options) (*stand.Platform, *store.Client) {
	platform := stand.NewPlatform(o)
	Expect(platform.Start()).To(Succeed())
	client := store.NewClient(platform.Address(), clientOptions)
	DeferCleanup(func() {
		client.Close()
		platform.Stop()
	})
	return platform, client
}

func timeoutContext(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

var _ = Describe("the client", func() {
	// Guards against different wire formats in the client and the platform.
	It("puts, gets, lists and deletes objects by version", func() {
		_, client := setup(stand.PlatformOptions{}, store.Options{})
		ctx := timeoutContext(5 * time.Second)
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

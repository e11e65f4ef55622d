package stand_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/samphiredrum/samphiredrum/internal/stand"
)

func TestStand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stand")
}

// ends fails the test where f does not return.
func ends(f func()) {
	GinkgoHelper()
	done := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() {
		defer close(done)
		f()
	})
	Eventually(done, 20*time.Second).Should(BeClosed())
	group.Wait()
}

var _ = Describe("a stand-in that is stopped right after its start", func() {
	// Guards against a Stop that waits for ever because the server had not begun to serve.
	It("ends", func() {
		for range 50 {
			platform := stand.NewPlatform(stand.PlatformOptions{})
			Expect(platform.Start()).To(Succeed())
			ends(platform.Stop)
			killed := stand.NewBackend(stand.BackendOptions{})
			Expect(killed.Start()).To(Succeed())
			ends(killed.Kill)
			stopped := stand.NewBackend(stand.BackendOptions{})
			Expect(stopped.Start()).To(Succeed())
			ends(stopped.Stop)
		}
	})
})

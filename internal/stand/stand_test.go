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

// expectReturn fails the test if f does not return within 20 s.
func expectReturn(f func()) {
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

var _ = Describe("stopping a stand-in immediately after its start", func() {
	// Guards against a Stop that blocks forever because the server has not called Serve yet.
	It("returns", func() {
		for range 50 {
			platform := stand.NewPlatform(stand.PlatformOptions{})
			Expect(platform.Start()).To(Succeed())
			expectReturn(platform.Stop)
			killed := stand.NewBackend(stand.BackendOptions{})
			Expect(killed.Start()).To(Succeed())
			expectReturn(killed.Kill)
			stopped := stand.NewBackend(stand.BackendOptions{})
			Expect(stopped.Start()).To(Succeed())
			expectReturn(stopped.Stop)
		}
	})
})

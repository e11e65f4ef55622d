package steer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

var _ = Describe("a control plane that fails", func() {
	// Guards against a process that says that it is ready and serves its last view for good, after an error in the program
	// has ended its control goroutine.
	It("reports it, whichever goroutine fails, and sends no more orders", func() {
		for _, inLoop := range []bool{true, false} {
			c, clk := newTestControl()
			c.options.Formats.Server = func(store.Object) (assign.Server, error) { panic("an entry that was not foreseen") }
			c.leadUntil.Store(clk.Now().Add(time.Hour).UnixNano())
			Expect(c.checkLease()).To(Succeed())
			if inLoop {
				c.start(c.loop)
				c.post(serversRead{sent: clk.Now(), objects: []store.Object{{Name: "servers/a"}}})
			} else {
				c.start(func() { panic("a call that was not foreseen") })
			}
			Eventually(c.Failed(), "2s").Should(BeClosed())
			Expect(c.checkLease()).NotTo(Succeed())
		}
	})
})

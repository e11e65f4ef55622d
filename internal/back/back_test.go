package back_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
)

func TestBack(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "back")
}

const service = assign.ServiceID("depot/ledger")

// grantAll returns a grant of the whole hash space.
func grantAll(fence lease.Fence) []back.Granted {
	return []back.Granted{{Service: service, Span: assign.Span{To: ^uint64(0)}, Fence: fence}}
}

// startServer starts a stand-in server and its client. Both are closed at the end of the test.
func startServer(o stand.BackendOptions, c back.Options) (*stand.Backend, *back.Client) {
	o.Name, o.Service = "ledger-1", service
	server := stand.NewBackend(o)
	Expect(server.Start()).To(Succeed())
	client := back.NewClient(o.Name, server.Address(), c)
	DeferCleanup(func() {
		client.Close()
		server.Kill()
	})
	return server, client
}

func timeoutContext(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

func keyedCall(id string, fence lease.Fence) back.Call {
	return back.Call{RequestID: id, Method: "GET", Path: "/balance", Service: service, Keyed: true, KeyHash: 7, Fence: fence}
}

var _ = Describe("a server with grants", func() {
	// Guards against a client and a server that use different wire formats.
	It("runs a call under its grant and reports its clock and incarnation", func() {
		server, client := startServer(stand.BackendOptions{}, back.Options{})
		ctx := timeoutContext(5 * time.Second)
		_, err := client.Grant(ctx, time.Now().Add(5*time.Second), grantAll(3))
		Expect(err).NotTo(HaveOccurred())
		answer, err := client.Send(ctx, keyedCall("a", 3))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status).To(Equal(200))
		Expect(answer.Incarnation).To(Equal(server.Incarnation()))
		Expect(answer.ServerClock.IsZero()).To(BeFalse())
		Expect(server.History()).To(HaveLen(1))
	})
})

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

// all is a grant of the whole hash space.
func all(fence lease.Fence) []back.Granted {
	return []back.Granted{{Service: service, Span: assign.Span{To: ^uint64(0)}, Fence: fence}}
}

// pair starts a stand-in server and a client of it. Both end with the test.
func pair(o stand.BackendOptions, c back.Options) (*stand.Backend, *back.Client) {
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

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

func keyed(id string, fence lease.Fence) back.Call {
	return back.Call{RequestID: id, Method: "GET", Path: "/balance", Service: service, Keyed: true, KeyHash: 7, Fence: fence}
}

var _ = Describe("a server of the kind grants", func() {
	// Guards against a wire format on which client and server disagree.
	It("runs a call under its grant and reports its clock and incarnation", func() {
		server, client := pair(stand.BackendOptions{}, back.Options{})
		ctx := within(5 * time.Second)
		_, err := client.Grant(ctx, time.Now().Add(5*time.Second), all(3))
		Expect(err).NotTo(HaveOccurred())
		answer, err := client.Send(ctx, keyed("a", 3))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status).To(Equal(200))
		Expect(answer.Incarnation).To(Equal(server.Incarnation()))
		Expect(answer.ServerClock.IsZero()).To(BeFalse())
		Expect(server.History()).To(HaveLen(1))
	})
})

package entry_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/entry"
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
	"github.com/samphiredrum/samphiredrum/pkg/limit"
)

// failingServer fails the first call with firstError and all later calls with laterError.
type failingServer struct {
	back.Server
	calls      atomic.Int32
	firstError error
	laterError error
}

// Send implements back.Server.
func (d *failingServer) Send(context.Context, back.Call) (back.Answer, error) {
	if d.calls.Add(1) == 1 {
		return back.Answer{}, d.firstError
	}
	return back.Answer{}, d.laterError
}

// Cancel implements back.Server.
func (d *failingServer) Cancel(context.Context, string) (back.CancelOutcome, error) {
	return back.CancelUnknown, nil
}

// newCallErrors returns the error of a call whose connection was cut when its server was killed, and the
// error of a later call whose connection was refused.
func newCallErrors(ctx context.Context) (cut, refused error) {
	GinkgoHelper()
	server := stand.NewBackend(stand.BackendOptions{Name: "ledger-1", Fencing: assign.None, Run: time.Minute})
	Expect(server.Start()).To(Succeed())
	client := back.NewClient("ledger-1", server.Address(), back.Options{Connections: 2})
	call := back.Call{RequestID: "a", Method: "GET", Path: "/", Deadline: clock.System().Latest().Add(time.Minute)}
	timer := time.AfterFunc(100*time.Millisecond, server.Kill)
	defer timer.Stop()
	_, cut = client.Send(ctx, call)
	Expect(back.KindOf(cut)).To(Equal(back.Unknown))
	Eventually(func() back.Reason {
		_, refused = client.Send(ctx, call)
		return back.ReasonOf(refused)
	}).Should(Equal(back.ConnectionRefused))
	return cut, refused
}

var _ = Describe("retries", func() {
	// Guards against the outcome not-run for a lookup whose retry was refused although its first attempt
	// had reached the server.
	It("keep the outcome of an attempt that may have run", func(ctx context.Context) {
		cut, refused := newCallErrors(ctx)
		server := &failingServer{firstError: cut, laterError: refused}
		router, call := newServingRouter(server)
		result := router.Handle(ctx, call)
		Expect(server.calls.Load()).To(BeNumerically(">", 1))
		Expect(result.Outcome).To(Equal(entry.OutcomeUnknown))
	}, NodeTimeout(20*time.Second))

	// Guards against keys that stay closed forever because a call that never reached their server counts
	// as in flight there.
	It("are not in flight at a server that does not know them", func(ctx context.Context) {
		cut, refused := newCallErrors(ctx)
		router, call := newServingRouter(&failingServer{firstError: cut, laterError: refused})
		router.Handle(ctx, call)
		Expect(router.View().Services["yards/ledger"].Members["ledger-1"].Pending()).To(BeZero())
	}, NodeTimeout(20*time.Second))

	// Guards against the outcome unknown for a call that was refused in every attempt.
	It("report a call that every attempt refused as not run", func(ctx context.Context) {
		_, refused := newCallErrors(ctx)
		server := &failingServer{firstError: refused, laterError: refused}
		router, call := newServingRouter(server)
		Expect(router.Handle(ctx, call).Outcome).To(Equal(entry.OutcomeNotRun))
	}, NodeTimeout(20*time.Second))
})

// newServingRouter returns a router with a serving lease and a table in which the server owns every key,
// and a repeatable call.
func newServingRouter(client back.Server) (*entry.Router, *entry.Call) {
	now := clock.System()
	router := entry.NewRouter(entry.Config{Self: "entry-1", Clock: now})
	router.SetLeaseExpiry(now.Latest().Add(time.Minute))
	listed := assign.Server{ID: "ledger-1", Service: "yards/ledger", Address: netip.MustParseAddrPort("127.0.0.1:1"), Fencing: assign.None}
	calls := limit.NewCalls(limit.CallsConfig{})
	gate := limit.NewGate(limit.GateConfig{Server: listed.ID, Ceiling: 2, QueueLength: 8}, calls, now)
	service := &entry.Service{
		Service: conf.Service{ID: listed.Service, Exclusive: true, Fencing: assign.None},
		Members: map[assign.ServerID]*entry.Server{
			listed.ID: entry.NewServer(listed, client, gate, lease.DefaultMargin),
		},
		Calls: calls,
	}
	place := assign.Place{Span: assign.Span{To: ^uint64(0)}, Owners: []assign.ServerID{listed.ID}, Base: 1}
	router.Publish(&entry.View{
		Table: &assign.Table{Version: 1, Services: map[assign.ServiceID][]assign.Holding{
			listed.Service: {{Place: place, Open: true}},
		}},
		Services: map[assign.ServiceID]*entry.Service{listed.Service: service},
	})
	return router, &entry.Call{
		ID: "a", Method: "GET", Path: "/", Service: &service.Service,
		Operation:      conf.Operation{Name: "balances", Repeatable: true, Class: conf.Short},
		Deadline:       now.Now().Add(5 * time.Second),
		LatestDeadline: now.Latest().Add(5 * time.Second),
	}
}

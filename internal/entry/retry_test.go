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

// dying loses the answer of its first call, which the server may have run, and then refuses
// connections.
type dying struct {
	back.Server
	calls atomic.Int32
	first error
	later error
}

// Send implements back.Server.
func (d *dying) Send(context.Context, back.Call) (back.Answer, error) {
	if d.calls.Add(1) == 1 {
		return back.Answer{}, d.first
	}
	return back.Answer{}, d.later
}

// Cancel implements back.Server.
func (d *dying) Cancel(context.Context, string) (back.CancelOutcome, error) {
	return back.CancelUnknown, nil
}

// errorsOf returns an error of a call that was cut by the loss of a server, and one of a call that
// was refused after it.
func errorsOf(ctx context.Context) (cut, refused error) {
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

var _ = Describe("repeats", func() {
	// Guards against a caller who is told that a lookup was not run, because its repeat was refused,
	// although the first attempt had reached the server.
	It("keep the outcome of an attempt that may have run", func(ctx context.Context) {
		cut, refused := errorsOf(ctx)
		server := &dying{first: cut, later: refused}
		router, call := serving(server)
		result := router.Handle(ctx, call)
		Expect(server.calls.Load()).To(BeNumerically(">", 1))
		Expect(result.Outcome).To(Equal(entry.OutcomeUnknown))
	}, NodeTimeout(20*time.Second))

	// Guards against keys that stay closed for ever, because a call that never reached their server
	// counts as in flight there.
	It("are not in flight at a server that does not know them", func(ctx context.Context) {
		cut, refused := errorsOf(ctx)
		router, call := serving(&dying{first: cut, later: refused})
		router.Handle(ctx, call)
		Expect(router.View().Services["yards/ledger"].Members["ledger-1"].Pending()).To(BeZero())
	}, NodeTimeout(20*time.Second))

	// Guards against a refused call that is told as one that may have run.
	It("leave a call that no server took as not run", func(ctx context.Context) {
		_, refused := errorsOf(ctx)
		server := &dying{first: refused, later: refused}
		router, call := serving(server)
		Expect(router.Handle(ctx, call).Outcome).To(Equal(entry.OutcomeNotRun))
	}, NodeTimeout(20*time.Second))
})

// serving returns a router with a lease and a table in which the server owns every key, and a
// repeatable call.
func serving(client back.Server) (*entry.Router, *entry.Call) {
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

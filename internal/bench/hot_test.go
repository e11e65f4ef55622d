package bench

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/entry"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/lease"
	"github.com/samphiredrum/samphiredrum/pkg/limit"
)

// benchSink receives results, so that the compiler does not eliminate the measured work.
var benchSink assign.Holding

// BenchmarkLookup looks up keys in a table with the largest number of spans that a cell can have.
func BenchmarkLookup(b *testing.B) {
	servers := newChurnServers()
	n := assign.MaxSpans
	holdings := make([]assign.Holding, n)
	width := ^uint64(0) / uint64(n)
	for i := range holdings {
		from := uint64(i) * (width + 1)
		holdings[i] = assign.Holding{Open: true, Place: assign.Place{
			Span: assign.Span{From: from, To: from + width}, Owners: []assign.ServerID{servers[i%len(servers)].ID}, Base: 1,
		}}
	}
	table := &assign.Table{Services: map[assign.ServiceID][]assign.Holding{churnService: holdings}}
	random := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		h, ok := table.Lookup(churnService, random.Uint64())
		if !ok {
			b.Fatal("a hash has no span")
		}
		benchSink = h
	}
}

// BenchmarkAcquire acquires and releases a place at the gate of a server that has no other calls.
func BenchmarkAcquire(b *testing.B) {
	gate := limit.NewGate(limit.GateConfig{Server: "server-1", Ceiling: 11}, limit.NewCalls(limit.CallsConfig{}), clock.System())
	ctx := context.Background()
	request := limit.Request{Operation: "balances", Class: limit.Short, Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		ticket, err := gate.Acquire(ctx, request)
		if err != nil {
			b.Fatal(err)
		}
		ticket.Done(limit.Ran, time.Millisecond)
	}
}

// fakeServer answers every valid call immediately.
type fakeServer struct{ back.Server }

func (*fakeServer) Send(_ context.Context, c back.Call) (back.Answer, error) {
	if err := c.Check(); err != nil {
		return back.Answer{}, err
	}
	return back.Answer{Status: http.StatusOK}, nil
}

// benchRouter returns a router with one server that owns every key.
func benchRouter() (*entry.Router, conf.Service) {
	system := clock.System()
	server := assign.Server{ID: "server-1", Service: churnService, Address: netip.MustParseAddrPort("127.0.0.1:1"), FailureDomain: "fd-1"}
	calls := limit.NewCalls(limit.CallsConfig{})
	member := entry.NewServer(server, &fakeServer{}, limit.NewGate(limit.GateConfig{Server: server.ID, Ceiling: 11}, calls, system), lease.DefaultMargin)
	receipt := back.Receipt{ServerClock: time.Now(), Incarnation: "1"}
	receipt.Trip.Answered = system.Now()
	member.Observe(receipt)
	service := conf.Service{
		ID: churnService, Exclusive: true, Key: conf.SegmentKey{Index: 2}, Slots: 6, Servers: []assign.Server{server},
		Operations: []conf.Operation{{Name: "balances", Method: http.MethodGet, Prefix: "/balances", Class: conf.Short, Timeout: time.Hour}},
	}
	router := entry.NewRouter(entry.Config{Self: "entry-1", Clock: system})
	places := assign.Initial([]assign.Server{server}, 1)
	holdings := make([]assign.Holding, len(places))
	for i, p := range places {
		holdings[i] = assign.Holding{Place: p, Open: true}
	}
	router.Publish(&entry.View{
		Table: &assign.Table{Services: map[assign.ServiceID][]assign.Holding{churnService: holdings}},
		Services: map[assign.ServiceID]*entry.Service{
			churnService: {Service: service, Calls: calls, Members: map[assign.ServerID]*entry.Server{server.ID: member}},
		},
	})
	router.SetLeaseExpiry(system.Latest().Add(time.Hour))
	return router, service
}

// BenchmarkPipeline runs calls through every filter to a server that answers immediately.
func BenchmarkPipeline(b *testing.B) {
	router, service := benchRouter()
	ctx := context.Background()
	system := clock.System()
	b.ReportAllocs()
	for b.Loop() {
		call := &entry.Call{
			ID: "call", Method: http.MethodGet, Path: "/balances/yard-17", Service: &service, Operation: service.Operations[0],
			Hash: 17, Deadline: system.Now().Add(time.Minute), LatestDeadline: system.Latest().Add(time.Minute),
		}
		if r := router.Handle(ctx, call); r.Outcome != entry.OutcomeRan {
			b.Fatal(r.Reason, r.Remedy)
		}
	}
}

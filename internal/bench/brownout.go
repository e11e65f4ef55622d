package bench

import (
	"context"
	"sync/atomic"

	"github.com/samphiredrum/samphiredrum/internal/back"
	"github.com/samphiredrum/samphiredrum/internal/conf"
	"github.com/samphiredrum/samphiredrum/internal/fleet"
	"github.com/samphiredrum/samphiredrum/internal/node"
	"github.com/samphiredrum/samphiredrum/internal/stand"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

const (
	// brownoutServers is the number of servers, a third of which refuses all calls.
	brownoutServers = 3
	// brownoutDemand is the demand as a multiple of the capacity of all servers.
	brownoutDemand = 0.3
	// retryTarget is the highest acceptable extra load from retries, which is the share of the retry budget.
	retryTarget = 0.1
)

// attempts counts the calls that entry processes send to servers.
type attempts struct{ sent atomic.Int64 }

// dial returns a client of the server that counts the calls it sends.
func (a *attempts) dial(server assign.Server, connections int) back.Server {
	return &countedServer{
		Client:   back.NewClient(string(server.ID), server.Address, back.Options{Connections: connections}),
		attempts: a,
	}
}

// countedServer wraps a client and counts the calls it sends.
type countedServer struct {
	*back.Client
	attempts *attempts
}

// Send implements back.Server.
func (c *countedServer) Send(ctx context.Context, call back.Call) (back.Answer, error) {
	c.attempts.sent.Add(1)
	return c.Client.Send(ctx, call)
}

// brownout measures the extra load from retries while a third of the servers refuse every call and
// report that they are healthy.
func brownout(s *session) error {
	counted := new(attempts)
	f, err := s.start(shape{
		user: s.options.User, processes: s.options.Processes, servers: brownoutServers,
		nodeOptions: []node.Option{node.WithBackend(counted.dial)},
	})
	if err != nil {
		return err
	}
	defer f.Stop()
	s.warm(f)
	service := sharedService(f)
	kinds := []callKind{{operation: firstOperation(service, conf.Short), run: workTime, timeout: goodDeadline}}
	rate := brownoutDemand * s.capacity(f, service, kinds)
	refusing := s.refuse(f, service)
	s.print("servers=%d refusing=%d rate=%.0f", len(service.Servers), refusing, rate)
	for n := range s.options.Repeats {
		before := counted.sent.Load()
		s.measureBrownout(variant{"samphiredrum", newEntrySender(f, service, kinds)}, rate, n, func() int64 { return counted.sent.Load() - before })
		plain := newDirectSender(service, kinds, &roundRobin{servers: service.Servers}, 0)
		s.measureBrownout(variant{"no-retries", plain}, rate, n, plain.attempts.Load)
		blind := newDirectSender(service, kinds, &roundRobin{servers: service.Servers}, blindRetries)
		s.measureBrownout(variant{"blind-retries", blind}, rate, n, blind.attempts.Load)
	}
	return nil
}

// refuse makes a third of the servers refuse all calls while their health endpoints report no load. It returns the
// number of these servers.
func (s *session) refuse(f *fleet.Fleet, service *conf.Service) int {
	n := len(service.Servers) / 3
	for _, server := range service.Servers[:n] {
		b := f.Backend(server.ID)
		b.SetFault(stand.BackendFault{LieLoad: true})
		b.Drain()
	}
	return n
}

func (s *session) measureBrownout(v variant, rate float64, n int, sent func() int64) {
	t := newTally(goodDeadline)
	used := s.newLoad(v, t, constant(rate), s.options.Duration, uint64(n)).run()
	extra := float64(sent())/float64(t.offered) - 1
	reason, count := t.commonReason()
	s.print("run=%d way=%s offered=%d sent=%d extra-load=%.3f good=%d good-share=%.4f refused=%d failed=%d p50=%s p99=%s cores=%.2f limit=%s target=%.2f met=%t reason=%q reason-count=%d",
		n, v.name, t.offered, sent(), extra, t.good, float64(t.good)/float64(t.offered), t.refused, t.failed,
		t.percentile(50), t.percentile(99), used.cores(), used.limit(), retryTarget, extra <= retryTarget, reason, count)
}

// Package front runs an entry process on the users' platform: it starts the control loop and the relay,
// connects both to the platform's APIs, and serves readiness checks and metrics.
//
// # Usage
//
//	process, err := front.Start(settings, log, drops)
//	if err != nil {
//		return err
//	}
//	<-ctx.Done()
//	process.Stop() // answers the requests in flight first
package front

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/samphiredrum/samphiredrum/internal/body"
	"github.com/samphiredrum/samphiredrum/internal/logs"
	"github.com/samphiredrum/samphiredrum/internal/relay"
	"github.com/samphiredrum/samphiredrum/internal/steer"
	"github.com/samphiredrum/samphiredrum/internal/view"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/pkg/quota"
	"github.com/samphiredrum/samphiredrum/platform"
)

const (
	// unreadyDelay is how long a stopping process still accepts connections while it reports that it is not
	// ready. The load balancer has checked its readiness twice by then.
	unreadyDelay = 2500 * time.Millisecond
	// cutTime is how long a stopping process waits for the error responses to the requests that it has cut.
	cutTime = 100 * time.Millisecond
	// stopMargin is how long before the end of the stop time a stopping process closes what is left.
	stopMargin = 300 * time.Millisecond
	// bodyShare is the share of the process's memory for bodies of requests and responses. Buffers that were freed use
	// memory too until they are collected.
	bodyShare = 0.5
	// defaultMemoryBytes is the memory of the process if its settings do not say.
	defaultMemoryBytes = 256 << 20
	// stopPollInterval is the interval at which a stopping process checks for open connections.
	stopPollInterval = 20 * time.Millisecond
	// MetricsPath is the path of the metrics on the second port of Settings.FirstPort to LastPort.
	MetricsPath = "/metrics"
)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("front")
	// ErrListen is the error type for an address that the process cannot listen on.
	ErrListen = namespace.NewType("listen")
)

// Process is one entry process.
type Process struct {
	mu         sync.Mutex
	settings   platform.Settings
	log        zerolog.Logger
	objects    *platform.Store
	keys       *platform.Keys
	control    *steer.Control
	relay      *relay.Relay
	server     *relay.Server
	auxServers []*auxServer
	group      conc.WaitGroup
	stopping   chan struct{}
}

// auxServer is an HTTP server for readiness checks or metrics.
type auxServer struct {
	listener net.Listener
	server   *fasthttp.Server
	log      zerolog.Logger
}

func (s *auxServer) run() {
	if err := s.server.Serve(s.listener); err != nil && !errors.Is(err, net.ErrClosed) {
		s.log.Warn().Err(err).Msg("listener-ended")
	}
}

// Start starts an entry process. It counts dropped log lines in drops and exports the counts as metrics. It
// returns an error of type ErrListen if it cannot listen for requests, readiness checks or metrics.
func Start(s platform.Settings, log zerolog.Logger, drops *logs.Drops) (*Process, error) {
	c := clock.System()
	views := view.NewPublisher()
	limits := quota.NewBoard()
	registry := prometheus.NewRegistry()
	registerDrops(registry, drops)
	registry.MustRegister(evacuationCollector{views: views})
	p := &Process{
		settings: s,
		log:      log,
		objects:  platform.NewStore(s.StoreAddress, c),
		keys:     platform.NewKeys(c),
		stopping: make(chan struct{}),
	}
	var err error
	p.control, err = steer.Start(steer.Options{
		Name:    s.Name,
		Address: netip.AddrPortFrom(s.Address, s.FirstPort),
		Objects: p.objects,
		Orders:  p.keys,
		Formats: steer.Formats{
			ConfigObject:  platform.ConfigObject,
			ConfigPrefix:  platform.ConfigPrefix,
			ServersPrefix: platform.ServersPrefix,
			Config:        platform.ParseConfig,
			Server:        platform.ParseServer,

			EvacuationsPrefix: platform.EvacuationsPrefix,
			Evacuation:        platform.ParseEvacuation,
		},
		Views:       views,
		Limits:      limits,
		Power:       s.Cores,
		FirstStart:  s.FirstStart,
		LongestHold: s.Bounds.LongestHold,
		DrainTime:   s.Bounds.DrainTime,
		ConfigTime:  s.Bounds.ConfigTime,

		EvacuationTime: s.Bounds.EvacuationTime,
		MaxSkew:        s.Bounds.MaxSkew,

		Heartbeat: s.Heartbeat,
		ColdBound: s.Bounds.WarmUpOverage > 0,
		Clock:     c,
		Log:       log,
	})
	if err != nil {
		return nil, err
	}
	p.relay = relay.New(relay.Options{
		Views:         views,
		Messages:      platform.Messages{},
		FailureDomain: s.FailureDomain,
		Bounds:        relayBounds(s.Bounds),
		ObserveKey:    p.control.CountKey,
		ObserveRun:    p.control.CountRun,
		Limits:        limits,
		Reserve:       p.control.Reserve,
		Heartbeat:     s.Heartbeat,
		Memory:        body.NewBudget(bodyBytes(s)),
		Clock:         c,
		Log:           logs.Sampled(log, drops),
		Meter:         relay.NewMeter(registry),
	})
	if p.server, err = relay.Listen(s.CallerAddress, p.relay); err != nil {
		return nil, err
	}
	if err := p.startAuxServer(s.ReadyAddress, p.ready); err != nil {
		return nil, err
	}
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	if err := p.startAuxServer(netip.AddrPortFrom(s.Address, s.FirstPort+1), metrics); err != nil {
		return nil, err
	}
	log.Info().Str("name", s.Name).Stringer("callers", s.CallerAddress).Str("failure-domain", s.FailureDomain).Msg("started")
	return p, nil
}

// registerDrops registers metrics that count the dropped log lines by cause.
func registerDrops(r prometheus.Registerer, d *logs.Drops) {
	for cause, count := range map[string]*atomic.Uint64{"buffer": &d.Buffer, "rate": &d.Rate} {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "samphiredrum_log_lines_dropped_total",
			Help:        "Log lines that were not written.",
			ConstLabels: prometheus.Labels{"cause": cause},
		}, func() float64 { return float64(count.Load()) }))
	}
}

// bodyBytes returns the memory for the bodies of requests and responses.
func bodyBytes(s platform.Settings) int {
	memory := s.MemoryBytes
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	return int(float64(memory) * bodyShare)
}

func relayBounds(b platform.Bounds) relay.Bounds {
	return relay.Bounds{
		DrainTime: b.DrainTime, EvacuationTime: b.EvacuationTime, RetryShare: b.RetryShare, RetryBurst: b.RetryBurst, RetryWindow: b.RetryWindow,
		WarmUpOverage: b.WarmUpOverage, WarmUpBurst: b.WarmUpBurst,
	}
}

// Reload applies changed settings. The bounds of requests and of the shutdown apply at once. The longest hold
// of keys, the bounds of evacuations, whether requests to cold servers are bounded, and all other settings apply only after a
// restart.
func (p *Process) Reload(s platform.Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.settings
	p.settings.Bounds = s.Bounds
	p.settings.Bounds.LongestHold = before.Bounds.LongestHold
	p.settings.Bounds.EvacuationTime, p.settings.Bounds.MaxSkew = before.Bounds.EvacuationTime, before.Bounds.MaxSkew
	if (s.Bounds.WarmUpOverage > 0) != (before.Bounds.WarmUpOverage > 0) {
		p.settings.Bounds.WarmUpOverage = before.Bounds.WarmUpOverage
	}
	p.relay.SetBounds(relayBounds(p.settings.Bounds))
	p.log.Info().Bool("changed", before != s).Bool("restart-needed", p.settings != s).Msg("settings-reloaded")
}

func (p *Process) stopTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settings.Bounds.GracePeriod
}

// startAuxServer starts an HTTP server for readiness checks or metrics on the address.
func (p *Process) startAuxServer(address netip.AddrPort, handler fasthttp.RequestHandler) error {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return ErrListen.Wrap(err, "cannot listen on %s for readiness checks or metrics; free the address", address)
	}
	s := &auxServer{
		listener: l,
		log:      p.log,
		server:   &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, Logger: discardLogger{}, ReadBufferSize: 4 << 10},
	}
	p.auxServers = append(p.auxServers, s)
	p.group.Go(s.run)
	return nil
}

// discardLogger discards the log lines of fasthttp, which do not identify a request.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Failed is closed when the process can't follow the platform any more because of an error in the program. It reports that it
// is not ready then, and has to be stopped and started again.
func (p *Process) Failed() <-chan struct{} { return p.control.Failed() }

// ready answers the load balancer's readiness checks.
func (p *Process) ready(c *fasthttp.RequestCtx) {
	status := fasthttp.StatusOK
	select {
	case <-p.stopping:
		status = fasthttp.StatusServiceUnavailable
	case <-p.Failed():
		status = fasthttp.StatusServiceUnavailable
	default:
		if string(c.Path()) != platform.ReadyPath || !p.relay.Ready() {
			status = fasthttp.StatusServiceUnavailable
		}
	}
	c.SetStatusCode(status)
}

// Stop shuts the process down gracefully. It reports that the process is not ready, keeps accepting requests
// until the load balancer has noticed, and returns when all connections are closed or the stop time is almost
// over. Requests whose deadline is later than that are rejected. Those that it had passed on before get an error response.
func (p *Process) Stop() {
	began := time.Now()
	p.log.Info().Int("connections", p.server.Connections()).Msg("stopping")
	close(p.stopping)
	end := began.Add(p.stopTime() - stopMargin)
	p.server.Drain(end)
	p.control.Stop()
	time.Sleep(unreadyDelay - time.Since(began))
	p.server.StopAccepting()
	p.awaitConnections(end)
	p.log.Info().Int("connections", p.server.Connections()).Dur("took-ms", time.Since(began)).Msg("stopped")
	for _, s := range p.auxServers {
		s.listener.Close()
	}
	p.relay.Close()
	p.awaitConnections(time.Now().Add(cutTime))
	p.control.Close()
	p.keys.Close()
	p.objects.Close()
}

// awaitConnections waits until all connections of callers are closed, until a given time at most.
func (p *Process) awaitConnections(end time.Time) {
	for p.server.Connections() > 0 && time.Now().Before(end) {
		time.Sleep(stopPollInterval)
	}
}

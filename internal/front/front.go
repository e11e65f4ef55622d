// Package front runs an entry process on the users' platform: it joins the adapter, the control
// side and the relay, and handles signals.
//
// # Usage
//
//	process, err := front.Start(settings, log)
//	if err != nil {
//		return err
//	}
//	<-ctx.Done()
//	process.Stop() // a planned stop, which cuts no request
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

	"github.com/samphiredrum/samphiredrum/internal/logs"
	"github.com/samphiredrum/samphiredrum/internal/relay"
	"github.com/samphiredrum/samphiredrum/internal/steer"
	"github.com/samphiredrum/samphiredrum/internal/view"
	"github.com/samphiredrum/samphiredrum/pkg/clock"
	"github.com/samphiredrum/samphiredrum/platform"
)

const (
	// noticeTime is how long a process that stops goes on taking connections, until the balancer
	// has asked twice whether it is ready.
	noticeTime = 2500 * time.Millisecond
	// stopSlack is kept before the end of the stop time.
	stopSlack = 300 * time.Millisecond
	// stopPoll is the time between looks at the requests that are left.
	stopPoll = 20 * time.Millisecond
	// MetricsPath is the path of the metrics on the second port between processes.
	MetricsPath = "/metrics"
)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("front")
	// ErrListen is the type of errors of a listen address that can't be used.
	ErrListen = namespace.NewType("listen")
)

// Process is one entry process.
type Process struct {
	mu       sync.Mutex
	settings platform.Settings
	log      zerolog.Logger
	objects  *platform.Store
	keys     *platform.Keys
	control  *steer.Control
	relay    *relay.Relay
	server   *relay.Server
	sides    []*side
	group    conc.WaitGroup
	stopping chan struct{}
}

// side is an HTTP server beside that of requests.
type side struct {
	listener net.Listener
	server   *fasthttp.Server
	log      zerolog.Logger
}

func (s *side) run() {
	if err := s.server.Serve(s.listener); err != nil && !errors.Is(err, net.ErrClosed) {
		s.log.Warn().Err(err).Msg("listener-ended")
	}
}

// Start starts an entry process. The lines that the log drops are counted in drops. It returns an error of
// type ErrListen where an address cannot be used.
func Start(s platform.Settings, log zerolog.Logger, drops *logs.Drops) (*Process, error) {
	c := clock.System()
	board := view.NewPublisher()
	registry := prometheus.NewRegistry()
	registerDrops(registry, drops)
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
		Keys:    p.keys,
		Formats: steer.Formats{
			ConfigObject:  platform.ConfigObject,
			ConfigPrefix:  platform.ConfigPrefix,
			ServersPrefix: platform.ServersPrefix,
			Config:        platform.ParseConfig,
			Server:        platform.ParseServer,
		},
		Board:       board,
		Power:       s.Cores,
		LongestHold: s.Bounds.LongestHold,
		Heartbeat:   s.Heartbeat,
		Clock:       c,
		Log:         log,
	})
	if err != nil {
		return nil, err
	}
	p.relay = relay.New(relay.Options{
		Board:         board,
		Messages:      platform.Messages{},
		FailureDomain: s.FailureDomain,
		Bounds:        relayBounds(s.Bounds),
		Use:           p.control.CountKey,
		Ran:           p.control.CountRun,
		Clock:         c,
		Log:           logs.Sampled(log, drops),
		Meter:         relay.NewMeter(registry),
	})
	if p.server, err = relay.Listen(s.CallerAddress, p.relay); err != nil {
		return nil, err
	}
	if err := p.side(s.ReadyAddress, p.ready); err != nil {
		return nil, err
	}
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	if err := p.side(netip.AddrPortFrom(s.Address, s.FirstPort+1), metrics); err != nil {
		return nil, err
	}
	log.Info().Str("name", s.Name).Stringer("callers", s.CallerAddress).Str("failure-domain", s.FailureDomain).Msg("started")
	return p, nil
}

// registerDrops makes the dropped log lines metrics.
func registerDrops(r prometheus.Registerer, d *logs.Drops) {
	for cause, count := range map[string]*atomic.Uint64{"buffer": &d.Buffer, "rate": &d.Rate} {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "samphiredrum_log_lines_dropped_total",
			Help:        "Log lines that were not written.",
			ConstLabels: prometheus.Labels{"cause": cause},
		}, func() float64 { return float64(count.Load()) }))
	}
}

func relayBounds(b platform.Bounds) relay.Bounds {
	return relay.Bounds{
		DrainTime: b.DrainTime, RetryShare: b.RetryShare, RetryBurst: b.RetryBurst, RetryWindow: b.RetryWindow,
	}
}

// Reload takes over settings that have changed. The bounds of requests and of a planned stop hold at once;
// everything else holds from the next start on.
func (p *Process) Reload(s platform.Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.settings
	p.settings.Bounds = s.Bounds
	p.settings.Bounds.LongestHold = before.Bounds.LongestHold
	p.relay.SetBounds(relayBounds(s.Bounds))
	p.log.Info().Bool("changed", before != s).Bool("restart-needed", p.settings != s).Msg("settings-reloaded")
}

func (p *Process) stopTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settings.Bounds.GracePeriod
}

// side starts an HTTP server beside that of requests.
func (p *Process) side(address netip.AddrPort, handler fasthttp.RequestHandler) error {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return ErrListen.Wrap(err, "free the address %s", address)
	}
	x := &side{
		listener: l,
		log:      p.log,
		server:   &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, Logger: quiet{}, ReadBufferSize: 4 << 10},
	}
	p.sides = append(p.sides, x)
	p.group.Go(x.run)
	return nil
}

// quiet drops the library's own log lines, which name no request of ours.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// ready answers the balancer.
func (p *Process) ready(c *fasthttp.RequestCtx) {
	status := fasthttp.StatusOK
	select {
	case <-p.stopping:
		status = fasthttp.StatusServiceUnavailable
	default:
		if string(c.Path()) != platform.ReadyPath || !p.relay.Ready() {
			status = fasthttp.StatusServiceUnavailable
		}
	}
	c.SetStatusCode(status)
}

// Stop is a planned stop. It reports unready, lets the balancer notice, and returns when every
// request is answered or the stop time is nearly over.
func (p *Process) Stop() {
	began := time.Now()
	p.log.Info().Int("connections", p.server.Open()).Msg("stopping")
	close(p.stopping)
	p.server.Drain()
	p.control.Stop()
	time.Sleep(noticeTime - time.Since(began))
	p.server.Refuse()
	end := began.Add(p.stopTime() - stopSlack)
	for p.server.Open() > 0 && time.Now().Before(end) {
		time.Sleep(stopPoll)
	}
	p.log.Info().Int("connections", p.server.Open()).Dur("took-ms", time.Since(began)).Msg("stopped")
	for _, x := range p.sides {
		x.listener.Close()
	}
	p.relay.Close()
	p.keys.Close()
	p.objects.Close()
}

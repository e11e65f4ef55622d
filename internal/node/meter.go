package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/samphiredrum/samphiredrum/internal/entry"
	"github.com/samphiredrum/samphiredrum/internal/store"
)

// metricPrefix is the namespace of all metrics.
const metricPrefix = "samphiredrum"

// Meter holds the metrics of one process. The label values are bounded: no label contains a key or a caller.
type Meter struct {
	registry *prometheus.Registry
	calls    *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	events   *prometheus.CounterVec
}

// NewMeter returns a Meter with its own registry.
func NewMeter() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricPrefix,
			Name:      "calls_total",
			Help:      "Calls of callers, by outcome and reason.",
		}, []string{"service", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricPrefix,
			Name:      "call_duration_seconds",
			Help:      "Time from the whole request to the answer.",
			Buckets:   prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"service", "class"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricPrefix,
			Name:      "control_events_total",
			Help:      "Control events of this process, by kind.",
		}, []string{"kind"}),
	}
	m.registry.MustRegister(m.calls, m.latency, m.events)
	return m
}

// Registry returns the registry that holds the metrics.
func (m *Meter) Registry() *prometheus.Registry {
	return m.registry
}

// call counts a finished call. Calls to unknown services share one label value, so that callers cannot
// create new ones.
func (m *Meter) call(c *entry.Call, r entry.Result, took time.Duration) {
	service, class := "unknown", "unknown"
	if c.Service != nil {
		service = string(c.Service.ID)
		class = c.Operation.Class.String()
	}
	m.calls.WithLabelValues(service, r.Outcome.String(), r.Reason.String()).Inc()
	m.latency.WithLabelValues(service, class).Observe(took.Seconds())
}

// gauge is a metric computed from the status.
type gauge struct {
	desc  *prometheus.Desc
	value func(*Status) float64
}

func newGauge(name, help string, value func(*Status) float64) gauge {
	return gauge{desc: prometheus.NewDesc(metricPrefix+"_"+name, help, nil, nil), value: value}
}

// gauges are the metrics of the control state.
var gauges = []gauge{
	newGauge("serving", "1 while the process holds a serving lease and is ready.", func(s *Status) float64 { return boolValue(s.Serving) }),
	newGauge("leading", "1 while the process is the decider.", func(s *Status) float64 { return boolValue(s.Leading) }),
	newGauge("draining", "1 during a planned stop.", func(s *Status) float64 { return boolValue(s.Draining) }),
	newGauge("table_version", "Version of the assignment table in force.", func(s *Status) float64 { return float64(s.Version) }),
	newGauge("closed_spans", "Spans without an open owner, as this process sees them.", closedSpans),
	newGauge("booking_identifiers", "Booking identifiers remembered by this process.", func(s *Status) float64 { return float64(s.Identifiers) }),
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func closedSpans(s *Status) float64 {
	n := 0
	for _, o := range s.Owners {
		if !o.Open {
			n++
		}
	}
	return float64(n)
}

// stateCollector computes the metrics of the control state when they are collected.
type stateCollector struct {
	node     *Node
	inFlight *prometheus.Desc
	queued   *prometheus.Desc
	allowed  *prometheus.Desc
	team     *prometheus.Desc
	platform *prometheus.Desc
	expiry   *prometheus.Desc
	failures *prometheus.Desc
}

func newStateCollector(n *Node) *stateCollector {
	return &stateCollector{
		node:     n,
		inFlight: prometheus.NewDesc(metricPrefix+"_server_calls_in_flight", "Calls of this process at a server.", []string{"server"}, nil),
		queued:   prometheus.NewDesc(metricPrefix+"_server_calls_queued", "Calls that wait for a server.", []string{"server"}, nil),
		allowed:  prometheus.NewDesc(metricPrefix+"_server_calls_allowed", "Learned limit of calls in flight at a server.", []string{"server"}, nil),
		team:     prometheus.NewDesc(metricPrefix+"_configuration_version", "Version of a team's configuration in force.", []string{"team"}, nil),
		platform: prometheus.NewDesc(metricPrefix+"_platform_calls_total", "Calls to the platform, by operation.", []string{"operation"}, nil),
		expiry:   prometheus.NewDesc(metricPrefix+"_certificate_expiry_seconds", "Unix time at which the certificate in force expires.", nil, nil),
		failures: prometheus.NewDesc(metricPrefix+"_certificate_reload_failures_total", "Reloads of the certificate files that failed.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (s *stateCollector) Describe(out chan<- *prometheus.Desc) {
	for _, g := range gauges {
		out <- g.desc
	}
	out <- s.inFlight
	out <- s.queued
	out <- s.allowed
	out <- s.team
	out <- s.platform
	out <- s.expiry
	out <- s.failures
}

// Collect implements prometheus.Collector.
func (s *stateCollector) Collect(out chan<- prometheus.Metric) {
	status := s.node.Status()
	for _, g := range gauges {
		out <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, g.value(status))
	}
	for _, v := range status.Servers {
		out <- prometheus.MustNewConstMetric(s.inFlight, prometheus.GaugeValue, float64(v.InFlight), string(v.Server))
		out <- prometheus.MustNewConstMetric(s.queued, prometheus.GaugeValue, float64(v.Queued), string(v.Server))
		out <- prometheus.MustNewConstMetric(s.allowed, prometheus.GaugeValue, float64(v.Allowed), string(v.Server))
	}
	for team, version := range status.Teams {
		out <- prometheus.MustNewConstMetric(s.team, prometheus.GaugeValue, float64(version), team)
	}
	if client, ok := s.node.api.(*store.Client); ok {
		for operation, n := range client.Counts().Sent {
			out <- prometheus.MustNewConstMetric(s.platform, prometheus.CounterValue, float64(n), operation.String())
		}
	}
	if c := s.node.certs; c != nil {
		out <- prometheus.MustNewConstMetric(s.expiry, prometheus.GaugeValue, float64(c.Expiry().Unix()))
		out <- prometheus.MustNewConstMetric(s.failures, prometheus.CounterValue, float64(c.Failures()))
	}
}

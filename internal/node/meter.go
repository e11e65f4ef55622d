package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/samphiredrum/samphiredrum/internal/entry"
)

// Meter holds the metrics of one process.
type Meter struct {
	registry *prometheus.Registry
	calls    *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

// NewMeter returns a Meter with its own registry.
func NewMeter() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "samphiredrum",
			Name:      "calls_total",
			Help:      "Calls of callers, by outcome and reason.",
		}, []string{"service", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "samphiredrum",
			Name:      "call_duration_seconds",
			Help:      "Time from the whole request to the answer.",
			Buckets:   prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"service", "class"}),
	}
	m.registry.MustRegister(m.calls, m.latency)
	return m
}

// Registry returns the registry that holds the metrics.
func (m *Meter) Registry() *prometheus.Registry {
	return m.registry
}

// call counts a finished call. Calls to unknown services share one label, so that callers cannot
// make new ones.
func (m *Meter) call(c *entry.Call, r entry.Result, took time.Duration) {
	service, class := "unknown", "unknown"
	if c.Service != nil {
		service = string(c.Service.ID)
		class = c.Operation.Class.String()
	}
	m.calls.WithLabelValues(service, r.Outcome.String(), r.Reason.String()).Inc()
	m.latency.WithLabelValues(service, class).Observe(took.Seconds())
}

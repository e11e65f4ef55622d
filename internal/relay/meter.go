package relay

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// Meter counts requests and their latencies, and shows the spillover shares.
type Meter struct {
	requests   *prometheus.CounterVec
	latency    *prometheus.HistogramVec
	shed       *prometheus.CounterVec
	away       *prometheus.CounterVec
	spillShare *prometheus.GaugeVec
	// readAhead counts requests that were read while an earlier one of their connection was unanswered.
	readAhead prometheus.Counter
	// held is the number of connections with unread requests by the pipe.State that keeps them from being read.
	held *prometheus.GaugeVec
	// cold counts the requests to cold servers by the outcome of their reservations, and coldServers has the number of cold
	// servers of each service.
	cold        *prometheus.CounterVec
	coldServers *prometheus.GaugeVec
	// hung counts requests without a response for so long that the server counts as hung.
	hung *prometheus.CounterVec
}

// latencyBuckets are the upper bounds of the latency histogram's buckets in seconds.
var latencyBuckets = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4}

// NewMeter returns a Meter and registers its metrics with r.
func NewMeter(r prometheus.Registerer) *Meter {
	// The label "reason" has the Reason of a response that the relay generated. It is ReasonNone for a server's response.
	m := &Meter{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphiredrum_requests_total", Help: "Requests by rule, status and reason of an own answer.",
		}, []string{"rule", "status", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "samphiredrum_request_seconds", Help: "Time from a request until its response is ready to be written, in seconds.", Buckets: latencyBuckets,
		}, []string{"rule"}),
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphiredrum_shed_requests_total", Help: "Requests rejected because their owner is overloaded, by service and rank.",
		}, []string{"service", "rank"}),
		away: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphiredrum_away_requests_total", Help: "Attempts without a key that went to a server of another failure domain.",
		}, []string{"service"}),
		spillShare: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "samphiredrum_spillover_share", Help: "Share of requests without a key that may leave the failure domain, from 0 to 1.",
		}, []string{"service"}),
		cold: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphiredrum_cold_reservations_total", Help: "Reservations of requests to cold servers by outcome.",
		}, []string{"outcome"}),
		coldServers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "samphiredrum_cold_servers", Help: "Servers that count as cold, as of the last change of the routing state.",
		}, []string{"service"}),
	}
	m.hung = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "samphiredrum_hung_requests_total", Help: "Attempts that counted as hung, by service and whether they were canceled to be sent again.",
	}, []string{"service", "canceled"})
	m.readAhead = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "samphiredrum_requests_read_ahead_total", Help: "Requests that were read before earlier ones of their connection were answered.",
	})
	m.held = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "samphiredrum_connections_held", Help: "Connections with unread requests that wait for earlier answers, by the bound that holds them.",
	}, []string{"bound"})
	r.MustRegister(m.requests, m.latency, m.shed, m.away, m.spillShare, m.readAhead, m.held, m.cold, m.coldServers, m.hung)
	return m
}

func (m *Meter) observe(rule string, status int, r Reason, took time.Duration) {
	m.requests.WithLabelValues(rule, strconv.Itoa(status), r.String()).Inc()
	m.latency.WithLabelValues(rule).Observe(took.Seconds())
}

// observeShed counts a request that was rejected because its owner is overloaded.
func (m *Meter) observeShed(service assign.ServiceID, rank string) {
	m.shed.WithLabelValues(string(service), rank).Inc()
}

func (m *Meter) countAway(service assign.ServiceID) { m.away.WithLabelValues(string(service)).Inc() }

func (m *Meter) setSpillShare(service assign.ServiceID, share float64) {
	m.spillShare.WithLabelValues(string(service)).Set(share)
}

// forgetService removes the metrics of a service that is no longer configured.
func (m *Meter) forgetService(service assign.ServiceID) {
	m.away.DeleteLabelValues(string(service))
	m.spillShare.DeleteLabelValues(string(service))
	m.coldServers.DeleteLabelValues(string(service))
	m.hung.DeletePartialMatch(prometheus.Labels{"service": string(service)})
}

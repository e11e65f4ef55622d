package front

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/samphiredrum/samphiredrum/internal/view"
)

// evacuatedMetric describes the gauge of the evacuated failure domains.
var evacuatedMetric = prometheus.NewDesc("samphiredrum_evacuated",
	"1 for each failure domain that is evacuated, as far as this process knows.", []string{"failure_domain"}, nil)

// evacuationCollector exports the evacuated failure domains of the latest View as metrics.
type evacuationCollector struct{ views *view.Publisher }

// Describe implements prometheus.Collector.
func (evacuationCollector) Describe(d chan<- *prometheus.Desc) { d <- evacuatedMetric }

// Collect implements prometheus.Collector.
func (c evacuationCollector) Collect(m chan<- prometheus.Metric) {
	for domain := range c.views.Load().Evacuated {
		m <- prometheus.MustNewConstMetric(evacuatedMetric, prometheus.GaugeValue, 1, domain)
	}
}

package evacuation

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Metrics are the Prometheus metrics of the set that a process knows.
type Metrics struct {
	since    *prometheus.GaugeVec
	revision prometheus.GaugeFunc
}

// NewMetrics creates and registers the metrics. current returns the newest set.
func NewMetrics(r prometheus.Registerer, current func() *Set) *Metrics {
	m := &Metrics{
		since: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "teaseltide_evacuated_since_seconds", Help: "Unix time at which this process learned of the evacuation of a failure domain, by domain.",
		}, []string{"domain"}),
		revision: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "teaseltide_evacuations_revision", Help: "Revision of the store of the set of evacuated failure domains, 0 without a set.",
		}, func() float64 {
			if s := current(); s != nil {
				return float64(s.Revision)
			}
			return 0
		}),
	}
	r.MustRegister(m.since, m.revision)
	return m
}

// Record records since when each domain has been evacuated.
func (m *Metrics) Record(since map[ownership.Domain]clock.Millis) {
	m.since.Reset()
	for domain, at := range since {
		m.since.WithLabelValues(string(domain)).Set(at.Duration().Seconds())
	}
}

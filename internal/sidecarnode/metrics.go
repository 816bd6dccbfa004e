package sidecarnode

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
)

// Metrics are the Prometheus metrics of a sidecar. A nil Metrics records nothing.
type Metrics struct {
	starts   prometheus.Counter
	stops    *prometheus.CounterVec
	ends     *prometheus.CounterVec
	refusals *prometheus.CounterVec
	pairs    *prometheus.CounterVec
}

// NewMetrics creates and registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		starts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "teaseltide_executor_starts_total", Help: "Runs that the worker was told to start.",
		}),
		stops: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "teaseltide_executor_stops_total", Help: "Runs that the worker was told to stop, by reason.",
		}, []string{"reason"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "teaseltide_executor_ends_total", Help: "Ends of runs by outcome.",
		}, []string{"outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "teaseltide_executor_refusals_total", Help: "Orders of runs that were refused, by reason.",
		}, []string{"reason"}),
	}
	m.pairs = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "teaseltide_executor_interference_changes_total", Help: "Pairs of kinds that slow each other down, by change.",
	}, []string{"change"})
	r.MustRegister(m.starts, m.stops, m.ends, m.refusals, m.pairs)
	return m
}

func (m *Metrics) countStart() {
	if m != nil {
		m.starts.Inc()
	}
}

func (m *Metrics) countStop(reason executor.StopReason) {
	if m != nil {
		m.stops.WithLabelValues(string(reason)).Inc()
	}
}

func (m *Metrics) countEnd(outcome batch.Outcome) {
	if m != nil {
		m.ends.WithLabelValues(string(outcome)).Inc()
	}
}

func (m *Metrics) countRefusal(reason executor.RefusalReason) {
	if m != nil {
		m.refusals.WithLabelValues(string(reason)).Inc()
	}
}

func (m *Metrics) countInterference(detected bool) {
	if m == nil {
		return
	}
	change := "forgotten"
	if detected {
		change = "detected"
	}
	m.pairs.WithLabelValues(change).Inc()
}

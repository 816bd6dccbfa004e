package sidecar

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/teaseltide/teaseltide/internal/gate"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// metrics are the counters and gauges of a sidecar.
type metrics struct {
	taskStarts           prometheus.Counter
	outcomes             *prometheus.CounterVec
	rejections           *prometheus.CounterVec
	messages             *prometheus.CounterVec
	epochChanges         prometheus.Counter
	observedEpochChanges uint64
	slots                prometheus.Gauge
	running              prometheus.Gauge
	queued               prometheus.Gauge
	jobs                 prometheus.Gauge
	resultBytes          prometheus.Gauge
	readyPartitions      prometheus.Gauge
}

const (
	metricNamespace = "teaseltide"
	metricSubsystem = "sidecar"
)

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		taskStarts:      counter("task_starts_total", "Tasks sent to the backend server."),
		outcomes:        counterVec("task_outcomes_total", "Tasks ended, by outcome.", "outcome"),
		rejections:      counterVec("rejections_total", "Messages rejected, by reason.", "reason"),
		messages:        counterVec("messages_total", "Frames exchanged with entries, by kind and direction.", "kind", "direction"),
		epochChanges:    counter("epoch_changes_total", "Changes of a partition's epoch."),
		slots:           gauge("slots", "Tasks that the backend server can run at once."),
		running:         gauge("running_tasks", "Tasks at the backend server."),
		queued:          gauge("queued_tasks", "Tasks accepted that wait for a slot."),
		jobs:            gauge("jobs", "Jobs remembered."),
		resultBytes:     gauge("result_bytes", "Bytes of the results held."),
		readyPartitions: gauge("ready_partitions", "Partitions that accept work."),
	}
	if r != nil {
		r.MustRegister(m.taskStarts, m.outcomes, m.rejections, m.messages, m.epochChanges,
			m.slots, m.running, m.queued, m.jobs, m.resultBytes, m.readyPartitions)
	}
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricNamespace, Subsystem: metricSubsystem, Name: name, Help: help})
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	opts := prometheus.CounterOpts{Namespace: metricNamespace, Subsystem: metricSubsystem, Name: name, Help: help}
	return prometheus.NewCounterVec(opts, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricNamespace, Subsystem: metricSubsystem, Name: name, Help: help})
}

func (m *metrics) observe(s gate.Stats) {
	m.epochChanges.Add(float64(s.EpochChanges - m.observedEpochChanges))
	m.observedEpochChanges = s.EpochChanges
	m.slots.Set(float64(s.Slots))
	m.running.Set(float64(s.Running))
	m.queued.Set(float64(s.Queued))
	m.jobs.Set(float64(s.Jobs))
	m.resultBytes.Set(float64(s.ResultBytes))
	m.readyPartitions.Set(float64(s.ReadyPartitions))
}

func (m *metrics) countOutcome(o wire.Outcome) {
	m.outcomes.WithLabelValues(enumLabel(o.String(), "OUTCOME_")).Inc()
}

func (m *metrics) countReceived(env *wire.Envelope) {
	m.messages.WithLabelValues(bodyKind(env), "received").Inc()
}

func (m *metrics) countSent(env *wire.Envelope) {
	m.messages.WithLabelValues(bodyKind(env), "sent").Inc()
	if r := env.GetRejected(); r != nil {
		m.rejections.WithLabelValues(enumLabel(r.GetReason().String(), "REASON_")).Inc()
	}
}

// enumLabel converts the name of an enum value without its prefix to kebab case.
func enumLabel(name, prefix string) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(name, prefix)), "_", "-")
}

// bodyKind returns the field name of the envelope's body in kebab case.
func bodyKind(env *wire.Envelope) string {
	r := env.ProtoReflect()
	field := r.WhichOneof(r.Descriptor().Oneofs().ByName("body"))
	if field == nil {
		return "none"
	}
	return strings.ReplaceAll(string(field.Name()), "_", "-")
}

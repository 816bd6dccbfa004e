package cli

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/settings"
	"github.com/teaseltide/teaseltide/internal/tracing"
)

// traceShutdownTimeout bounds the export of the remaining spans at the end of a
// process.
const traceShutdownTimeout = 3 * time.Second

// traces is the span exporter of a process.
type traces struct {
	provider *tracing.Provider
	// tracer is nil without an exporter, so that no spans are created.
	tracer trace.Tracer
}

func startTraces(ctx context.Context, s settings.Traces, role, instance string, registry prometheus.Registerer, log *zap.Logger) (*traces, error) {
	provider, err := tracing.Start(ctx, tracing.Config{
		Exporter:    tracing.Exporter(s.Exporter),
		File:        s.File,
		Endpoint:    s.Endpoint,
		SampleRatio: s.SampleRatio,
		Role:        role,
		Instance:    instance,
		OnExport:    newExportMonitor(registry, log).onExport,
	})
	if err != nil {
		return nil, err
	}
	t := &traces{provider: provider}
	if e := tracing.Exporter(s.Exporter); e != tracing.None && e != "" {
		t.tracer = provider.Tracer("teaseltide")
	}
	return t, nil
}

// exportMonitor counts the exports of spans and logs when they start to fail and
// when they recover.
type exportMonitor struct {
	exports *prometheus.CounterVec
	log     *zap.Logger
	failing bool
}

func newExportMonitor(registry prometheus.Registerer, log *zap.Logger) *exportMonitor {
	w := &exportMonitor{log: log, exports: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "teaseltide_trace_exports_total",
		Help: "Exports of spans by result.",
	}, []string{"result"})}
	registry.MustRegister(w.exports)
	return w
}

func (w *exportMonitor) onExport(err error) {
	failing := err != nil
	result := "ok"
	if failing {
		result = "failed"
	}
	w.exports.WithLabelValues(result).Inc()
	switch {
	case failing && !w.failing:
		w.log.Warn("trace export failing", zap.Error(err))
	case !failing && w.failing:
		w.log.Info("trace export recovered")
	}
	w.failing = failing
}

func (t *traces) stop(log *zap.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), traceShutdownTimeout)
	defer cancel()
	if err := t.provider.Shutdown(ctx); err != nil {
		log.Warn("trace shutdown failed", zap.Error(err))
	}
}

package sidecar

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/teaseltide/teaseltide/internal/backend"
	"github.com/teaseltide/teaseltide/internal/tracing"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// spanRun is the name of the span of a request to the backend server.
const spanRun = "run"

// startRun starts the span of a sampled task and sets the task's traceparent to it,
// so that the backend server continues the trace. For other tasks it returns nil
// and leaves the traceparent unchanged.
func (l *loop) startRun(t *backend.Task) trace.Span {
	if l.deps.Tracer == nil || !tracing.Sampled(t.Traceparent) {
		return nil
	}
	ctx, span := l.deps.Tracer.Start(tracing.Extract(context.Background(), t.Traceparent), spanRun,
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("service", t.Service), attribute.String("key", t.Key), attribute.Int64("index", int64(t.Index))))
	t.Traceparent = tracing.Inject(ctx)
	return span
}

func endRun(span trace.Span, r backend.Result) {
	if span == nil {
		return
	}
	span.SetAttributes(attribute.String("outcome", enumLabel(r.Outcome.String(), "OUTCOME_")))
	if r.Outcome != wire.Outcome_OUTCOME_DONE {
		span.SetStatus(codes.Error, r.Message)
	}
	span.End()
}

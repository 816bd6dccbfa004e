// Package tracing sets up OpenTelemetry tracing for a process and propagates W3C
// trace contexts in the traceparent fields of messages and headers.
package tracing

import (
	"context"
	"io"
	"net/url"
	"os"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Exporter is the destination of spans.
type Exporter string

// Exporters.
const (
	None     Exporter = "none"
	Stdout   Exporter = "stdout"
	File     Exporter = "file"
	OTLPHTTP Exporter = "otlp"
)

// Config holds the settings of a Provider.
type Config struct {
	// Exporter is None if empty.
	Exporter Exporter
	// File is the path that File appends to.
	File string
	// Endpoint is the URL that OTLPHTTP sends to. Without a path it gets the
	// default of the OTLP specification, /v1/traces.
	Endpoint string
	// OnExport is called with the result of each export, from one goroutine at
	// a time; nil to ignore results.
	OnExport func(err error)
	// SampleRatio is the fraction of the traces started in this process to
	// record, 0 to 1. Traces started elsewhere keep their sampling decision.
	SampleRatio float64
	// Role and Instance name the process.
	Role     string
	Instance string
}

// Error is the error type of this package.
type Error struct {
	Op       string
	Exporter Exporter
	Err      error
}

// Error implements error.
func (e *Error) Error() string {
	return "tracing: " + e.Op + " " + string(e.Exporter) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Provider creates tracers for one process.
type Provider struct {
	trace.TracerProvider
	shutdown func(context.Context) error
}

// Start creates a Provider and its exporter. Spans are dropped while the exporter is
// too slow; the process does not wait for it.
func Start(ctx context.Context, cfg Config) (*Provider, error) {
	exporter, file, err := newExporter(ctx, cfg)
	if err != nil {
		return nil, &Error{Op: "start", Exporter: cfg.Exporter, Err: errors.WithStack(err)}
	}
	if exporter == nil {
		return &Provider{
			TracerProvider: noop.NewTracerProvider(),
			shutdown:       func(context.Context) error { return nil },
		}, nil
	}
	if cfg.OnExport != nil {
		exporter = observedExporter{exporter, cfg.OnExport}
	}
	p := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(cfg.SampleRatio))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "teaseltide-"+cfg.Role),
			attribute.String("service.instance.id", cfg.Instance),
		)),
	)
	return &Provider{
		TracerProvider: p,
		shutdown: func(ctx context.Context) error {
			err := p.Shutdown(ctx)
			if file != nil {
				_ = file.Close()
			}
			return err
		},
	}, nil
}

// observedExporter passes the result of each export to a function. It hides errors
// from the library, which would print them to standard error in its own format.
type observedExporter struct {
	sdk.SpanExporter
	exported func(error)
}

// ExportSpans implements sdk.SpanExporter.
func (r observedExporter) ExportSpans(ctx context.Context, spans []sdk.ReadOnlySpan) error {
	r.exported(r.SpanExporter.ExportSpans(ctx, spans))
	return nil
}

// collectorURL adds the default path of the OTLP specification to a URL without a
// path.
func collectorURL(endpoint string) (string, error) {
	u, err := url.Parse(endpoint)
	if err != nil {
		return "", err
	}
	if u.Path == "" || u.Path == "/" {
		u.Path = "/v1/traces"
	}
	return u.String(), nil
}

// newExporter returns the exporter and the file to close after it, if any. The
// exporter is nil for None.
func newExporter(ctx context.Context, cfg Config) (sdk.SpanExporter, io.Closer, error) {
	switch cfg.Exporter {
	case None, "":
		return nil, nil, nil
	case Stdout:
		e, err := stdouttrace.New()
		return e, nil, err
	case File:
		const mode = 0o600
		f, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, mode)
		if err != nil {
			return nil, nil, err
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(f))
		return e, f, err
	case OTLPHTTP:
		endpoint, err := collectorURL(cfg.Endpoint)
		if err != nil {
			return nil, nil, err
		}
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
		return e, nil, err
	}
	return nil, nil, errors.New("the exporter is unknown")
}

// Shutdown exports the remaining spans, until the context ends.
func (p *Provider) Shutdown(ctx context.Context) error {
	if err := p.shutdown(ctx); err != nil {
		return &Error{Op: "shutdown", Err: errors.WithStack(err)}
	}
	return nil
}

const traceparentField = "traceparent"

// Extract returns a context with the parent span of a traceparent value. An invalid
// value is ignored.
func Extract(ctx context.Context, traceparent string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparentField: traceparent})
}

// Inject returns the traceparent value of the span in a context, empty if there is
// none.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparentField]
}

// Normalize returns a traceparent value in canonical form, empty if it is not valid.
// The value of a caller is forwarded in headers, where an invalid one would make
// requests to backend servers fail.
func Normalize(traceparent string) string {
	if traceparent == "" {
		return ""
	}
	return Inject(Extract(context.Background(), traceparent))
}

// Sampled reports whether a traceparent value in canonical form has the sampled flag.
func Sampled(traceparent string) bool {
	const length = len("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	if len(traceparent) != length {
		return false
	}
	// The lowest bit of the last digit is the sampled flag.
	switch traceparent[length-1] {
	case '1', '3', '5', '7', '9', 'b', 'd', 'f':
		return true
	}
	return false
}

package tracing

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	otlp "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"
)

const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// Guards against traces that are interrupted by a process without an exporter, and
// against spans of a sampled trace that are not written.
func TestTraceContinues(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.json")
	for _, cfg := range []Config{{}, {Exporter: File, File: path, Role: "entry"}} {
		p, err := Start(t.Context(), cfg)
		if err != nil {
			t.Fatal(err)
		}
		ctx, span := p.Tracer("test").Start(Extract(context.Background(), parent), "hop")
		got := Inject(ctx)
		span.End()
		if err = p.Shutdown(t.Context()); err != nil {
			t.Fatal(err)
		}
		if !strings.HasPrefix(got, parent[:36]) {
			t.Errorf("%q: got %q, want the trace of %q", cfg.Exporter, got, parent)
		}
	}
	spans, err := os.ReadFile(path)
	if err != nil || !strings.Contains(string(spans), "0af7651916cd43dd8448eb211c80319c") {
		t.Errorf("got %q, %v, want a span of the trace", spans, err)
	}
	if got := Inject(Extract(context.Background(), "garbage")); got != "" {
		t.Errorf("got %q, want no trace", got)
	}
	if _, err = Start(t.Context(), Config{Exporter: "fax"}); err == nil {
		t.Error("an unknown exporter is accepted")
	}
}

// Guards against spans that do not reach a collector, because of a wrong path or
// content type or a shutdown before the export, and against a missing process name.
// With no default path, every export to a URL without a path failed.
func TestSpansReachCollector(t *testing.T) {
	c := &collector{requests: make(chan *otlp.ExportTraceServiceRequest, 1)}
	server := httptest.NewServer(c)
	defer server.Close()
	for _, path := range []string{"", "/", "/v1/traces"} {
		if err := exportSpan(t, server.URL+path); err != nil {
			t.Errorf("path %q: %v", path, err)
			continue
		}
		got := (<-c.requests).GetResourceSpans()[0]
		attributes := make(map[string]string)
		for _, a := range got.GetResource().GetAttributes() {
			attributes[a.GetKey()] = a.GetValue().GetStringValue()
		}
		if attributes["service.name"] != "teaseltide-entry" || attributes["service.instance.id"] != "entry-1" {
			t.Errorf("path %q: got the resource %v, want teaseltide-entry and entry-1", path, attributes)
		}
		if s := got.GetScopeSpans()[0].GetSpans()[0]; s.GetName() != "hop" || hex.EncodeToString(s.GetTraceId()) != parent[3:35] {
			t.Errorf("path %q: got the span %v, want hop in the trace of %s", path, s, parent)
		}
	}
}

// Guards against failed exports that are not reported.
func TestFailedExportIsReported(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	if err := exportSpan(t, server.URL); err == nil {
		t.Error("got no error from a collector that answers 404, want one")
	}
}

// exportSpan exports one span to a collector and returns the result reported before
// the end of the shutdown.
func exportSpan(t *testing.T, endpoint string) error {
	t.Helper()
	outcomes := make(chan error, 1)
	p, err := Start(t.Context(), Config{
		Exporter: OTLPHTTP, Endpoint: endpoint, Role: "entry", Instance: "entry-1",
		OnExport: func(err error) { outcomes <- err },
	})
	if err != nil {
		t.Fatal(err)
	}
	_, span := p.Tracer("test").Start(Extract(t.Context(), parent), "hop")
	span.End()
	if err = p.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	select {
	case err = <-outcomes:
		return err
	default:
		t.Fatal("no export was reported")
		return nil
	}
}

// collector receives spans by OTLP over HTTP.
type collector struct {
	requests chan *otlp.ExportTraceServiceRequest
}

// ServeHTTP implements http.Handler.
func (c *collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	m := &otlp.ExportTraceServiceRequest{}
	ok := err == nil && r.Method == http.MethodPost && r.URL.Path == "/v1/traces" &&
		r.Header.Get("Content-Type") == "application/x-protobuf" && proto.Unmarshal(body, m) == nil
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.requests <- m
}

// Guards against spans of traces that are not sampled, and against values of callers
// that make the header of a later request invalid.
func TestSampled(t *testing.T) {
	unsampled := strings.TrimSuffix(parent, "1") + "0"
	for value, want := range map[string]bool{parent: true, unsampled: false, "": false, parent + "1": false} {
		if got := Sampled(value); got != want {
			t.Errorf("%q: got sampled %t, want %t", value, got, want)
		}
	}
	for value, want := range map[string]string{parent: parent, unsampled: unsampled, "": "", parent + "\n": "", "x\r\ny": ""} {
		if got := Normalize(value); got != want {
			t.Errorf("%q: got %q, want %q", value, got, want)
		}
	}
}

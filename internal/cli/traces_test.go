package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"
	"strings"
	"testing"

	"go.uber.org/zap"
)

const servicesText = `teams:
  - name: t
    share: 1
    max-queued-tasks: 1000
services:
  - name: pump
    max-tasks-per-job: 820
    default-deadline: 30s
    max-deadline: 2m
`

// span is a line that the file exporter wrote.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	process     string
}

func readSpans(t *testing.T, n *installation, processes ...string) []span {
	t.Helper()
	var all []span
	for _, p := range processes {
		data, err := os.ReadFile(n.file(p + ".spans"))
		if err != nil {
			t.Fatal(err)
		}
		dec := json.NewDecoder(bytes.NewReader(data))
		for dec.More() {
			s := span{process: p}
			if err := dec.Decode(&s); err != nil {
				t.Fatal(err)
			}
			all = append(all, s)
		}
	}
	return all
}

// tree formats the spans of a trace below a parent, siblings sorted by name. The
// results of one dispatch may arrive in one message or two, so equal siblings named
// result are listed once.
func tree(spans []span, trace, parent string, process func(string) string) string {
	var nodes []string
	for _, s := range spans {
		if s.SpanContext.TraceID != trace || s.Parent.SpanID != parent {
			continue
		}
		node := s.Name + "@" + process(s.process)
		if below := tree(spans, trace, s.SpanContext.SpanID, process); below != "" {
			node += "(" + below + ")"
		}
		if s.Name != "result" || !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return strings.Join(nodes, " ")
}

// Guards against a hop without a span, spans with the wrong parent, a traceparent
// that does not reach the backend server, and spans of a trace that its caller does
// not sample. A job is submitted to each of the two entries, so one of the jobs is
// forwarded.
func TestSpansOfAJob(t *testing.T) {
	n := newInstallation(t, zap.NewNop())
	stops := []func(){n.startSidecar("side"), n.startEntry("entry-0"), n.startEntry("entry-1")}
	for _, stop := range slices.Backward(stops) {
		t.Cleanup(stop)
	}
	n.awaitService(0)
	n.awaitService(1)
	const (
		trace  = "0af7651916cd43dd8448eb211c80319"
		caller = "b7ad6b7169203331"
	)
	for i, digit := range []string{"0", "1"} {
		if status := n.submit(i, "00-"+trace+digit+"-"+caller+"-01"); status != 200 {
			t.Errorf("entry %d: got status %d, want 200", i, status)
		}
	}
	if status := n.submit(0, "00-"+trace+"2-"+caller+"-00"); status != 200 {
		t.Errorf("not sampled: got status %d, want 200", status)
	}
	for _, stop := range stops {
		stop()
	}

	spans := readSpans(t, n, "side", "entry-0", "entry-1")
	runs := map[string]bool{}
	for _, s := range spans {
		if !strings.HasPrefix(s.SpanContext.TraceID, trace) || strings.HasSuffix(s.SpanContext.TraceID, "2") {
			t.Errorf("got span %s of trace %s, which is not sampled", s.Name, s.SpanContext.TraceID)
		}
		if s.Name == "run" {
			runs["00-"+s.SpanContext.TraceID+"-"+s.SpanContext.SpanID+"-01"] = true
		}
	}
	var got []string
	for _, digit := range []string{"0", "1"} {
		asked := "entry-" + digit
		got = append(got, tree(spans, trace+digit, caller, func(process string) string {
			switch process {
			case "side":
				return "side"
			case asked:
				return "asked"
			}
			return "other"
		}))
	}
	slices.Sort(got)
	const below = "dispatch@%(result@% run@side run@side) queue@%"
	want := []string{
		"submit@asked(" + strings.ReplaceAll(below, "%", "asked") + ")",
		"submit@asked(forward@asked(serve@other(" + strings.ReplaceAll(below, "%", "other") + ")))",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	passed, unsampled := 0, 0
	for _, parent := range n.traceparents {
		if runs[parent] {
			passed++
		}
		if parent == "00-"+trace+"2-"+caller+"-00" {
			unsampled++
		}
	}
	if passed != 4 || unsampled != 2 || len(runs) != 4 {
		t.Errorf("got %d tasks with the context of a run span of %d, and %d with the caller's; want 4, 4 and 2", passed, len(runs), unsampled)
	}
}

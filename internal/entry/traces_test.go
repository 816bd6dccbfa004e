package entry

import (
	"fmt"
	"testing"

	sdk "go.opentelemetry.io/otel/sdk/trace"

	"github.com/teaseltide/teaseltide/internal/dispatch"
	"github.com/teaseltide/teaseltide/internal/wire"
)

const sampledParent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// Guards against unbounded tables of spans: every way in which a job ends must
// remove its entries, and jobs beyond the bound get no spans. Jobs that are not
// sampled must add no entries.
func TestTracesAreBounded(t *testing.T) {
	skipped := 0
	tr := newTraces(sdk.NewTracerProvider().Tracer("test"), func() { skipped++ })
	job := func(i int, parent string) *wire.Job {
		return &wire.Job{Service: "s", Team: "t", Key: fmt.Sprint(i), Traceparent: parent}
	}
	forward := func(i int) dispatch.PeerMessage {
		return dispatch.PeerMessage{Entry: "b", Envelope: wire.Wrap(&wire.Forward{Request: uint64(i), Job: job(i, sampledParent)})}
	}
	sent := func(i int) dispatch.SendSidecar {
		return dispatch.SendSidecar{Sidecar: "s", Envelope: wire.Wrap(&wire.Dispatch{
			Job:   &wire.JobRef{Service: "s", Team: "t", Key: fmt.Sprint(i)},
			Tasks: []*wire.DispatchTask{{Index: 0}, {Index: 1}},
		})}
	}
	for i := range 3 * maxTraced {
		tr.observeEvent(dispatch.Submit{Request: dispatch.RequestID(i), Job: job(i, sampledParent[:len(sampledParent)-1]+"0")})
	}
	if n := len(tr.jobs) + len(tr.requests); n != 0 || skipped != 0 {
		t.Errorf("got %d entries for jobs that are not sampled, want 0", n)
	}
	leave := map[string]func(i int){
		"reply":   func(i int) { tr.observeCommand(dispatch.Reply{Request: dispatch.RequestID(i), Answer: &wire.Answer{}}) },
		"abandon": func(i int) { tr.observeEvent(dispatch.CallerDisconnected{Request: dispatch.RequestID(i)}) },
		"answer": func(i int) {
			tr.observeCommand(dispatch.SendPeer{Entry: "b", Envelope: wire.Wrap(&wire.Answer{Request: uint64(i)})})
		},
		"session lost": func(int) { tr.observeEvent(dispatch.PeerDisconnected{Entry: "b"}) },
	}
	for name, leave := range leave {
		skipped = 0
		for i := range maxTraced + 10 {
			if name == "reply" || name == "abandon" {
				tr.observeEvent(dispatch.Submit{Request: dispatch.RequestID(i), Job: job(i, sampledParent)})
				tr.observeCommand(dispatch.SendPeer{Entry: "b", Envelope: wire.Wrap(&wire.Forward{Request: uint64(i), Job: job(i, sampledParent)})})
			} else {
				tr.observeEvent(forward(i))
			}
			tr.observeCommand(sent(i))
		}
		if len(tr.jobs) != maxTraced || skipped != 10 {
			t.Errorf("%s: got %d jobs and %d skipped, want %d and 10", name, len(tr.jobs), skipped, maxTraced)
		}
		for i := range maxTraced + 10 {
			leave(i)
		}
		if n := len(tr.jobs) + len(tr.requests) + len(tr.served); n != 0 {
			t.Errorf("%s: got %d entries left, want 0", name, n)
		}
	}
}

// BenchmarkUnsampled measures the cost of tracing for a job that is not sampled.
func BenchmarkUnsampled(b *testing.B) {
	tr := newTraces(sdk.NewTracerProvider().Tracer("test"), func() {})
	submit := dispatch.Submit{Job: &wire.Job{Traceparent: sampledParent[:len(sampledParent)-1] + "0"}}
	results := dispatch.SidecarMessage{Envelope: wire.Wrap(&wire.Results{})}
	reply := dispatch.Reply{}
	b.ReportAllocs()
	for b.Loop() {
		tr.observeEvent(submit)
		tr.observeEvent(results)
		tr.observeCommand(reply)
		tr.endResultSpans()
	}
}

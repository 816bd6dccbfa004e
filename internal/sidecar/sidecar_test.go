package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/ownership"
	standin "github.com/teaseltide/teaseltide/internal/standin/backend"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const entry = "entry-a"

var partition = uint32(ownership.PartitionOf("s"))

// fakeStore fails the first of consecutive calls of the same name, like a store
// that recovers from an outage.
type fakeStore struct {
	mu    sync.Mutex
	calls []string
}

func (f *fakeStore) call(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, name)
	if n := len(f.calls); n == 1 || f.calls[n-2] != name {
		return errors.New("unavailable")
	}
	return nil
}

func (f *fakeStore) Register(context.Context, Registration) error { return f.call("register") }

func (f *fakeStore) Deregister(context.Context, ownership.Incarnation) error {
	return f.call("deregister")
}

func (f *fakeStore) ReadRecord(context.Context) (ownership.Record, error) {
	r := ownership.Record{Revision: 3}
	for p := range r.Partitions {
		r.Partitions[p] = ownership.Assignment{Owner: entry, Epoch: 2}
	}
	return r, f.call("read")
}

// fakeSessions records the frames that are sent, with their sessions.
type fakeSessions struct {
	handler chan Handler
	frames  chan frame
}

type frame struct {
	session SessionID
	env     *wire.Envelope
}

func (f *fakeSessions) Serve(ctx context.Context, h Handler) error {
	f.handler <- h
	<-ctx.Done()
	return nil
}

func (f *fakeSessions) Send(s SessionID, env *wire.Envelope) { f.frames <- frame{s, env} }
func (f *fakeSessions) Flush(context.Context)                {}

// await returns the next frame that match accepts.
func (f *fakeSessions) await(t *testing.T, match func(frame) bool) frame {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case got := <-f.frames:
			if match(got) {
				return got
			}
		case <-timeout:
			t.Fatal("no such frame within 10 s")
		}
	}
}

func fenceFrame() *wire.Envelope {
	f := &wire.Fence{Partitions: []*wire.PartitionEpoch{{Partition: partition, Epoch: 2}}}
	return &wire.Envelope{Body: &wire.Envelope_Fence{Fence: f}}
}

func dispatchFrame(key string, indexes ...uint32) *wire.Envelope {
	job := &wire.JobRef{Service: "s", Team: "t", Key: key, ExpiresAtMs: time.Now().Add(time.Minute).UnixMilli()}
	d := &wire.Dispatch{Partition: partition, Epoch: 2, Job: job}
	for _, i := range indexes {
		d.Tasks = append(d.Tasks, &wire.DispatchTask{Index: i, Payload: []byte(`{"run-ms": 50}`)})
	}
	return &wire.Envelope{Body: &wire.Envelope_Dispatch{Dispatch: d}}
}

// Guards against lost and repeated tasks between the core, the store, the sessions
// and the backend server. Runs a sidecar from start to planned stop with a store
// that fails at first, a backend server that counts the starts itself, a session
// that is replaced while tasks run, and frames of the replaced session.
func TestSidecarLifecycle(t *testing.T) {
	store := &fakeStore{}
	sessions := &fakeSessions{handler: make(chan Handler, 1), frames: make(chan frame, 1000)}
	registry := prometheus.NewRegistry()
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	announce := make(chan string, 1)
	done := make(chan error, 1)
	go func() {
		done <- Run(ctx, Settings{Name: "side", Announce: "127.0.0.1:0", MaxQueued: 100, ClockSkew: 5000}, Deps{
			Store: store, Sessions: sessions, Clock: clock.NewSystem(), Log: zap.NewNop(), Metrics: registry,
			OnListen: func(a string) { announce <- a },
		})
	}()
	standinCtx, stopStandin := context.WithCancel(context.Background())
	defer stopStandin()
	bound := make(chan string, 1)
	go standin.Run(standinCtx, standin.Settings{
		Name: "w", Services: []string{"s"}, Slots: 4, Sidecar: <-announce, Listen: "127.0.0.1:0",
		OnListen: func(a string) { bound <- a },
	})
	server := <-bound
	h := <-sessions.handler

	if err := h.Connected(1, &wire.Hello{Role: wire.Hello_ROLE_SIDECAR, Incarnation: entry}); err == nil {
		t.Error("got a session with a process that is not an entry, want an error")
	}
	hello := &wire.Hello{Role: wire.Hello_ROLE_ENTRY, Incarnation: entry, RecordRevision: 3}
	for h.Hello().GetSidecar().GetSlots() != 4 || !h.Hello().GetSidecar().GetReady() {
		time.Sleep(5 * time.Millisecond)
	}
	if err := h.Connected(2, hello); err != nil {
		t.Fatal(err)
	}
	h.Message(2, fenceFrame())
	sessions.await(t, func(f frame) bool { return f.env.GetFenceAck() != nil })
	h.Message(2, dispatchFrame("k", 0, 1, 2, 3, 4, 5))
	if err := h.Connected(3, hello); err != nil {
		t.Fatal(err)
	}
	h.Message(2, dispatchFrame("stale", 0))
	h.Disconnected(2)
	h.Message(3, fenceFrame())
	h.Message(3, dispatchFrame("k", 0, 1, 2, 3, 4, 5))
	ended := map[uint32]bool{}
	for len(ended) < 6 {
		f := sessions.await(t, func(f frame) bool { return f.env.GetResults() != nil })
		if f.session != 3 {
			t.Fatalf("got results on session %d, want 3", f.session)
		}
		for _, r := range f.env.GetResults().GetTasks() {
			if r.GetOutcome() == wire.Outcome_OUTCOME_DONE {
				ended[r.GetIndex()] = true
			}
		}
	}
	counts := readCounts(t, server)
	if counts.Total != 6 || counts.MaxRunning > 4 || counts.Refused != 0 {
		t.Errorf("got counts %+v, want 6 starts, at most 4 at once", counts)
	}
	for i := range 6 {
		if got := counts.Starts[fmt.Sprintf("s:t:k:%d", i)]; got != 1 {
			t.Errorf("got %d starts of task %d, want 1", got, i)
		}
	}
	leave()
	sessions.await(t, func(f frame) bool { return f.env.GetSidecarState().GetLeaving() })
	h.Message(3, wire.Wrap(&wire.LeaveAck{Partitions: []*wire.PartitionEpoch{{Partition: partition, Epoch: 2}}}))
	if err := <-done; err != nil {
		t.Error(err)
	}
	if got := store.calls[len(store.calls)-1]; got != "deregister" {
		t.Errorf("got last store call %q, want deregister", got)
	}
	if got := outcomes(t, registry); got["done"] != 6 || len(got) != 1 {
		t.Errorf("got outcomes %v, want 6 done", got)
	}
}

func outcomes(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, f := range families {
		if f.GetName() != "teaseltide_sidecar_task_outcomes_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			got[m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
		}
	}
	return got
}

func readCounts(t *testing.T, address string) standin.Counts {
	t.Helper()
	resp, err := http.Get("http://" + address + "/counts")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var c standin.Counts
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		t.Fatal(err)
	}
	return c
}

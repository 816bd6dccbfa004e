package executor_test

import (
	"math"
	"strconv"
	"strings"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// Guards against a sidecar that ignores its worker for ever: a report of another
// writer named an incarnation of the far future, so that all later listings and
// reports of the worker counted as delayed ones.
func TestReportOfAnotherWriterDoesNotHideTheWorker(t *testing.T) {
	odd := func(id string, born int64) executor.Worker {
		return executor.Worker{ID: id, Incarnation: born, Sequence: 1 << 40, Service: "s", Capacity: batch.Resources{CPU: 20_000, MemoryMB: 1000}}
	}
	for name, report := range map[string]executor.Worker{
		"same id":    odd("w", math.MaxInt64),
		"another id": odd("other", math.MaxInt64),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			running, next := runID("a"), runID("b")
			h.x.OrdersReceived(h.now, entryA, h.orders(start(running, 6000, true)))
			h.tick()
			h.x.StartAnswered(h.now, running, firstToken, executor.StartAccepted)
			// The other writer repeats its report, the worker its own.
			for range 4 {
				h.x.WorkerReported(h.now, report)
				h.advance(500)
				h.x.OrdersReceived(h.now, entryA, h.orders())
				for range 2 {
					h.list(h.x.ListRequest(h.now).Token, 1, []executor.ListedRun{{Run: running}}, nil)
				}
				h.report(1, 20_000)
				h.advance(20)
			}
			if got, want := h.states(entryA)[running], wire.TaskEvent_STATE_RUNNING; got != want {
				t.Errorf("state of the run that the worker lists: got %v, want %v", got, want)
			}
			h.x.OrdersReceived(h.now, entryA, h.orders(start(next, 6000, true), start(runID("c"), 18_000, true)))
			h.tick()
			if got := h.starts(); len(got) != 1 || got[0].Run != next || got[0].Worker != "w" {
				t.Errorf("starts: got %v, want %v on worker w", got, next)
			}
		})
	}
}

// Guards against a sidecar that follows another writer from its own start on.
func TestFirstReportOfAnotherWriter(t *testing.T) {
	h := &harness{t: t, x: executor.New(firstToken, maxLease), now: 1_000_000}
	h.x.FencesLoaded(h.now, nil)
	h.x.WorkerReported(h.now, executor.Worker{ID: "other", Incarnation: math.MaxInt64, Sequence: 1, Service: "s"})
	h.x.EntryConnected(entryA)
	for range 2 {
		h.advance(100)
		h.list(h.x.ListRequest(h.now).Token, 1, nil, nil)
		h.report(1, 20_000)
	}
	h.x.OrdersReceived(h.now, entryA, h.orders(start(runID("a"), 6000, true)))
	h.tick()
	if got := h.starts(); len(got) != 1 || got[0].Worker != "w" {
		t.Errorf("starts: got %v, want one on worker w", got)
	}
}

// Guards against a listing of the previous worker that was delayed and replaces the
// present one.
func TestDelayedListingOfThePreviousWorker(t *testing.T) {
	for name, h := range map[string]*harness{
		"sidecar that knows the previous worker": newHarness(t),
		"sidecar that starts":                    {t: t, x: executor.New(firstToken, maxLease), now: 1_000_000},
	} {
		t.Run(name, func(t *testing.T) {
			h.x.FencesLoaded(h.now, nil)
			h.x.EntryConnected(entryA)
			request := h.x.ListRequest(h.now)
			h.advance(10)
			h.sequence = 0
			h.report(2, 20_000)
			h.advance(10)
			h.x.RunsListed(h.now, executor.Listing{
				Token: request.Token, RequestedAt: request.RequestedAt, Incarnation: 1, Running: []executor.ListedRun{{Run: runID("a")}},
			})
			h.report(2, 20_000)
			h.list(h.x.ListRequest(h.now).Token, 2, nil, nil)
			h.x.OrdersReceived(h.now, entryA, h.orders(start(runID("b"), 18_000, true)))
			h.tick()
			if got := h.starts(); len(got) != 1 || got[0].Run != runID("b") {
				t.Errorf("starts on the present worker: got %v, want %v", got, runID("b"))
			}
		})
	}
}

// Guards against a sidecar that never learns of its worker's present capacity:
// another writer sent a report under the worker's id with a sequence that the
// worker never reaches. A single delayed report must still not be used.
func TestSequenceOfAnotherWriter(t *testing.T) {
	h := newHarness(t)
	h.x.WorkerReported(h.now, executor.Worker{
		ID: "w", Incarnation: 1, Sequence: math.MaxInt64, Service: "s", Capacity: batch.Resources{CPU: 90_000, MemoryMB: 1000},
	})
	accepts := func() bool {
		id := runID(strconv.Itoa(int(h.now)))
		h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 30_000, true)))
		h.tick()
		return h.states(entryA)[id] != wire.TaskEvent_STATE_NOT_STARTED
	}
	h.advance(100)
	h.report(1, 20_000)
	if !accepts() {
		t.Error("start that fits the last report: got it refused after a delayed report, want it accepted")
	}
	for range 6 {
		h.advance(1500)
		h.report(1, 20_000)
	}
	h.list(h.x.ListRequest(h.now).Token, 1, nil, nil)
	if accepts() {
		t.Error("start above the worker's capacity: got it accepted, want it refused")
	}
}

// Guards against a stored worker description of another writer that offers room the
// worker does not have, or an id that no call can carry.
func TestDecodeWorker(t *testing.T) {
	const good = `{"id":"w","born":1,"service":"s","capacity":{"CPU":6000,"MemoryMB":10},"labels":["a"]}`
	if w, ok := executor.DecodeWorker([]byte(good)); !ok || w.ID != "w" || w.Capacity.CPU != 6000 {
		t.Errorf("own record: got %+v, %v, want it decoded", w, ok)
	}
	for _, odd := range []string{
		"", "null", "[]", "\xff", `{"id":`, strings.Repeat("[", 20_000),
		strings.Replace(good, `"w"`, `"w\n"`, 1),
		strings.Replace(good, `"w"`, `"\u00e9"`, 1),
		strings.Replace(good, `"w"`, `7`, 1),
		strings.Replace(good, `6000`, `-1`, 1),
		strings.Replace(good, `6000`, `9000000000000000000`, 1),
		strings.Replace(good, `6000`, `1e999`, 1),
		strings.Replace(good, `"born":1`, `"born":-1`, 1),
	} {
		if w, ok := executor.DecodeWorker([]byte(odd)); ok {
			t.Errorf("record %.60q: got %+v, want it rejected", odd, w)
		}
	}
}

package executor_test

import (
	"strconv"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
)

// started orders tasks of the given sizes and returns the starts.
func (h *harness) started(job string, sizes ...int64) []executor.StartRun {
	h.take()
	for i, cpu := range sizes {
		h.x.OrdersReceived(h.now, entryA, h.orders(start(runID(job+strconv.Itoa(i)), cpu, true)))
	}
	h.advance(20)
	return h.starts()
}

// freeCPU returns the free capacity of the next report that an entry gets.
func (h *harness) freeCPU() int64 {
	h.take()
	h.advance(150)
	h.x.OrdersReceived(h.now, entryA, h.orders())
	for _, c := range h.take() {
		if r, ok := c.(executor.Report); ok {
			return r.Report.GetLoad().GetFreeCpu()
		}
	}
	h.t.Fatal("no report")
	return 0
}

// Guards against a start that brings a worker over its capacity after that has
// shrunk: a start in flight, one without an answer and a run that is being stopped
// count against the newest capacity until they are over.
func TestShrunkCapacityIsNotExceeded(t *testing.T) {
	h := newHarness(t)
	active := h.started("a", 6000, 6000, 6000)
	if len(active) != 3 {
		t.Fatalf("starts: got %d, want 3", len(active))
	}
	stopping, unanswered, inFlight := active[0], active[1], active[2]
	h.x.StartAnswered(h.now, stopping.Run, stopping.Token, executor.StartAccepted)
	h.x.StartAnswered(h.now, unanswered.Run, unanswered.Token, executor.StartUnknown)
	o := h.orders()
	o.Stops = append(o.Stops, stopping.Run.Wire())
	h.x.OrdersReceived(h.now, entryA, o)
	h.report(1, 10_000)
	running := []executor.ListedRun{{Run: stopping.Run}}
	for i, step := range []struct {
		change   func()
		free     int64
		sizes    []int64
		wantRuns int
	}{
		{func() {}, -8000, []int64{1, 0}, 0},
		{func() { h.list(firstToken, 1, running, nil) }, -8000, []int64{1}, 0},
		{func() {
			h.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: stopping.Run, End: batch.OutcomeStopped}})
		}, -2000, []int64{1}, 0},
		{func() { h.list(firstToken+1, 1, nil, nil) }, 4000, []int64{4001}, 0},
		{func() { h.report(1, 6000) }, 0, []int64{1}, 0},
		{func() { h.x.StartAnswered(h.now, inFlight.Run, inFlight.Token, executor.StartAccepted) }, 0, []int64{1}, 0},
		{func() { h.report(1, 20_000) }, 14_000, []int64{8000, 6000, 1}, 2},
	} {
		step.change()
		if got := h.freeCPU(); got != step.free {
			t.Errorf("free capacity in step %d: got %d, want %d", i, got, step.free)
		}
		if got := len(h.started("b"+strconv.Itoa(i), step.sizes...)); got != step.wantRuns {
			t.Errorf("starts in step %d: got %d, want %d", i, got, step.wantRuns)
		}
	}
}

// Guards against a start that brings a worker over its capacity after a restart of
// the sidecar: the stored description of the worker may be older than its report.
func TestReportReplacesTheRestoredCapacity(t *testing.T) {
	restored := executor.Worker{ID: "w", Incarnation: 1, Service: "s", Capacity: batch.Resources{CPU: 20_000, MemoryMB: 1000}}
	for name, begin := range map[string]func(h *harness){
		"restored before the listing": func(h *harness) {
			h.x.WorkerRestored(restored)
			h.list(firstToken, 1, nil, nil)
			h.report(1, 5000)
		},
		"restored after the listing": func(h *harness) {
			h.list(firstToken, 1, nil, nil)
			h.x.WorkerRestored(restored)
			h.report(1, 5000)
		},
		"restored after the report": func(h *harness) {
			h.report(1, 5000)
			h.x.WorkerRestored(restored)
			h.list(firstToken, 1, nil, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := &harness{t: t, x: executor.New(firstToken, maxLease), now: 1_000_000}
			h.x.FencesLoaded(h.now, nil)
			h.x.EntryConnected(entryA)
			begin(h)
			h.x.OrdersReceived(h.now, entryA, h.orders())
			if got := len(h.started("large", 5001)); got != 0 {
				t.Errorf("starts above the reported capacity: got %d, want 0", got)
			}
			if got := len(h.started("small", 5000)); got != 1 {
				t.Errorf("starts within the reported capacity: got %d, want 1", got)
			}
		})
	}
}

// Guards against a worker that runs more than it has room for: its next incarnation executed
// a late start of a task of which a later attempt had run on the one before. The late run has
// no place among the runs of the sidecar, but takes room until it has been stopped.
func TestNothingStartsBesideASupersededRun(t *testing.T) {
	h := newHarness(t)
	first, second := runID("j"), runID("j")
	second.Attempt = 2
	h.x.OrdersReceived(h.now, entryA, h.orders(start(first, 15_000, false)))
	h.tick()
	h.x.StartAnswered(h.now, first, firstToken, executor.StartUnknown)
	h.advance(20)
	h.list(h.x.ListRequest(h.now).Token, 1, nil, nil)
	h.x.OrdersReceived(h.now, entryA, h.orders(start(second, 15_000, false)))
	h.tick()
	h.x.StartAnswered(h.now, second, h.x.ListRequest(h.now).Token, executor.StartAccepted)
	h.advance(20)
	h.take()
	h.sequence = 0
	h.report(2, 20_000)
	h.list(h.x.ListRequest(h.now).Token, 2, []executor.ListedRun{{Run: first}}, nil)
	if got := h.started("beside", 15_000); len(got) != 0 {
		t.Errorf("starts beside the late run: got %v, want none", got)
	}
	if h.x.HoldsNothing() {
		t.Error("holds nothing beside the late run: got true, want false")
	}
	h.advance(20)
	h.list(h.x.ListRequest(h.now).Token, 2, nil, []executor.ListedEnd{{Sequence: 1, Run: first, End: batch.OutcomeStopped}})
	if got := h.started("after", 15_000); len(got) != 1 {
		t.Errorf("starts after its end: got %v, want one", got)
	}
}

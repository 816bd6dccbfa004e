package executor_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// announce delivers a report of the worker with announcements.
func (h *harness) announce(warmupLeft, remaining clock.Millis, draining bool) {
	h.sequence++
	h.x.WorkerReported(h.now, executor.Worker{
		ID: "w", Incarnation: 1, Sequence: h.sequence, Service: "s", Capacity: batch.Resources{CPU: 20_000, MemoryMB: 1000},
		WarmupLeft: warmupLeft, Remaining: remaining, Draining: draining,
	})
}

// startDeclared starts a run with a declared time of a second.
func (h *harness) startDeclared(id batch.RunID) {
	s := start(id, 2000, true)
	s.EstimatedMs = 1000
	h.x.OrdersReceived(h.now, entryA, h.orders(s))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
}

// stopReasons ticks for a while, with a run at a progress, and returns the reasons of its stops.
func (h *harness) stopReasons(id batch.RunID, percent int, d clock.Millis) []executor.StopReason {
	var reasons []executor.StopReason
	for end := h.now + d; h.now < end; {
		h.x.OrdersReceived(h.now, entryA, h.orders())
		h.list(firstToken, 1, []executor.ListedRun{{Run: id, Percent: percent}}, nil)
		h.advance(20)
		for _, c := range h.take() {
			if s, ok := c.(executor.StopRun); ok {
				reasons = append(reasons, s.Reason)
			}
		}
	}
	return reasons
}

// A worker terminates at short notice. Guards against runs that are lost with it although
// they could have started elsewhere, and against stops of runs that would have ended.
func TestRunsThatCannotEndBeforeTheirWorkerAreStopped(t *testing.T) {
	for name, test := range map[string]struct {
		percent   int
		remaining clock.Millis
		draining  bool
		stopped   bool
	}{
		"projected to need 1,800 ms of 1,000":           {10, 1000, true, true},
		"projected to need 400 ms of 1,000":             {33, 1000, true, false},
		"projected to need 400 ms of 300":               {33, 300, true, true},
		"no progress yet, declared to need 800 of 300":  {0, 300, true, true},
		"no progress yet, may need 500 ms of the 600":   {0, 600, true, false},
		"end of the worker unknown":                     {10, 0, true, false},
		"worker not draining, with an announcement":     {10, 100, false, false},
		"projected to need 1,800 ms of 2,000 that stay": {10, 2000, true, false},
	} {
		h := newHarness(t)
		id := runID("j")
		h.startDeclared(id)
		h.stopReasons(id, 0, 200)
		h.announce(0, test.remaining, test.draining)
		reasons := h.stopReasons(id, test.percent, 60)
		if got := len(reasons) > 0; got != test.stopped {
			t.Errorf("%s: got stopped %v, want %v", name, got, test.stopped)
		}
		if len(reasons) > 0 && reasons[0] != executor.StopWorkerLeaves {
			t.Errorf("%s: reason: got %s, want %s", name, reasons[0], executor.StopWorkerLeaves)
		}
	}
}

// Rule 1: the entry may start the task elsewhere only after the end of the run is listed.
// Guards against an end that is reported with the stop.
func TestStopOfALeavingWorkerIsReportedAfterItsEnd(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.startDeclared(id)
	h.stopReasons(id, 0, 200)
	h.announce(0, 500, true)
	h.list(firstToken, 1, []executor.ListedRun{{Run: id, Percent: 10}}, nil)
	h.advance(20)
	h.advance(150)
	if got, ok := h.states(entryA)[id]; ok && got != wire.TaskEvent_STATE_RUNNING {
		t.Errorf("state before the end is listed: got %v, want none", got)
	}
	h.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeStopped}})
	h.tick()
	if got := h.states(entryA)[id]; got != wire.TaskEvent_STATE_STOPPED {
		t.Errorf("state after the end is listed: got %v, want %v", got, wire.TaskEvent_STATE_STOPPED)
	}
}

// A worker stays for longer than it announced. Guards against runs that are stopped then,
// and against new ones that start.
func TestWorkerStaysLongerThanAnnounced(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.startDeclared(id)
	h.stopReasons(id, 0, 200)
	h.announce(0, 450, true)
	for _, percent := range []int{42, 51, 60, 69, 78, 87, 96, 97, 98, 99} {
		if got := h.stopReasons(id, percent, 60); len(got) > 0 {
			t.Errorf("stops at %d percent: got %v, want none", percent, got)
			break
		}
	}
	h.x.OrdersReceived(h.now, entryA, h.orders(start(runID("k"), 2000, true)))
	h.tick()
	if got := h.starts(); len(got) > 0 {
		t.Errorf("starts on the draining worker: got %v, want none", got)
	}
}

// Guards against entries that don't learn that a worker is cold or about to end.
func TestAnnouncementsAreReported(t *testing.T) {
	h := newHarness(t)
	announced := 0
	load := func() *wire.WorkerLoad {
		var last *wire.WorkerLoad
		h.advance(200)
		for _, c := range h.take() {
			if r, ok := c.(executor.Report); ok {
				last = r.Report.GetLoad()
			}
			if _, ok := c.(executor.LifecycleAnnounced); ok {
				announced++
			}
		}
		return last
	}
	h.announce(5000, 0, false)
	if got := load().GetWarmupLeftMs(); got != 4800 {
		t.Errorf("warm-up left: got %d ms, want 4800", got)
	}
	h.announce(0, 800, true)
	if got := load(); got.GetWarmupLeftMs() != 0 || got.GetRemainingMs() != 600 {
		t.Errorf("load of the draining worker: got warm-up %d ms and remaining %d ms, want 0 and 600", got.GetWarmupLeftMs(), got.GetRemainingMs())
	}
	h.announce(0, 0, false)
	if got := load(); got.GetRemainingMs() != 0 || !got.GetReady() {
		t.Errorf("load after the draining was revoked: got remaining %d ms and ready %v, want 0 and true", got.GetRemainingMs(), got.GetReady())
	}
	if announced != 3 {
		t.Errorf("changes of the announcement: got %d, want 3", announced)
	}
}

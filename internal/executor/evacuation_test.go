package executor_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/evacuation"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const ownDomain = ownership.Domain("z1")

// newEvacuationHarness returns a harness of a sidecar in ownDomain that has no set.
func newEvacuationHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.x.RequireEvacuations(ownDomain)
	h.advance(20)
	h.take()
	return h
}

// order orders a run and returns whether it starts, the reason if it is refused, and the
// load that the entry is told.
func (h *harness) order(id batch.RunID) (started bool, reason executor.RefusalReason, load *wire.WorkerLoad) {
	h.take()
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 1000, true)))
	h.tick()
	h.advance(150)
	for _, c := range h.take() {
		switch c := c.(type) {
		case executor.StartRun:
			started = c.Run == id
		case executor.OrderRefused:
			reason = c.Reason
		case executor.Report:
			load = c.Report.GetLoad()
		}
	}
	return started, reason, load
}

// Guards against starts in an evacuated zone on the orders of an entry that does not know
// of the evacuation (rule 6), and against a worker that stays unused after it.
func TestEvacuatedSidecarStartsNothing(t *testing.T) {
	h := newEvacuationHarness(t)
	for i, step := range []struct {
		set     *evacuation.Set
		started bool
		reason  executor.RefusalReason
	}{
		{evacuation.New(10), true, ""},
		{evacuation.New(11, "z2", "z3"), true, ""},
		{evacuation.New(12, "z2", ownDomain), false, executor.RefusedEvacuated},
		{evacuation.New(13, ownDomain), false, executor.RefusedEvacuated},
		{evacuation.New(14), true, ""},
		{evacuation.New(16, ownDomain), false, executor.RefusedEvacuated},
	} {
		h.x.SetEvacuations(step.set)
		h.tick()
		started, reason, load := h.order(runID(string(rune('a' + i))))
		if started != step.started || reason != step.reason {
			t.Errorf("set %v: got started %v reason %q, want %v %q", step.set, started, reason, step.started, step.reason)
		}
		if got := load.GetEvacuated(); got == step.started || load.GetReady() != step.started {
			t.Errorf("set %v: got evacuated %v ready %v", step.set, got, load.GetReady())
		}
	}
}

// Guards against a queued start that outlives the evacuation, and against runs at work that
// are stopped by it.
func TestEvacuationReturnsQueuedStartsOnly(t *testing.T) {
	h := newEvacuationHarness(t)
	h.x.SetEvacuations(evacuation.New(10))
	active, queued := runID("active"), runID("queued")
	h.startRun(active, executor.StartAccepted)
	h.x.OrdersReceived(h.now, entryA, h.orders(start(queued, 1000, true)))
	h.x.SetEvacuations(evacuation.New(11, ownDomain))
	h.tick()
	var reasons []executor.RefusalReason
	var reported wire.TaskEvent_State
	for i := range 10 {
		h.x.OrdersReceived(h.now, entryA, h.orders())
		h.list(firstToken, 1, []executor.ListedRun{{Run: active, Percent: i + 1}}, nil)
		h.advance(100)
	}
	for _, c := range h.take() {
		switch c := c.(type) {
		case executor.StopRun:
			t.Errorf("run at work was stopped: %s", c.Reason)
		case executor.OrderRefused:
			reasons = append(reasons, c.Reason)
		case executor.StartRun:
			if c.Run == queued {
				t.Error("the queued start was carried out")
			}
		case executor.Report:
			for _, e := range c.Report.GetEvents() {
				if batch.RunIDFromWire(e.GetRun()) == queued {
					reported = e.GetState()
				}
			}
		}
	}
	if len(reasons) != 1 || reasons[0] != executor.RefusedEvacuated || reported != wire.TaskEvent_STATE_NOT_STARTED {
		t.Errorf("queued start: got reasons %v state %v, want evacuated and not started", reasons, reported)
	}
	if request := h.x.ListRequest(h.now); request.LeaseUntil == 0 {
		t.Error("the lease is not renewed for the run at work")
	}
	h.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: active, End: batch.OutcomeDone}})
	h.tick()
	if got := h.states(entryA)[active]; got != wire.TaskEvent_STATE_DONE {
		t.Errorf("end of the run at work: got %v, want done", got)
	}
}

// Guards against starts of a new sidecar that does not know yet whether its zone is
// evacuated, for example while the store is down.
func TestNewSidecarWaitsForASet(t *testing.T) {
	h := newEvacuationHarness(t)
	if started, reason, load := h.order(runID("early")); started || reason != executor.RefusedNotReady || load.GetReady() || load.GetEvacuated() {
		t.Errorf("without a set: got started %v reason %q load %v", started, reason, load)
	}
	h.x.SetEvacuations(nil)
	if started, _, _ := h.order(runID("still-early")); started {
		t.Error("a nil set permits starts")
	}
	h.x.SetEvacuations(evacuation.New(10, "z2"))
	if started, reason, _ := h.order(runID("later")); !started {
		t.Errorf("with a set: got refused for %q, want started", reason)
	}
}

// Guards against starts of a new sidecar whose zone has an unreadable key and was evacuated
// before, and against one that waits for ever if nobody knows the state.
func TestNewSidecarWaitsForTheStateOfItsDomain(t *testing.T) {
	undetermined := evacuation.New(30)
	undetermined.Undetermined = []evacuation.Undetermined{{Domain: ownDomain, Revision: 20}}
	for name, test := range map[string]struct {
		later   *evacuation.Set
		wait    clock.Millis
		started bool
	}{
		"not told yet":         {undetermined, 1000, false},
		"nobody knows":         {undetermined, 2000, true},
		"told, evacuated":      {evacuation.New(30, ownDomain), 2000, false},
		"told, not evacuated":  {evacuation.New(30), 100, true},
		"readable, evacuated":  {evacuation.New(40, ownDomain), 2000, false},
		"readable, other zone": {evacuation.New(40, "z2"), 100, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newEvacuationHarness(t)
			h.x.SetEvacuations(undetermined)
			if started, reason, _ := h.order(runID("early")); started || reason != executor.RefusedNotReady {
				t.Errorf("at first: got started %v reason %q, want not ready", started, reason)
			}
			h.x.SetEvacuations(test.later)
			h.advance(test.wait)
			h.list(firstToken, 1, nil, nil)
			if started, reason, _ := h.order(runID("later")); started != test.started {
				t.Errorf("later: got started %v reason %q, want %v", started, reason, test.started)
			}
		})
	}
}

// Guards against a feature that delays the sidecars of installations without it.
func TestWithoutEvacuationsNothingChanges(t *testing.T) {
	h := newHarness(t)
	h.x.SetEvacuations(evacuation.New(10, "", ownDomain))
	if started, reason, load := h.order(runID("j")); !started || load.GetEvacuated() {
		t.Errorf("got started %v reason %q evacuated %v, want a start", started, reason, load.GetEvacuated())
	}
	for _, c := range h.take() {
		if r, ok := c.(executor.Report); ok && r.Report.GetEvacuations() != nil {
			t.Error("a report has a set")
		}
	}
}

// Guards against an entry without contact with the store that keeps an old set although a
// sidecar has a newer one, and against a set in every report.
func TestSidecarReportsANewerSet(t *testing.T) {
	for name, test := range map[string]struct {
		entry *evacuation.Set
		// orders is whether the entry sends orders.
		orders bool
		within clock.Millis
		want   int
	}{
		"entry sends nothing":      {nil, false, 150, 1},
		"entry has none":           {nil, true, 0, 1},
		"entry has an older one":   {evacuation.New(10, "z2"), true, 0, 1},
		"older with same domains":  {evacuation.New(10, "z3"), true, 1000, 0},
		"entry has a newer one":    {evacuation.New(30), true, 1000, 0},
		"entry has the same":       {evacuation.New(20, "z3"), true, 1000, 0},
		"entry was told of it now": {evacuation.New(21, "z3"), true, 1000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newEvacuationHarness(t)
			h.x.SetEvacuations(evacuation.New(20, "z3"))
			h.x.EntryConnected(entryB)
			h.tick()
			if test.orders {
				o := h.orders()
				o.Sequence, o.Evacuations = 1, test.entry.Wire()
				h.x.OrdersReceived(h.now, entryB, o)
			}
			h.tick()
			for range test.within / 10 {
				h.advance(10)
			}
			got := 0
			for range 2 {
				for _, c := range h.take() {
					if r, ok := c.(executor.Report); ok && r.Entry == entryB && r.Report.GetEvacuations() != nil {
						got++
					}
				}
				if got < test.want {
					t.Errorf("no set within %d ms", test.within)
				}
				h.advance(500)
			}
			if got != test.want {
				t.Errorf("reports with a set: got %d, want %d", got, test.want)
			}
		})
	}
}

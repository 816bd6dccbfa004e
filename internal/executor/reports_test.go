package executor_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// reports counts the reports to an entry during d while the worker's load changes
// with each tick.
func (h *harness) reports(to ownership.Incarnation, d clock.Millis) int {
	h.take()
	for end := h.now + d; h.now < end; {
		h.report(1, 20_000+int64(h.now))
		h.advance(20)
	}
	count := 0
	for _, c := range h.take() {
		if r, ok := c.(executor.Report); ok && r.Entry == to {
			count++
		}
	}
	return count
}

// Guards against the load of reports in a large fleet: with 35 entries and 160
// workers, most entries have no run at a given worker, and a report of each change
// to each entry took most of the processor time. An entry that follows the worker
// loosely gets a few reports a second while it has no run there and waits for no
// capacity, otherwise as many as its grants need.
func TestLooselyFollowingEntryGetsFewReports(t *testing.T) {
	// A loosely followed worker sends two or three reports a second; a grant of
	// 700 ms needs at least five.
	const few, enough = 3, 5
	for name, test := range map[string]struct {
		orders func(h *harness) *wire.TaskOrders
		want   int
	}{
		"no run":             {func(h *harness) *wire.TaskOrders { return h.orders() }, few},
		"a run":              {func(h *harness) *wire.TaskOrders { return h.orders(start(runID("j"), 6000, true)) }, enough},
		"waits for capacity": {func(h *harness) *wire.TaskOrders { o := h.orders(); o.Demand, o.DemandCpu = 1, 1<<40; return o }, enough},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			o := test.orders(h)
			o.Loose = true
			h.x.OrdersReceived(h.now, entryA, o)
			h.tick()
			h.x.StartAnswered(h.now, runID("j"), firstToken, executor.StartAccepted)
			got := h.reports(entryA, clock.Second)
			if test.want == few && got > few || test.want == enough && got < enough {
				t.Errorf("reports in a second: got %d, want at most %d without a run or demand and at least %d otherwise", got, few, enough)
			}
		})
	}
}

// An event that an entry must act on is reported immediately, also to an entry that
// follows the worker loosely.
func TestLooselyFollowingEntryGetsEndsImmediately(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	o := h.orders(start(id, 6000, true))
	o.Loose = true
	h.x.OrdersReceived(h.now, entryA, o)
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
	h.advance(20)
	h.take()
	h.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}})
	h.tick()
	if got, want := h.states(entryA)[id], wire.TaskEvent_STATE_DONE; got != want {
		t.Errorf("state in the first report after the end: got %v, want %v", got, want)
	}
}

// An entry without runs at a worker sends no grants. When it takes over from another
// entry, the runs that it inherits must continue until it has claimed them.
func TestInheritedRunsSurviveAnIdleSuccessor(t *testing.T) {
	h := newHarness(t)
	h.x.EntryConnected(entryB)
	h.x.OrdersReceived(h.now, entryB, h.orders())
	for range 50 {
		h.x.OrdersReceived(h.now, entryA, h.orders())
		h.advance(100)
	}
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, false)))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
	h.take()
	h.x.FencesLoaded(h.now, map[ownership.Incarnation]ownership.Incarnation{entryA: entryB})
	h.advance(1000)
	for _, c := range h.take() {
		if l, ok := c.(executor.LeaseExpiring); ok {
			t.Errorf("the lease is not renewed because of run %v of the successor", l.Run)
		}
	}
}

// A start may arrive again after the end of its run was acknowledged, for example
// when an entry repeats orders in a new session. The worker would refuse the
// attempt, and the entry must get a report that nothing was started.
func TestOrderOfAnEndedAttemptStartsNothing(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, true)))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
	h.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}})
	h.x.OrdersReceived(h.now, entryA, &wire.TaskOrders{GrantedFrom: int64(h.now), Stored: []*wire.TaskRun{id.Wire()}})
	h.advance(20)
	if !h.x.Idle() {
		t.Fatal("the acknowledged run is still held")
	}
	h.take()
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, true)))
	h.advance(20)
	for _, c := range h.commands {
		if s, ok := c.(executor.StartRun); ok {
			t.Errorf("started %v again after its end", s.Run)
		}
	}
	if got, want := h.states(entryA)[id], wire.TaskEvent_STATE_NOT_STARTED; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}
}

// An end whose owner was silent until the lease expired doesn't count, because the
// entry may have placed the task on another worker. It must not be reported even
// while an earlier end of another entry is not yet stored.
func TestVoidEndIsNotReported(t *testing.T) {
	h := newHarness(t)
	h.x.EntryConnected(entryB)
	unstored, silent := runID("waits"), runID("silent")
	h.x.OrdersReceived(h.now, entryB, h.orders(start(unstored, 6000, false)))
	h.x.OrdersReceived(h.now, entryA, h.orders(start(silent, 6000, false)))
	h.tick()
	for _, id := range []batch.RunID{unstored, silent} {
		h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
	}
	ends := []executor.ListedEnd{{Sequence: 1, Run: unstored, End: batch.OutcomeDone}, {Sequence: 2, Run: silent, End: batch.OutcomeDone}}
	h.list(firstToken, 1, nil, ends)
	h.x.EntryDisconnected(entryA)
	for range 60 {
		h.x.OrdersReceived(h.now, entryB, h.orders())
		h.advance(100)
		h.list(firstToken, 1, nil, ends)
	}
	h.x.EntryConnected(entryA)
	h.take()
	h.advance(20)
	if got := h.states(entryA); len(got) != 0 {
		t.Errorf("reported to the entry that was silent: got %v, want nothing", got)
	}
}

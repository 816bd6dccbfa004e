package executor_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// Guards against an entry that held the same job before and stops or releases the
// run of the entry that holds it now, or has its end discarded: both number the
// runs alike.
func TestOrdersForTheRunOfAnotherEntryAreIgnored(t *testing.T) {
	for name, tt := range map[string]struct {
		from  ownership.Incarnation
		order string
		want  int
	}{
		"stop of another entry":    {entryB, "stop", 0},
		"release of another entry": {entryB, "release", 0},
		"stop of the owner":        {entryA, "stop", 1},
		"release of the owner":     {entryA, "release", 1},
		"stop of the successor":    {"successor", "stop", 1},
		"release of the successor": {"successor", "release", 1},
	} {
		t.Run(name, func(t *testing.T) {
			id := runID("j")
			h := newHarness(t)
			h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, false)))
			h.tick()
			h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
			h.x.EntryConnected(tt.from)
			h.tick()
			h.take()
			o := givenUp[tt.order](id)
			o.GrantedFrom = int64(h.now)
			if tt.from == "successor" {
				o.Fences = []*wire.FenceEntry{{Deposed: string(entryA), Successor: "successor"}}
			}
			h.x.OrdersReceived(h.now, tt.from, o)
			h.tick()
			if got := len(h.stops()); got != tt.want {
				t.Errorf("stops: got %d, want %d", got, tt.want)
			}
		})
	}
}

// An entry that is told to stop a run that isn't its own gets the answer that it
// started nothing, or it would wait for the end.
func TestStopOfAnotherEntrysRunIsAnswered(t *testing.T) {
	id := runID("j")
	h := startedRun(t, id)
	h.x.EntryConnected(entryB)
	h.tick()
	h.take()
	h.x.OrdersReceived(h.now, entryB, &wire.TaskOrders{GrantedFrom: int64(h.now), Stops: []*wire.TaskRun{id.Wire()}})
	h.tick()
	if got, want := h.states(entryB)[id], wire.TaskEvent_STATE_NOT_STARTED; got != want {
		t.Errorf("state: got %v, want %v", got, want)
	}
}

// Guards against an end that another entry acknowledges, which the owner then
// never learns of.
func TestEndIsAcknowledgedByItsOwnerOnly(t *testing.T) {
	id := runID("j")
	h := startedRun(t, id)
	h.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}})
	for _, tt := range []struct {
		from ownership.Incarnation
		want int64
	}{{entryB, 0}, {entryA, 1}} {
		h.x.OrdersReceived(h.now, tt.from, &wire.TaskOrders{GrantedFrom: int64(h.now), Stored: []*wire.TaskRun{id.Wire()}})
		h.tick()
		if got := h.x.ListRequest(h.now).Cursor; got != tt.want {
			t.Errorf("cursor after the acknowledgement of %s: got %d, want %d", tt.from, got, tt.want)
		}
	}
}

// Guards against a restarted sidecar that calls a run of its predecessor not started
// or lost before the worker has listed it: the caller was told that its job had not
// run, or the task was placed elsewhere beside the run.
func TestUnlistedRunIsNotReportedAsOver(t *testing.T) {
	id := runID("j")
	for name, orders := range map[string]*wire.TaskOrders{
		"stop":  {Stops: []*wire.TaskRun{id.Wire()}},
		"adopt": {Adopts: []*wire.TaskStart{start(id, 6000, true)}},
	} {
		t.Run(name, func(t *testing.T) {
			h := &harness{t: t, x: executor.New(firstToken, maxLease), now: 1_000_000}
			h.x.FencesLoaded(h.now, nil)
			h.report(1, 20_000)
			h.x.EntryConnected(entryA)
			h.tick()
			orders.GrantedFrom = int64(h.now)
			h.x.OrdersReceived(h.now, entryA, orders)
			h.advance(150)
			if got, ok := h.states(entryA)[id]; ok {
				t.Errorf("state before the first listing: got %v, want none", got)
			}
			h.list(firstToken, 1, []executor.ListedRun{{Run: id}}, nil)
			h.advance(20)
			if got, want := h.states(entryA)[id], wire.TaskEvent_STATE_RUNNING; got != want {
				t.Errorf("state after it: got %v, want %v", got, want)
			}
		})
	}
}

// Guards against an entry that learns only that a run of its stored job is unclaimed, and
// never that the run has ended: the adoption of the run tells its state.
func TestAdoptedRunOfAStoredJobIsReported(t *testing.T) {
	id := runID("j")
	for name, tt := range map[string]struct {
		running []executor.ListedRun
		ended   []executor.ListedEnd
		want    wire.TaskEvent_State
	}{
		"active": {running: []executor.ListedRun{{Run: id}}, want: wire.TaskEvent_STATE_RUNNING},
		"done":   {ended: []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}}, want: wire.TaskEvent_STATE_DONE},
		"failed": {ended: []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeFailed}}, want: wire.TaskEvent_STATE_FAILED},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.list(firstToken, 1, tt.running, tt.ended)
			h.tick()
			h.take()
			h.x.OrdersReceived(h.now, entryA, &wire.TaskOrders{GrantedFrom: int64(h.now), Adopts: []*wire.TaskStart{start(id, 6000, false)}})
			h.advance(20)
			if got, ok := h.states(entryA)[id]; !ok || got != tt.want {
				t.Errorf("state after the adoption: got %v, want %v", got, tt.want)
			}
		})
	}
}

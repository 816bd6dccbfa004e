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

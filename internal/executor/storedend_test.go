package executor_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// Guards against an end of a stored job that doesn't count: the worker's lease
// lapsed between the end and its acknowledgement, because a worker without active
// runs got no lease while the store was slow to take the end.
func TestLeaseIsRenewedUntilAStoredEndIsAcknowledged(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 10, false)))
	h.tick()
	s := h.starts()[0]
	h.x.StartAnswered(h.now, id, s.Token, executor.StartAccepted)
	h.now += 100
	lease := max(s.LeaseUntil, h.x.ListRequest(h.now).LeaseUntil)
	h.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}})
	for range 15 {
		h.advance(100)
		h.x.OrdersReceived(h.now, entryA, h.orders())
		r := h.x.ListRequest(h.now)
		lease = max(lease, r.LeaseUntil)
		h.list(firstToken, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}})
	}
	h.x.OrdersReceived(h.now, entryA, &wire.TaskOrders{GrantedFrom: int64(h.now), Stored: []*wire.TaskRun{id.Wire()}})
	h.tick()
	r := h.x.ListRequest(h.now)
	if r.Cursor != 1 {
		t.Fatalf("cursor: got %d, want 1", r.Cursor)
	}
	if lease <= h.now {
		t.Errorf("lease at the acknowledgement of an end stored 1.5 s after it: got over for %d ms, want in force", h.now-lease)
	}
}

package executor_test

import (
	"fmt"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// listingLimit is the number of ends in a full listing of a worker.
const listingLimit = 500

// endedRuns returns the ends of runs that a worker lists, numbered from first to last.
func endedRuns(first, last int) []executor.ListedEnd {
	var ends []executor.ListedEnd
	for i := first; i <= last; i++ {
		ends = append(ends, executor.ListedEnd{Sequence: int64(i), Run: runID(fmt.Sprint("e", i)), End: batch.OutcomeDone})
	}
	return ends
}

// successor returns the harness of a sidecar that starts beside a worker with runs of an
// earlier one.
func successor(t *testing.T, running []executor.ListedRun, ends []executor.ListedEnd) *harness {
	t.Helper()
	h := &harness{t: t, x: executor.New(firstToken, maxLease), now: 1_000_000}
	h.x.FencesLoaded(h.now, nil)
	h.report(1, 20_000)
	h.x.EntryConnected(entryA)
	h.x.ListRequest(h.now)
	h.list(firstToken, 1, running, ends)
	h.tick()
	return h
}

// sentReports returns the reports to entryA since the last call of take.
func (h *harness) sentReports() []*wire.TaskReport {
	var out []*wire.TaskReport
	for _, c := range h.take() {
		if r, ok := c.(executor.Report); ok && r.Entry == entryA {
			out = append(out, r.Report)
		}
	}
	return out
}

// Guards against tasks that run again after they have ended "done": a successor took the
// first 500 ends of its worker for all, sent an inventory without the others, and
// started tasks that were ordered again.
func TestNothingStartsBeforeAllEndsAreRead(t *testing.T) {
	for name, total := range map[string]int{"501": 501, "1300": 1300} {
		t.Run(name, func(t *testing.T) {
			h := successor(t, []executor.ListedRun{{Run: runID("r")}}, endedRuns(1, listingLimit))
			acknowledged := 0
			for round := 0; acknowledged+listingLimit <= total; round++ {
				for _, r := range h.sentReports() {
					if r.GetInventory() || !r.GetHasMoreEnds() || r.GetLoad().GetReady() {
						t.Fatalf("report with unread ends: got inventory %v, more ends %v, ready %v", r.GetInventory(), r.GetHasMoreEnds(), r.GetLoad().GetReady())
					}
				}
				h.x.OrdersReceived(h.now, entryA, h.orders(start(runID(fmt.Sprint("s", round)), 10, false)))
				h.tick()
				if got := len(h.starts()); got != 0 {
					t.Fatalf("starts with unread ends: got %d, want 0", got)
				}
				stored := h.orders()
				for i := acknowledged + 1; i <= acknowledged+listingLimit; i++ {
					stored.Stored = append(stored.Stored, runID(fmt.Sprint("e", i)).Wire())
				}
				h.x.OrdersReceived(h.now, entryA, stored)
				h.tick()
				acknowledged = int(h.x.ListRequest(h.now).Cursor)
				if want := (round + 1) * listingLimit; acknowledged != want {
					t.Fatalf("cursor: got %d, want %d", acknowledged, want)
				}
				h.now += 10
				h.list(firstToken, 1, []executor.ListedRun{{Run: runID("r")}}, endedRuns(acknowledged+1, min(acknowledged+listingLimit, total)))
				h.tick()
			}
			listed := make(map[batch.RunID]bool)
			for _, r := range h.sentReports() {
				if r.GetInventory() {
					for _, e := range r.GetEvents() {
						listed[batch.RunIDFromWire(e.GetRun())] = true
					}
				}
			}
			if want := total - acknowledged + 1; len(listed) != want || !listed[runID("r")] || !listed[runID(fmt.Sprint("e", total))] {
				t.Errorf("runs in the inventory once all ends are read: got %d, want %d with the last end and the active run", len(listed), want)
			}
		})
	}
}

// Guards against ends that do not count: the worker's lease lapsed while its first ends
// were being stored, because this sidecar knew no run that needs it.
func TestLeaseIsRenewedWhileEndsAreUnread(t *testing.T) {
	h := successor(t, nil, endedRuns(1, listingLimit))
	h.x.OrdersReceived(h.now, entryA, h.orders())
	var lease clock.Millis
	for range 15 {
		h.advance(100)
		h.x.OrdersReceived(h.now, entryA, h.orders())
		lease = max(lease, h.x.ListRequest(h.now).LeaseUntil)
		h.list(firstToken, 1, nil, endedRuns(1, listingLimit))
		if lease <= h.now {
			t.Fatalf("lease %d ms after the first listing: got over for %d ms, want in force", h.now-1_000_000, h.now-lease)
		}
	}
	// The entry's grant bounds the lease.
	h.advance(executor.GrantDuration)
	if got := h.x.ListRequest(h.now).LeaseUntil; got != 0 {
		t.Errorf("renewal after the last grant: got %d, want none", got)
	}
}

// Guards against runs that an entry keeps for good at a sidecar whose worker has gone:
// its report still told that ends are being read.
func TestUnreachableWorkerIsNotReadFrom(t *testing.T) {
	h := successor(t, nil, endedRuns(1, listingLimit))
	h.take()
	h.x.WorkerUnreachable(h.now)
	h.advance(200)
	for _, r := range h.sentReports() {
		if r.GetHasMoreEnds() {
			t.Error("report while the worker is unreachable: got more ends, want none")
		}
	}
	h.list(firstToken, 1, nil, endedRuns(1, listingLimit))
	h.advance(20)
	partial := false
	for _, r := range h.sentReports() {
		partial = partial || r.GetPartialInventory()
	}
	if !partial {
		t.Error("partial inventory after the return of the worker: got none, want one")
	}
}

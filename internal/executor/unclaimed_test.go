package executor_test

import (
	"fmt"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Guards against jobs that stay open: an end that became visible after the inventory was
// reported to no entry, and only the one with the lowest name was asked for the job. Each
// entry is told of the end, and again while none has claimed it.
func TestLateEndIsReportedToAllEntries(t *testing.T) {
	h := successor(t, nil, endedRuns(1, listingLimit))
	h.x.EntryConnected(entryB)
	h.tick()
	h.take()
	stored := h.orders()
	for i := 1; i <= listingLimit; i++ {
		stored.Stored = append(stored.Stored, runID(fmt.Sprint("e", i)).Wire())
	}
	h.x.OrdersReceived(h.now, entryA, stored)
	h.tick()
	h.now += 10
	late := runID(fmt.Sprint("e", listingLimit+1))
	ends := endedRuns(listingLimit+1, listingLimit+1)
	h.list(firstToken, 1, nil, ends)
	h.tick()
	reports := map[ownership.Incarnation][]*wire.TaskReport{}
	collect := func() {
		for _, c := range h.take() {
			if r, ok := c.(executor.Report); ok {
				reports[r.Entry] = append(reports[r.Entry], r.Report)
			}
		}
	}
	collect()
	for _, entry := range []ownership.Incarnation{entryA, entryB} {
		told := false
		for _, r := range reports[entry] {
			for _, e := range r.GetEvents() {
				told = told || batch.RunIDFromWire(e.GetRun()) == late && e.GetState() == wire.TaskEvent_STATE_DONE && e.GetUnclaimed()
			}
		}
		if !told {
			t.Errorf("event of the late end for %s: got none, want one that is unclaimed", entry)
		}
	}
	clear(reports)
	for range 15 {
		h.advance(100)
		h.x.OrdersReceived(h.now, entryA, h.orders())
		h.list(firstToken, 1, nil, ends)
	}
	collect()
	asked := func(entry ownership.Incarnation, list func(*wire.TaskReport) []*wire.TaskRun) int {
		n := 0
		for _, r := range reports[entry] {
			for _, id := range list(r) {
				if batch.RunIDFromWire(id) == late {
					n++
				}
			}
		}
		return n
	}
	if a, b := asked(entryA, (*wire.TaskReport).GetUnclaimed), asked(entryB, (*wire.TaskReport).GetUnclaimedElsewhere); a != 2 || b != 2 {
		t.Errorf("reports of the unclaimed end within 1.5 s: got %d to the entry that looks it up and %d to the other, want 2 and 2", a, b)
	}
	adopt := h.orders()
	adopt.Adopts = []*wire.TaskStart{start(late, 10, false)}
	h.x.OrdersReceived(h.now, entryB, adopt)
	clear(reports)
	h.advance(2 * clock.Second)
	collect()
	if a := asked(entryA, (*wire.TaskReport).GetUnclaimed); a != 0 {
		t.Errorf("reports of the adopted end as unclaimed: got %d, want 0", a)
	}
}

package executor_test

import (
	"slices"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// endEvents returns the events of a run's end that an entry got since the last call.
func (h *harness) endEvents(id batch.RunID) []*wire.TaskEvent {
	var out []*wire.TaskEvent
	for _, r := range h.sentReports() {
		for _, e := range r.GetEvents() {
			if batch.RunIDFromWire(e.GetRun()) == id && e.GetState() == wire.TaskEvent_STATE_DONE {
				out = append(out, e)
			}
		}
	}
	return out
}

// Guards against a worker whose ends are never acknowledged again: the entry ignored the
// end of a run that it had given up, because the task might run elsewhere. A voided end is
// reported as lapsed after the lease has lapsed, also beside runs that would renew it, and
// then acknowledged.
func TestVoidedEndIsReportedAfterTheLeaseHasLapsed(t *testing.T) {
	h := newHarness(t)
	old, active := runID("j"), runID("k")
	ended := []executor.ListedEnd{{Sequence: 1, Run: old, End: batch.OutcomeDone}}
	h.x.ListRequest(h.now)
	h.x.OrdersReceived(h.now, entryA, h.orders(start(old, 10, false), start(active, 10, false)))
	h.tick()
	for _, s := range h.starts() {
		h.x.StartAnswered(h.now, s.Run, s.Token, executor.StartAccepted)
	}
	h.now += 10
	h.list(firstToken, 1, []executor.ListedRun{{Run: active}}, ended)
	h.tick()
	h.take()
	h.x.OrdersReceived(h.now, entryA, &wire.TaskOrders{GrantedFrom: int64(h.now), Voids: []*wire.TaskRun{old.Wire()}})
	h.x.OrdersReceived(h.now, entryA, &wire.TaskOrders{GrantedFrom: int64(h.now), Stored: []*wire.TaskRun{old.Wire()}})
	var lease, reportedAt clock.Millis
	for range 30 {
		h.advance(50)
		for _, e := range h.endEvents(old) {
			if !e.GetLapsed() {
				t.Error("report of the voided end: got not lapsed, want lapsed")
			}
			reportedAt = h.now
		}
		h.x.OrdersReceived(h.now, entryA, h.orders())
		if r := h.x.ListRequest(h.now); reportedAt == 0 {
			lease = max(lease, r.LeaseUntil)
			if r.Cursor != 0 {
				t.Fatalf("cursor before the lease has lapsed: got %d, want 0", r.Cursor)
			}
		}
		h.list(firstToken, 1, []executor.ListedRun{{Run: active, Percent: int(h.now % 100)}}, ended)
		h.tick()
	}
	if reportedAt == 0 || lease != 0 {
		t.Errorf("report of the voided end: got at %d, want one; renewals before it: got until %d, want none", reportedAt, lease)
	}
	if got := h.x.ListRequest(h.now).Cursor; got != 1 {
		t.Errorf("cursor after the end was stored: got %d, want 1", got)
	}
}

// Guards against ends that are void without cause: while the worker's lease may be in
// force an end is not lapsed, and it is once a lease of an earlier sidecar has ended.
func TestEndsOfAnEarlierSidecarLapseWithItsLease(t *testing.T) {
	id := runID("j")
	ended := []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}}
	for name, tt := range map[string]struct {
		after clock.Millis
		want  bool
	}{"within the lease": {maxLease, false}, "after it": {maxLease + 300, true}} {
		t.Run(name, func(t *testing.T) {
			h := successor(t, nil, ended)
			h.advance(tt.after)
			h.x.EntryDisconnected(entryA)
			h.x.EntryConnected(entryA)
			h.take()
			h.tick()
			got := h.endEvents(id)
			if len(got) != 1 || got[0].GetLapsed() != tt.want {
				t.Errorf("events: got %v, want one with lapsed %v", got, tt.want)
			}
		})
	}
}

// Guards against an end that counts although its task has started elsewhere: its entry is
// cut off and gives the run up, while other entries have the worker's lease renewed.
func TestUnclaimedEndsLetTheLeaseLapse(t *testing.T) {
	h := successor(t, []executor.ListedRun{{Run: runID("a")}}, []executor.ListedEnd{{Sequence: 1, Run: runID("b"), End: batch.OutcomeDone}})
	adopt := h.orders()
	adopt.Adopts = []*wire.TaskStart{start(runID("a"), 10, false)}
	h.x.OrdersReceived(h.now, entryA, adopt)
	var lease, lapsedAt clock.Millis
	for range 25 {
		h.advance(100)
		if lease != 0 && lapsedAt == 0 && h.now > lease {
			lapsedAt = lease
		}
		h.x.OrdersReceived(h.now, entryA, h.orders())
		lease = max(lease, h.x.ListRequest(h.now).LeaseUntil)
		h.list(firstToken, 1, []executor.ListedRun{{Run: runID("a"), Percent: int(h.now/100) % 100}}, []executor.ListedEnd{{Sequence: 1, Run: runID("b"), End: batch.OutcomeDone}})
	}
	if limit := clock.Millis(1_000_000) + 2*clock.Second; lapsedAt == 0 || lapsedAt > limit {
		t.Errorf("lapse of the lease with an unclaimed end: got %d, want one until %d", lapsedAt, limit)
	}
}

// Guards against a worker whose ends are never acknowledged again: a full listing began
// with ends of runs that later attempts had replaced here, which nothing acknowledged. They
// are passed over, one that would count once the lease has lapsed since.
func TestEndsOfReplacedRunsArePassedOver(t *testing.T) {
	for name, tt := range map[string]struct {
		end   batch.Outcome
		lapse bool
	}{"lost": {batch.OutcomeLost, false}, "stopped": {batch.OutcomeStopped, false}, "done": {batch.OutcomeDone, true}, "failed": {batch.OutcomeFailed, true}} {
		t.Run(name, func(t *testing.T) {
			old, later := runID("j"), runID("j")
			later.Attempt = 2
			ended := []executor.ListedEnd{{Sequence: 1, Run: old, End: tt.end}}
			running := []executor.ListedRun{{Run: later}}
			h := successor(t, running, ended)
			adopt := h.orders()
			adopt.Adopts = []*wire.TaskStart{start(later, 10, false)}
			h.x.OrdersReceived(h.now, entryA, adopt)
			h.advance(20)
			if got, want := h.x.ListRequest(h.now).Cursor == 0, tt.lapse; got != want {
				t.Errorf("end withheld before a lapse of the lease: got %v, want %v", got, want)
			}
			for range 20 {
				h.advance(100)
				h.x.OrdersReceived(h.now, entryA, h.orders())
				h.list(firstToken, 1, running, ended)
				h.x.ListRequest(h.now)
			}
			if got := h.x.ListRequest(h.now).Cursor; got != 1 {
				t.Errorf("cursor after 2 s: got %d, want 1", got)
			}
		})
	}
}

// Guards against best-effort runs that are never seen to end while the store is down: a
// full listing began with unclaimed ends, whose jobs only the store knows. They are dropped
// once they have lapsed, and kept while nothing waits behind them.
func TestLapsedUnclaimedEndsDoNotBlockAFullListing(t *testing.T) {
	for name, tt := range map[string]struct {
		ends int
		want int64
	}{"full": {listingLimit, listingLimit}, "not full": {listingLimit - 1, 0}} {
		t.Run(name, func(t *testing.T) {
			h := successor(t, nil, endedRuns(1, tt.ends))
			h.advance(clock.Second)
			if got := h.x.ListRequest(h.now).Cursor; got != 0 {
				t.Errorf("cursor before a lapse: got %d, want 0", got)
			}
			h.advance(2 * clock.Second)
			h.advance(20)
			if got := h.x.ListRequest(h.now).Cursor; got != tt.want {
				t.Errorf("cursor after 3 s: got %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against an end that counts although its task has started elsewhere: a new
// incarnation of the worker executed a late start of the one before, with a lease by its own
// clock, while its listings had no answer for longer than a lease. No lease that this sidecar
// knows of was in force then.
func TestLateEndOfTheNextIncarnationHasNotLapsed(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.x.ListRequest(h.now)
	h.report(2, 20_000)
	h.tick()
	for range 30 {
		h.advance(50)
		h.x.WorkerUnreachable(h.now)
	}
	h.take()
	ended := []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}}
	h.list(firstToken+1, 2, nil, ended)
	h.tick()
	got := h.endEvents(id)
	if len(got) == 0 {
		t.Fatal("events of the end: got none, want one")
	}
	for _, e := range got {
		if e.GetLapsed() {
			t.Error("event of the end: got lapsed, want not lapsed")
		}
	}
	h.take()
	for range 30 {
		h.advance(50)
		h.list(firstToken+1, 2, nil, ended)
	}
	h.x.EntryDisconnected(entryA)
	h.x.EntryConnected(entryA)
	h.take()
	h.tick()
	if got := h.endEvents(id); len(got) != 1 || !got[0].GetLapsed() {
		t.Errorf("event of the end after 1.5 s without a lease: got %v, want one that has lapsed", got)
	}
}

// Guards against a worker that attracts tasks and returns them all: while its lease was left
// to lapse because of a voided end it looked ready and empty, but no start could get a lease.
func TestWorkerIsNotReadyWhileItsLeaseMustLapse(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	ended := []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeDone}}
	h.x.ListRequest(h.now)
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 10, false)))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
	h.now += 10
	h.list(firstToken, 1, nil, ended)
	h.tick()
	h.x.OrdersReceived(h.now, entryA, &wire.TaskOrders{GrantedFrom: int64(h.now), Voids: []*wire.TaskRun{id.Wire()}})
	h.take()
	var ready []bool
	for i := range 30 {
		h.tick()
		for _, r := range h.sentReports() {
			if n := len(ready); n == 0 || ready[n-1] != r.GetLoad().GetReady() {
				ready = append(ready, r.GetLoad().GetReady())
			}
		}
		if i == 0 && (len(ready) != 1 || ready[0]) {
			t.Errorf("report at the next tick: got ready %v, want one that is not", ready)
		}
		h.now += 50
		h.x.OrdersReceived(h.now, entryA, h.orders())
		h.x.ListRequest(h.now)
		h.list(firstToken, 1, nil, ended)
	}
	if want := []bool{false, true}; !slices.Equal(ready, want) {
		t.Errorf("ready in the reports, without repetitions: got %v, want %v", ready, want)
	}
}

package executor_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// crashReports returns how often each run was reported to an entry as one under which
// the worker crashed, since the last call of take.
func (h *harness) crashReports(entry ownership.Incarnation) map[batch.RunID]int {
	h.t.Helper()
	out := make(map[batch.RunID]int)
	for _, c := range h.take() {
		r, ok := c.(executor.Report)
		if !ok || r.Entry != entry {
			continue
		}
		for _, e := range r.Report.GetEvents() {
			if !e.GetWorkerCrashed() {
				continue
			}
			if e.GetState() != wire.TaskEvent_STATE_LOST {
				h.t.Errorf("state of a run with a crash: got %v, want LOST", e.GetState())
			}
			out[batch.RunIDFromWire(e.GetRun())]++
		}
	}
	return out
}

// startRun starts a run of a stored job, whose call has a result.
func (h *harness) startRun(id batch.RunID, result executor.StartResult) {
	h.t.Helper()
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 100, false)))
	h.tick()
	started := h.starts()
	if len(started) != 1 {
		h.t.Fatalf("starts: got %d, want 1", len(started))
	}
	h.x.StartAnswered(h.now, id, started[0].Token, result)
	h.advance(10)
}

// returnAs makes the worker come back as an incarnation that lists these runs.
func (h *harness) returnAs(born int64, running ...executor.ListedRun) {
	h.sequence = 0
	h.advance(10)
	h.report(born, 20_000)
	h.list(h.x.ListRequest(h.now).Token, born, running, nil)
	h.advance(20)
}

// refuse moves the time forward while the entry grants its runs and the worker refuses
// connections.
func (h *harness) refuse(d clock.Millis) {
	h.x.ListRequest(h.now)
	for end := h.now + d; h.now < end; {
		h.x.OrdersReceived(h.now, entryA, h.orders())
		r := h.x.ListRequest(h.now)
		h.advance(50)
		h.x.ListingNotSent(r)
		h.x.WorkerUnreachable(h.now)
	}
	h.tick()
}

// An entry that is not told of the crash of a worker starts the task that caused it on
// one worker after the other.
func TestCrashIsReportedForItsRuns(t *testing.T) {
	id := runID("j")
	for name, crash := range map[string]func(h *harness){
		"running":             func(h *harness) { h.startRun(id, executor.StartAccepted); h.returnAs(2) },
		"start without reply": func(h *harness) { h.startRun(id, executor.StartUnknown); h.returnAs(2) },
		"connections refused": func(h *harness) {
			h.startRun(id, executor.StartAccepted)
			h.refuse(2 * clock.Second)
			h.returnAs(2)
		},
		// A worker is away for seconds, in which the task would crash further ones.
		"not back yet": func(h *harness) { h.startRun(id, executor.StartAccepted); h.refuse(900) },
		// Without these, a task whose crashes are silent starts without limit.
		"silent": func(h *harness) {
			h.startRun(id, executor.StartAccepted)
			h.x.WorkerTimedOut(h.now)
			h.returnAs(2)
		},
		"silent for long": func(h *harness) {
			h.startRun(id, executor.StartAccepted)
			for range 50 {
				h.x.ListRequest(h.now)
				h.x.OrdersReceived(h.now, entryA, h.orders())
				h.advance(100)
				h.x.WorkerTimedOut(h.now)
			}
			h.returnAs(2)
		},
		"second crash before a listing": func(h *harness) {
			h.startRun(id, executor.StartAccepted)
			h.sequence = 0
			h.report(2, 20_000)
			h.returnAs(3)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			crash(h)
			if got := h.crashReports(entryA); got[id] != 1 || len(got) != 1 {
				t.Errorf("reports of crashes: got %v, want one of %v", got, id)
			}
		})
	}
}

// A worker that ended for another reason, or did not end, must not accuse the tasks that
// ran on it: two such ends would fail a job.
func TestOtherEndsOfAWorkerAreNoCrash(t *testing.T) {
	id := runID("j")
	for name, end := range map[string]func(h *harness){
		"cut off": func(h *harness) {
			h.startRun(id, executor.StartAccepted)
			h.x.WorkerTimedOut(h.now)
			h.returnAs(1)
		},
		"draining": func(h *harness) {
			h.startRun(id, executor.StartAccepted)
			h.sequence++
			h.x.WorkerReported(h.now, executor.Worker{
				ID: "w", Incarnation: 1, Sequence: h.sequence, Service: "s", Capacity: batch.Resources{CPU: 20_000, MemoryMB: 1000}, Draining: true,
			})
			h.returnAs(2)
		},
		"sidecar draining": func(h *harness) { h.startRun(id, executor.StartAccepted); h.x.Drain(); h.returnAs(2) },
		"lease lapsed": func(h *harness) {
			h.startRun(id, executor.StartAccepted)
			for range 60 {
				h.list(h.x.ListRequest(h.now).Token, 1, []executor.ListedRun{{Run: id, Percent: int(h.now / 100 % 100)}}, nil)
				h.advance(100)
			}
			h.returnAs(2)
		},
		"sidecar restarted": func(h *harness) {
			h.list(h.x.ListRequest(h.now).Token, 1, []executor.ListedRun{{Run: id}}, nil)
			h.advance(10)
			h.list(h.x.ListRequest(h.now).Token, 1, []executor.ListedRun{{Run: id}}, nil)
			h.x.OrdersReceived(h.now, entryA, &wire.TaskOrders{GrantedFrom: int64(h.now), Adopts: []*wire.TaskStart{start(id, 100, false)}})
			h.returnAs(2)
		},
		"start refused": func(h *harness) { h.startRun(id, executor.StartRefused); h.returnAs(2) },
		"run on the new incarnation": func(h *harness) {
			h.startRun(id, executor.StartAccepted)
			h.returnAs(2, executor.ListedRun{Run: id, Percent: 1})
			h.list(h.x.ListRequest(h.now).Token, 2, nil, nil)
			h.advance(20)
		},
		"sidecar paused, then refused once": func(h *harness) {
			h.startRun(id, executor.StartAccepted)
			h.now += 2 * clock.Second
			h.refuse(50)
			h.returnAs(1)
		},
		"timed out, then refused": func(h *harness) {
			h.startRun(id, executor.StartAccepted)
			h.x.WorkerTimedOut(h.now)
			h.refuse(2 * clock.Second)
			h.returnAs(1)
		},
		"unreachable for a moment": func(h *harness) {
			h.startRun(id, executor.StartAccepted)
			h.x.WorkerUnreachable(h.now)
			h.returnAs(1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			end(h)
			if got := h.crashReports(entryA); len(got) != 0 {
				t.Errorf("reports of crashes: got %v, want none", got)
			}
		})
	}
}

// A run whose lease lapses while its worker is gone is reported as lost before it is
// known that the worker crashed. Without a second report its task would not count it.
func TestCrashIsReportedForARunThatWasLostBefore(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.startRun(id, executor.StartAccepted)
	for range 30 {
		h.advance(50)
		h.x.WorkerUnreachable(h.now)
	}
	if got, want := h.states(entryA)[id], wire.TaskEvent_STATE_LOST; got != want {
		t.Fatalf("state after the lease: got %v, want %v", got, want)
	}
	h.x.OrdersReceived(h.now, entryA, &wire.TaskOrders{GrantedFrom: int64(h.now), Stored: []*wire.TaskRun{id.Wire()}})
	h.tick()
	h.take()
	h.returnAs(2)
	if got := h.crashReports(entryA)[id]; got != 1 {
		t.Errorf("reports of the crash: got %d, want 1", got)
	}
	h.returnAs(3)
	if got := h.crashReports(entryA)[id]; got != 0 {
		t.Errorf("reports of the crash after another one: got %d, want 0", got)
	}
}

// A report that is lost with a session, or with the entry before it has stored the
// crash, must come again to the entry or to its successor.
func TestCrashIsReportedUntilItIsConfirmed(t *testing.T) {
	h := newHarness(t)
	id := runID("j")
	h.startRun(id, executor.StartAccepted)
	h.returnAs(2)
	h.take()
	h.x.EntryDisconnected(entryA)
	h.x.EntryConnected(entryA)
	h.tick()
	if got := h.crashReports(entryA)[id]; got != 1 {
		t.Errorf("reports of the crash in a new session: got %d, want 1", got)
	}
	h.x.EntryConnected(entryB)
	h.tick()
	if got := h.crashReports(entryB)[id]; got != 0 {
		t.Errorf("reports of the crash to another entry: got %d, want 0", got)
	}
	h.x.OrdersReceived(h.now, entryB, &wire.TaskOrders{
		GrantedFrom: int64(h.now), Fences: []*wire.FenceEntry{{Deposed: string(entryA), Successor: string(entryB)}},
	})
	h.tick()
	if got := h.crashReports(entryB)[id]; got != 1 {
		t.Errorf("reports of the crash to the successor: got %d, want 1", got)
	}
	h.x.OrdersReceived(h.now, entryB, &wire.TaskOrders{GrantedFrom: int64(h.now), Stored: []*wire.TaskRun{id.Wire()}})
	h.x.EntryConnected(entryB)
	h.tick()
	if got := h.crashReports(entryB)[id]; got != 0 {
		t.Errorf("reports of the crash after its confirmation: got %d, want 0", got)
	}
}

package executor_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// givenUp is an order by which an entry gives up a run.
var givenUp = map[string]func(id batch.RunID) *wire.TaskOrders{
	"stop":    func(id batch.RunID) *wire.TaskOrders { return &wire.TaskOrders{Stops: []*wire.TaskRun{id.Wire()}} },
	"release": func(id batch.RunID) *wire.TaskOrders { return &wire.TaskOrders{Releases: []*wire.TaskRun{id.Wire()}} },
}

// startedRun returns a harness with a best-effort run.
func startedRun(t *testing.T, id batch.RunID) *harness {
	t.Helper()
	h := newHarness(t)
	h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, true)))
	h.tick()
	h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
	h.take()
	return h
}

// stops returns the stops since the last call of take.
func (h *harness) stops() []executor.StopRun {
	var out []executor.StopRun
	for _, c := range h.take() {
		if s, ok := c.(executor.StopRun); ok {
			out = append(out, s)
		}
	}
	return out
}

// grantAndList delivers a grant, the percentage of a run that proceeds and a tick,
// and returns the end of the lease that the next listing asks for.
func (h *harness) grantAndList(id batch.RunID) clock.Millis {
	h.x.OrdersReceived(h.now, entryA, h.orders())
	h.list(h.x.ListRequest(h.now).Token, 1, []executor.ListedRun{{Run: id, Percent: int(h.now) / 20 % 100}}, nil)
	h.advance(20)
	return h.x.ListRequest(h.now).LeaseUntil
}

// Guards against two runs of a task at once: a stop that had no effect was not
// repeated, and as its entry went on granting for the job that it had given up, the
// run was active when the caller submitted the job again 1.3 s later.
func TestRunThatIgnoresStopsEndsWithTheLease(t *testing.T) {
	for name, order := range givenUp {
		t.Run(name, func(t *testing.T) {
			id := runID("j")
			h := startedRun(t, id)
			lease := h.grantAndList(id)
			stoppedAt := h.now
			o := order(id)
			o.GrantedFrom = int64(h.now)
			h.x.OrdersReceived(h.now, entryA, o)
			count := 0
			for h.now < stoppedAt+1300 {
				lease = max(lease, h.grantAndList(id))
				count += len(h.stops())
			}
			if got, want := lease-stoppedAt, clock.Millis(700); got > want {
				t.Errorf("end of the lease after the stop was ordered: got %d ms, want at most %d", got, want)
			}
			if want := 8; count < want {
				t.Errorf("stops sent in 1.3 s: got %d, want at least %d", count, want)
			}
			h.list(h.x.ListRequest(h.now).Token, 1, nil, []executor.ListedEnd{{Sequence: 1, Run: id, End: batch.OutcomeStopped}})
			h.take()
			h.advance(500)
			if got := len(h.stops()); got != 0 {
				t.Errorf("stops after the end was listed: got %d, want 0", got)
			}
		})
	}
}

// Guards against a stop that is lost because an unanswered start has raised the
// token in the meantime: the worker does nothing for a lower token.
func TestFencedStopIsRepeatedWithTheCurrentToken(t *testing.T) {
	id, unanswered := runID("j"), runID("k")
	h := startedRun(t, id)
	h.x.OrdersReceived(h.now, entryA, h.orders(start(unanswered, 100, true)))
	h.tick()
	h.x.OrdersReceived(h.now, entryA, &wire.TaskOrders{GrantedFrom: int64(h.now), Stops: []*wire.TaskRun{id.Wire()}})
	h.tick()
	h.x.StartAnswered(h.now, unanswered, firstToken, executor.StartUnknown)
	stops := h.stops()
	if len(stops) != 1 || stops[0].Token != firstToken {
		t.Fatalf("first stops: got %v, want one with token %d", stops, firstToken)
	}
	h.x.StopFenced(id, firstToken)
	h.advance(5)
	stops = h.stops()
	if len(stops) != 1 || stops[0].Run != id || stops[0].Token <= firstToken {
		t.Errorf("stops after the refusal: got %v, want one with a token above %d", stops, firstToken)
	}
}

// A run that is stopped for lack of progress keeps its grant: its entry waits for
// the end before it places the task elsewhere, and other runs need the lease.
func TestStopForLackOfProgressKeepsTheGrant(t *testing.T) {
	id := runID("j")
	h := startedRun(t, id)
	stops := 0
	for range 100 {
		h.x.OrdersReceived(h.now, entryA, h.orders())
		h.list(firstToken, 1, []executor.ListedRun{{Run: id, Percent: 7}}, nil)
		h.advance(20)
		stops += len(h.stops())
	}
	if got, want := h.x.ListRequest(h.now).LeaseUntil, h.now+500; got < want {
		t.Errorf("lease: got %d ms ahead, want at least 500", got-h.now)
	}
	if stops < 5 {
		t.Errorf("stops in 2 s: got %d, want at least 5", stops)
	}
}

// Guards against runs of a cancelled job that go on at the sidecar because another entry
// than their owner, which is dead, tells of the cancellation.
func TestCancelledJobIsStoppedForAnyOwner(t *testing.T) {
	for name, bestEffort := range map[string]bool{"stored": false, "best-effort": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.x.EntryConnected(entryB)
			id := runID("j")
			h.x.OrdersReceived(h.now, entryA, h.orders(start(id, 6000, bestEffort)))
			h.tick()
			h.x.StartAnswered(h.now, id, firstToken, executor.StartAccepted)
			h.x.EntryDisconnected(entryA)
			h.commands = nil
			h.x.OrdersReceived(h.now, entryB, &wire.TaskOrders{CancelledJobs: []string{"k", "j"}})
			h.tick()
			stops := 0
			for _, c := range h.commands {
				if stop, ok := c.(executor.StopRun); ok && stop.Run == id {
					stops++
				}
			}
			if got, want := stops > 0, !bestEffort; got != want {
				t.Errorf("run stopped: got %t, want %t", got, want)
			}
		})
	}
}

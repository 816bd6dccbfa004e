package scheduler_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Guards against a worker whose ends are never acknowledged again: the end of a run that
// its entry had given up was ignored. It is voided while it could count, passed over once
// the worker's lease has lapsed, and completes a task that no other run has.
func TestEndOfASupersededRun(t *testing.T) {
	type orders struct{ voids, releases, saves int }
	for name, tt := range map[string]struct {
		lapsed, otherLost, otherDone bool
		want                         orders
	}{
		"other run active":                   {want: orders{voids: 1}},
		"other run active, lapsed":           {lapsed: true, want: orders{releases: 1}},
		"other run done":                     {otherDone: true, want: orders{voids: 1, saves: 1}},
		"other run done, lapsed":             {otherDone: true, lapsed: true, want: orders{releases: 1, saves: 1}},
		"no other run, lapsed: task is done": {otherLost: true, lapsed: true, want: orders{saves: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2)
			b.submit(job("j", 1, false))
			b.save(scheduler.SaveDone)
			b.tick()
			first := b.onlyStart()
			b.advance(10*clock.Second, first.at)
			second := b.onlyStart()
			if tt.otherLost {
				// Without room elsewhere the task stays pending.
				b.send(second.at, &wire.TaskReport{Events: []*wire.TaskEvent{event(second.run, wire.TaskEvent_STATE_LOST)}, Load: &wire.WorkerLoad{Service: "s"}})
			}
			if tt.otherDone {
				b.report(second.at, event(second.run, wire.TaskEvent_STATE_DONE))
			}
			b.sent = make(map[scheduler.Address][]*wire.TaskOrders)
			end := event(first.run, wire.TaskEvent_STATE_DONE)
			end.Unclaimed, end.Lapsed = true, tt.lapsed
			b.send(first.at, &wire.TaskReport{Inventory: true, Events: []*wire.TaskEvent{end}, Load: &wire.WorkerLoad{}})
			var got orders
			for _, o := range b.sent[first.at] {
				for _, id := range o.GetVoids() {
					if batch.RunIDFromWire(id) == first.run {
						got.voids++
					}
				}
				got.releases += len(o.GetReleases())
			}
			got.saves = b.saves(scheduler.SaveEnd)
			if got != tt.want {
				t.Errorf("orders and writes of the end: got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// Guards against a task that starts again after an acknowledged end "done": a run that its
// entry had given up was found active and released, so that its end was acknowledged at once
// if it came before the stop, while another run of the task was active and might be lost. It
// is stopped, and an end "done" treated as that of any superseded run.
func TestActiveSupersededRunIsStopped(t *testing.T) {
	for name, otherDone := range map[string]bool{"other run active": false, "other run done, not stored": true} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2)
			b.submit(job("j", 1, false))
			b.save(scheduler.SaveDone)
			b.tick()
			first := b.onlyStart()
			b.advance(10*clock.Second, first.at)
			second := b.onlyStart()
			if otherDone {
				b.report(second.at, event(second.run, wire.TaskEvent_STATE_DONE))
			}
			b.sent = make(map[scheduler.Address][]*wire.TaskOrders)
			active := event(first.run, wire.TaskEvent_STATE_RUNNING)
			active.Unclaimed = true
			b.send(first.at, &wire.TaskReport{Inventory: true, Events: []*wire.TaskEvent{active}, Load: &wire.WorkerLoad{}})
			stops, releases := 0, 0
			for _, o := range b.sent[first.at] {
				stops += len(o.GetStops())
				releases += len(o.GetReleases())
			}
			if stops != 1 || releases != 0 {
				t.Errorf("orders for the run: got %d stops and %d releases, want 1 and 0", stops, releases)
			}
		})
	}
}

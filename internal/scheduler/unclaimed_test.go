package scheduler_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Guards against ends that are acknowledged before they are in the store, and against
// tasks that stay bound to a run that is over: a run that no entry had claimed counted as
// active, although it may have ended.
func TestUnclaimedRunOfAHeldJobIsAdopted(t *testing.T) {
	for name, state := range map[string]wire.TaskEvent_State{"done": wire.TaskEvent_STATE_DONE, "failed": wire.TaskEvent_STATE_FAILED} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			b.submit(job("j", 2, false))
			b.save(scheduler.SaveDone)
			ended := b.starts()[0]
			b.send(ended.at, &wire.TaskReport{Inventory: true, Events: []*wire.TaskEvent{event(ended.run, state)}, Unclaimed: []*wire.TaskRun{ended.run.Wire()}})
			adopts := 0
			for _, o := range b.sent[ended.at] {
				if len(o.GetReleases()) != 0 || len(o.GetStored()) != 0 {
					t.Errorf("orders before the write of the end: got releases %v and acknowledgements %v, want none", o.GetReleases(), o.GetStored())
				}
				for _, a := range o.GetAdopts() {
					if batch.RunIDFromWire(a.GetRun()) == ended.run {
						adopts++
					}
				}
			}
			if adopts != 1 {
				t.Errorf("adoptions of the run: got %d, want 1", adopts)
			}
			if state == wire.TaskEvent_STATE_FAILED {
				b.advance(clock.Second)
				started := false
				for _, s := range b.starts() {
					started = started || s.run.TaskID == ended.run.TaskID
				}
				if !started {
					t.Error("the failed task did not start again")
				}
			}
		})
	}
}

// Guards against jobs that stay open: a run that its sidecar found after the inventory was
// bound without being adopted, so that its end had no entry to be reported to. It is
// adopted in whatever report it comes; an end also while its entry does not look up the job.
func TestRunFoundLateIsAdopted(t *testing.T) {
	for name, report := range map[string]func(r *wire.TaskReport, e *wire.TaskEvent){
		"running": func(r *wire.TaskReport, e *wire.TaskEvent) { e.State = wire.TaskEvent_STATE_RUNNING },
		"done":    func(*wire.TaskReport, *wire.TaskEvent) {},
		"unclaimed elsewhere": func(r *wire.TaskReport, e *wire.TaskEvent) {
			r.Events, r.UnclaimedElsewhere = nil, []*wire.TaskRun{e.GetRun()}
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			b.submit(job("j", 1, false))
			b.save(scheduler.SaveDone)
			b.tick()
			s := b.onlyStart()
			// The run is given up, and its task waits for room.
			b.send(s.at, &wire.TaskReport{Inventory: true, Load: &wire.WorkerLoad{}})
			b.sent = make(map[scheduler.Address][]*wire.TaskOrders)
			found := event(s.run, wire.TaskEvent_STATE_DONE)
			found.Unclaimed = true
			r := &wire.TaskReport{Events: []*wire.TaskEvent{found}, Load: &wire.WorkerLoad{}}
			report(r, found)
			b.send(s.at, r)
			adopts := 0
			for _, o := range b.sent[s.at] {
				adopts += len(o.GetAdopts())
			}
			if adopts != 1 {
				t.Errorf("adoptions: got %d, want 1", adopts)
			}
		})
	}
}

// Guards against a look-up of each end at each entry: only one entry looks up the job of an
// end that all are told of.
func TestEndsOfOtherEntriesAreNotLookedUp(t *testing.T) {
	b := newTestbed(t, 1)
	found := event(batch.RunID{TaskID: batch.TaskID{Job: "other"}, Attempt: 1}, wire.TaskEvent_STATE_DONE)
	found.Unclaimed, found.BestEffort = true, false
	b.takeCommands()
	b.send(address(0), &wire.TaskReport{Events: []*wire.TaskEvent{found}, UnclaimedElsewhere: []*wire.TaskRun{found.GetRun()}})
	for _, c := range b.takeCommands() {
		if l, ok := c.(scheduler.Lookup); ok {
			t.Errorf("look-ups: got %v, want none", l)
		}
	}
}

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

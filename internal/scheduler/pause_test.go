package scheduler_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// A process that was paused for some seconds could act on an expired permission.
// An entry that resumes after its stored jobs may have been taken over, and after
// its callers' deadlines, must order nothing for them, even if the reports it
// then reads show free capacity.
func TestPausedEntryOrdersNothing(t *testing.T) {
	for name, bestEffort := range map[string]bool{"stored": false, "best-effort": true} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			b.advanceBusy(20)
			r := b.submit(job("j", 1, bestEffort))
			if !bestEffort {
				b.save(scheduler.SaveDone)
			}
			if got := len(b.starts()); got != 0 {
				t.Fatalf("starts on a full worker: got %d, want 0", got)
			}
			b.now += settings.StoreContactTimeout + clock.Second
			b.report("w0")
			if got := b.starts(); len(got) != 0 {
				t.Errorf("starts after the pause: got %v, want none", got)
			}
			for a, all := range b.sent {
				for _, o := range all {
					if !o.GetStoredWithheld() {
						t.Errorf("orders to %s after the pause grant stored runs", a)
					}
				}
			}
			if got := b.replies()[r].Result; bestEffort && got != scheduler.NotStored {
				t.Errorf("result of the job whose deadline has passed: got %v, want %v", got, scheduler.NotStored)
			}
			b.s.RecordStoreContact(b.now)
			b.send("w0", &wire.TaskReport{})
			if got, want := len(b.starts()) == 1, !bestEffort; got != want {
				t.Errorf("start after contact to the store: got %v, want %v", got, want)
			}
		})
	}
}

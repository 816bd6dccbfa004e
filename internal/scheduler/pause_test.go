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

// Guards against two runs of a task at once: an entry that goes on after a pause
// started tasks of callers that had left meanwhile and submitted their jobs at
// another entry.
func TestPausedEntryStartsNothingForCallersThatLeft(t *testing.T) {
	for name, left := range map[string]bool{"left": true, "waits": false} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			b.advanceBusy(20)
			r := b.submit(job("j", 1, true))
			if got := len(b.starts()); got != 0 {
				t.Fatalf("starts on a full worker: got %d, want 0", got)
			}
			b.now += 1600
			b.gone[r] = left
			b.report("w0")
			b.report("w0")
			if got, want := len(b.starts()) == 1, !left; got != want {
				t.Errorf("start after the pause: got %v, want %v", got, want)
			}
		})
	}
}

// Guards against runs that go on after their caller has left: a connection whose
// end the entry has not read yet is found by the periodic check.
func TestRunsOfACallerThatLeftAreStopped(t *testing.T) {
	b := newTestbed(t, 1)
	r := b.submit(job("j", 1, true))
	run := b.starts()[0].run
	b.report("w0", event(run, wire.TaskEvent_STATE_RUNNING))
	b.gone[r] = true
	b.advance(500)
	stops := 0
	for _, o := range b.sent["w0"] {
		stops += len(o.GetStops())
	}
	if stops == 0 {
		t.Error("stops 500 ms after the caller left: got none")
	}
}

package scheduler_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// Guards against jobs that fail before max_attempts runs of a task have failed: a
// successor counted a failure in the record once more when a sidecar listed its end.
// Failures that only a sidecar knows of count as well.
func TestFailuresAreCountedOnceAcrossTakeovers(t *testing.T) {
	for name, tt := range map[string]struct {
		stored    bool
		takeovers int
	}{
		"write applied":                {true, 1},
		"write lost":                   {false, 1},
		"write applied, two takeovers": {true, 2},
		"write lost, two takeovers":    {false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 4)
			b.submit(job("j", 1, false))
			record := b.save(scheduler.SaveDone).Job
			failed := b.onlyStart()
			ends := []*wire.TaskEvent{event(failed.run, wire.TaskEvent_STATE_FAILED)}
			b.report(failed.at, ends...)
			b.advance(2000)
			if save := b.lastSave(); tt.stored {
				record = save.Job
			}
			// The end is not acknowledged, so each successor gets it again.
			for range tt.takeovers {
				b = takeOver(t, record, failed.at, ends...)
				b.advance(2000)
				if save := b.lastSave(); save != nil {
					b.s.HandleSaveResult(b.now, save.ID, save.Kind, scheduler.SaveDone, 10)
					record = save.Job
				}
			}
			for n := 2; n <= 4; n++ {
				next := b.onlyStart()
				b.report(next.at, event(next.run, wire.TaskEvent_STATE_FAILED))
				save := b.lastSave()
				if got, want := save != nil && save.Kind == scheduler.SaveEnd, n == 4; got != want {
					t.Fatalf("job ended after %d of 4 failures: got %v, want %v", n, got, want)
				}
			}
			if got := len(b.starts()); got != 0 {
				t.Errorf("starts after 4 of 4 failures: got %d, want 0", got)
			}
		})
	}
}

// Guards against starts beyond max_attempts: while a write of the job's progress was in
// flight, which takes as long as the store is away, the failed task started again.
func TestNoStartAfterTheLastPermittedFailure(t *testing.T) {
	b := newTestbed(t, 4)
	b.submit(job("j", 1, false))
	b.save(scheduler.SaveDone)
	for n := 1; n <= 4; n++ {
		s := b.onlyStart()
		b.report(s.at, event(s.run, wire.TaskEvent_STATE_FAILED))
		if n == 1 {
			b.advance(2000)
		}
	}
	progress := b.lastSave()
	if progress == nil || progress.Kind != scheduler.SaveProgress {
		t.Fatalf("write in flight: got %v, want one of the progress", progress)
	}
	b.advance(2000)
	if got := b.starts(); len(got) != 0 {
		t.Errorf("starts after 4 of 4 failures: got %v, want none", got)
	}
	b.s.HandleSaveResult(b.now, progress.ID, progress.Kind, scheduler.SaveDone, 8)
	b.tick()
	if save := b.lastSave(); save == nil || save.End.GetState() != wire.StoredEnd_STATE_FAILED {
		t.Errorf("write afterwards: got %v, want the end as failed", save)
	}
}

package scheduler_test

import (
	"slices"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// openJob returns the record of an open job of this entry at a revision.
func openJob(id batch.JobID, revision int64) scheduler.OpenJob {
	return scheduler.OpenJob{ID: id, Revision: revision, Record: &wire.StoredJob{Owner: string(self)}}
}

// Guards against starts of a job that was cancelled in the store without a note to its
// owner, and against the loss of a job that is open although the listing lacks it.
func TestListingDropsJobsThatAnotherEntryEnded(t *testing.T) {
	const stored = 7 // revision of the job's record, see testbed.save
	for name, tt := range map[string]struct {
		open scheduler.OpenJobs
		held bool
	}{
		"not open":                  {scheduler.OpenJobs{Revision: stored}, false},
		"open":                      {scheduler.OpenJobs{Revision: stored, Jobs: []scheduler.OpenJob{openJob("j", stored)}}, true},
		"malformed":                 {scheduler.OpenJobs{Revision: stored, Malformed: []batch.JobID{"j"}}, true},
		"listed before its record":  {scheduler.OpenJobs{Revision: stored - 1}, true},
		"record replaced meanwhile": {scheduler.OpenJobs{Revision: stored + 5, Jobs: []scheduler.OpenJob{openJob("j", stored+1)}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			b.submit(job("j", 1, false))
			b.save(scheduler.SaveDone)
			s := b.onlyStart()
			b.report(s.at, event(s.run, wire.TaskEvent_STATE_RUNNING))
			b.s.Reconcile(b.now, tt.open)
			b.tick()
			if got, want := b.s.OpenJobs() == 1, tt.held; got != want {
				t.Errorf("job is held: got %v, want %v", got, want)
			}
			releases := 0
			for _, o := range b.sent[s.at] {
				releases += len(o.GetReleases())
			}
			if got, want := releases > 0, !tt.held; got != want {
				t.Errorf("run is released: got %v, want %v", got, want)
			}
		})
	}
}

// Guards against the loss of a job whose first or last write is in flight: the listing
// lacks it although no other entry has ended it.
func TestListingKeepsJobsWithAWriteInFlight(t *testing.T) {
	late := scheduler.OpenJobs{Revision: 1000}
	b := newTestbed(t, 1)
	r := b.submit(job("j", 1, false))
	b.s.Reconcile(b.now, late)
	b.save(scheduler.SaveDone)
	if got, want := b.replies()[r].Result, scheduler.Stored; got != want {
		t.Fatalf("result of the submission: got %v, want %v", got, want)
	}
	s := b.onlyStart()
	b.report(s.at, event(s.run, wire.TaskEvent_STATE_DONE))
	b.s.Reconcile(b.now, late)
	b.save(scheduler.SaveDone)
	if got, _ := b.s.Status("j"); got != batch.Complete {
		t.Errorf("state: got %v, want %v", got, batch.Complete)
	}
}

// Guards against an entry that relies for long on its memory of an open job, and against
// listings that nothing needs: of best-effort jobs, and of jobs that just were written.
func TestOpenJobsAreConfirmed(t *testing.T) {
	listings := func(b *testbed) int {
		n := 0
		for _, c := range b.takeCommands() {
			if _, ok := c.(scheduler.ListOpenJobs); ok {
				n++
			}
		}
		return n
	}
	b := newTestbed(t, 1)
	b.submit(job("held", 1, true))
	b.advance(2 * clock.Second)
	if got := listings(b); got != 0 {
		t.Errorf("listings without a stored job: got %d, want 0", got)
	}
	b.submit(job("j", 1, false))
	b.save(scheduler.SaveDone)
	b.advance(900)
	if got := listings(b); got != 0 {
		t.Errorf("listings within 900 ms of the write: got %d, want 0", got)
	}
	b.advance(700)
	if got := listings(b); got != 1 {
		t.Errorf("listings 1.6 s after the write: got %d, want 1", got)
	}
	b.advance(2 * clock.Second)
	if got := listings(b); got != 0 {
		t.Errorf("listings while one is in flight: got %d, want 0", got)
	}
	b.s.HandleListingFailure(b.now)
	b.advance(700)
	if got := listings(b); got != 1 {
		t.Errorf("listings after one that failed: got %d, want 1", got)
	}
}

// Guards against an end that is never acknowledged, and with it all ends behind it at its
// worker: its job was open when its run was looked up, or the look-up failed, and ended
// without being held by this entry.
func TestRunsOfJobsThatEndElsewhereAreReleased(t *testing.T) {
	run := batch.RunID{TaskID: batch.TaskID{Job: "j"}, Attempt: 1}
	released := func(b *testbed) bool {
		b.tick()
		for _, o := range b.sent[address(0)] {
			if slices.ContainsFunc(o.GetReleases(), func(r *wire.TaskRun) bool { return batch.RunIDFromWire(r) == run }) {
				return true
			}
		}
		return false
	}
	b := newTestbed(t, 1)
	b.advance(clock.Second)
	b.s.RecordUnresolvedRuns(b.now, address(0), []batch.RunID{run})
	b.s.Reconcile(b.now, scheduler.OpenJobs{Revision: 9, ReadAt: b.now - 1})
	if released(b) {
		t.Error("released on a listing that began before the run was recorded")
	}
	b.advance(1100)
	if !slices.Contains(b.takeCommands(), scheduler.Command(scheduler.ListOpenJobs{})) {
		t.Error("got no listing of the open jobs, want one")
	}
	b.s.ApplyFences(map[ownership.Incarnation]ownership.Incarnation{"entry-z": self})
	open := []scheduler.OpenJob{{ID: "j", Revision: 3, Record: &wire.StoredJob{Owner: "entry-z"}}}
	b.s.Reconcile(b.now, scheduler.OpenJobs{Revision: 9, ReadAt: b.now, Jobs: open})
	if released(b) {
		t.Error("released while its job is open")
	}
	b.s.Reconcile(b.now, scheduler.OpenJobs{Revision: 10, ReadAt: b.now})
	if !released(b) {
		t.Error("not released after its job has ended")
	}
}

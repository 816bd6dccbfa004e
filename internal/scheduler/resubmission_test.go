package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// After a lost reply, a caller was told that work had not run that had. A
// resubmission of an abandoned job that ran here must not be answered with "not
// run", whether it is refused on arrival or abandoned again.
func TestRefusalOfAJobThatRanBefore(t *testing.T) {
	for name, test := range map[string]struct {
		ran  bool
		want scheduler.Result
	}{
		"ran":     {true, scheduler.Unknown},
		"had not": {false, scheduler.NotStored},
	} {
		t.Run(name+", refused on arrival", func(t *testing.T) {
			b := newTestbed(t, 1)
			b.abandonOnce(test.ran)
			b.s.Drain(b.now)
			again := b.submit(job("j", 1, true))
			if got := b.replies()[again].Result; got != test.want {
				t.Errorf("result: got %v, want %v", got, test.want)
			}
		})
		t.Run(name+", given up again", func(t *testing.T) {
			b := newTestbed(t, 1)
			b.abandonOnce(test.ran)
			b.advanceBusy(20)
			j := job("j", 1, true)
			j.Deadline = b.now + 100
			again := b.submit(j)
			b.advanceBusy(200)
			if got := b.replies()[again].Result; got != test.want {
				t.Errorf("result: got %v, want %v", got, test.want)
			}
		})
	}
}

// A job is abandoned while its start is in flight, and the start is returned
// unstarted. No state may remain: a resubmission is served, and a stopping entry
// does not wait for the job.
func TestJobAbandonedBeforeStartIsRemoved(t *testing.T) {
	b := newTestbed(t, 1)
	b.abandonOnce(false)
	if got := b.s.OpenJobs(); got != 0 {
		t.Errorf("open jobs: got %d, want 0", got)
	}
	again := b.submit(job("j", 1, true))
	starts := b.starts()
	if len(starts) != 1 {
		t.Fatalf("starts of the resubmission: got %d, want 1", len(starts))
	}
	b.report(starts[0].at, event(starts[0].run, wire.TaskEvent_STATE_DONE))
	if got, want := b.replies()[again].Result, scheduler.Ended; got != want {
		t.Errorf("result: got %v, want %v", got, want)
	}
}

// abandonOnce submits the job j, whose caller disconnects before its end. Its
// only task has started or was returned unstarted.
func (b *testbed) abandonOnce(ran bool) {
	b.t.Helper()
	r := b.submit(job("j", 1, true))
	starts := b.starts()
	if len(starts) != 1 {
		b.t.Fatalf("starts: got %d, want 1", len(starts))
	}
	state := wire.TaskEvent_STATE_NOT_STARTED
	if ran {
		state = wire.TaskEvent_STATE_STOPPED
		b.report(starts[0].at, event(starts[0].run, wire.TaskEvent_STATE_RUNNING))
	}
	b.s.CallerDisconnected(b.now, r, "j")
	b.tick()
	b.report(starts[0].at, event(starts[0].run, state))
	b.now += 1300 * clock.Millis(1)
	b.report(starts[0].at)
	b.takeCommands()
}

// After a restart of all processes, resubmissions after 1.3 s took the capacity
// from first submissions, and both were late. A caller whose remaining patience
// is much shorter than usual has spent the rest on an earlier submission; without
// a preceding loss it is only less patient.
func TestFirstSubmissionsGoBeforeResubmissions(t *testing.T) {
	for name, test := range map[string]struct {
		// after is when the jobs are submitted, since the start of the entry.
		after clock.Millis
		lost  bool
		want  batch.JobID
	}{
		"after the start":                 {1000, false, "first"},
		"later":                           {8000, false, "again"},
		"after the loss of another entry": {8000, true, "first"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			for i := range 20 {
				b.submit(waitingJob(batch.JobID(fmt.Sprint("usual", i)), b.now+2000))
				for _, s := range b.starts() {
					b.report(s.at, event(s.run, wire.TaskEvent_STATE_DONE))
				}
			}
			b.advance(test.after)
			if test.lost {
				b.s.EntryDisconnected("entry-b")
			}
			b.advanceBusy(20)
			b.takeCommands()
			b.submit(waitingJob("again", b.now+700))
			b.submit(waitingJob("first", b.now+2000))
			b.starts()
			b.send("w0", &wire.TaskReport{Load: &wire.WorkerLoad{
				Cpu: 20_000, FreeCpu: 6000, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s",
			}})
			starts := b.starts()
			if len(starts) != 1 || starts[0].run.Job != test.want {
				t.Errorf("starts with capacity for one: got %v, want %s", starts, test.want)
			}
		})
	}
}

func waitingJob(id batch.JobID, deadline clock.Millis) batch.Job {
	j := job(string(id), 1, true)
	j.Deadline = deadline
	return j
}

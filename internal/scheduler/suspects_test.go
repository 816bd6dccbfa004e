package scheduler_test

import (
	"cmp"
	"slices"
	"strconv"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// crashOnce submits best-effort jobs of one task each and reports that the workers
// crashed that started them.
func (b *testbed) crashOnce(ids ...string) {
	b.t.Helper()
	b.crashTimes(1, ids...)
}

// crashTimes is crashOnce for tasks under which several workers have crashed.
func (b *testbed) crashTimes(crashes int, ids ...string) {
	b.t.Helper()
	for _, id := range ids {
		j := job(id, 1, true)
		j.Steps[0].Required.CPU = 1000
		j.Deadline = b.now + clock.Minute
		b.submit(j)
	}
	starts := b.starts()
	if len(starts) != len(ids) {
		b.t.Fatalf("starts: got %d, want %d", len(starts), len(ids))
	}
	for _, s := range starts {
		var events []*wire.TaskEvent
		for range crashes {
			events = append(events, crashEvent(s.run, true))
			s.run.Attempt++
		}
		b.s.HandleReport(b.now, sidecar(s.at), &wire.TaskReport{SentAt: int64(b.now), Events: events, Load: &wire.WorkerLoad{}})
	}
}

// crashAt reports the crash of a worker under all runs that started there.
func (b *testbed) crashAt(a scheduler.Address, starts []startedRun) {
	var events []*wire.TaskEvent
	for _, s := range starts {
		if s.at == a {
			events = append(events, crashEvent(s.run, true))
		}
	}
	b.report(a, events...)
}

// Two tasks that crash their workers took a third one with them that was beside one or
// the other in each crash, and its job failed. One more crash ends the jobs here.
func TestTaskBesideTwoDeadlyOnesIsNotGivenUp(t *testing.T) {
	b := newTestbed(t, 6)
	for round := range 30 {
		n := strconv.Itoa(round)
		innocent := batch.JobID("innocent" + n)
		b.crashTimes(2, "deadly-a"+n, "deadly-b"+n, string(innocent))
		ended := make(map[batch.JobID]string)
		for range 10 {
			b.advance(100)
			starts := b.starts()
			for _, s := range starts {
				if s.run.Job != innocent {
					b.crashAt(s.at, starts)
				}
			}
			for _, s := range starts {
				if s.run.Job == innocent {
					b.report(s.at, event(s.run, wire.TaskEvent_STATE_DONE))
				}
			}
			for _, c := range b.takeCommands() {
				if d, ok := c.(scheduler.Decision); ok && d.Summary == scheduler.JobEnded {
					ended[d.Job] = d.Reason
				}
			}
		}
		if got, want := ended[innocent], string(batch.Complete); got != want || len(ended) != 3 {
			t.Fatalf("round %d: ends: got %v, want three with %s complete", round, ended, innocent)
		}
	}
}

// A task beside one that may crash the worker is lost with it, so it is placed there
// only if no other worker has room.
func TestTasksAvoidWorkersWithASuspect(t *testing.T) {
	b := newTestbed(t, 4)
	b.crashOnce("suspect")
	b.advance(100)
	suspect := b.onlyStart()
	beside := 0
	for i := range 9 {
		b.submit(job("j"+strconv.Itoa(i), 1, true))
		if s := b.onlyStart(); s.at == suspect.at {
			beside++
		}
	}
	if beside != 0 {
		t.Errorf("starts beside the suspect with room elsewhere: got %d, want 0", beside)
	}
	b.submit(job("last", 1, true))
	if s := b.onlyStart(); s.at != suspect.at {
		t.Errorf("start with room beside the suspect only: got %s, want %s", s.at, suspect.at)
	}
}

// Tasks that crash their workers must leave most workers of the service to other
// tasks, and those that wait must not hold up the jobs behind them.
func TestFewSuspectsRunAtATime(t *testing.T) {
	b := newTestbed(t, 6)
	var ids []string
	for i := range 40 {
		ids = append(ids, "suspect"+strconv.Itoa(i))
	}
	b.crashOnce(ids...)
	b.advance(100)
	if got, want := len(b.starts()), 2; got != want {
		t.Errorf("starts of suspects on 6 workers: got %d, want %d", got, want)
	}
	b.submit(job("other", 1, true))
	if got := b.onlyStart().run.Job; got != "other" {
		t.Errorf("start: got %s, want that of the job behind the suspects", got)
	}
}

// Jobs that harm nothing had not ended 14 s after the traffic: their tasks waited behind
// many others under which a worker had crashed, of which one ran at a time.
func TestSuspectsWaitBriefly(t *testing.T) {
	b := newTestbed(t, 6)
	var ids []string
	for i := range 6 {
		ids = append(ids, "suspect"+strconv.Itoa(i))
	}
	b.crashOnce(ids...)
	b.advance(2 * clock.Second)
	if got, want := len(b.starts()), 6; got != want {
		t.Errorf("starts of suspects on 6 workers in 2 s: got %d, want %d", got, want)
	}
}

// A suspect that must wait must not hold up the other tasks of its job.
func TestOtherTasksOfAJobDoNotWaitForItsSuspect(t *testing.T) {
	b := newTestbed(t, 3)
	b.crashOnce("running")
	b.advance(100)
	b.onlyStart()
	j := job("j", 2, true)
	j.Deadline = b.now + clock.Minute
	b.submit(j)
	starts := b.starts()
	slices.SortFunc(starts, func(x, y startedRun) int { return cmp.Compare(x.run.Index, y.run.Index) })
	b.report(starts[0].at, crashEvent(starts[0].run, true))
	b.report(starts[1].at, event(starts[1].run, wire.TaskEvent_STATE_LOST))
	b.advance(100)
	if got := b.onlyStart().run; got.Job != "j" || got.Index != 1 {
		t.Errorf("start: got task %d of %s, want task 1 of j", got.Index, got.Job)
	}
}

// Two suspects on one worker are both hit by its crash, also when all other workers are
// in heavier use.
func TestSuspectsDoNotShareAWorker(t *testing.T) {
	b := newTestbed(t, 6)
	b.crashOnce("a", "b")
	for i := range 6 {
		load := &wire.WorkerLoad{Cpu: 20_000, FreeCpu: 8000, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s"}
		if i == 5 {
			load.FreeCpu = 20_000
		}
		b.s.HandleReport(b.now, sidecar(address(i)), &wire.TaskReport{SentAt: int64(b.now), Load: load})
	}
	b.tick()
	starts := b.starts()
	if len(starts) != 2 || starts[0].at == starts[1].at {
		t.Errorf("starts of two suspects: got %v, want them on two workers", starts)
	}
}

// Long tasks under which a worker had crashed ran one at a time on each worker of an entry,
// so that others waited for their end although most of the service was idle. A task must
// start within 3 s.
func TestManySuspectsShareWorkersAfterAShortWait(t *testing.T) {
	b := newTestbed(t, 6)
	var ids []string
	for i := range 40 {
		ids = append(ids, "suspect"+strconv.Itoa(i))
	}
	b.crashOnce(ids...)
	starts := 0
	perWorker := make(map[scheduler.Address]int)
	for range 25 {
		b.advance(100)
		for _, s := range b.starts() {
			starts++
			perWorker[s.at]++
		}
	}
	if starts != len(ids) {
		t.Errorf("starts of suspects on 6 workers in 2.5 s: got %d, want %d", starts, len(ids))
	}
	for a, n := range perWorker {
		if n > 20 {
			t.Errorf("suspects on %s: got %d of %d, want them spread over the workers", a, n, len(ids))
		}
	}
}

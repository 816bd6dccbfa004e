package scheduler_test

import (
	"strconv"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// crashEvent returns the report of a run under which the worker crashed.
func crashEvent(id batch.RunID, bestEffort bool) *wire.TaskEvent {
	return &wire.TaskEvent{Run: id.Wire(), State: wire.TaskEvent_STATE_LOST, BestEffort: bestEffort, WorkerCrashed: true}
}

// onlyStart returns the start of a run since the last call of starts, the only one.
func (b *testbed) onlyStart() startedRun {
	b.t.Helper()
	starts := b.starts()
	if len(starts) != 1 {
		b.t.Fatalf("starts: got %v, want one", starts)
	}
	return starts[0]
}

// lastSave returns the newest write since the last call of takeCommands, which stays
// without an answer.
func (b *testbed) lastSave() *scheduler.Save {
	var last *scheduler.Save
	for _, c := range b.takeCommands() {
		if s, ok := c.(scheduler.Save); ok {
			last = &s
		}
	}
	return last
}

// A task that crashed each worker that started it was started without limit, and took
// worker after worker from its service.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for name, bestEffort := range map[string]bool{"stored": false, "best-effort": true} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 6)
			j := job("j", 1, bestEffort)
			j.Deadline = b.now + clock.Minute
			r := b.submit(j)
			replies := make(map[scheduler.Request]scheduler.Reply)
			var ended batch.State
			starts := 0
			for range 200 {
				for _, c := range b.takeCommands() {
					switch c := c.(type) {
					case scheduler.Save:
						b.s.HandleSaveResult(b.now, c.ID, c.Kind, scheduler.SaveDone, 7)
					case scheduler.Reply:
						replies[c.Request] = c
					case scheduler.Decision:
						if c.Summary == scheduler.JobEnded {
							ended = batch.State(c.Reason)
						}
					}
				}
				b.advance(10)
				for _, s := range b.starts() {
					starts++
					b.report(s.at, event(s.run, wire.TaskEvent_STATE_RUNNING))
					b.report(s.at, crashEvent(s.run, bestEffort))
				}
			}
			if starts != 3 {
				t.Errorf("starts: got %d, want 3", starts)
			}
			if ended != batch.Failed {
				t.Errorf("end of the job: got %q, want %q", ended, batch.Failed)
			}
			if got := replies[r].State; bestEffort && got != batch.Failed {
				t.Errorf("reply: got %q, want %q", got, batch.Failed)
			}
			if got := b.s.Counters().Ejections; got != 0 {
				t.Errorf("ejections: got %d, want 0", got)
			}
		})
	}
}

// A report of a crash comes again in each inventory until it is confirmed. Counting it
// each time would give up a task after one crash.
func TestCrashCountsOnceForEachAttempt(t *testing.T) {
	b := newTestbed(t, 4)
	b.submit(job("j", 1, true))
	first := b.onlyStart()
	b.report(first.at, event(first.run, wire.TaskEvent_STATE_LOST))
	second := b.onlyStart()
	b.report(first.at, crashEvent(first.run, true))
	b.inventory(first.at, crashEvent(first.run, true))
	b.report(first.at, crashEvent(first.run, true))
	if got := b.s.Counters().Crashes; got != 1 {
		t.Errorf("crashes: got %d, want 1", got)
	}
	if got := b.s.OpenJobs(); got != 1 {
		t.Fatalf("open jobs after one crash: got %d, want 1", got)
	}
	b.report(second.at, crashEvent(second.run, true))
	third := b.onlyStart()
	if got := b.s.OpenJobs(); got != 1 {
		t.Fatalf("open jobs after two crashes: got %d, want 1", got)
	}
	b.report(third.at, crashEvent(third.run, true))
	if got := b.s.Counters().FailedJobs; got != 1 {
		t.Errorf("failed jobs after three crashes: got %d, want 1", got)
	}
}

// crashStored submits a stored job and reports the crash of the worker that started
// its task. It returns the run and the write of the crash.
func crashStored(b *testbed) (startedRun, scheduler.Save) {
	b.t.Helper()
	b.submit(job("j", 1, false))
	b.save(scheduler.SaveDone)
	s := b.onlyStart()
	b.report(s.at, crashEvent(s.run, false))
	save := b.lastSave()
	if save == nil || save.Kind != scheduler.SaveProgress {
		b.t.Fatalf("write after a crash: got %v, want one of the progress", save)
	}
	return s, *save
}

// An entry that died with an unstored crash left a successor that counted from zero.
// The task starts again only after the write of its crash, and the sidecar keeps the
// report until then.
func TestTaskWithUnstoredCrashDoesNotStart(t *testing.T) {
	b := newTestbed(t, 4)
	s, save := crashStored(b)
	b.advance(2 * clock.Second)
	if n := confirmed(b, s); n != 0 {
		t.Errorf("confirmations before the write has been answered: got %d, want 0", n)
	}
	if got := len(b.starts()); got != 0 {
		t.Errorf("starts before the write has been answered: got %d, want 0", got)
	}
	b.s.HandleSaveResult(b.now, save.ID, save.Kind, scheduler.SaveRefused, 0)
	b.advance(1 * clock.Second)
	if got := len(b.starts()); got != 0 {
		t.Errorf("starts after the write was refused: got %d, want 0", got)
	}
	again := b.lastSave()
	if again == nil {
		t.Fatal("a refused write of a crash was not repeated")
	}
	b.s.HandleSaveResult(b.now, again.ID, again.Kind, scheduler.SaveDone, 8)
	b.tick()
	if n := confirmed(b, s); n != 1 {
		t.Errorf("confirmations after the write: got %d, want 1", n)
	}
	if got := b.onlyStart(); got.run.Attempt <= s.run.Attempt {
		t.Errorf("attempt after the write: got %d, want more than %d", got.run.Attempt, s.run.Attempt)
	}
}

// confirmed returns how often a sidecar was told that the end of a run is recorded.
func confirmed(b *testbed, s startedRun) int {
	n := 0
	for _, o := range b.sent[s.at] {
		for _, id := range o.GetStored() {
			if batch.RunIDFromWire(id) == s.run {
				n++
			}
		}
	}
	return n
}

// takeOver returns a testbed of an entry that has taken over a job of self, with a
// report of each of these events in the inventories of a sidecar.
func takeOver(t *testing.T, record *wire.StoredJob, at scheduler.Address, events ...*wire.TaskEvent) *testbed {
	t.Helper()
	b := newTestbedOf(t, "entry-b", 4)
	var sidecars []scheduler.Address
	for i := range 4 {
		sidecars = append(sidecars, address(i))
	}
	b.s.ApplyFences(map[ownership.Incarnation]ownership.Incarnation{self: "entry-b"})
	b.s.RecoverJobs(b.now, self, []scheduler.OpenJob{{ID: "j", Revision: 9, Record: record, PreviousOwners: 1}}, sidecars, 0)
	b.tick()
	for _, a := range sidecars {
		r := &wire.TaskReport{Inventory: true, Fenced: []string{string(self)}}
		if a == at {
			r.Events = events
		}
		b.send(a, r)
	}
	return b
}

// The successor of an entry counts the crashes before the takeover: those in the store,
// those that only the sidecar still reports, and none twice.
func TestCrashesAreCountedAcrossATakeover(t *testing.T) {
	for name, stored := range map[string]bool{"write applied": true, "write lost": false} {
		t.Run(name, func(t *testing.T) {
			old := newTestbed(t, 4)
			old.submit(job("j", 1, false))
			record := old.save(scheduler.SaveDone).Job
			s := old.onlyStart()
			old.report(s.at, crashEvent(s.run, false))
			if save := old.lastSave(); stored {
				record = save.Job
			}
			b := takeOver(t, record, s.at, crashEvent(s.run, false))
			for range 2 {
				for range 5 {
					if save := b.lastSave(); save != nil {
						b.s.HandleSaveResult(b.now, save.ID, save.Kind, scheduler.SaveDone, 10)
					}
					b.advance(600)
				}
				next := b.onlyStart()
				b.report(next.at, crashEvent(next.run, false))
			}
			b.advance(600)
			if got := len(b.starts()); got != 0 {
				t.Errorf("starts after the third crash: got %d, want 0", got)
			}
			if save := b.lastSave(); save == nil || save.End.GetState() != wire.StoredEnd_STATE_FAILED {
				t.Errorf("write after the third crash: got %v, want the end as failed", save)
			}
		})
	}
}

// A caller that comes again to the same entry must not make a task that crashes workers
// count from zero, also if the crash is reported after the job was given up.
func TestResubmissionKeepsTheCrashes(t *testing.T) {
	for name, late := range map[string]bool{"reported before": false, "reported after": true} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 4)
			r := b.submit(job("j", 1, true))
			first := b.onlyStart()
			reported := event(first.run, wire.TaskEvent_STATE_LOST)
			if !late {
				reported = crashEvent(first.run, true)
			}
			b.report(first.at, event(first.run, wire.TaskEvent_STATE_RUNNING))
			b.s.CallerDisconnected(b.now, r, "j")
			b.report(first.at, reported)
			b.report(first.at, crashEvent(first.run, true))
			b.starts()
			again := b.submit(job("j", 1, true))
			for range 2 {
				next := b.onlyStart()
				b.report(next.at, crashEvent(next.run, true))
			}
			if got := len(b.starts()); got != 0 {
				t.Errorf("starts after the third crash: got %d, want 0", got)
			}
			if got := b.replies()[again].State; got != batch.Failed {
				t.Errorf("reply: got %q, want %q", got, batch.Failed)
			}
		})
	}
}

// While the store is away, tasks that wait for the write of their crash must not use up
// the number of jobs that a tick examines and so hold up the jobs behind them.
func TestUnstoredCrashesDoNotHoldUpOtherJobs(t *testing.T) {
	b := newTestbed(t, 40)
	for i := range 40 {
		b.submit(job("j"+strconv.Itoa(i), 1, false))
		b.save(scheduler.SaveDone)
		s := b.onlyStart()
		b.report(s.at, crashEvent(s.run, false))
		b.takeCommands()
	}
	b.submit(job("other", 1, true))
	if got := b.onlyStart().run.Job; got != "other" {
		t.Errorf("start: got one of %s, want one of the job without a crash", got)
	}
}

// Guards against a job that is given up because one worker crashes again and again: it was
// empty after each crash, so that it looked the best, and got the same task each time.
func TestTaskAvoidsTheWorkerThatCrashedUnderIt(t *testing.T) {
	b := newTestbed(t, 2)
	b.advance(100)
	b.submit(job("j", 1, true))
	first := b.onlyStart()
	b.report(first.at, event(first.run, wire.TaskEvent_STATE_RUNNING))
	other := address(0)
	if first.at == other {
		other = address(1)
	}
	// The other worker is busy, and the one that crashed is empty.
	b.send(other, &wire.TaskReport{Load: &wire.WorkerLoad{Cpu: 20_000, FreeCpu: 7000, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s"}})
	b.report(first.at, crashEvent(first.run, true))
	if got := b.onlyStart().at; got != other {
		t.Errorf("worker of the second start: got %s, want %s", got, other)
	}
}

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
// worker after worker from its service. A best-effort job fails after three crashes.
func TestBestEffortTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	b := newTestbed(t, 6)
	j := job("j", 1, true)
	j.Deadline = b.now + clock.Minute
	r := b.submit(j)
	replies := make(map[scheduler.Request]scheduler.Reply)
	starts := 0
	for range 200 {
		for request, reply := range b.replies() {
			replies[request] = reply
		}
		b.advance(10)
		for _, s := range b.starts() {
			starts++
			b.report(s.at, event(s.run, wire.TaskEvent_STATE_RUNNING))
			b.report(s.at, crashEvent(s.run, true))
		}
	}
	if starts != 3 {
		t.Errorf("starts: got %d, want 3", starts)
	}
	if got := replies[r].State; got != batch.Failed {
		t.Errorf("reply: got %q, want %q", got, batch.Failed)
	}
	if got := b.s.Counters().Ejections; got != 0 {
		t.Errorf("ejections: got %d, want 0", got)
	}
}

// crashUntilStart reports the crash of the worker under a run of a stored job, with its
// load, and returns the next start and how long it took. All writes are answered.
func (b *testbed) crashUntilStart(s startedRun, report func()) (startedRun, clock.Millis) {
	b.t.Helper()
	began := b.now
	b.report(s.at, crashEvent(s.run, false))
	for b.now-began < 5*clock.Second {
		b.acknowledgeSaves()
		report()
		if starts := b.starts(); len(starts) == 1 {
			return starts[0], b.now - began
		}
		b.now += 10
		b.s.RecordStoreContact(b.now)
	}
	b.t.Fatalf("starts within 5 s of a crash: got none, want one")
	return startedRun{}, 0
}

// A stored job ended as failed after three crashes without one failed run, although a
// crash is not a failure and has other causes than the task. Its task must start again
// within 3 s of each crash, after a pause that grows so that it does not take worker after
// worker from its service.
func TestStoredTaskThatCrashesWorkersIsContained(t *testing.T) {
	b := newTestbed(t, 6)
	b.submit(job("j", 1, false))
	b.acknowledgeSaves()
	b.tick()
	s := b.onlyStart()
	var pause clock.Millis
	for crash, least := range []clock.Millis{0, 250, 500, 1000, 2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000} {
		s, pause = b.crashUntilStart(s, b.reportAll)
		if longest := 2500 * clock.Millis(1); pause < least || pause > longest {
			t.Errorf("pause after crash %d: got %d ms, want %d to %d", crash+1, pause, least, longest)
		}
	}
	if got := b.s.Counters(); got.FailedJobs != 0 || got.Ejections != 0 || got.Failures != 0 {
		t.Errorf("counters: got %+v, want no failed job, ejection or failure", got)
	}
	b.report(s.at, crashEvent(s.run, false))
	if save := b.lastSave(); save == nil || len(save.Job.GetTasks()[0].GetCrashedAttempts()) > 16 {
		t.Errorf("write after many crashes: got %v, want one with at most 16 attempts", save)
	}
}

func (b *testbed) reportAll() {
	for a := range b.workers {
		b.report(a)
	}
}

// A task under which two workers crashed must run alone, so that it takes no other run
// with it, but must not wait for an empty worker for longer than the 3 s after which a
// task must start.
func TestContainedTaskWaitsBrieflyForAnEmptyWorker(t *testing.T) {
	for name, empty := range map[string]bool{"an empty worker": true, "none": false} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 4)
			busy := func() {
				for a := range b.workers {
					load := &wire.WorkerLoad{Cpu: 20_000, FreeCpu: 14_000, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s"}
					if empty && a == address(3) {
						load.FreeCpu = load.Cpu
					}
					b.send(a, &wire.TaskReport{Load: load})
				}
			}
			busy()
			b.submit(job("j", 1, false))
			b.acknowledgeSaves()
			b.tick()
			s, _ := b.crashUntilStart(b.onlyStart(), busy)
			for crash := 2; crash < 6; crash++ {
				var took clock.Millis
				s, took = b.crashUntilStart(s, busy)
				if empty && s.at == address(3) {
					return
				}
				if took < 1*clock.Second || took > 2510 {
					t.Errorf("start beside others after crash %d: got %d ms, want 1000 to 2500", crash, took)
				}
			}
			if empty {
				t.Error("starts after five crashes: got none on the empty worker")
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

// An entry that died with an unstored crash left a successor that counted from zero. The
// task waits for the write of its crash, and the sidecar keeps the report until then. The
// wait is short: a task must start within 3 s also while the store fails.
func TestTaskWithUnstoredCrashWaitsBrieflyForTheWrite(t *testing.T) {
	for name, result := range map[string]scheduler.SaveResult{"write done": scheduler.SaveDone, "write refused": scheduler.SaveRefused} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 4)
			s, save := crashStored(b)
			b.advance(900)
			if n := confirmed(b, s); n != 0 {
				t.Errorf("confirmations before the write has been answered: got %d, want 0", n)
			}
			if got := len(b.starts()); got != 0 {
				t.Errorf("starts before the write has been answered: got %d, want 0", got)
			}
			b.s.HandleSaveResult(b.now, save.ID, save.Kind, result, 8)
			b.tick()
			if result == scheduler.SaveRefused {
				if n := confirmed(b, s); n != 0 {
					t.Errorf("confirmations after the write was refused: got %d, want 0", n)
				}
				if got := len(b.starts()); got != 0 {
					t.Errorf("starts when the write is refused: got %d, want 0", got)
				}
				b.advance(1 * clock.Second)
				if again := b.lastSave(); again == nil {
					t.Error("a refused write of a crash was not repeated")
				}
			} else if n := confirmed(b, s); n != 1 {
				t.Errorf("confirmations after the write: got %d, want 1", n)
			}
			if got := b.onlyStart(); got.run.Attempt <= s.run.Attempt {
				t.Errorf("attempt of the next start: got %d, want more than %d", got.run.Attempt, s.run.Attempt)
			}
		})
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
			next := b.startWithWrites()
			for _, least := range []clock.Millis{250, 500} {
				var pause clock.Millis
				if next, pause = b.crashUntilStart(next, b.reportAll); pause < least || pause > 2500 {
					t.Errorf("pause: got %d ms, want %d to 2500", pause, least)
				}
			}
			b.report(next.at, crashEvent(next.run, false))
			if save := b.lastSave(); save == nil || save.End != nil || len(save.Job.GetTasks()[0].GetCrashedAttempts()) != 4 {
				t.Errorf("write after the fourth crash: got %v, want an open record with four", save)
			}
		})
	}
}

// startWithWrites answers all writes until a run starts.
func (b *testbed) startWithWrites() startedRun {
	b.t.Helper()
	for range 30 {
		b.acknowledgeSaves()
		b.advance(100)
		if starts := b.starts(); len(starts) == 1 {
			return starts[0]
		}
	}
	b.t.Fatal("starts within 3 s: got none, want one")
	return startedRun{}
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

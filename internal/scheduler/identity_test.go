package scheduler_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// Guards against a second run beside an active one: the end of a run that another
// entry had ordered on another worker under the same attempt unbound the active run.
func TestEndOnAnotherWorkerKeepsTheActiveRun(t *testing.T) {
	for _, state := range []wire.TaskEvent_State{
		wire.TaskEvent_STATE_STOPPED, wire.TaskEvent_STATE_LOST, wire.TaskEvent_STATE_STALLED,
		wire.TaskEvent_STATE_FAILED, wire.TaskEvent_STATE_DONE,
	} {
		for name, send := range map[string]func(*testbed, scheduler.Address, ...*wire.TaskEvent){
			"event": (*testbed).report, "inventory": (*testbed).inventory,
		} {
			t.Run(state.String()+", "+name, func(t *testing.T) {
				b := newTestbed(t, 2)
				r := b.submit(job("j", 1, true))
				own := b.starts()[0]
				b.report(own.at, event(own.run, wire.TaskEvent_STATE_RUNNING))
				send(b, otherThan(own.at), event(own.run, state))
				b.advanceBusy(60)
				if got := len(b.starts()); got != 0 {
					t.Errorf("starts beside the active run: got %d, want 0", got)
				}
				if got := len(b.replies()); got != 0 {
					t.Errorf("replies before the end of the active run: got %d, want 0", got)
				}
				b.report(own.at, event(own.run, wire.TaskEvent_STATE_DONE))
				if got, want := b.replies()[r].Result, scheduler.Ended; got != want {
					t.Errorf("result after the end of the active run: got %q, want %q", got, want)
				}
			})
		}
	}
}

// Guards against orders under a wrong attempt: the end of another entry's run with a
// higher attempt changed the attempt of the active run, whose stop was then for a run
// that no worker has.
func TestEndOfAnotherRunKeepsTheAttempt(t *testing.T) {
	b := newTestbed(t, 2)
	r := b.submit(job("j", 1, true))
	own := b.starts()[0]
	b.report(own.at, event(own.run, wire.TaskEvent_STATE_RUNNING))
	other := own.run
	other.Attempt += 7
	b.report(otherThan(own.at), event(other, wire.TaskEvent_STATE_STOPPED))
	b.s.CallerDisconnected(b.now, r, "j")
	b.tick()
	var stops []batch.RunID
	for _, o := range b.sent[own.at] {
		for _, id := range o.GetStops() {
			stops = append(stops, batch.RunIDFromWire(id))
		}
	}
	if len(stops) != 1 || stops[0] != own.run {
		t.Errorf("stops: got %v, want %v", stops, own.run)
	}
}

func otherThan(a scheduler.Address) scheduler.Address {
	if a == address(0) {
		return address(1)
	}
	return address(0)
}

// Guards against runs of two entries that nothing distinguishes: both began at attempt
// 1, and a worker lists a run by its task and attempt only. A refused start must also
// not be repeated below the attempts that the sidecar knows, also those of an entry
// whose numbers are higher.
func TestAttemptsOfEntriesDiffer(t *testing.T) {
	a := newTestbed(t, 1)
	b := newTestbedOf(t, "entry-b", 1)
	seen := make(map[batch.Attempt]bool)
	for i, bed := range []*testbed{a, b} {
		bed.submit(job("j", 1, true))
		for range 5 {
			starts := bed.starts()
			if len(starts) != 1 {
				t.Fatalf("starts of entry %d: got %d, want 1", i, len(starts))
			}
			if seen[starts[0].run.Attempt] {
				t.Errorf("attempt %d of entry %d was ordered before", starts[0].run.Attempt, i)
			}
			seen[starts[0].run.Attempt] = true
			bed.report(starts[0].at, event(starts[0].run, wire.TaskEvent_STATE_NOT_STARTED))
		}
		refused := bed.starts()[0]
		const known = batch.Attempt(7_654_321_000)
		notStarted := event(refused.run, wire.TaskEvent_STATE_NOT_STARTED)
		notStarted.HighestAttempt = int64(known)
		bed.report(refused.at, notStarted)
		if next := bed.starts(); len(next) != 1 || next[0].run.Attempt <= known {
			t.Errorf("starts after a refusal below attempt %d: got %v, want one above it", known, next)
		}
	}
}

// Guards against a start beside another entry's active run: an entry was told of such a
// run at the worker to which it had sent its own start, took the refusal of that start
// for leave to start elsewhere, and ran the task twice.
func TestTaskWaitsForTheRunOfAnotherEntry(t *testing.T) {
	for name, end := range map[string]wire.TaskEvent_State{
		"stopped": wire.TaskEvent_STATE_STOPPED, "failed": wire.TaskEvent_STATE_FAILED, "unknown to its sidecar": wire.TaskEvent_STATE_LOST,
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2)
			b.submit(job("j", 1, true))
			own := b.starts()[0]
			foreign := own.run
			foreign.Attempt--
			b.inventory(own.at, event(foreign, wire.TaskEvent_STATE_RUNNING))
			b.report(own.at, event(own.run, wire.TaskEvent_STATE_NOT_STARTED))
			b.advance(500)
			if got := b.starts(); len(got) != 0 {
				t.Fatalf("starts beside the run of another entry: got %v, want none", got)
			}
			b.report(own.at, event(foreign, end))
			if got := b.starts(); len(got) != 1 || got[0].run.Attempt <= own.run.Attempt {
				t.Errorf("starts after its end: got %v, want one above attempt %d", got, own.run.Attempt)
			}
		})
	}
}

// Guards against a second start while a run of the task is active that the entry had not
// ordered and whose attempt is below its own last one: such a run was released and the
// task started elsewhere before the stop had taken effect.
func TestPendingTaskTakesOverAnActiveRun(t *testing.T) {
	b := newTestbed(t, 2)
	r := b.submit(job("j", 1, true))
	own := b.starts()[0]
	busy := &wire.WorkerLoad{Cpu: 20_000, Ready: true, Service: "s"}
	b.send(otherThan(own.at), &wire.TaskReport{Load: busy})
	b.send(own.at, &wire.TaskReport{Load: busy, Events: []*wire.TaskEvent{event(own.run, wire.TaskEvent_STATE_NOT_STARTED)}})
	foreign := batch.RunID{TaskID: batch.TaskID{Job: "j"}, Attempt: 3}
	b.inventory(address(0), event(foreign, wire.TaskEvent_STATE_RUNNING))
	b.advance(300)
	if got := b.starts(); len(got) != 0 {
		t.Fatalf("starts beside the active run: got %v, want none", got)
	}
	b.report(address(0), event(foreign, wire.TaskEvent_STATE_DONE))
	if got, want := b.replies()[r].Result, scheduler.Ended; got != want {
		t.Errorf("result after its end: got %q, want %q", got, want)
	}
}

// Guards against a resubmission whose runs nothing distinguishes from those of the
// submission that the same entry abandoned before: both began at the same attempt, so an
// end of the earlier run counted for the later one.
func TestResubmissionHasHigherAttempts(t *testing.T) {
	b := newTestbed(t, 1)
	r := b.submit(job("j", 1, true))
	first := b.starts()[0]
	b.report(first.at, event(first.run, wire.TaskEvent_STATE_RUNNING))
	b.s.CallerDisconnected(b.now, r, "j")
	b.tick()
	b.report(first.at, event(first.run, wire.TaskEvent_STATE_STOPPED))
	if got := b.s.OpenJobs(); got != 0 {
		t.Fatalf("open jobs: got %d, want 0", got)
	}
	b.submit(job("j", 1, true))
	if got := b.starts(); len(got) != 1 || got[0].run.Attempt <= first.run.Attempt {
		t.Errorf("starts of the resubmission: got %v, want one above attempt %d", got, first.run.Attempt)
	}
}

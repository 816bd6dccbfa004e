package scheduler_test

import (
	"strconv"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// shrink reports a worker whose capacity has shrunk below the need of its runs.
func (b *testbed) shrink(a scheduler.Address) {
	b.send(a, &wire.TaskReport{Load: &wire.WorkerLoad{Cpu: 1000, FreeCpu: -100_000, MemoryMb: 1000, FreeMemoryMb: 500, Ready: true, Service: "s"}})
}

// Guards against a worker whose free capacity is negative: it must get no task and
// must not hide the free capacity of the other workers, so
// that late jobs are refused as under overload.
func TestNegativeFreeCapacityOfAWorker(t *testing.T) {
	b := newTestbed(t, 2)
	for i := range 30 {
		b.now += 100
		b.shrink("w0")
		b.report("w1")
		j := job("j"+strconv.Itoa(i), 2, true)
		if i%2 == 0 {
			j.Steps[0].Required = batch.Resources{}
		}
		if i%3 == 0 {
			// The job is late from the start.
			j.Objective = 1
			j.Steps[0].EstimatedRunTime = 10
		}
		r := b.submit(j)
		started := b.starts()
		if len(started) != 2 {
			t.Fatalf("starts of job %d: got %d, want 2 (reply %v)", i, len(started), b.replies()[r])
		}
		for _, s := range started {
			if s.at != "w1" {
				t.Errorf("start at %s, whose free capacity is negative", s.at)
			}
			b.report(s.at, event(s.run, wire.TaskEvent_STATE_DONE))
		}
		if got, want := b.replies()[r].Result, scheduler.Ended; got != want {
			t.Errorf("job %d: got %v, want %v", i, got, want)
		}
	}
}

// Guards against a job that is lost or refused at once while the capacity of the only
// worker is too small for the runs on it, and against a start there before the
// capacity has grown again, also of a task without a need.
func TestJobWaitsForCapacityThatHasShrunk(t *testing.T) {
	for name, required := range map[string]batch.Resources{"some need": {CPU: 6000}, "no need": {}} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			j := job("j", 1, true)
			j.Steps[0].Required = required
			var r scheduler.Request
			for i := range 4 {
				b.now += 100
				b.send("w0", &wire.TaskReport{Load: &wire.WorkerLoad{Cpu: 7000, FreeCpu: -5000, MemoryMb: 1000, FreeMemoryMb: 500, Ready: true, Service: "s"}})
				if i == 0 {
					r = b.submit(j)
				}
				if got := len(b.starts()) + len(b.replies()); got != 0 {
					t.Fatalf("starts and replies in report %d of a negative free capacity: got %d, want 0", i+1, got)
				}
			}
			b.now += 10
			b.report("w0")
			for _, s := range b.starts() {
				b.report(s.at, event(s.run, wire.TaskEvent_STATE_DONE))
			}
			if got, want := b.replies()[r].Result, scheduler.Ended; got != want {
				t.Errorf("job after the capacity has grown: got %v, want %v", got, want)
			}
		})
	}
}

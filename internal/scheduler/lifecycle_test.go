package scheduler_test

import (
	"strconv"
	"testing"

	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// reportWarmup reports free capacity of a worker and the time until it has warmed up.
func (b *testbed) reportWarmup(a scheduler.Address, free, left int64) {
	b.send(a, &wire.TaskReport{Load: &wire.WorkerLoad{
		Cpu: 20_000, FreeCpu: free, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s", WarmupLeftMs: left,
	}})
}

// Workers start at different times. Guards against urgent tasks that run on a cold worker
// while a warm one has room, and against a cold worker that stays idle while they wait.
func TestUrgentTasksGoToWarmWorkers(t *testing.T) {
	for name, test := range map[string]struct {
		warmFree int64
		want     scheduler.Address
	}{
		"warm worker with little room": {6000, address(1)},
		"warm worker full":             {0, address(0)},
	} {
		b := newTestbed(t, 2)
		b.reportWarmup(address(0), 20_000, 10_000)
		b.reportWarmup(address(1), test.warmFree, 0)
		for i := range 3 {
			j := job("j"+strconv.Itoa(i), 1, true)
			j.Steps[0].Required.CPU = 1000
			b.submit(j)
			for _, s := range b.starts() {
				if s.at != test.want {
					t.Errorf("%s: got a start at %s, want %s", name, s.at, test.want)
				}
			}
		}
	}
}

// Guards against a worker that gets its full load at once while it is cold: its part of
// the tasks must rise as it warms up.
func TestLoadOfAColdWorkerRises(t *testing.T) {
	var shares []int
	for _, left := range []int64{10_000, 5000, 0} {
		b := newTestbed(t, 2)
		urgent := job("urgent", 1, true)
		urgent.Priority, urgent.Steps[0].Required.CPU = 0, 10
		b.submit(urgent)
		b.starts()
		b.reportWarmup(address(0), 20_000, 10_000)
		b.reportWarmup(address(0), 20_000, left)
		b.reportWarmup(address(1), 20_000, 0)
		cold := 0
		for i := range 18 {
			j := job("j"+strconv.Itoa(i), 1, true)
			j.Priority, j.Steps[0].Required.CPU = 2, 1000
			b.submit(j)
			for _, s := range b.starts() {
				if s.at == address(0) {
					cold++
				}
			}
		}
		shares = append(shares, cold)
	}
	if shares[0] >= shares[1] || shares[1] >= shares[2] || shares[0] == 0 {
		t.Errorf("tasks of 18 on the worker at the start, in the middle and after its warm-up: got %v, want some that rise", shares)
	}
}

// Guards against slow runs of the warm-up that count in the learned speed, so that the warm
// worker gets no tasks.
func TestRunsOfTheWarmupDoNotCountForTheSpeed(t *testing.T) {
	b := newTestbed(t, 1)
	b.reportWarmup(address(0), 20_000, 10_000)
	for i := range 30 {
		b.submit(job("j"+strconv.Itoa(i), 1, true))
		for _, s := range b.starts() {
			e := event(s.run, wire.TaskEvent_STATE_DONE)
			e.RunMs = 400
			b.send(s.at, &wire.TaskReport{Events: []*wire.TaskEvent{e}, Load: &wire.WorkerLoad{
				Cpu: 20_000, FreeCpu: 20_000, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s", WarmupLeftMs: 10_000,
			}})
		}
	}
	b.connect(address(1), 20_000)
	b.reportWarmup(address(0), 20_000, 0)
	count := 0
	for i := range 20 {
		b.submit(job("after"+strconv.Itoa(i), 1, true))
		for _, s := range b.starts() {
			if s.at == address(0) {
				count++
			}
			b.report(s.at, event(s.run, wire.TaskEvent_STATE_DONE))
		}
	}
	if count < 4 {
		t.Errorf("starts on the worker after its warm-up: got %d of 20, want about half", count)
	}
}

package scheduler_test

import (
	"strconv"
	"testing"

	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// newRackTestbed returns a testbed with a remote factor of 3, whose first worker is in the rack
// "r" with the given free CPU, the second one outside of it and free.
func newRackTestbed(t *testing.T, freeCPU int64) *testbed {
	t.Helper()
	defer func(s scheduler.Settings) { settings = s }(settings)
	settings.RemoteFactor = 3
	b := newTestbed(t, 2)
	b.reportRacks(freeCPU)
	return b
}

func (b *testbed) reportRacks(freeCPU int64, events ...*wire.TaskEvent) {
	b.send("w0", &wire.TaskReport{Load: &wire.WorkerLoad{Cpu: 40_000, FreeCpu: freeCPU, MemoryMb: 1 << 20, FreeMemoryMb: 1 << 20, Ready: true, Service: "s", Labels: []string{"r"}}})
	b.send("w1", &wire.TaskReport{Load: &wire.WorkerLoad{Cpu: 40_000, FreeCpu: 40_000, MemoryMb: 1 << 20, FreeMemoryMb: 1 << 20, Ready: true, Service: "s"}, Events: events})
}

// Guards against remote runs that teach that a worker is slow: at a factor of 3, a worker
// outside the hot rack would look three times slower than it is, also to tasks that have no
// data.
func TestRemoteRunsAreNoSlowness(t *testing.T) {
	b := newRackTestbed(t, 0)
	for i := range 20 {
		j := job("j"+strconv.Itoa(i), 1, true)
		j.Objective, j.Steps[0].DataRack, j.Steps[0].EstimatedRunTime = 2000, "r", 100
		b.submit(j)
		b.advanceRacks(400, 0)
		for _, s := range b.starts() {
			if s.at != "w1" {
				t.Fatalf("start at %s, want it at the free worker", s.at)
			}
			e := event(s.run, wire.TaskEvent_STATE_DONE)
			e.RunMs = 300
			b.reportRacks(0, e)
		}
	}
	j := job("j", 1, true)
	j.Objective, j.Steps[0].EstimatedRunTime = 160, 100
	b.submit(j)
	b.tick()
	if got := len(b.starts()); got != 1 {
		t.Errorf("starts of a task without data that ends in time on the worker: got %d, want 1", got)
	}
}

func (b *testbed) advanceRacks(d clock.Millis, freeCPU int64) {
	for until := b.now + d; b.now < until; b.now += 10 {
		b.reportRacks(freeCPU)
		b.tick()
	}
}

package scheduler_test

import (
	"strconv"
	"testing"

	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// reportSlowdown reports free capacity of a worker and the factor of a kind.
func (b *testbed) reportSlowdown(a scheduler.Address, free int64, kind string, percent int32) {
	b.send(a, &wire.TaskReport{Load: &wire.WorkerLoad{
		Cpu: 20_000, FreeCpu: free, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s",
		Slowdowns: []*wire.KindSlowdown{{Kind: kind, Percent: percent}},
	}})
}

// Guards against tasks that are placed beside those that slow them down although other
// workers have room, and against kinds that are kept off a worker for nothing.
func TestInterferingKindsAreSeparated(t *testing.T) {
	for kind, want := range map[string]scheduler.Address{"slowed": address(1), "other": address(0)} {
		b := newTestbed(t, 2)
		b.reportSlowdown(address(0), 20_000, "slowed", 300)
		b.reportSlowdown(address(1), 6000, "none", 300)
		for i := range 10 {
			j := job(kind+strconv.Itoa(i), 1, true)
			j.Route, j.Steps[0].Required.CPU = "slowed", 100
			if kind == "other" {
				j.Route = "other"
			}
			b.submit(j)
			for _, s := range b.starts() {
				if s.at != want {
					t.Errorf("%s: got a start at %s, want %s", kind, s.at, want)
				}
			}
		}
	}
}

// Guards against a job that waits or is refused because of interference: the only worker
// with room is expected to end it late.
func TestInterferenceHoldsNothingBack(t *testing.T) {
	b := newTestbed(t, 2)
	b.reportSlowdown(address(0), 20_000, "slowed", 10_000)
	b.reportSlowdown(address(1), 0, "slowed", 0)
	j := job("j", 1, true)
	j.Route = "slowed"
	b.submit(j)
	starts := b.starts()
	if len(starts) != 1 || starts[0].at != address(0) {
		t.Fatalf("starts: got %v, want one at %s", starts, address(0))
	}
	if got := b.sent; len(got) > 0 {
		t.Errorf("orders: got %v, want none left", got)
	}
}

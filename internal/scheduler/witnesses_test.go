package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/teaseltide/teaseltide/internal/executor"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// submitAtBoth submits jobs at one entry and then at another, and fails the test if both
// start one.
func submitAtBoth(t *testing.T, b *testbed, wb *witnesses, a *testbed, wa *witnesses, between func()) {
	t.Helper()
	const jobs = 30
	for i := range jobs {
		j := job(fmt.Sprint("j", i), 1, true)
		j.Steps[0].Required.CPU = 10
		b.submit(j)
	}
	b.advanceWith(wb, 50)
	held := make(map[string]bool)
	for _, s := range b.starts() {
		held[string(s.run.Job)] = true
		b.report(s.at, event(s.run, wire.TaskEvent_STATE_RUNNING))
	}
	if len(held) != jobs {
		t.Fatalf("starts at the first entry: got %d, want %d", len(held), jobs)
	}
	between()
	for i := range jobs {
		j := job(fmt.Sprint("j", i), 1, true)
		j.Steps[0].Required.CPU = 10
		a.submit(j)
	}
	for range 5 {
		a.advanceWith(wa, 30)
		b.advanceWith(wb, 30)
	}
	for _, s := range a.starts() {
		t.Errorf("%s started at a second entry while the first one runs it", s.run.Job)
	}
}

// Guards against two runs of a job at once. A sidecar that was silent for one entry alone
// was replaced among its witnesses, so that the entry got two of three votes which another
// entry had not asked: two sets of three with two in common have disjoint majorities.
func TestWitnessCutOffFromOneEntryAlone(t *testing.T) {
	for cut := range 5 {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			wb := newWitnesses(5)
			wa := &witnesses{executors: wb.executors, silent: map[scheduler.Address]bool{address(cut): true}}
			a, b := newLeaseTestbed(t, "entry-a", wa), newLeaseTestbed(t, "entry-b", wb)
			a.advanceWith(wa, 3*clock.Second)
			b.advanceWith(wb, 3*clock.Second)
			submitAtBoth(t, b, wb, a, wa, func() {})
		})
	}
}

// Guards against the same if the answers of a second witness are late, so that its refusal
// is not known.
func TestWitnessCutOffBesideALateOne(t *testing.T) {
	for cut := range 5 {
		for late := range 5 {
			t.Run(fmt.Sprint(cut, late), func(t *testing.T) {
				wb := newWitnesses(5)
				wa := &witnesses{
					executors: wb.executors, silent: map[scheduler.Address]bool{address(cut): true}, lost: map[scheduler.Address]bool{address(late): true},
				}
				a, b := newLeaseTestbed(t, "entry-a", wa), newLeaseTestbed(t, "entry-b", wb)
				a.advanceWith(wa, 3*clock.Second)
				b.advanceWith(wb, 3*clock.Second)
				submitAtBoth(t, b, wb, a, wa, func() {})
			})
		}
	}
}

// Guards against the same after the restart of a witness, which forgets its leases and is
// another witness afterwards.
func TestWitnessThatRestarts(t *testing.T) {
	for restarted := range 5 {
		t.Run(fmt.Sprint(restarted), func(t *testing.T) {
			w := newWitnesses(5)
			a, b := newLeaseTestbed(t, "entry-a", w), newLeaseTestbed(t, "entry-b", w)
			submitAtBoth(t, b, w, a, w, func() {
				w.executors[address(restarted)] = executor.New(1, clock.Second)
				var ids []ownership.Incarnation
				for i := range 5 {
					ids = append(ids, sidecar(address(i)))
				}
				ids[restarted] = "sidecar-restarted"
				for _, e := range []*testbed{a, b} {
					e.s.SidecarDisconnected(sidecar(address(restarted)))
					e.s.SetSidecars(ids)
				}
			})
		})
	}
}

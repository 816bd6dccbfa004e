package scheduler_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// reconnect begins a session with a new sidecar that lists only some of its runs.
func (b *testbed) reconnect(a scheduler.Address, events ...*wire.TaskEvent) {
	b.s.SidecarDisconnected(sidecar(a))
	b.received[a] = 0
	b.s.SidecarConnected(a, "", sidecar(a))
	b.send(a, &wire.TaskReport{PartialInventory: true, HasMoreEnds: true, Events: events, Load: &wire.WorkerLoad{}})
}

// saves returns the number of writes of a kind since the last call of takeCommands.
func (b *testbed) saves(kind scheduler.SaveKind) int {
	n := 0
	for _, c := range b.takeCommands() {
		if s, ok := c.(scheduler.Save); ok && s.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against tasks that run again after they have ended "done": the inventory of a
// new sidecar lacked the ends that its worker had not listed yet, and the tasks were
// given up. They are kept while the sidecar reads on, are done as soon as their ends are
// known, and are given up if the sidecar has lost its worker.
func TestRunsWithUnreadEndsAreKept(t *testing.T) {
	for name, tt := range map[string]struct {
		hasMoreEnds bool
		want        int
	}{"reading": {true, 0}, "worker lost": {false, 1}} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2)
			b.submit(job("j", 1, false))
			b.save(scheduler.SaveDone)
			b.tick()
			s := b.onlyStart()
			b.reconnect(s.at)
			for range 100 {
				b.now += 100
				b.s.RecordStoreContact(b.now)
				b.send(s.at, &wire.TaskReport{HasMoreEnds: tt.hasMoreEnds, Load: &wire.WorkerLoad{}})
				for a := range b.workers {
					if a != s.at {
						b.report(a)
					}
				}
			}
			if got := len(b.starts()); got != tt.want {
				t.Errorf("starts in 10 s: got %d, want %d", got, tt.want)
			}
			if !tt.hasMoreEnds {
				return
			}
			b.report(s.at, event(s.run, wire.TaskEvent_STATE_DONE))
			if got := b.saves(scheduler.SaveEnd); got != 1 {
				t.Errorf("writes of the end of the job: got %d, want 1", got)
			}
		})
	}
}

// Guards against a sidecar that reads no further ends for seconds, and against a takeover
// that ends without them: each end waited for progressDelay before it was stored, and those
// of a job that is taken over for the inventory that depends on them.
func TestEndsThatHoldUpOthersAreStoredSoon(t *testing.T) {
	b := newTestbed(t, 1)
	b.submit(job("j", 2, false))
	b.save(scheduler.SaveDone)
	b.tick()
	s := b.starts()[0]
	b.reconnect(s.at, event(s.run, wire.TaskEvent_STATE_DONE))
	for range 6 {
		b.now += 100
		b.send(s.at, &wire.TaskReport{HasMoreEnds: true, Load: &wire.WorkerLoad{}})
	}
	if got := b.saves(scheduler.SaveProgress); got != 1 {
		t.Errorf("progress writes within 600 ms: got %d, want 1", got)
	}
}

// Guards against a takeover that restarts runs whose ends a sidecar has yet to read.
func TestTakeoverWaitsForUnreadEnds(t *testing.T) {
	const dead = ownership.Incarnation("entry-z")
	open := []scheduler.OpenJob{{ID: "j", Revision: 3, PreviousOwners: 1, Record: &wire.StoredJob{
		Owner: string(dead), Service: "s", MaxFailures: 4, ObjectiveMs: 220, AcceptedAtMs: 1_000_000,
		Steps: []*wire.StoredStep{{Count: 2, Cpu: 6000, MemoryMb: 10, EstimatedMs: 100}},
	}}}
	b := newTestbed(t, 1)
	b.s.ApplyFences(map[ownership.Incarnation]ownership.Incarnation{dead: self})
	b.s.RecoverJobs(b.now, dead, open, []scheduler.Address{address(0)}, 0)
	b.tick()
	known := batch.RunID{TaskID: batch.TaskID{Job: "j"}, Attempt: 1}
	b.reconnect(address(0), event(known, wire.TaskEvent_STATE_DONE))
	writes := 0
	for range 200 {
		b.now += 100
		b.s.RecordStoreContact(b.now)
		b.send(address(0), &wire.TaskReport{HasMoreEnds: true, Load: &wire.WorkerLoad{}, Fenced: []string{string(dead)}})
		writes += b.saves(scheduler.SaveProgress)
	}
	if !b.s.Recovering() || writes != 1 {
		t.Errorf("after %d s of reading: got recovering %v and %d progress writes, want true and 1", 200*100/clock.Second, b.s.Recovering(), writes)
	}
	b.inventory(address(0))
	if b.s.Recovering() {
		t.Error("recovering after the inventory: got true, want false")
	}
}

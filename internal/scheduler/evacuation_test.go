package scheduler_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/evacuation"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// newZonesTestbed returns a testbed with one worker in each of the domains.
func newZonesTestbed(t *testing.T, domains ...ownership.Domain) *testbed {
	t.Helper()
	b := newTestbed(t, 0)
	b.tick()
	for i, d := range domains {
		a := address(i)
		b.workers[a] = 20_000
		b.s.SidecarConnected(a, d, sidecar(a))
		b.inventory(a)
	}
	b.advance(1100)
	b.starts()
	b.takeCommands()
	return b
}

// evacuate sets the evacuated domains.
func (b *testbed) evacuate(revision int64, domains ...ownership.Domain) {
	b.s.SetEvacuations(evacuation.New(revision, domains...))
	b.tick()
}

// reportEvacuated sends the report of a sidecar that is evacuated.
func (b *testbed) reportEvacuated(a scheduler.Address, events ...*wire.TaskEvent) {
	cpu := b.workers[a]
	b.send(a, &wire.TaskReport{Events: events, Load: &wire.WorkerLoad{Cpu: cpu, FreeCpu: cpu, MemoryMb: 1000, FreeMemoryMb: 1000, Service: "s", Evacuated: true}})
}

// Guards against starts that are sent to an evacuated zone, and against a worker that stays
// unused after the evacuation. A sidecar may know of either before the entry.
func TestEvacuatedWorkerGetsNoStarts(t *testing.T) {
	const evacuated, other = scheduler.Address("w0"), scheduler.Address("w1")
	b := newZonesTestbed(t, "z1", "z2")
	check := func(id string, want bool) {
		t.Helper()
		b.submit(job(id, 6, true))
		got := make(map[scheduler.Address]bool)
		for _, s := range b.starts() {
			got[s.at] = true
			b.report(s.at, event(s.run, wire.TaskEvent_STATE_DONE))
		}
		if got[evacuated] != want || !got[other] {
			t.Errorf("%s: got starts at w0 %v, at w1 %v, want %v and true", id, got[evacuated], got[other], want)
		}
	}
	check("before", true)
	b.evacuate(10, "z1", "z3")
	check("known to the entry", false)
	b.evacuate(11)
	check("taken back", true)
	b.reportEvacuated(evacuated)
	b.submit(job("known to the sidecar", 6, true))
	for _, s := range b.starts() {
		if s.at == evacuated {
			t.Error("start at a worker whose sidecar reports the evacuation")
		}
	}
}

// Guards against an evacuated capacity that still counts: jobs that no other worker can
// take were accepted and refused after seconds.
func TestEvacuatedCapacityDoesNotCount(t *testing.T) {
	b := newZonesTestbed(t, "z1", "z2")
	b.evacuate(10, "z1", "z2")
	r := b.submit(job("best-effort", 1, true))
	stored := b.submit(job("stored", 1, false))
	replies := b.replies()
	for name, r := range map[string]scheduler.Request{"best-effort": r, "stored": stored} {
		if got := replies[r]; got.Result != scheduler.NotStored || got.RetryAfter < clock.Second {
			t.Errorf("%s job without a worker: got %v, retry after %d ms", name, got.Result, got.RetryAfter)
		}
	}
	b.evacuate(11, "z1")
	b.submit(job("again", 1, true))
	if got := b.starts(); len(got) != 1 || got[0].at != "w1" {
		t.Errorf("starts after one zone is taken back: got %v, want one at w1", got)
	}
}

// Guards against an evacuated worker that counts as one that restarts and is back soon: the
// refusals under overload began a second late.
func TestEvacuatedCapacityIsNotAway(t *testing.T) {
	b := newZonesTestbed(t, "z1", "z2")
	b.evacuate(10, "z1")
	b.reportEvacuated("w0")
	waiting := job("waiting", 6, true)
	waiting.Objective, waiting.Deadline = 20*clock.Second, b.now+20*clock.Second
	b.submit(waiting)
	for range 13 {
		b.now += 100
		b.s.RecordStoreContact(b.now)
		b.reportEvacuated("w0")
		b.send("w1", &wire.TaskReport{Load: &wire.WorkerLoad{Cpu: 20_000, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s"}})
	}
	// The wait is between one objective, which is the limit under overload, and three.
	late := job("late", 1, true)
	late.Objective = 180
	r := b.submit(late)
	if got := b.replies()[r]; got.Result != scheduler.NotStored {
		t.Errorf("job that would be late 1.3 s after the evacuation: got %q, want it refused", got.Result)
	}
}

// Guards against a run at work that is given up, and against a task that waits for its
// evacuated worker instead of starting elsewhere.
func TestRunsOfEvacuatedWorkers(t *testing.T) {
	for name, test := range map[string]struct {
		state    wire.TaskEvent_State
		restarts bool
	}{
		"running":     {wire.TaskEvent_STATE_RUNNING, false},
		"done":        {wire.TaskEvent_STATE_DONE, false},
		"failed":      {wire.TaskEvent_STATE_FAILED, true},
		"lost":        {wire.TaskEvent_STATE_LOST, true},
		"not started": {wire.TaskEvent_STATE_NOT_STARTED, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newZonesTestbed(t, "z1", "z2")
			b.reportEvacuated("w1")
			b.submit(job("j", 1, true))
			starts := b.starts()
			if len(starts) != 1 || starts[0].at != "w0" {
				t.Fatalf("starts: got %v, want one at w0", starts)
			}
			b.report("w1")
			b.evacuate(10, "z1")
			b.reportEvacuated("w0", event(starts[0].run, test.state))
			for _, all := range b.sent {
				for _, o := range all {
					if len(o.GetStops()) > 0 {
						t.Error("the run was stopped")
					}
				}
			}
			again := b.starts()
			if got := len(again) == 1 && again[0].at == "w1"; got != test.restarts {
				t.Errorf("start elsewhere: got %v, want %v", again, test.restarts)
			}
			if got, want := b.s.Counters().StartsEvacuated, map[bool]int64{true: 1}[name == "not started"]; got != want {
				t.Errorf("refused starts: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against a task that waits because an evacuated worker counts as the alternative to
// the one on which it failed.
func TestEvacuatedWorkerIsNoAlternative(t *testing.T) {
	b := newZonesTestbed(t, "z1", "z2")
	b.evacuate(10, "z2")
	b.submit(job("j", 1, true))
	first := b.starts()
	if len(first) != 1 || first[0].at != "w0" {
		t.Fatalf("starts: got %v, want one at w0", first)
	}
	b.report("w0", event(first[0].run, wire.TaskEvent_STATE_FAILED))
	if again := b.starts(); len(again) != 1 || again[0].at != "w0" {
		t.Errorf("starts after a failure: got %v, want one at w0", again)
	}
}

// sentSets returns the sets that sidecars were sent since the last call.
func (b *testbed) sentSets() map[scheduler.Address]int64 {
	out := make(map[scheduler.Address]int64)
	for a, all := range b.sent {
		for _, o := range all {
			if e := o.GetEvacuations(); e != nil {
				out[a] = e.GetRevision()
			}
		}
	}
	b.starts()
	return out
}

// Guards against a sidecar without contact with the store that learns of an evacuation late,
// and against a set in all orders.
func TestSidecarsAreSentTheSet(t *testing.T) {
	b := newZonesTestbed(t, "z1", "z2")
	if got := b.sentSets(); len(got) != 0 {
		t.Fatalf("sets before one is known: got %v", got)
	}
	b.evacuate(10)
	if got := b.sentSets(); got["w0"] != 10 || got["w1"] != 10 {
		t.Errorf("first set: got %v, want it sent to both", got)
	}
	b.evacuate(11)
	b.advance(1000)
	if got := b.sentSets(); len(got) != 0 {
		t.Errorf("higher revision, same domains: got %v, want none sent", got)
	}
	b.send("w1", &wire.TaskReport{Evacuations: evacuation.New(20, "z1").Wire()})
	b.evacuate(20, "z1")
	if got := b.sentSets(); got["w0"] != 20 || len(got) != 1 {
		t.Errorf("set of w1: got %v, want it sent to w0 only", got)
	}
	b.s.SidecarDisconnected(sidecar("w1"))
	b.tick()
	b.s.SidecarConnected("w1", "z2", sidecar("w1"))
	b.tick()
	if got := b.sentSets(); got["w1"] != 20 || len(got) != 1 {
		t.Errorf("new session: got %v, want the set sent with its first orders", got)
	}
}

// Guards against an entry whose subset consists of evacuated workers: it hears of the others
// only every 900 ms.
func TestSubsetReplacesEvacuatedWorkers(t *testing.T) {
	b := newFleetTestbed(t, 160)
	if got, want := count(b.outsideSubset()), 128; got != want {
		t.Fatalf("workers outside the subset: got %d, want %d", got, want)
	}
	before := b.outsideSubset()
	b.evacuate(10, "domain-0")
	b.advance(300)
	inside := 0
	after := b.outsideSubset()
	for i := range 160 {
		if outside := after[address(i)]; !outside && domainOf(i) == "domain-0" {
			t.Errorf("evacuated worker %d is in the subset", i)
		} else if !outside {
			inside++
		}
	}
	if want := 32; inside != want {
		t.Errorf("subset: got %d workers, want %d", inside, want)
	}
	b.evacuate(11)
	b.advance(300)
	for a, outside := range b.outsideSubset() {
		if outside != before[a] {
			t.Errorf("worker %s after the evacuation: got outside %v, want %v", a, outside, before[a])
		}
	}
}

// Guards against a note with a set that clears the numbers of the sender's pending jobs.
func TestNoteWithASetKeepsPendingJobs(t *testing.T) {
	b := newTestbed(t, 1)
	b.s.HandleEntryNote(b.now, "entry-b", pendingNote(12))
	b.s.HandleEntryNote(b.now, "entry-b", &wire.EntryNote{Evacuations: evacuation.New(10, "z1").Wire()})
	if got, want := b.s.PendingJobs(batch.Route("r")), int64(12); got != want {
		t.Errorf("pending jobs: got %d, want %d", got, want)
	}
}

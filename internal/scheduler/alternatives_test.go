package scheduler_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// acceleratorJob returns a stored job with a task that only a worker with an accelerator
// holds. Its objective is too long for a later stage to matter.
func acceleratorJob(id string) batch.Job {
	j := job(id, 1, false)
	j.Objective = clock.Minute
	j.Steps[0].Required.Accelerators = 1
	return j
}

// reportLoads reports the loads of the workers: only those in accelerated have
// accelerators, and those in silent report nothing.
func (b *testbed) reportLoads(accelerated, silent map[scheduler.Address]bool) {
	b.now += 100
	b.s.RecordStoreContact(b.now)
	for a, cpu := range b.workers {
		load := &wire.WorkerLoad{Cpu: cpu, FreeCpu: cpu, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s"}
		if accelerated[a] {
			load.Accelerators, load.FreeAccelerators = 4, 4
		}
		if !silent[a] {
			b.send(a, &wire.TaskReport{Load: load})
		}
	}
	b.tick()
}

// acknowledgeSaves answers all writes since the last call as done.
func (b *testbed) acknowledgeSaves() {
	for _, c := range b.takeCommands() {
		if s, ok := c.(scheduler.Save); ok {
			b.s.HandleSaveResult(b.now, s.ID, s.Kind, scheduler.SaveDone, 7)
		}
	}
}

// A task whose worker had crashed or failed it waited forever for another worker, because
// workers that could never hold it counted as alternatives: too small, silent or ejected.
func TestTaskReturnsToTheOnlyWorkerThatFits(t *testing.T) {
	only, other := address(0), address(1)
	for name, tt := range map[string]struct {
		trouble func(batch.RunID) *wire.TaskEvent
		// otherFits is true if the other worker fits as well, and is silent or ejected.
		otherFits, silent, ejected bool
	}{
		"crash":         {trouble: func(id batch.RunID) *wire.TaskEvent { return crashEvent(id, false) }},
		"failure":       {trouble: func(id batch.RunID) *wire.TaskEvent { return event(id, wire.TaskEvent_STATE_FAILED) }},
		"stall":         {trouble: func(id batch.RunID) *wire.TaskEvent { return event(id, wire.TaskEvent_STATE_STALLED) }},
		"other silent":  {trouble: func(id batch.RunID) *wire.TaskEvent { return crashEvent(id, false) }, otherFits: true, silent: true},
		"other ejected": {trouble: func(id batch.RunID) *wire.TaskEvent { return crashEvent(id, false) }, otherFits: true, ejected: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 4)
			accelerated := map[scheduler.Address]bool{only: true}
			if tt.ejected {
				accelerated = map[scheduler.Address]bool{other: true}
				b.eject(accelerated)
				accelerated[only] = true
			}
			b.reportLoads(accelerated, nil)
			b.submit(acceleratorJob("j"))
			b.acknowledgeSaves()
			b.tick()
			first := b.onlyStart()
			if first.at != only {
				t.Fatalf("first start: got %s, want %s", first.at, only)
			}
			silent := map[scheduler.Address]bool{}
			if tt.otherFits {
				accelerated[other] = true
				silent[other] = tt.silent
			}
			b.send(first.at, &wire.TaskReport{Load: &wire.WorkerLoad{Ready: true, Service: "s"}, Events: []*wire.TaskEvent{tt.trouble(first.run)}})
			var again []startedRun
			for i := 0; i < 20 && len(again) == 0; i++ {
				b.reportLoads(accelerated, silent)
				b.acknowledgeSaves()
				b.tick()
				again = b.starts()
			}
			if len(again) != 1 || again[0].at != only {
				t.Errorf("starts within 2 s of the trouble: got %v, want one on %s", again, only)
			}
		})
	}
}

// eject lets tasks fail on the only worker with accelerators until it is ejected.
func (b *testbed) eject(accelerated map[scheduler.Address]bool) {
	b.t.Helper()
	for i := 0; b.s.Counters().Ejections == 0; i++ {
		if i == 10 {
			b.t.Fatal("worker not ejected after ten failures")
		}
		b.reportLoads(accelerated, nil)
		j := acceleratorJob("eject" + string(rune('a'+i)))
		j.BestEffort = true
		j.MaxFailures = 1
		b.submit(j)
		for _, s := range b.starts() {
			b.report(s.at, event(s.run, wire.TaskEvent_STATE_FAILED))
		}
	}
}

// An ejected worker gets probes up to 8 s apart, so that a stored task that only it can
// hold waited for longer than the 3 s after which a task must start.
func TestOnlyWorkerThatFitsIsUsedWhileEjected(t *testing.T) {
	b := newTestbed(t, 4)
	accelerated := map[scheduler.Address]bool{address(0): true}
	b.eject(accelerated)
	b.reportLoads(accelerated, nil)
	b.submit(acceleratorJob("j"))
	b.acknowledgeSaves()
	b.tick()
	if got := b.onlyStart().at; got != address(0) {
		t.Errorf("start: got %s, want %s", got, address(0))
	}
}

// A task waited for an alternative that other tasks filled for long, while the worker
// that had crashed under it was idle and most of the service too.
func TestWaitForABusyAlternativeIsBounded(t *testing.T) {
	b := newTestbed(t, 6)
	accelerated := map[scheduler.Address]bool{address(0): true}
	b.reportLoads(accelerated, nil)
	b.submit(acceleratorJob("j"))
	b.acknowledgeSaves()
	b.tick()
	first := b.onlyStart()
	b.send(first.at, &wire.TaskReport{Load: &wire.WorkerLoad{Ready: true, Service: "s"}, Events: []*wire.TaskEvent{crashEvent(first.run, false)}})
	busy := &wire.WorkerLoad{Cpu: 20_000, MemoryMb: 1000, FreeMemoryMb: 1000, Accelerators: 4, Ready: true, Service: "s"}
	began := b.now
	for len(b.starts()) == 0 {
		b.reportLoads(accelerated, map[scheduler.Address]bool{address(1): true})
		b.send(address(1), &wire.TaskReport{Load: busy})
		b.acknowledgeSaves()
		b.tick()
		if b.now-began >= 3*clock.Second {
			t.Fatalf("start: got none in %d ms, want one in less than 3 s", b.now-began)
		}
	}
	if got, least := b.now-began, 1*clock.Second; got < least {
		t.Errorf("wait for the other worker: got %d ms, want at least %d", got, least)
	}
}

// A stored task used up its failures within milliseconds on the only worker that fits while
// that one failed everything, although it is ejected for that.
func TestFailuresOnTheOnlyWorkerAreSpread(t *testing.T) {
	b := newTestbed(t, 4)
	accelerated := map[scheduler.Address]bool{address(0): true}
	b.eject(accelerated)
	b.reportLoads(accelerated, nil)
	b.submit(acceleratorJob("j"))
	b.acknowledgeSaves()
	b.tick()
	began := b.now
	starts := 0
	for b.now-began < 2500 {
		for _, s := range b.starts() {
			starts++
			b.report(s.at, event(s.run, wire.TaskEvent_STATE_FAILED))
		}
		b.reportLoads(accelerated, nil)
		b.acknowledgeSaves()
		b.tick()
	}
	if starts != 3 {
		t.Errorf("starts in 2.5 s on an ejected worker: got %d, want 3", starts)
	}
}

// Guards against a task that never runs again after a failure: its only alternative reports
// room and refuses each start, and the refusals kept it from the worker that it avoided.
func TestRefusingWorkerIsNoAlternative(t *testing.T) {
	b := newTestbed(t, 2)
	j := job("j", 1, false)
	j.Objective = clock.Minute
	b.submit(j)
	b.acknowledgeSaves()
	b.tick()
	first := b.onlyStart()
	b.report(first.at, event(first.run, wire.TaskEvent_STATE_FAILED))
	for failedAt := b.now; b.now < failedAt+3*clock.Second; b.now += 10 {
		b.s.RecordStoreContact(b.now)
		b.acknowledgeSaves()
		b.reportAll()
		for _, s := range b.starts() {
			if s.at == first.at {
				return
			}
			b.report(s.at, event(s.run, wire.TaskEvent_STATE_NOT_STARTED))
		}
	}
	t.Error("starts within 3 s on the worker that refuses none: got none, want one")
}

package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// takeOverBy returns a testbed of an entry that has taken over a job after a number of
// owners from the one in the record.
func takeOverBy(t *testing.T, entry ownership.Incarnation, previousOwners int, record *wire.StoredJob) *testbed {
	t.Helper()
	b := newTestbedOf(t, entry, 2)
	owner := ownership.Incarnation(record.GetOwner())
	b.s.ApplyFences(map[ownership.Incarnation]ownership.Incarnation{owner: entry})
	sidecars := []scheduler.Address{address(0), address(1)}
	b.s.RecoverJobs(b.now, owner, []scheduler.OpenJob{{ID: "j", Revision: 9, Record: record, PreviousOwners: previousOwners}}, sidecars, 0)
	b.tick()
	for _, a := range sidecars {
		b.send(a, &wire.TaskReport{Inventory: true, Fenced: []string{string(owner)}})
	}
	return b
}

// The third owner of a job began with the attempts of the second: the owner in the record
// was the second, and the entries before it were not counted. A failure under the same
// attempt was not counted, and a task started after its last permitted failure.
func TestEachOwnerHasItsOwnAttempts(t *testing.T) {
	b := newTestbed(t, 2)
	j := job("j", 1, false)
	j.MaxFailures = 5
	b.submit(j)
	b.save(scheduler.SaveDone)
	var last batch.Attempt
	for owner := 1; ; owner++ {
		s := b.onlyStart()
		if s.run.Attempt/1000 == last/1000 && owner > 1 || s.run.Attempt <= last {
			t.Errorf("attempt of owner %d: got %d after %d of the owner before, want the next 1000", owner, s.run.Attempt, last)
		}
		last = s.run.Attempt
		b.report(s.at, event(s.run, wire.TaskEvent_STATE_FAILED))
		if owner == j.MaxFailures {
			break
		}
		b.advance(1600)
		save := b.lastSave()
		if save == nil || save.Kind != scheduler.SaveProgress {
			t.Fatalf("write of owner %d after a failure: got %v, want one of the progress", owner, save)
		}
		b = takeOverBy(t, ownership.Incarnation(fmt.Sprint("entry-", owner)), 1, save.Job)
	}
	b.advance(1600)
	if got := len(b.starts()); got != 0 {
		t.Errorf("starts after %d failures: got %d, want 0", j.MaxFailures, got)
	}
}

// An entry that had no time for a write still counts for its successor, as do the entries
// of a version that writes no base.
func TestOwnersWithoutAWriteCount(t *testing.T) {
	b := newTestbed(t, 2)
	b.submit(job("j", 1, false))
	record := b.save(scheduler.SaveDone).Job
	for previous, want := range map[int]batch.Attempt{1: 1001, 2: 2001, 3: 3001} {
		if got := takeOverBy(t, "entry-b", previous, record).onlyStart().run.Attempt; got != want {
			t.Errorf("attempt after %d owners: got %d, want %d", previous, got, want)
		}
	}
}

// The attempts of a start that is refused at once rose by a thousand a second, so that an
// owner used up those that separate it from its successor within a second.
func TestRefusedStartIsRepeatedWithDelays(t *testing.T) {
	b := newTestbed(t, 2)
	b.submit(job("j", 1, false))
	b.acknowledgeSaves()
	b.tick()
	starts := 0
	for range 3000 {
		b.now++
		b.s.RecordStoreContact(b.now)
		b.reportAll()
		for _, s := range b.starts() {
			starts++
			b.report(s.at, event(s.run, wire.TaskEvent_STATE_NOT_STARTED))
		}
	}
	if starts < 6 || starts > 30 {
		t.Errorf("starts in 3 s of refusals: got %d, want 6 to 30", starts)
	}
}

// An owner that had used up the 1,000 attempts before those of its successor went on with
// the successor's. It must write a higher base first.
func TestOwnerRaisesItsBaseBeforeItRunsOut(t *testing.T) {
	b := newTestbed(t, 2)
	b.submit(job("j", 1, false))
	b.save(scheduler.SaveDone)
	refuse := func(highest int64) {
		s := b.onlyStart()
		e := event(s.run, wire.TaskEvent_STATE_NOT_STARTED)
		e.HighestAttempt = highest
		b.report(s.at, e)
	}
	refuse(500)
	b.advance(600)
	if save := b.lastSave(); save != nil {
		t.Errorf("write after half of the attempts: got %v, want none", save)
	}
	refuse(1000)
	b.advance(600)
	if got := len(b.starts()); got != 0 {
		t.Errorf("starts after 1,000 attempts without a write: got %d, want 0", got)
	}
	save := b.lastSave()
	if save == nil || save.Job.GetBaseAttempt() < 1000 {
		t.Fatalf("write after 1,000 attempts: got %v, want one with a base of at least 1000", save)
	}
	b.s.HandleSaveResult(b.now, save.ID, save.Kind, scheduler.SaveDone, 9)
	b.tick()
	if got := b.onlyStart().run.Attempt; got != 1001 {
		t.Errorf("attempt after the write: got %d, want 1001", got)
	}
	if got := takeOverBy(t, "entry-b", 1, save.Job).onlyStart().run.Attempt; got != 2001 {
		t.Errorf("attempt of the successor: got %d, want 2001", got)
	}
}

// Guards against a stored task that never starts: a sidecar behind a slow link reports room
// and refuses each start as too old, and its empty worker looks better than the others.
func TestRefusedTaskTriesOtherWorkers(t *testing.T) {
	b := newTestbed(t, 3)
	refusing := map[scheduler.Address]bool{address(0): true, address(1): true}
	report := func(a scheduler.Address, events ...*wire.TaskEvent) {
		load := &wire.WorkerLoad{Cpu: 20_000, FreeCpu: 20_000, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s"}
		if !refusing[a] {
			load.FreeCpu = 8000
		}
		b.send(a, &wire.TaskReport{Load: load, Events: events})
	}
	for a := range b.workers {
		report(a)
	}
	j := job("j", 1, false)
	j.Objective = clock.Minute
	b.submit(j)
	b.acknowledgeSaves()
	for submittedAt := b.now; b.now < submittedAt+3*clock.Second; b.now += 10 {
		b.s.RecordStoreContact(b.now)
		b.tick()
		for _, s := range b.starts() {
			if !refusing[s.at] {
				return
			}
			report(s.at, event(s.run, wire.TaskEvent_STATE_NOT_STARTED))
		}
		for a := range b.workers {
			report(a)
		}
	}
	t.Error("starts within 3 s on the worker that refuses none: got none, want one")
}

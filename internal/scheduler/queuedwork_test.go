package scheduler_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const peerEntry = ownership.Incarnation("entry-peer")

// newSharedTestbed returns a testbed of an entry that shares two full workers of 20 cores with
// another entry, past its start.
func newSharedTestbed(t *testing.T) *testbed {
	t.Helper()
	b := newTestbed(t, 2)
	b.s.SetEntries([]ownership.Incarnation{self, peerEntry})
	b.s.EntryConnected(b.now, peerEntry)
	b.advanceFull(1100)
	return b
}

func (b *testbed) advanceFull(d clock.Millis) { b.advanceWithFullWorkers(d, "w0", "w1") }

// note sends a note of the other entry about queued work, in tasks of job.
func (b *testbed) note(tasks int64, priority int32) {
	n := &wire.EntryNote{QueuedWorkSet: true}
	if tasks > 0 {
		n.QueuedWork = []*wire.QueuedWork{{Service: "s", Priority: priority, Work: tasks * 6000 * 100}}
	}
	b.s.HandleEntryNote(b.now, peerEntry, n)
}

func (b *testbed) isRefused(j batch.Job) bool {
	r := b.submit(j)
	return b.replies()[r].Result == scheduler.NotStored
}

// Guards against entries with few clients that accept jobs for too long while others have
// queues, and against entries with many clients that refuse jobs because they assume that the
// others have as many. The workers do 6.7 tasks in the 100 ms of one; a job is of use for 660
// ms, so 35 tasks ahead are too many and 22 are not.
func TestExpectedWaitCountsTheWorkOfAllEntries(t *testing.T) {
	for _, test := range []struct {
		name     string
		own      int
		others   int64
		priority int32
		refused  bool
	}{
		{"work of others", 0, 60, 0, true},
		{"little work of others", 0, 22, 0, false},
		{"work of others of a lower priority", 0, 60, 2, false},
		{"own work, none of others", 22, 0, 0, false},
		{"both", 22, 22, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newSharedTestbed(t)
			if test.own > 0 {
				b.submit(job("own", test.own, true))
			}
			b.note(test.others, test.priority)
			b.advanceFull(20)
			if got := b.isRefused(job("j", 1, true)); got != test.refused {
				t.Errorf("refused: got %v, want %v", got, test.refused)
			}
		})
	}
}

// Guards against an estimate from notes that no longer arrive, and from those of an entry that
// has ended: the first falls back to an equal share, the second is dropped with its session.
func TestWorkOfSilentAndEndedEntries(t *testing.T) {
	b := newSharedTestbed(t)
	b.note(60, 0)
	b.s.EntryDisconnected(peerEntry)
	b.s.SetEntries([]ownership.Incarnation{self})
	if b.isRefused(job("after the end of the other", 1, true)) {
		t.Error("refused because of the work of an entry that has ended")
	}

	b = newSharedTestbed(t)
	b.note(60, 0)
	b.advanceFull(1100)
	if b.isRefused(job("first", 22, true)) {
		t.Error("refused because of a note that is over a second old")
	}
	b.advanceFull(10)
	if !b.isRefused(job("second", 1, true)) {
		t.Error("accepted behind 22 own tasks and an unknown entry, want an equal share assumed for it")
	}
}

// Guards against messages while nothing waits, more than one in 100 ms while something does,
// and a queue that the others go on to count after it is empty.
func TestNotesAboutQueuedWork(t *testing.T) {
	b := newSharedTestbed(t)
	notes := func() (out []*wire.EntryNote) {
		for _, c := range b.takeCommands() {
			if n, ok := c.(scheduler.BroadcastNote); ok && n.Note.GetQueuedWorkSet() {
				out = append(out, n.Note)
			}
		}
		return out
	}
	b.advanceFull(500)
	if got := len(notes()); got != 0 {
		t.Fatalf("notes while nothing waits: got %d, want 0", got)
	}
	j := job("j", 3, true)
	j.Objective = 2000
	b.submit(j)
	b.advanceFull(400)
	got := notes()
	if len(got) < 3 || len(got) > 5 {
		t.Fatalf("notes in 400 ms with a queue: got %d, want 3 to 5", len(got))
	}
	if w := got[0].GetQueuedWork(); len(w) != 1 || w[0].GetWork() != 3*6000*100 || w[0].GetService() != "s" {
		t.Errorf("queued work: got %v, want that of three tasks", w)
	}
	b.advance(500)
	got = notes()
	if len(got) != 1 || len(got[0].GetQueuedWork()) != 0 {
		t.Errorf("notes after the queue is empty: got %v, want one without work", got)
	}
}

// Guards against refusals while workers that would end the job in time have free capacity,
// because of a queue at other entries.
func TestNoRefusalBesideFreeCapacity(t *testing.T) {
	b := newSharedTestbed(t)
	b.note(1000, 0)
	b.now += 10
	b.send("w1", &wire.TaskReport{Load: &wire.WorkerLoad{Cpu: 20_000, FreeCpu: 18_000, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s"}})
	if b.isRefused(job("three", 3, true)) {
		t.Error("a job was refused while a worker had free capacity for all of its tasks")
	}
	if !b.isRefused(job("one more", 1, true)) {
		t.Error("a job was accepted without free capacity, behind 1000 tasks of another entry")
	}
}

// Guards against refusals because of a queue for a few workers with a label, which other jobs
// do not need. The jobs that need them are refused.
func TestQueueForOtherWorkersDoesNotCount(t *testing.T) {
	b := newSharedTestbed(t)
	full := func() {
		for _, a := range []scheduler.Address{"w0", "w1"} {
			load := &wire.WorkerLoad{Cpu: 20_000, MemoryMb: 1000, Ready: true, Service: "s"}
			if a == "w0" {
				load.Labels = []string{"l"}
			}
			b.send(a, &wire.TaskReport{Load: load})
		}
	}
	labelled := func(id string, tasks int) batch.Job {
		j := job(id, tasks, true)
		j.Steps[0].RequiredLabel = "l"
		return j
	}
	full()
	if b.isRefused(labelled("first", 60)) {
		t.Fatal("a job without work ahead was refused")
	}
	b.now += 10
	full()
	if b.isRefused(job("other", 1, true)) {
		t.Error("a job was refused because of tasks that only other workers can take")
	}
	if !b.isRefused(labelled("second", 1)) {
		t.Error("a job behind 60 tasks for the only worker with its label was accepted")
	}
}

// Guards against figures for operators that are out of date: the queued work of an entry that
// has become silent, or the free capacity at a refusal.
func TestFiguresOfContention(t *testing.T) {
	b := newSharedTestbed(t)
	b.note(60, 0)
	if got, want := b.s.OthersQueuedWork(), 60.0*6000*100; got != want {
		t.Errorf("queued work of others: got %v, want %v", got, want)
	}
	b.now += 10
	b.send("w1", &wire.TaskReport{Load: &wire.WorkerLoad{Cpu: 20_000, FreeCpu: 4000, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s"}})
	b.takeCommands()
	b.submit(job("j", 1, true))
	var got []scheduler.Decision
	for _, c := range b.takeCommands() {
		if d, ok := c.(scheduler.Decision); ok && d.Summary == scheduler.JobRefused {
			got = append(got, d)
		}
	}
	if len(got) != 1 || got[0].FreeShare < 0.099 || got[0].FreeShare > 0.101 {
		t.Errorf("refusals: got %v, want one with a free share of 0.1", got)
	}
	b.advanceFull(1600)
	if got := b.s.OthersQueuedWork(); got != 0 {
		t.Errorf("queued work of an entry that is silent: got %v, want 0", got)
	}
}

// Guards against turns of a small entry's control thread for each of up to 110 notes per second
// that call for no decision, and against notes whose other contents wait for the next turn.
func TestOnlyNotesAboutQueuedWorkNeedNoTurn(t *testing.T) {
	for _, test := range []struct {
		name string
		note *wire.EntryNote
		want bool
	}{
		{"queued work", &wire.EntryNote{QueuedWorkSet: true, QueuedWork: []*wire.QueuedWork{{Service: "s"}}}, true},
		{"nothing queued", &wire.EntryNote{QueuedWorkSet: true}, true},
		{"cancellation", &wire.EntryNote{QueuedWorkSet: true, Cancelled: []string{"j"}}, false},
		{"pending jobs", &wire.EntryNote{Pending: map[string]int64{"r": 1}}, false},
		{"evacuation", &wire.EntryNote{QueuedWorkSet: true, Evacuations: &wire.EvacuationSet{}}, false},
	} {
		if got := scheduler.IsQueuedWorkOnly(test.note); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against a Retry-After of hours, and against refusals with it: all workers in the rack
// of the jobs' data are evacuated, so that no capacity is left by which the work ahead is
// divided. The other workers do that work.
func TestWaitForARackWithoutWorkers(t *testing.T) {
	b := newZonesTestbed(t, "a", "b")
	report := func() {
		b.send("w0", &wire.TaskReport{Load: &wire.WorkerLoad{Cpu: 20_000, FreeCpu: 20_000, MemoryMb: 1000, FreeMemoryMb: 1000, Service: "s", Labels: []string{"r"}, Evacuated: true}})
		b.send("w1", &wire.TaskReport{Load: &wire.WorkerLoad{Cpu: 20_000, FreeCpu: 5000, MemoryMb: 1000, FreeMemoryMb: 1000, Ready: true, Service: "s"}})
	}
	b.evacuate(1, "a")
	report()
	inRack := func(id string, tasks int) batch.Job {
		j := job(id, tasks, true)
		j.Steps[0].DataRack = "r"
		return j
	}
	if b.isRefused(inRack("first", 2)) {
		t.Fatal("a job without work ahead was refused")
	}
	b.now += 10
	report()
	if b.isRefused(inRack("second", 1)) {
		t.Error("a job behind two tasks was refused")
	}
	b.submit(inRack("third", 30))
	b.now += 10
	report()
	r := b.submit(inRack("fourth", 1))
	got := b.replies()[r]
	if got.Result != scheduler.NotStored || got.RetryAfter > 3*clock.Second {
		t.Errorf("reply behind 33 tasks: got %v with Retry-After %d, want a refusal with at most 3 s", got.Result, got.RetryAfter)
	}
}

package scheduler_test

import (
	"slices"
	"testing"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// recoveries returns the entries whose jobs the scheduler has asked for since the last
// call.
func (b *testbed) recoveries() []ownership.Incarnation {
	b.tick()
	var entries []ownership.Incarnation
	for _, c := range b.takeCommands() {
		if r, ok := c.(scheduler.Recover); ok {
			entries = append(entries, r.Entry)
		}
	}
	return entries
}

// Guards against jobs that nobody owns: a successor that learns of its deposition of
// their entry only from the store did not read them.
func TestMarksBeginTakeovers(t *testing.T) {
	type marks = map[ownership.Incarnation]ownership.Incarnation
	for name, tt := range map[string]struct {
		marks []marks
		want  []ownership.Incarnation
	}{
		"own mark":                {[]marks{{"entry-y": self}, {"entry-y": self}}, []ownership.Incarnation{"entry-y"}},
		"mark of another":         {[]marks{{"entry-y": "entry-z"}}, nil},
		"successor deposed":       {[]marks{{"entry-y": "entry-z"}, {"entry-y": "entry-z", "entry-z": self}}, []ownership.Incarnation{"entry-z"}},
		"predecessor's mark late": {[]marks{{"entry-z": self}, {"entry-y": "entry-z"}}, []ownership.Incarnation{"entry-z", "entry-y"}},
		"both marks at once":      {[]marks{{"entry-y": "entry-z", "entry-z": self}}, []ownership.Incarnation{"entry-y", "entry-z"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			for _, m := range tt.marks {
				b.s.ApplyFences(m)
			}
			if got := b.recoveries(); !slices.Equal(got, tt.want) {
				t.Errorf("takeovers: got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against jobs that nobody owns: a repeated request was being written while this
// entry recovered the jobs of its predecessor, and the conflict of its write dropped it.
func TestJobThatConflictsDuringATakeoverIsRecovered(t *testing.T) {
	const dead = ownership.Incarnation("entry-z")
	open := []scheduler.OpenJob{{ID: "j", Revision: 3, PreviousOwners: 1, Record: &wire.StoredJob{
		Owner: string(dead), Service: "s", MaxFailures: 4, ObjectiveMs: 220, AcceptedAtMs: 1_000_000,
		Steps: []*wire.StoredStep{{Count: 1, Cpu: 6000, MemoryMb: 10, EstimatedMs: 100}},
	}}}
	b := newTestbed(t, 1)
	b.submit(job("j", 1, false))
	b.s.ApplyFences(map[ownership.Incarnation]ownership.Incarnation{dead: self})
	b.s.RecoverJobs(b.now, dead, open, []scheduler.Address{address(0)}, 0)
	b.s.Reconcile(b.now, scheduler.OpenJobs{Revision: 5, Jobs: open})
	b.tick()
	if got := len(b.recoveries()); got != 1 {
		t.Fatalf("takeovers while the write is in flight: got %d, want 1", got)
	}
	b.s.HandleSaveResult(b.now, "j", scheduler.SaveNew, scheduler.SaveConflict, 0)
	b.advance(clock.Second)
	if !slices.Contains(b.takeCommands(), scheduler.Command(scheduler.ListOpenJobs{})) {
		t.Fatal("after the conflict: got no listing of the open jobs, want one")
	}
	for range 2 {
		b.s.Reconcile(b.now, scheduler.OpenJobs{Revision: 5, Jobs: open})
	}
	if got, want := b.recoveries(), []ownership.Incarnation{dead}; !slices.Equal(got, want) {
		t.Fatalf("takeovers after the listing: got %v, want %v", got, want)
	}
	b.s.RecoverJobs(b.now, dead, open, []scheduler.Address{address(0)}, 0)
	b.tick()
	b.send(address(0), &wire.TaskReport{Inventory: true, Fenced: []string{string(dead)}})
	if got := b.onlyStart().run.Job; got != "j" {
		t.Errorf("start: got one of %s, want one of j", got)
	}
	b.s.Reconcile(b.now, scheduler.OpenJobs{Revision: 5, Jobs: open})
	if got := b.recoveries(); len(got) != 0 {
		t.Errorf("takeovers of a job that is held: got %v, want none", got)
	}
}

// Guards against two runs of a task: of two entries that were deposed at one time, the
// jobs of both came with the takeover of one, and started again once the sidecars had
// fenced only that one and listed the runs of its jobs.
func TestTakeoverOfTwoEntriesAwaitsBothFences(t *testing.T) {
	const first, second = ownership.Incarnation("entry-y"), ownership.Incarnation("entry-z")
	open := []scheduler.OpenJob{{ID: "j", Revision: 3, PreviousOwners: 1, Record: &wire.StoredJob{
		Owner: string(second), Service: "s", MaxFailures: 4, ObjectiveMs: 220, AcceptedAtMs: 1_000_000,
		Steps: []*wire.StoredStep{{Count: 1, Cpu: 6000, MemoryMb: 10, EstimatedMs: 100}},
	}}}
	b := newTestbed(t, 1)
	b.s.ApplyFences(map[ownership.Incarnation]ownership.Incarnation{first: self, second: self})
	b.s.RecoverJobs(b.now, first, open, []scheduler.Address{address(0)}, 0)
	b.tick()
	b.send(address(0), &wire.TaskReport{Inventory: true, Fenced: []string{string(first)}})
	if got := b.starts(); len(got) != 0 {
		t.Errorf("starts before the fence of the job's owner: got %v, want none", got)
	}
	b.send(address(0), &wire.TaskReport{Inventory: true, Fenced: []string{string(second)}})
	if got := b.onlyStart().run.Job; got != "j" {
		t.Errorf("start: got one of %s, want one of j", got)
	}
}

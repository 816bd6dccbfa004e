package scheduler_test

import (
	"slices"
	"testing"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Guards against starts of a cancelled job: the note of the entry that cancelled it in
// the store was dropped, because it arrived before the result of the job's first write.
func TestCancellationDuringTheFirstWriteStartsNothing(t *testing.T) {
	for name, result := range map[string]scheduler.SaveResult{"done": scheduler.SaveDone, "conflict": scheduler.SaveConflict} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			r := b.submit(job("j", 2, false))
			b.s.HandleEntryNote(b.now, "entry-b", &wire.EntryNote{Cancelled: []string{"j"}})
			b.save(result)
			if got, want := b.replies()[r].Result, scheduler.Stored; got != want {
				t.Errorf("result of the submission: got %v, want %v", got, want)
			}
			b.advance(clock.Second)
			if got := b.starts(); len(got) != 0 {
				t.Errorf("starts of a cancelled job: got %v, want none", got)
			}
			if got := b.s.OpenJobs(); got != 0 {
				t.Errorf("open jobs: got %d, want 0", got)
			}
			if state, _ := b.s.Status("j"); result == scheduler.SaveDone && state != batch.Cancelled {
				t.Errorf("state: got %v, want %v", state, batch.Cancelled)
			}
		})
	}
}

// cancellationNotes returns the number of notes since the last call that tell of the
// cancellation of job j.
func (b *testbed) cancellationNotes() int {
	n := 0
	for _, c := range b.takeCommands() {
		if note, ok := c.(scheduler.BroadcastNote); ok && slices.Contains(note.Note.GetCancelled(), "j") {
			n++
		}
	}
	return n
}

// Guards against an owner that never learns of a cancellation: an entry told the others
// once, over the sessions that existed at that moment.
func TestCancellationIsRepeatedToOtherEntries(t *testing.T) {
	b := newTestbed(t, 1)
	b.advance(clock.Second)
	b.s.RecordCancelledElsewhere(b.now, "j", "entry-b", false)
	b.tick()
	if got := b.cancellationNotes(); got == 0 {
		t.Error("notes after the cancellation: got none")
	}
	b.s.EntryConnected(b.now, "entry-other")
	b.tick()
	if got := b.cancellationNotes(); got == 0 {
		t.Error("notes with a new session: got none")
	}
	for second := range 9 {
		b.advance(clock.Second)
		if got := b.cancellationNotes(); got == 0 {
			t.Errorf("notes in second %d: got none", second+1)
		}
	}
	b.advance(1500)
	b.takeCommands()
	b.s.EntryConnected(b.now, "entry-other")
	b.advance(clock.Second)
	if got := b.cancellationNotes(); got != 0 {
		t.Errorf("notes more than 10 s after the cancellation: got %d, want none", got)
	}
}

// Guards against starts of a cancelled job at the entry that cancelled it: it took the
// job over between the look-up of the job and the write of the cancellation.
func TestCancellationOfAJobTakenOverMeanwhile(t *testing.T) {
	b := newTestbed(t, 1)
	b.submit(job("j", 1, false))
	b.save(scheduler.SaveDone)
	b.s.RecordCancelledElsewhere(b.now, "j", "entry-b", false)
	b.tick()
	if got := b.s.OpenJobs(); got != 0 {
		t.Errorf("open jobs: got %d, want 0", got)
	}
	if got, _ := b.s.Status("j"); got != batch.Cancelled {
		t.Errorf("state: got %v, want %v", got, batch.Cancelled)
	}
}

// cancelledAtSidecars returns how often each sidecar was told that job j is cancelled since
// the last call of starts.
func (b *testbed) cancelledAtSidecars() map[scheduler.Address]int {
	told := make(map[scheduler.Address]int)
	for a, all := range b.sent {
		for _, o := range all {
			if slices.Contains(o.GetCancelledJobs(), "j") {
				told[a]++
			}
		}
	}
	return told
}

// Guards against runs of a cancelled job that go on, or start, until the grants of its dead
// owner lapse: nobody deposes an entry without open jobs. An owner that is lost without a
// sign keeps its session for up to 20 s, so that the sidecars are told in any case; an owner
// with a session gets some time to do so itself.
func TestRunsOfACancelledJobAreStoppedIfItsOwnerIsLost(t *testing.T) {
	const owner, other = ownership.Incarnation("entry-b"), ownership.Incarnation("entry-c")
	for name, test := range map[string]struct {
		isLost bool
		lost   []ownership.Incarnation
		atOnce int
	}{
		"owner lost before":          {isLost: true, atOnce: 1},
		"owner lost after":           {lost: []ownership.Incarnation{owner}, atOnce: 1},
		"lost before and also after": {isLost: true, lost: []ownership.Incarnation{owner}, atOnce: 1},
		"owner connected":            {atOnce: 0},
		"another entry lost":         {lost: []ownership.Incarnation{other}, atOnce: 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2)
			b.s.RecordCancelledElsewhere(b.now, "j", owner, test.isLost)
			b.tick()
			for _, id := range test.lost {
				b.s.EntryDisconnected(id)
			}
			b.advance(200)
			atOnce := b.cancelledAtSidecars()
			b.advance(800)
			inAll := b.cancelledAtSidecars()
			for i := range 2 {
				if got := atOnce[address(i)]; got != test.atOnce {
					t.Errorf("orders to sidecar %d that name the job, in 200 ms: got %d, want %d", i, got, test.atOnce)
				}
				if got := inAll[address(i)]; got != 1 {
					t.Errorf("orders to sidecar %d that name the job, in 1 s: got %d, want 1", i, got)
				}
			}
			b.connect("w2", 20_000)
			if got := b.cancelledAtSidecars()["w2"]; got != 1 {
				t.Errorf("orders to a sidecar that connects later: got %d, want 1", got)
			}
		})
	}
}

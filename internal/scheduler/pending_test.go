package scheduler_test

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/scheduler"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Guards against a number of pending jobs that leaves out those of an entry that was lost,
// until another has taken them over, and against one that counts them for ever.
func TestPendingJobsOfALostEntryCount(t *testing.T) {
	const lost, other = ownership.Incarnation("entry-b"), ownership.Incarnation("entry-c")
	open := func(owner ownership.Incarnation) scheduler.OpenJobs {
		return scheduler.OpenJobs{Jobs: []scheduler.OpenJob{{ID: "j", Revision: 1, Record: &wire.StoredJob{Owner: string(owner)}}}}
	}
	for name, test := range map[string]struct {
		meanwhile func(*testbed)
		want      int64
	}{
		"lost":              {func(*testbed) {}, 12},
		"lost, jobs open":   {func(b *testbed) { b.s.Reconcile(b.now, open(lost)); b.advance(5 * clock.Second) }, 12},
		"without open jobs": {func(b *testbed) { b.s.Reconcile(b.now, open(other)) }, 0},
		"lost long ago":     {func(b *testbed) { b.advance(16 * clock.Second) }, 0},
		"back":              {func(b *testbed) { b.s.HandleEntryNote(b.now, lost, pendingNote(3)) }, 3},
		"marked by another": {func(b *testbed) { b.s.ApplyFences(map[ownership.Incarnation]ownership.Incarnation{lost: other}) }, 12},
		"taken over by it": {func(b *testbed) {
			b.s.ApplyFences(map[ownership.Incarnation]ownership.Incarnation{lost: other})
			b.advance(4 * clock.Second)
		}, 0},
		"taken over by self": {func(b *testbed) { b.s.RecoverJobs(b.now, lost, nil, nil, 0) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			b.tick()
			b.s.HandleEntryNote(b.now, lost, pendingNote(12))
			b.s.EntryDisconnected(lost)
			test.meanwhile(b)
			if got := b.s.PendingJobs("r"); got != test.want {
				t.Errorf("pending jobs: got %d, want %d", got, test.want)
			}
		})
	}
}

func pendingNote(jobs int64) *wire.EntryNote {
	return &wire.EntryNote{Pending: map[string]int64{"r": jobs}}
}

package dispatch

import (
	"strings"
	"testing"

	"github.com/teaseltide/teaseltide/internal/wire"
)

// Guards against jobs that fail when a sidecar dies although they had no task
// there, and against a lost task missing from the owner's decisions: an
// operator could not distinguish a task that ran from a dispatch in flight.
func TestLostSidecarFailsOnlyItsJobs(t *testing.T) {
	b := newHarness(3)
	// Longer than lostAfter, so that the job is still retained.
	b.core.cfg.Retention = 2 * lostAfter
	p := b.core.partitionOf(benchService)
	b.handle(Submit{Request: 1, Job: testJob(1, 1)})
	b.advance(5)
	first := p.jobs.Get(jobIDOf(testJob(1, 1)))
	lost, sentAt := first.tasks[0].sidecar, first.tasks[0].sentAt
	var other *job
	for n := 2; n < 20 && other == nil; n++ {
		b.handle(Submit{Request: RequestID(n), Job: testJob(n, 1)})
		b.advance(5)
		if j := p.jobs.Get(jobIDOf(testJob(n, 1))); j.tasks[0].sidecar != lost {
			other = j
		}
	}
	if other == nil {
		t.Fatal("got every job at one sidecar, want one elsewhere")
	}
	b.dropResults(lost)
	b.handle(SidecarDisconnected{Sidecar: lost})
	b.advance(lostAfter + 100)
	if got, want := first.answer.GetRan(), wire.Ran_RAN_UNKNOWN; got != want {
		t.Errorf("got %s for the job with a task at the lost sidecar, want %s", got, want)
	}
	if got, want := other.answer.GetRan(), wire.Ran_RAN_COMPLETE; got != want {
		t.Errorf("got %s for the job without a task at the lost sidecar, want %s", got, want)
	}
	recorded := p.answered.Get(first.id)
	if recorded == nil {
		t.Fatal("got no record of the answered job, want one")
	}
	explained := ExplanationOf(recorded.answer())
	got, want := explained.Detail("tasks-lost"), describeLost(0, &task{sentAt: sentAt})
	if sentAt == 0 || !strings.HasSuffix(got, want) {
		t.Errorf("got the decision %q, want it to end with %q", got, want)
	}
}

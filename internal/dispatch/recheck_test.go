package dispatch

import (
	"testing"

	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// submitWithDeadline submits a job with a declared run time of 2 s per task.
func (b *harness) submitWithDeadline(n, tasks int, deadline clock.Millis) {
	j := testJob(n, tasks)
	for _, t := range j.Tasks {
		t.DeclaredMs = 2000
	}
	j.DeadlineAtMs = int64(b.now + deadline)
	b.core.Handle(b.now, Submit{Request: RequestID(n), Job: j})
}

// Guards against refusing jobs that arrive at once although the workers can
// finish them in a quarter of the time to the deadline: 400 tasks with an
// estimate of about 2.6 s each take 21 s on 48 slots by the estimate, and the
// deadline is in 60 s.
func TestBacklogWithinDeadlineIsServed(t *testing.T) {
	b := newHarness(6)
	b.core.cfg.Retention = clock.Minute
	// No result arrives before the first check, so placement has learned
	// nothing by then.
	b.runTime = 1500
	const jobs = 40
	for n := range jobs {
		b.submitWithDeadline(n+1, 10, clock.Minute)
	}
	b.advance(20_000)
	if got := b.answersByRan[wire.Ran_RAN_COMPLETE]; got != jobs {
		t.Errorf("got %v, want %d complete jobs", b.answersByRan, jobs)
	}
}

// Guards against late refusals in a burst of 10 times the capacity: callers
// would wait in vain for jobs that shorter ones pass.
func TestBurstIsRefusedEarly(t *testing.T) {
	b := newHarness(6)
	b.core.cfg.Retention = clock.Minute
	const deadline clock.Millis = 4000
	sizes := []int{1, 2, 4, 10, 20, 60}
	// Ten times the tasks that 48 slots run in a millisecond.
	perMilli := 10 * 48 / float64(benchRun)
	jobs, tasks := 0, 0
	for ms := range 3000 {
		for float64(tasks) < float64(ms)*perMilli {
			n := sizes[jobs%len(sizes)]
			jobs++
			tasks += n
			b.submitWithDeadline(jobs, n, deadline)
		}
		b.advance(1)
	}
	b.advance(deadline)
	if got := b.answersByRan[wire.Ran_RAN_NOT_RUN]; got < jobs/4 {
		t.Errorf("got %v of %d jobs, want more than a quarter refused", b.answersByRan, jobs)
	}
	if got := b.answersByRan[wire.Ran_RAN_FAILED]; got > 0 {
		t.Errorf("got %d jobs that failed after they had started, want 0", got)
	}
	if b.slowestNotRun > clock.Second {
		t.Errorf("got a refusal after %d ms, want at most %d", b.slowestNotRun, clock.Second)
	}
}

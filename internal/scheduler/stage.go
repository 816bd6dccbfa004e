package scheduler

import (
	"math"
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// lateFactor is the multiple of the objective up to which a late job still
	// counts for its caller.
	lateFactor = 3
	// responseOverhead is the time of an answer besides the run: an order, a start, a
	// listing and the way to the caller, 1 to 3 ms each.
	responseOverhead = 8 * clock.Millis(1)
)

// stage orders jobs by what can still be reached for them.
type stage int

const (
	inTime stage = iota
	// late jobs have missed their objective but still count.
	late
	// overdue jobs are done when there is room.
	overdue
)

// stageAt returns the stage of a job whose longest step takes some time on the
// fastest worker that takes it.
func (j *job) stageAt(now, longest clock.Millis) stage {
	end := now + responseOverhead + longest
	switch {
	case end <= j.dueAt():
		return inTime
	case end <= j.overdueAt():
		return late
	}
	return overdue
}

// overdueAt is when a job no longer counts for its caller.
func (j *job) overdueAt() clock.Millis { return j.sentAt + lateFactor*j.Objective }

// targetEnd is when the tasks of a job should have ended. A worker that is too slow
// for it gets none: waiting for a faster one is better, and once that is too
// late, the job is at a later stage.
func (j *job) targetEnd() clock.Millis {
	switch {
	case j.stage == overdue:
		return math.MaxInt64
	case j.stage == late || j.finishing:
		return j.overdueAt()
	}
	return j.dueAt()
}

// longestDeclaredRemaining is the declared time of the longest step that is not done.
func (j *job) longestDeclaredRemaining() clock.Millis {
	var longest clock.Millis
	for i, step := range j.Steps {
		if j.remaining[i] > 0 {
			longest = max(longest, step.EstimatedRunTime)
		}
	}
	return longest
}

// longestExpectedRemaining returns the expected run time of the longest step of a job that is
// not done, on the fastest worker that takes it.
func (s *Scheduler) longestExpectedRemaining(j *job) clock.Millis {
	var longest float64
	for i := range j.Steps {
		if j.remaining[i] > 0 {
			longest = max(longest, s.fastestRunTime(j.Service, &j.Steps[i]))
		}
	}
	return clock.Millis(longest)
}

// fastestRunTime returns the expected run time of a task of a step on the fastest
// worker that takes it, the declared one if there is none.
func (s *Scheduler) fastestRunTime(service string, step *batch.Step) float64 {
	if step.RequiredLabel == "" && step.DataRack == "" {
		return float64(step.EstimatedRunTime) * s.pool(service).fastestSlowness
	}
	fastest := math.Inf(1)
	for _, n := range s.nodeList {
		if n.eligible(service, step) && !n.ejected {
			fastest = min(fastest, n.expectedRunTime(step))
		}
	}
	if math.IsInf(fastest, 1) {
		return float64(step.EstimatedRunTime)
	}
	return fastest
}

// updateStages moves jobs in the queue that have become late.
func (s *Scheduler) updateStages(now clock.Millis) {
	changed := false
	for _, j := range s.queue {
		st := j.stageAt(now, s.longestExpectedRemaining(j))
		// What is done of a late job would be lost without the rest, so it keeps
		// its place among those in time.
		j.finishing = st == late && j.mayHaveRun()
		if j.finishing {
			st = inTime
		}
		if st != j.stage {
			j.stage = st
			changed = true
		}
	}
	if changed {
		slices.SortFunc(s.queue, compareJobs)
	}
}

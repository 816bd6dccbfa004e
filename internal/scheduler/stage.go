package scheduler

import (
	"math"
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// lateFactor is the multiple of the objective up to which a late result is still
	// of use to the caller.
	lateFactor = 3
	// responseOverhead is the response time without the run: order, start, listing
	// and reply, 1 to 3 ms each.
	responseOverhead = 8 * clock.Millis(1)
)

// stage orders jobs by the objective that they can still meet.
type stage int

const (
	inTime stage = iota
	// late jobs miss their objective but are still of use to the caller.
	late
	// overdue jobs run when there is free capacity.
	overdue
)

// stageAt returns the stage of a job whose longest remaining step takes longest
// ms on the fastest eligible worker.
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

// overdueAt returns when the job's result is no longer of use to its caller.
func (j *job) overdueAt() clock.Millis { return j.sentAt + lateFactor*j.Objective }

// targetEnd returns when the tasks of a job should have ended. Workers that are
// too slow for it are not chosen: waiting for a faster one is better, and once
// that is too late, the job moves to a later stage.
func (j *job) targetEnd() clock.Millis {
	switch {
	case j.stage == overdue:
		return math.MaxInt64
	case j.stage == late || j.finishing:
		return j.overdueAt()
	}
	return j.dueAt()
}

// longestDeclaredRemaining returns the declared run time of the longest step that
// is not done.
func (j *job) longestDeclaredRemaining() clock.Millis {
	var longest clock.Millis
	for i, step := range j.Steps {
		if j.remaining[i] > 0 {
			longest = max(longest, step.EstimatedRunTime)
		}
	}
	return longest
}

// longestExpectedRemaining returns the expected run time of the longest step that
// is not done, on the fastest eligible worker.
func (s *Scheduler) longestExpectedRemaining(j *job) clock.Millis {
	var longest float64
	for i := range j.Steps {
		if j.remaining[i] > 0 {
			longest = max(longest, s.fastestRunTimeOf(j, i))
		}
	}
	return clock.Millis(longest)
}

// fastestRunTime returns the expected run time in ms of a task of a step on the
// fastest eligible worker, the declared one if there is none.
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

// updateStages updates the stages of queued jobs and sorts the queue.
func (s *Scheduler) updateStages(now clock.Millis) {
	changed := false
	for _, j := range s.queue {
		st := j.stageAt(now, s.longestExpectedRemaining(j))
		// The results of a late job's ended tasks would be lost without the rest, so it
		// keeps its place among the jobs in time.
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

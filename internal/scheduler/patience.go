package scheduler

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// resubmissionWindow is how long after its own start, or after the loss of
	// another entry, an entry expects resubmissions of earlier jobs.
	resubmissionWindow = 5 * clock.Second
	// resubmissionThreshold is the part of a route's expected patience below which a
	// caller is assumed to have spent the rest on an earlier submission.
	resubmissionThreshold = 0.6
	// patienceRiseWeight and patienceFallWeight weight a caller that is more or less
	// patient than the average. Among many resubmissions, first submissions
	// determine the average.
	patienceRiseWeight, patienceFallWeight = 0.3, 0.05
)

// patience is how long the callers of a route wait on average, in ms and in
// multiples of their jobs' objectives: some wait for a fixed time, others longer
// for more work.
type patience struct {
	millis, objectives float64
}

// updatePatience updates the average patience of a route's callers. It returns
// the estimated time since the caller first sent the job, 0 for a first
// submission: a caller's patience counts from there, and less of it remains at a
// resubmission.
func (s *Scheduler) updatePatience(now clock.Millis, b *batch.Job) clock.Millis {
	average, elapsed := s.patienceWith(now, b)
	s.patience[b.Route] = average
	return elapsed
}

// patienceWith returns the average patience of a route's callers with that of one more job,
// and the estimated time since the caller first sent the job.
func (s *Scheduler) patienceWith(now clock.Millis, b *batch.Job) (average patience, elapsed clock.Millis) {
	remaining, objective := float64(b.Deadline-now), max(1, float64(b.Objective))
	average, known := s.patience[b.Route]
	if !known {
		average = patience{remaining, remaining / objective}
	}
	average = patience{weightedAverage(average.millis, remaining), weightedAverage(average.objectives, remaining/objective)}
	expected := min(average.millis, average.objectives*objective)
	if now-s.disruptedAt >= resubmissionWindow || remaining >= resubmissionThreshold*expected {
		return average, 0
	}
	return average, clock.Millis(expected - remaining)
}

// weightedAverage returns the average after one more value.
func weightedAverage(average, value float64) float64 {
	if value > average {
		return average + patienceRiseWeight*(value-average)
	}
	return average + patienceFallWeight*(value-average)
}

package scheduler

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// resubmissionWindow is how long after its own start, or after the loss of
	// another entry, an entry expects jobs that were submitted before.
	resubmissionWindow = 5 * clock.Second
	// resubmissionThreshold is the part of the usual patience of a route's callers below
	// which a caller is taken to have spent the rest on an earlier submission.
	resubmissionThreshold = 0.6
	// patienceRiseWeight and patienceFallWeight are the weights of a caller who waits longer
	// or less long than usual. Among many resubmissions, those who come for the
	// first time tell the usual patience.
	patienceRiseWeight, patienceFallWeight = 0.3, 0.05
)

// patience is how long the callers of a route usually wait, in ms and in
// objectives of their jobs: some wait for a fixed time, others longer for more
// work.
type patience struct {
	millis, objectives float64
}

// updatePatience learns how long the callers of a route usually wait, and returns
// how long before now the caller of a job has first sent it, as far as that can
// be told: the time that a caller waits counts from there, and what it still
// waits for is smaller at a resubmission.
func (s *Scheduler) updatePatience(now clock.Millis, b *batch.Job) clock.Millis {
	remaining, objective := float64(b.Deadline-now), max(1, float64(b.Objective))
	average, known := s.patience[b.Route]
	if !known {
		average = patience{remaining, remaining / objective}
	}
	average = patience{weightedAverage(average.millis, remaining), weightedAverage(average.objectives, remaining/objective)}
	s.patience[b.Route] = average
	expected := min(average.millis, average.objectives*objective)
	if now-s.disruptedAt >= resubmissionWindow || remaining >= resubmissionThreshold*expected {
		return 0
	}
	return clock.Millis(expected - remaining)
}

// weightedAverage returns what is usual after one more value.
func weightedAverage(average, value float64) float64 {
	if value > average {
		return average + patienceRiseWeight*(value-average)
	}
	return average + patienceFallWeight*(value-average)
}

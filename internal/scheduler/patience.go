package scheduler

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// resubmissionsAfter is how long after its own start, or after the loss of
	// another entry, an entry expects jobs that were submitted before.
	resubmissionsAfter = 5 * clock.Second
	// resubmittedShare is the part of the usual patience of a route's callers below
	// which a caller is taken to have spent the rest on an earlier submission.
	resubmittedShare = 0.6
	// patienceRises and patienceFalls are the weights of a caller who waits longer
	// or less long than usual. Among many resubmissions, those who come for the
	// first time tell the usual patience.
	patienceRises, patienceFalls = 0.3, 0.05
)

// patience is how long the callers of a route usually wait, in ms and in
// objectives of their jobs: some wait for a fixed time, others longer for more
// work.
type patience struct {
	millis, objectives float64
}

// notePatience learns how long the callers of a route usually wait, and returns
// how long before now the caller of a job has first sent it, as far as that can
// be told: the time that a caller waits counts from there, and what it still
// waits for is smaller at a resubmission.
func (s *Scheduler) notePatience(now clock.Millis, b *batch.Job) clock.Millis {
	left, objective := float64(b.Deadline-now), max(1, float64(b.Objective))
	usual, known := s.patience[b.Route]
	if !known {
		usual = patience{left, left / objective}
	}
	usual = patience{moved(usual.millis, left), moved(usual.objectives, left/objective)}
	s.patience[b.Route] = usual
	full := min(usual.millis, usual.objectives*objective)
	if now-s.disturbedAt >= resubmissionsAfter || left >= resubmittedShare*full {
		return 0
	}
	return clock.Millis(full - left)
}

// moved returns what is usual after one more value.
func moved(usual, value float64) float64 {
	if value > usual {
		return usual + patienceRises*(value-usual)
	}
	return usual + patienceFalls*(value-usual)
}

package scheduler

import "github.com/teaseltide/teaseltide/pkg/clock"

const (
	// coldShare is the part of its capacity with which a worker counts at the beginning of
	// its warm-up. It rises evenly to 1 until the end.
	coldShare = 0.5
	// coldCost is added to the cost of a cold worker for tasks of the highest priority, in
	// ms. It exceeds any expected run time, so that a warm worker that has room and ends
	// the task in time is preferred, and is below suspectCost.
	coldCost = 1e7
)

// warmup is the state of a worker that warms up after its start.
type warmup struct {
	// total is the longest time until the end of the warm-up that was reported for it.
	total clock.Millis
	// left is the last one, warmAt its end by the entry's clock; 0 before the first.
	left, warmAt clock.Millis
}

// updateWarmup updates the state with the time that a report gives, 0 for a warm worker.
func (w *warmup) updateWarmup(now, left clock.Millis) {
	if left <= 0 {
		w.left, w.total = 0, 0
		w.warmAt = min(w.warmAt, now)
		return
	}
	w.total = max(w.total, left)
	w.left, w.warmAt = left, now+left
}

func (w *warmup) isCold() bool { return w.left > 0 }

// share returns the part of its capacity with which the worker counts now.
func (w *warmup) share() float64 {
	if !w.isCold() {
		return 1
	}
	return coldShare + (1-coldShare)*float64(w.total-w.left)/float64(w.total)
}

// countsForSpeed reports whether a run that ended now says something of the worker's
// learned speed. Runs that began before the end of the warm-up do not.
func (w *warmup) countsForSpeed(now, took clock.Millis) bool { return now-took >= w.warmAt }

// currentSlowness returns the learned slowness, for a cold worker that of its present share.
func (n *node) currentSlowness() float64 { return n.slowness / n.share() }

// coldCost returns the cost of a worker for a task of a job that comes from keeping the most
// urgent tasks off cold workers.
func (s *Scheduler) coldCost(j *job, n *node) float64 {
	if n.isCold() && j.Priority <= s.highestPriority {
		return coldCost
	}
	return 0
}

// isLeaving reports whether a worker has announced its end, so that its capacity is not
// about to return.
func (n *node) isLeaving() bool { return n.load.GetRemainingMs() > 0 }

package scheduler

import (
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// maxPlacementMisses bounds the jobs without a worker that a tick examines, so
// that small tasks can pass large ones at a bounded cost.
const maxPlacementMisses = 32

// placeTasks binds pending tasks to workers with free capacity.
func (s *Scheduler) placeTasks(now clock.Millis) {
	if len(s.queue) == 0 {
		return
	}
	s.updateStages(now)
	s.updateSuspects()
	misses := 0
	var fullyPlaced []*job
	stored := s.mayOrderStored(now)
	for _, j := range s.queue {
		if !j.BestEffort && !stored {
			continue
		}
		if !s.mayStart(j) || !j.callerPresent(now) || !j.mayRun(now) {
			continue
		}
		if !s.placeJob(now, j) {
			if s.hasPendingSuspect(j) {
				continue
			}
			if misses++; misses >= maxPlacementMisses {
				break
			}
			continue
		}
		fullyPlaced = append(fullyPlaced, j)
	}
	for _, j := range fullyPlaced {
		s.dequeue(j)
	}
}

// mayStart reports whether a job may be placed. Late jobs without a started run
// are held back while the workers are crowded.
func (s *Scheduler) mayStart(j *job) bool {
	return j.stage == inTime || j.mayHaveRun() || !s.pool(j.Service).isCrowded()
}

// placeJob binds the pending tasks of a job and reports whether none is left.
func (s *Scheduler) placeJob(now clock.Millis, j *job) bool {
	for i := range j.tasks {
		if j.pendingTasks == 0 {
			return true
		}
		t := &j.tasks[i]
		if !j.isPlaceable(t) {
			continue
		}
		n := s.chooseWorker(now, j, t)
		if n == nil && t.isSuspect() {
			continue
		}
		if n == nil {
			return false
		}
		s.bind(now, j, t, n)
		s.noteSuspectBound(t)
	}
	return j.pendingTasks == 0
}

package scheduler

import (
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// placeTasks binds pending tasks to workers with free capacity, in the order of the
// queue. Tasks without a worker do not hold up those behind them.
func (s *Scheduler) placeTasks(now clock.Millis) {
	s.placedAt = now
	if len(s.queue) == 0 {
		return
	}
	s.pass.begin()
	s.updateStages(now)
	s.updateSuspects()
	var fullyPlaced []*job
	stored := s.mayOrderStored(now)
	for _, j := range s.queue {
		if !j.BestEffort && !stored {
			continue
		}
		if !s.mayStart(j) || !j.callerPresent(now) || !j.mayRun(now) {
			continue
		}
		if s.placeJob(now, j) {
			fullyPlaced = append(fullyPlaced, j)
		}
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
	for i := range j.Steps {
		if j.pendingTasks == 0 {
			return true
		}
		if j.remaining[i] > 0 && j.stepReady(i) {
			s.placeStep(now, j, i)
		}
	}
	return j.pendingTasks == 0
}

// placeStep binds the pending tasks of a step.
func (s *Scheduler) placeStep(now clock.Millis, j *job, step int) {
	if s.pass.isMissed(now, j.classes[step].miss(s.takesAvoided(now, j)), j.tolerance(now, &j.Steps[step])) {
		return
	}
	if now < j.searchAt[step] && s.pass.misses >= maxSearchMisses {
		s.pass.misses++
		return
	}
	for i := range j.Steps[step].Count {
		t := &j.tasks[j.firstTask[step]+i]
		if !j.isPlaceable(t) || now < t.notBefore || t.isSuspect() && !s.maySuspectStart(now, j, t) {
			continue
		}
		if !s.hasAttempt(j, t) {
			s.saveBase(j)
			continue
		}
		q := s.newSearch(now, j, t)
		if n := q.chooseWorker(); n != nil {
			s.bind(now, j, t, n)
			s.noteSuspectBound(t)
			continue
		}
		if !q.isExcluded {
			s.pass.recordMiss(now, j.classes[step].miss(q.takesAvoided), q.needed)
			return
		}
		s.pass.misses++
		if len(t.failedWorkers)+len(t.crashedWorkers) == 0 && !t.isSuspect() {
			// The tasks bound to the workers already exclude them for the whole step.
			j.searchAt[step] = now + s.pass.missDelay()
			return
		}
		t.notBefore = max(t.notBefore, now+s.pass.missDelay())
	}
}

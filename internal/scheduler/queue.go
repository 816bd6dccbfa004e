package scheduler

import (
	"cmp"
	"slices"
)

// enqueue counts a job's pending tasks that may start and inserts it into the
// queue if there are any.
func (s *Scheduler) enqueue(j *job) {
	j.pendingTasks = 0
	for i := range j.tasks {
		if j.isPlaceable(&j.tasks[i]) {
			j.pendingTasks++
		}
	}
	if j.pendingTasks == 0 || j.queued || j.recovering || j.cancelled {
		return
	}
	j.queued = true
	j.waitingSince = s.now
	s.pass.classify(s.now, j)
	at, _ := slices.BinarySearchFunc(s.queue, j, compareJobs)
	s.queue = slices.Insert(s.queue, at, j)
}

// dequeue removes a job from the queue.
func (s *Scheduler) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	if at, ok := slices.BinarySearchFunc(s.queue, j, compareJobs); ok {
		s.queue = slices.Delete(s.queue, at, at+1)
	}
}

// compareJobs orders the queue by stage, priority and the time of the objective.
func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.stage, b.stage), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.dueAt(), b.dueAt()), cmp.Compare(a.ID, b.ID))
}

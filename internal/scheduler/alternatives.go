package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// maxAvoidanceWait is how long a stored job waits for another worker before it takes
	// one that is avoided: one with trouble, an ejected one or one that is too slow for
	// its objective. A task must start within 3 s of its turn.
	maxAvoidanceWait = 1500 * clock.Millis(1)
	// avoidanceUtilization is the utilization of a service's workers from which avoided
	// ones stay so for any time: the wait is then for capacity. The bound of 3 s holds up
	// to a utilization of one half; the rest allows for load that this entry sees late.
	avoidanceUtilization = 0.6
	// avoidedCost is added to the cost of an avoided worker, in ms, so that any other one
	// with room is preferred.
	avoidedCost = 1e10
)

// couldTake reports whether a worker takes tasks of a step, now or once it has room.
func (s *Scheduler) couldTake(now clock.Millis, n *node, service string, step *batch.Step) bool {
	return n.eligible(service, step) && !n.ejected && !s.isStale(now, n) && n.capacity.Covers(step.Required)
}

// hadTroubleOn reports whether a worker failed the task or crashed under it. A worker that
// crashes for reasons of its own is empty afterwards and looks the best.
func (t *task) hadTroubleOn(n *node) bool {
	return slices.Contains(t.failedWorkers, n.address) || slices.Contains(t.crashedWorkers, n.address)
}

// avoidance decides which workers with room a task is to avoid.
type avoidance struct {
	s    *Scheduler
	now  clock.Millis
	job  *job
	task *task
	// lifted is true if the task takes avoided workers if there are no others.
	lifted bool
	// alternative and otherWorker are the answers of hasAlternative and hasOtherWorker
	// once known.
	alternative, otherWorker answer
}

// answer is that of a question that is asked at most once.
type answer int

const (
	unknown answer = iota
	yes
	no
)

func (a *answer) get(ask func() bool) bool {
	if *a == unknown {
		*a = no
		if ask() {
			*a = yes
		}
	}
	return *a == yes
}

func (s *Scheduler) newAvoidance(now clock.Millis, j *job, t *task) avoidance {
	return avoidance{s: s, now: now, job: j, task: t, lifted: s.takesAvoided(now, j)}
}

// avoids reports whether a worker is ejected, too slow for the job's target, or had trouble
// with the task.
func (a *avoidance) avoids(n *node) bool {
	switch {
	case !n.mayPlaceOn(a.now) && a.otherWorker.get(a.hasOtherWorker):
		return true
	case !n.finishesInTime(a.now, a.job, a.step()):
		return true
	}
	return a.task.hadTroubleOn(n) && a.alternative.get(a.hasAlternative)
}

func (a *avoidance) step() *batch.Step { return &a.job.Steps[a.task.step] }

// hasAlternative reports whether a worker without trouble could take the task by its job's
// target. A worker that never can, for its size, its label, its silence or its ejection,
// must not keep the task waiting.
func (a *avoidance) hasAlternative() bool {
	return slices.ContainsFunc(a.s.nodeList, func(n *node) bool {
		return !a.task.hadTroubleOn(n) && a.s.couldTake(a.now, n, a.job.Service, a.step()) && n.finishesInTime(a.now, a.job, a.step())
	})
}

// hasOtherWorker reports whether a worker that is not ejected could take the task.
func (a *avoidance) hasOtherWorker() bool {
	return slices.ContainsFunc(a.s.nodeList, func(n *node) bool { return a.s.couldTake(a.now, n, a.job.Service, a.step()) })
}

// takesAvoided reports whether the tasks of a job take workers that are otherwise avoided:
// a stored job has made no progress for maxAvoidanceWait although capacity is free.
func (s *Scheduler) takesAvoided(now clock.Millis, j *job) bool {
	return !j.BestEffort && now-j.waitingSince >= maxAvoidanceWait && s.pool(j.Service).utilization() < avoidanceUtilization
}

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

// search is the search of a worker for a task.
type search struct {
	s    *Scheduler
	now  clock.Millis
	job  *job
	task *task
	step *batch.Step
	// takesAvoided is true if the task takes an avoided worker rather than none.
	takesAvoided bool
	// needed is the least tolerance for which a worker with room was passed over, see
	// classMiss. isExcluded is true if a worker with room that ends the task in time was
	// passed over for a reason that need not hold for other tasks of the class.
	needed     float64
	isExcluded bool
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

func (s *Scheduler) newSearch(now clock.Millis, j *job, t *task) search {
	return search{s: s, now: now, job: j, task: t, step: &j.Steps[t.step], takesAvoided: s.takesAvoided(now, j), needed: unlimited}
}

// permits reports whether a task may be placed on a worker with room, and the reason
// against it. With a reason, a permitted worker is avoided if there is another one: an
// ejected one, one too slow for the job's target, or one that had trouble with the task.
func (q *search) permits(n *node) (reason Reason, permitted bool) {
	ejected := !n.mayPlaceOn(q.now) && q.otherWorker.get(q.hasOtherWorker)
	slow := !n.finishesInTime(q.now, q.job, q.step)
	switch {
	case ejected && !q.takesAvoided:
		return Ejected, false
	case slow && !q.takesAvoided:
		q.needed = min(q.needed, n.neededTolerance(q.step))
		return TooSlow, false
	case q.step.MaxPerWorker > 0 && boundTasks(q.job, q.task.step, n) >= q.step.MaxPerWorker:
		q.isExcluded = true
		return TaskLimit, false
	case q.task.isIsolated(q.now, q.job.BestEffort) && q.s.suspects.nodes[n.address],
		q.task.needsOwnWorker(q.now, q.job.BestEffort) && !n.free.Covers(n.capacity):
		q.isExcluded = true
		return Isolation, false
	}
	trouble := q.task.hadTroubleOn(n) && q.alternative.get(q.hasAlternative)
	if trouble && !q.takesAvoided {
		q.isExcluded = true
		return Trouble, false
	}
	switch {
	case ejected:
		return Ejected, true
	case slow:
		return TooSlow, true
	case trouble:
		return Trouble, true
	}
	return "", true
}

// hasAlternative reports whether a worker without trouble could take the task by its job's
// target. A worker that never can, for its size, its label, its silence or its ejection, or
// that refuses the task again and again, must not keep it waiting.
func (q *search) hasAlternative() bool {
	return slices.ContainsFunc(q.s.nodeList, func(n *node) bool {
		return !q.task.hadTroubleOn(n) && !slices.Contains(q.task.refusedBy, n.address) && q.s.couldTake(q.now, n, q.job.Service, q.step) && n.finishesInTime(q.now, q.job, q.step)
	})
}

// hasOtherWorker reports whether a worker that is not ejected could take the task. The
// answer holds for its class.
func (q *search) hasOtherWorker() bool {
	return slices.ContainsFunc(q.s.nodeList, func(n *node) bool { return q.s.couldTake(q.now, n, q.job.Service, q.step) })
}

// takesAvoided reports whether the tasks of a job take workers that are otherwise avoided:
// a stored job has made no progress for maxAvoidanceWait although capacity is free.
func (s *Scheduler) takesAvoided(now clock.Millis, j *job) bool {
	return !j.BestEffort && now-j.waitingSince >= maxAvoidanceWait && s.pool(j.Service).utilization() < avoidanceUtilization
}

// delayAfterFailure puts off the next run of a stored task that failed on an ejected worker,
// if no other one could take it: the worker fails everything at the moment, and the task
// would use up its failures there at once.
func (s *Scheduler) delayAfterFailure(now clock.Millis, n *node, j *job, t *task) {
	if !n.ejected || j.BestEffort {
		return
	}
	if q := s.newSearch(now, j, t); !q.hasOtherWorker() {
		t.notBefore = max(t.notBefore, now+minProbeInterval)
	}
}

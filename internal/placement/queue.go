package placement

import (
	"math"
	"slices"

	"github.com/teaseltide/teaseltide/pkg/clock"
)

// job is a job with tasks that are queued or bound.
type job struct {
	id      JobID
	service *service
	team    *team
	arrived clock.Millis
	groups  []*taskGroup
	bound   map[TaskIndex]boundTask
	queued  int
	// work is the expected run time of the queued tasks on an average worker,
	// in milliseconds.
	work float64
	// idealTime is the expected response time on an idle fleet in milliseconds.
	idealTime float64
	// latestEnd is the latest expected end of a bound task.
	latestEnd clock.Millis
	// failedOn lists the workers on which a task of this job failed.
	failedOn []*link
	// cancelled is true after RemoveQueued, until more tasks are queued.
	cancelled bool
}

// taskGroup holds the queued tasks of a job that need the same resources,
// longest first.
type taskGroup struct {
	job      *job
	queue    *resourceQueue
	tasks    []queuedTask
	sortKey  float64
	sequence uint64
	// position is the index in the queue's heap; -1 if the group is not in it.
	position int
	// waitingSince is when the first task began to wait for a faster worker; 0
	// if it does not wait.
	waitingSince clock.Millis
}

// queuedTask is a task that is not bound to a worker.
type queuedTask struct {
	index    TaskIndex
	declared clock.Millis
	// work is the expected run time on an average worker in milliseconds.
	work float64
}

// boundTask is a task that is bound to a worker.
type boundTask struct {
	link      *link
	worker    *worker
	resources Resources
	declared  clock.Millis
	boundAt   clock.Millis
	expected  clock.Millis
}

// resourceQueue orders the groups of a team whose tasks need the same resources.
type resourceQueue struct {
	resources Resources
	groups    groupHeap
	// blockedPlan is the number of the last plan in which no worker had the
	// free resources.
	blockedPlan uint64
	// blockedSince is when the queue was first found blocked; 0 if it is not.
	blockedSince clock.Millis
	// reserved is the worker that drains for this queue, or nil.
	reserved *worker
}

// team is a team's queue for a service.
type team struct {
	name   string
	share  float64
	queues []*resourceQueue
	queued int
	// deficit is the slot time in milliseconds that the team may still start
	// in this round.
	deficit float64
	// turnBudget is the slot time in milliseconds that the team may start before
	// the next team's turn, even if its deficit allows more.
	turnBudget float64
	active     bool
	// skippedPlan is the number of the last plan in which the team had no task
	// to start.
	skippedPlan uint64
}

// queue returns the team's queue for the resources, creating it if necessary.
func (t *team) queue(needed Resources) *resourceQueue {
	for _, q := range t.queues {
		if q.resources == needed {
			return q
		}
	}
	q := &resourceQueue{resources: needed}
	t.queues = append(t.queues, q)
	return q
}

// next returns the first group in job order among those that are not blocked in
// this plan, or nil.
func (t *team) next(plan uint64) *taskGroup {
	var best *taskGroup
	for _, q := range t.queues {
		if q.blockedPlan == plan || len(q.groups) == 0 {
			continue
		}
		g := q.groups[0]
		if best == nil || g.sortKey < best.sortKey {
			best = g
		}
	}
	return best
}

// dropEmptyQueues deletes the team's queues without tasks and their
// reservations.
func (s *service) dropEmptyQueues(t *team) {
	t.queues = slices.DeleteFunc(t.queues, func(q *resourceQueue) bool {
		if len(q.groups) > 0 {
			return false
		}
		s.unreserve(q)
		return true
	})
}

// addTasks enqueues tasks, longest first.
func (j *job) addTasks(tasks []Task) {
	touched := make([]*taskGroup, 0, 1)
	for _, t := range tasks {
		g := j.group(t.Resources)
		work := j.service.model.expectedRun(t.Declared)
		g.tasks = append(g.tasks, queuedTask{index: t.Index, declared: t.Declared, work: work})
		j.queued++
		j.work += work
		j.service.work += work
		if !slices.Contains(touched, g) {
			touched = append(touched, g)
		}
	}
	for _, g := range touched {
		slices.SortStableFunc(g.tasks, func(a, b queuedTask) int {
			switch {
			case a.work > b.work:
				return -1
			case a.work < b.work:
				return 1
			default:
				return 0
			}
		})
	}
	j.team.queued += len(tasks)
	j.service.queued += len(tasks)
	for _, g := range touched {
		longest := g.tasks[0].work * j.service.model.expectedMax(len(g.tasks))
		j.idealTime = max(j.idealTime, longest*j.service.fastestFactor())
	}
	j.idealTime = max(j.idealTime, j.service.drainTime(j.work))
	j.reorder()
}

// group returns the job's group for the resources, creating it if necessary. An
// empty group stays with its job, outside its queue.
func (j *job) group(needed Resources) *taskGroup {
	for _, g := range j.groups {
		if g.queue.resources == needed {
			if g.position < 0 && len(g.tasks) == 0 {
				// The team may have dropped the queue since.
				g.queue = j.team.queue(needed)
			}
			return g
		}
	}
	j.service.sequence++
	g := &taskGroup{job: j, queue: j.team.queue(needed), sequence: j.service.sequence, position: -1}
	j.groups = append(j.groups, g)
	return g
}

// reorder updates the position of the job's groups in their queues after its
// work changed.
func (j *job) reorder() {
	key := j.service.sortKey(j)
	for _, g := range j.groups {
		g.sortKey = key
		switch {
		case g.position < 0 && len(g.tasks) > 0 && !g.isDeferred():
			g.queue.groups.push(g)
		case g.position >= 0 && len(g.tasks) == 0:
			g.queue.groups.remove(g)
			j.service.clearBlocked(g.queue)
		case g.position >= 0:
			g.queue.groups.fix(g.position)
		}
	}
}

// isDeferred reports whether this plan has passed over the group.
func (g *taskGroup) isDeferred() bool {
	return slices.Contains(g.job.service.deferred, g)
}

// pop removes the first task of a group.
func (g *taskGroup) pop() queuedTask {
	t := g.tasks[0]
	g.tasks = g.tasks[1:]
	g.waitingSince = 0
	j := g.job
	j.queued--
	j.work = max(j.work-t.work, 0)
	j.team.queued--
	j.service.queued--
	j.service.work = max(j.service.work-t.work, 0)
	return t
}

// quantum is the slot time that a share of 1 gets in a round, in milliseconds.
const quantum = 100.0

const (
	// maxTurnQuanta is the length of a turn in quanta. It is bounded so that a
	// team that has saved slot time uses it without delaying the others for long.
	maxTurnQuanta = 2
	// maxCreditTime is the time of all slots that a team may save while its tasks
	// wait for a particular worker, in milliseconds. Above half of it, its tasks
	// no longer wait, because the team would lose its share.
	maxCreditTime = 1000.0
	// saturatedDrainTime is the time in milliseconds to run all queued tasks above
	// which shares take precedence over short jobs; the largest job alone takes
	// about 3 s of a small fleet, and three of them are often queued at 85% load.
	saturatedDrainTime = 10_000.0
	// turnDrainTime is the time in milliseconds to run all queued tasks above which
	// teams start tasks in turn; the largest job alone takes less on a small
	// fleet. It bounds how long a team with little work waits behind a team that
	// floods the queue with short jobs. At 85% load on a small fleet the p99 of
	// response over ideal is 4.2 with 10 s, 4.4 with 3.5 s and 4.7 with 2 s; with
	// 2 s that at 50% load rises from 3.5 to 3.8.
	turnDrainTime = 3_500.0
)

// maxCredit is the most slot time that a team may save, or owe for tasks that
// started out of turn.
func (s *service) maxCredit() float64 {
	return maxCreditTime * float64(s.totalSlots)
}

// mustNotWait reports whether the team's tasks must not be passed over while a
// worker is free: the team has saved much slot time, or several teams have more
// work queued than saturatedDrainTime, so that waiting would shift their shares.
func (s *service) mustNotWait(t *team) bool {
	if t.deficit > s.maxCredit()/2 {
		return true
	}
	return len(s.active) > 1 && s.drainTime(s.work) > saturatedDrainTime
}

// nextTeam returns the team whose task starts next, or nil if no team has a
// task to start in this plan. Shares apply only while much work is queued: with
// less, every team is served soon, and turns would delay a short job behind the
// long jobs of other teams.
func (s *service) nextTeam() *team {
	if s.drainTime(s.work) <= turnDrainTime {
		return s.teamOfFirstJob()
	}
	return s.teamByDeficit()
}

// teamOfFirstJob returns the team whose next job has the lowest sort key, or nil.
func (s *service) teamOfFirstJob() *team {
	var best *team
	var first *taskGroup
	for _, t := range s.active {
		if t.skippedPlan == s.planNumber {
			continue
		}
		g := t.next(s.planNumber)
		if g == nil {
			t.skippedPlan = s.planNumber
			continue
		}
		if first == nil || g.sortKey < first.sortKey {
			best, first = t, g
		}
	}
	return best
}

// teamByDeficit returns the team whose turn it is by deficit round robin, or nil.
func (s *service) teamByDeficit() *team {
	for {
		// The first team is visited again at the end, with a new turn.
		for range len(s.active) + 1 {
			if s.cursor >= len(s.active) {
				s.cursor = 0
			}
			t := s.active[s.cursor]
			if t.deficit > 0 && t.turnBudget > 0 && t.skippedPlan != s.planNumber {
				return t
			}
			t.turnBudget = maxTurnQuanta * quantum * t.share
			s.cursor++
		}
		if !s.addRounds() {
			return nil
		}
	}
}

// addRounds adds to the deficit of every active team the quanta of as many
// rounds as it takes until some team can start a task. It reports whether a team
// with tasks to start is left.
//
// The credit is at least one round, so that teamByDeficit ends: without it, no
// team could start the probe when all workers left are ejected, as maxCredit is 0
// then.
func (s *service) addRounds() bool {
	rounds := math.Inf(1)
	for _, t := range s.active {
		if t.skippedPlan != s.planNumber {
			rounds = min(rounds, math.Floor(-t.deficit/(quantum*t.share))+1)
		}
	}
	if math.IsInf(rounds, 1) {
		return false
	}
	for _, t := range s.active {
		round := quantum * t.share
		t.deficit = min(t.deficit+rounds*round, max(t.deficit, s.maxCredit(), round))
	}
	return true
}

// updateActive adds a team with queued tasks to the round and removes one
// without.
func (s *service) updateActive(t *team) {
	switch {
	case t.queued > 0 && !t.active:
		t.active = true
		s.active = append(s.active, t)
	case t.queued == 0 && t.active:
		t.active = false
		t.deficit = min(t.deficit, 0)
		i := slices.Index(s.active, t)
		s.active = slices.Delete(s.active, i, i+1)
		if s.cursor > i {
			s.cursor--
		}
		s.dropEmptyQueues(t)
	}
}

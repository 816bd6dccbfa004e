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
	lanes   []*lane
	bound   map[TaskIndex]boundTask
	queued  int
	// work is the expected run time of the queued tasks on an average worker,
	// in milliseconds.
	work float64
	// ideal is the expected response time on an idle fleet in milliseconds.
	ideal float64
	// latest is the latest expected end of a bound task.
	latest clock.Millis
	// failed lists the workers on which a task of this job failed.
	failed []*link
	// cancelled is true after Remove, until more tasks are queued.
	cancelled bool
}

// lane holds the queued tasks of a job that have the same size, longest
// first.
type lane struct {
	job      *job
	queue    *sizeQueue
	tasks    []queuedTask
	key      float64
	sequence uint64
	position int
	// heldSince is when the first task began to wait for a faster worker; 0
	// if it does not wait.
	heldSince clock.Millis
}

type queuedTask struct {
	index    TaskIndex
	declared clock.Millis
	// work is the expected run time on an average worker in milliseconds.
	work float64
}

// boundTask is a task that was given to a worker.
type boundTask struct {
	link     *link
	worker   *worker
	size     Resources
	declared clock.Millis
	at       clock.Millis
	expected clock.Millis
}

// sizeQueue orders the lanes of a team with tasks of one size.
type sizeQueue struct {
	size  Resources
	lanes laneHeap
	// blocked is the number of the plan in which no worker had room.
	blocked uint64
	// blockedSince is when the queue was first found blocked; 0 if it is not.
	blockedSince clock.Millis
	reserved     *worker
}

// team is a team's queue for a service.
type team struct {
	name   string
	share  float64
	queues []*sizeQueue
	queued int
	// deficit is the slot time in milliseconds that the team may still start
	// in this round.
	deficit float64
	// turn is the slot time that the team may start before the next team's
	// turn, also if it has saved more.
	turn   float64
	active bool
	// skipped is the number of the plan in which the team had no task to
	// start.
	skipped uint64
}

func (t *team) queue(size Resources) *sizeQueue {
	for _, q := range t.queues {
		if q.size == size {
			return q
		}
	}
	q := &sizeQueue{size: size}
	t.queues = append(t.queues, q)
	return q
}

// next returns the lane that goes first among those that are not blocked in
// this plan, or nil.
func (t *team) next(plan uint64) *lane {
	var best *lane
	for _, q := range t.queues {
		if q.blocked == plan || len(q.lanes) == 0 {
			continue
		}
		l := q.lanes[0]
		if best == nil || l.key < best.key {
			best = l
		}
	}
	return best
}

// dropEmpty forgets the team's queues without tasks.
func (s *service) dropEmpty(t *team) {
	t.queues = slices.DeleteFunc(t.queues, func(q *sizeQueue) bool {
		if len(q.lanes) > 0 {
			return false
		}
		s.unreserve(q)
		return true
	})
}

// add queues tasks, longest first.
func (j *job) add(tasks []Task) {
	touched := make([]*lane, 0, 1)
	for _, t := range tasks {
		l := j.lane(t.Resources)
		work := j.service.model.expected(t.Declared)
		l.tasks = append(l.tasks, queuedTask{index: t.Index, declared: t.Declared, work: work})
		j.queued++
		j.work += work
		j.service.work += work
		if !slices.Contains(touched, l) {
			touched = append(touched, l)
		}
	}
	for _, l := range touched {
		slices.SortStableFunc(l.tasks, func(a, b queuedTask) int {
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
	for _, l := range touched {
		longest := l.tasks[0].work * j.service.model.expectedMax(len(l.tasks))
		j.ideal = max(j.ideal, longest*j.service.fastest())
	}
	j.ideal = max(j.ideal, j.service.drainTime(j.work))
	j.reorder()
}

// lane returns the lane of a size. An empty lane stays with its job, outside
// its queue.
func (j *job) lane(size Resources) *lane {
	for _, l := range j.lanes {
		if l.queue.size == size {
			if l.position < 0 && len(l.tasks) == 0 {
				// The team may have dropped the queue since.
				l.queue = j.team.queue(size)
			}
			return l
		}
	}
	j.service.sequence++
	l := &lane{job: j, queue: j.team.queue(size), sequence: j.service.sequence, position: -1}
	j.lanes = append(j.lanes, l)
	return l
}

// reorder updates the order of the job's lanes after its work changed.
func (j *job) reorder() {
	key := j.service.key(j)
	for _, l := range j.lanes {
		l.key = key
		switch {
		case l.position < 0 && len(l.tasks) > 0 && !l.held():
			l.queue.lanes.push(l)
		case l.position >= 0 && len(l.tasks) == 0:
			l.queue.lanes.remove(l)
			j.service.endBlock(l.queue)
		case l.position >= 0:
			l.queue.lanes.fix(l.position)
		}
	}
}

// held reports whether the lane waits for a faster worker in this plan.
func (l *lane) held() bool {
	return slices.Contains(l.job.service.held, l)
}

// take removes the first task of a lane.
func (l *lane) take() queuedTask {
	t := l.tasks[0]
	l.tasks = l.tasks[1:]
	l.heldSince = 0
	j := l.job
	j.queued--
	j.work = max(j.work-t.work, 0)
	j.team.queued--
	j.service.queued--
	j.service.work = max(j.service.work-t.work, 0)
	return t
}

// Quantum is the slot time that a share of 1 gets in a round, in milliseconds.
const quantum = 100.0

const (
	// turnQuanta bounds a turn in quanta, so that a team that has saved slot
	// time recovers it without delaying the others for long.
	turnQuanta = 2
	// creditTime is the time of all slots that a team may save while its tasks
	// wait for a particular worker, in milliseconds. From half of it on, its
	// tasks wait no more, or the team would lose its share.
	creditTime = 1000.0
	// saturated is the time in milliseconds to run all queued tasks from which
	// shares go before short jobs; the largest job alone takes about 3 s of a
	// small fleet, and three of them are often queued at 85% load.
	saturated = 10_000.0
	// turnsFrom is the time in milliseconds to run all queued tasks from which
	// teams start tasks in turn; it is above that of the largest job on a small
	// fleet. It bounds how long a team with little work waits behind a team that
	// floods the queue with short jobs. At 85% load on a small fleet the p99 of
	// response over ideal is 4.2 with 10 s, 4.4 with 3.5 s and 4.7 with 2 s; with
	// 2 s that at 50% load rises from 3.5 to 3.8.
	turnsFrom = 3_500.0
)

// credit is the most slot time that a team may save, or owe for tasks that
// started out of turn.
func (s *service) credit() float64 {
	return creditTime * float64(s.allSlots)
}

// mustShare reports whether a task of the team may not be passed over although
// a worker is free: the team has saved much slot time, or several teams have
// more work queued than is served soon, so that passing over would shift their
// shares.
func (s *service) mustShare(t *team) bool {
	if t.deficit > s.credit()/2 {
		return true
	}
	return len(s.active) > 1 && s.drainTime(s.work) > saturated
}

// nextTeam returns the team whose task starts next, or nil if no team has a
// task to start in this plan. Shares decide only while much work is queued: with
// less, every team is served soon, and a turn would delay a short job behind the
// long jobs of other teams.
func (s *service) nextTeam() *team {
	if s.drainTime(s.work) <= turnsFrom {
		return s.teamOfFirstJob()
	}
	return s.teamInTurn()
}

// teamOfFirstJob returns the team whose first job goes before those of all
// other teams, or nil.
func (s *service) teamOfFirstJob() *team {
	var best *team
	var first *lane
	for _, t := range s.active {
		if t.skipped == s.plan {
			continue
		}
		l := t.next(s.plan)
		if l == nil {
			t.skipped = s.plan
			continue
		}
		if first == nil || l.key < first.key {
			best, first = t, l
		}
	}
	return best
}

// teamInTurn returns the team whose turn it is by deficit round robin, or nil.
func (s *service) teamInTurn() *team {
	for {
		// The first team is visited again at the end, with a new turn.
		for range len(s.active) + 1 {
			if s.cursor >= len(s.active) {
				s.cursor = 0
			}
			t := s.active[s.cursor]
			if t.deficit > 0 && t.turn > 0 && t.skipped != s.plan {
				return t
			}
			t.turn = turnQuanta * quantum * t.share
			s.cursor++
		}
		if !s.addRounds() {
			return nil
		}
	}
}

// addRounds gives every active team the slot time of as many rounds as the
// first team needs that can start a task.
func (s *service) addRounds() bool {
	rounds := math.Inf(1)
	for _, t := range s.active {
		if t.skipped != s.plan {
			rounds = min(rounds, math.Floor(-t.deficit/(quantum*t.share))+1)
		}
	}
	if math.IsInf(rounds, 1) {
		return false
	}
	for _, t := range s.active {
		add := rounds * quantum * t.share
		t.deficit = min(t.deficit+add, max(t.deficit, s.credit()))
	}
	return true
}

// activate puts teams with queued tasks into the round and takes others out.
func (s *service) activate(t *team) {
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
		s.dropEmpty(t)
	}
}

package scheduler

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// minRetry is the shortest time after which a refused caller may come again;
	// HTTP counts it in seconds.
	minRetry = 1 * clock.Second
	// maxOpen bounds the jobs that an entry holds; a job takes about 2 KB.
	maxOpen = 20_000
	// drainFactor is the multiple of its declared time that a job is given to end
	// before a draining entry does: as much as makes it count for its caller.
	drainFactor = lateFactor
	// settleTime is how long an entry that starts may not know of its workers. Where
	// all processes started together, its last session was up after 0.2 s; slow VMs
	// take longer.
	settleTime = 1 * clock.Second
)

// refusal tells why a job is refused at once, and when its caller may come
// again. The reason is empty for a job that is accepted.
func (s *Scheduler) refusal(now clock.Millis, b batch.Job) (string, clock.Millis) {
	switch {
	case s.drainBy != 0 && !s.endsInDrain(now, b):
		return "draining", minRetry
	case !b.BestEffort && s.storeFailing:
		return "store", storeRetry
	case !b.BestEffort && !s.mayOrder(now):
		return "no contact with the store", storeRetry
	case len(s.jobs) >= maxOpen:
		return "too many jobs", minRetry
	}
	capacity, fits := s.serving(b)
	switch {
	case !fits && now < s.startedAt+settleTime:
		return "", 0
	case !fits:
		return "no worker fits", storeRetry
	}
	wait := s.expectedWait(b, capacity)
	longest := 0.0
	for i := range b.Steps {
		longest = max(longest, s.quickestRun(b.Service, &b.Steps[i]))
	}
	reach := lateFactor * b.Objective
	if s.pool(b.Service).overloaded(now) {
		// Late jobs do not start any more.
		reach = b.Objective
	}
	if wait > 0 && wait+tripTime+clock.Millis(longest) > reach {
		return "overload", max(minRetry, wait)
	}
	return "", 0
}

// endsInDrain reports whether a best-effort job will have ended when the entry
// does, also on a slow worker and with a run that fails.
func (s *Scheduler) endsInDrain(now clock.Millis, b batch.Job) bool {
	var declared clock.Millis
	for _, step := range b.Steps {
		declared += step.EstimatedRunTime
	}
	return b.BestEffort && now+tripTime+drainFactor*declared <= s.drainBy
}

// serving returns the room of the workers of a job's service in thousandths of
// a core, and whether each step fits one of them.
func (s *Scheduler) serving(b batch.Job) (float64, bool) {
	capacity := 0.0
	for i := range b.Steps {
		fits := false
		for _, n := range s.list {
			if n.eligible(b.Service, &b.Steps[i]) && n.capacity.Covers(b.Steps[i].Required) {
				fits = true
			}
		}
		if !fits {
			return 0, false
		}
	}
	for _, n := range s.list {
		if n.connected && n.load.GetReady() && n.load.GetService() == b.Service && !n.ejected {
			capacity += float64(n.capacity.CPU) / max(n.slow, 1/slowFactor)
		}
	}
	return capacity, true
}

// expectedWait is the time until the work that goes first has started: what
// waits here, over this entry's share of the workers.
func (s *Scheduler) expectedWait(b batch.Job, capacity float64) clock.Millis {
	ahead := 0.0
	for _, j := range s.queue {
		if j.stage == overdue || j.Service != b.Service || j.Priority > b.Priority {
			continue
		}
		ahead += j.waitingWork()
	}
	if ahead == 0 || capacity <= 0 {
		return 0
	}
	return clock.Millis(ahead / capacity * float64(s.peers))
}

// waitingWork is the work of a job's waiting tasks in thousandths of a core
// times ms.
func (j *job) waitingWork() float64 {
	work := 0.0
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskWaiting {
			step := &j.Steps[t.step]
			work += float64(step.Required.CPU) * float64(step.EstimatedRunTime)
		}
	}
	return work
}

// backlog is when a caller whose job is given up may come again: once the work
// that goes before it has started.
func (s *Scheduler) backlog(b batch.Job) clock.Millis {
	capacity, fits := s.serving(b)
	if !fits {
		return storeRetry
	}
	return max(minRetry, s.expectedWait(b, capacity))
}

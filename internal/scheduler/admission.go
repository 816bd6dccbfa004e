package scheduler

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// minRetryAfter is the shortest time after which a refused caller may come again;
	// HTTP counts it in seconds.
	minRetryAfter = 1 * clock.Second
	// maxOpenJobs bounds the jobs that an entry holds; a job takes about 2 KB.
	maxOpenJobs = 20_000
	// drainFactor is the multiple of its declared time that a job is given to end
	// before a draining entry does: as much as makes it count for its caller.
	drainFactor = lateFactor
	// startupGracePeriod is how long an entry that starts may not know of its workers. Where
	// all processes started together, its last session was up after 0.2 s; slow VMs
	// take longer.
	startupGracePeriod = 1 * clock.Second
)

// checkAdmission tells why a job is refused at once, and when its caller may come
// again. The reason is empty for a job that is accepted.
func (s *Scheduler) checkAdmission(now clock.Millis, b batch.Job) (string, clock.Millis) {
	switch {
	case s.drainBy != 0 && !s.endsInDrain(now, b):
		return "draining", minRetryAfter
	case !b.BestEffort && s.storeFailing:
		return "store", storeRetryAfter
	case !b.BestEffort && !s.mayOrderStored(now):
		return "no contact with the store", storeRetryAfter
	case len(s.jobs) >= maxOpenJobs:
		return "too many jobs", minRetryAfter
	}
	capacity, fits := s.serviceCapacity(b)
	switch {
	case !fits && now < s.startedAt+startupGracePeriod:
		return "", 0
	case !fits:
		return "no worker fits", storeRetryAfter
	}
	wait := s.expectedWait(b, capacity)
	longest := 0.0
	for i := range b.Steps {
		longest = max(longest, s.fastestRunTime(b.Service, &b.Steps[i]))
	}
	maxResponse := lateFactor * b.Objective
	if s.pool(b.Service).isOverloaded(now) {
		// Late jobs do not start any more.
		maxResponse = b.Objective
	}
	if wait > 0 && wait+responseOverhead+clock.Millis(longest) > maxResponse {
		return "overload", max(minRetryAfter, wait)
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
	return b.BestEffort && now+responseOverhead+drainFactor*declared <= s.drainBy
}

// serviceCapacity returns the room of the workers of a job's service in thousandths of
// a core, and whether each step fits one of them.
func (s *Scheduler) serviceCapacity(b batch.Job) (float64, bool) {
	capacity := 0.0
	for i := range b.Steps {
		fits := false
		for _, n := range s.nodeList {
			if n.eligible(b.Service, &b.Steps[i]) && n.capacity.Covers(b.Steps[i].Required) {
				fits = true
			}
		}
		if !fits {
			return 0, false
		}
	}
	for _, n := range s.nodeList {
		if n.connected && n.load.GetReady() && n.load.GetService() == b.Service && !n.ejected {
			capacity += float64(n.capacity.CPU) / max(n.slowness, 1/probeOnlySlowness)
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
		ahead += j.pendingWork()
	}
	if ahead == 0 || capacity <= 0 {
		return 0
	}
	return clock.Millis(ahead / capacity * float64(s.entryCount))
}

// pendingWork is the work of a job's waiting tasks in thousandths of a core
// times ms.
func (j *job) pendingWork() float64 {
	work := 0.0
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskPending {
			step := &j.Steps[t.step]
			work += float64(step.Required.CPU) * float64(step.EstimatedRunTime)
		}
	}
	return work
}

// retryAfterBacklog is when a caller whose job is given up may come again: once the work
// that goes before it has started.
func (s *Scheduler) retryAfterBacklog(b batch.Job) clock.Millis {
	capacity, fits := s.serviceCapacity(b)
	if !fits {
		return storeRetryAfter
	}
	return max(minRetryAfter, s.expectedWait(b, capacity))
}

package scheduler

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// minRetryAfter is the shortest Retry-After for a refused caller; HTTP counts it
	// in whole seconds.
	minRetryAfter = 1 * clock.Second
	// maxOpenJobs bounds the open jobs of an entry; a job takes about 2 KB of
	// memory.
	maxOpenJobs = 20_000
	// drainFactor is the multiple of its declared run time that a draining entry
	// allows a job; a job that takes longer is of no use to its caller.
	drainFactor = lateFactor
	// startupGracePeriod is how long a starting entry accepts jobs without a known
	// worker, and does not estimate the wait from a part of the workers. With all
	// processes started together, the last session was up after 0.2 s; slow VMs take
	// longer.
	startupGracePeriod = 1 * clock.Second
)

// admission is the decision whether to accept a new job.
type admission struct {
	// reason to refuse the job; empty if it is accepted.
	reason     string
	retryAfter clock.Millis
	// wait is the expected wait, if the decision depends on it.
	wait clock.Millis
}

// checkAdmission returns the reason to refuse a new job and the Retry-After for
// its caller. The reason is empty if the job is accepted.
func (s *Scheduler) checkAdmission(now clock.Millis, b batch.Job) (string, clock.Millis) {
	a := s.admissionOf(now, b)
	if a.reason == reasonOverload {
		s.lastExpectedWait = a.wait
	}
	return a.reason, a.retryAfter
}

// admissionOf decides whether to accept a new job and changes nothing.
func (s *Scheduler) admissionOf(now clock.Millis, b batch.Job) admission {
	switch {
	case s.drainBy != 0 && !s.endsInDrain(now, b):
		return admission{reason: "draining", retryAfter: minRetryAfter}
	case !b.BestEffort && s.storeFailing:
		return admission{reason: "store", retryAfter: storeRetryAfter}
	case !b.BestEffort && !s.mayOrderStored(now):
		return admission{reason: "no contact with the store", retryAfter: storeRetryAfter}
	case len(s.jobs) >= maxOpenJobs:
		return admission{reason: "too many jobs", retryAfter: minRetryAfter}
	}
	capacity, fits := s.serviceCapacity(b)
	starting := now < s.startedAt+startupGracePeriod
	switch {
	case !fits && starting:
		return admission{}
	case !fits:
		return admission{reason: "no worker fits", retryAfter: storeRetryAfter}
	case starting && s.witnesses.hasUnready():
		return admission{}
	}
	wait := s.expectedWait(now, b, capacity)
	longest := 0.0
	for i := range b.Steps {
		longest = max(longest, s.fastestRunTime(b.Service, &b.Steps[i]))
	}
	maxResponse := lateFactor * b.Objective
	if s.pool(b.Service).isOverloaded(now) {
		// Under overload, late jobs are not started.
		maxResponse = b.Objective
	}
	if wait > 0 && wait+responseOverhead+clock.Millis(longest) > maxResponse && !s.hasFreeCapacity(now, b) {
		return admission{reason: reasonOverload, retryAfter: max(minRetryAfter, wait), wait: wait}
	}
	return admission{wait: wait}
}

// endsInDrain reports whether a best-effort job is expected to end before the
// entry does, even on a slow worker and with one failed run.
func (s *Scheduler) endsInDrain(now clock.Millis, b batch.Job) bool {
	var declared clock.Millis
	for _, step := range b.Steps {
		declared += step.EstimatedRunTime
	}
	return b.BestEffort && now+responseOverhead+drainFactor*declared <= s.drainBy
}

// serviceCapacity returns the capacity of the workers of a job's service in
// millicores, weighted by their speed, and whether each step fits a worker.
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
		if n.connected && n.isReady() && n.load.GetService() == b.Service && !n.ejected {
			capacity += n.throughput(n.capacity.CPU)
		}
	}
	return capacity, true
}

// expectedWait returns the time until the queued work in time of the same or a higher
// priority has started, at this entry and the others. An entry of which nothing is known is
// assumed to have as much as this one.
func (s *Scheduler) expectedWait(now clock.Millis, b batch.Job, capacity float64) clock.Millis {
	if capacity <= 0 {
		return 0
	}
	own, restricted := 0.0, 0.0
	for _, j := range s.queue {
		switch {
		case j.stage != inTime || j.Service != b.Service || j.Priority > b.Priority || j.isHeldElsewhere():
		case !s.isRestricted(j):
			own += j.pendingWork()
		case sharesRestriction(j.Steps, b.Steps):
			restricted += j.pendingWork()
		}
	}
	others, unknown := s.workOfOthers(now, workClass{b.Service, b.Priority})
	wait := 0.0
	if restricted > 0 {
		if particular := s.restrictedCapacity(b); particular > 0 {
			wait = restricted * float64(s.entryCount) / particular
		} else {
			// Without a worker in the racks of the data, the others do the work.
			own += restricted
		}
	}
	wait += (own*float64(1+unknown) + others) / capacity
	return clock.Millis(wait)
}

// pendingWork returns the declared work of a job's pending tasks in millicores
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

// retryAfterBacklog returns the Retry-After for the caller of an abandoned job:
// the time until the queued work ahead of it has started.
func (s *Scheduler) retryAfterBacklog(b batch.Job) clock.Millis {
	capacity, fits := s.serviceCapacity(b)
	if !fits {
		return storeRetryAfter
	}
	s.lastExpectedWait = s.expectedWait(s.now, b, capacity)
	return max(minRetryAfter, s.lastExpectedWait)
}

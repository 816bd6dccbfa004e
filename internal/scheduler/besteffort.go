package scheduler

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// resubmission is a job that starts when the former runs of its id are over.
type resubmission struct {
	job      batch.Job
	requests []Request
}

// submitBestEffort takes a job that only this entry holds. Its caller waits for
// the end. The same id again is the same job while it is not given up.
func (s *Scheduler) submitBestEffort(now clock.Millis, r Request, b batch.Job) {
	j := s.jobs[b.ID]
	switch {
	case j != nil && !j.cancelled:
		j.submitters = append(j.submitters, r)
		j.Deadline = max(j.Deadline, b.Deadline)
		return
	case j != nil:
		if j.resubmitted == nil {
			j.resubmitted = &resubmission{job: b}
		}
		j.resubmitted.requests = append(j.resubmitted.requests, r)
		return
	}
	if e, ok := s.ended[b.ID]; ok {
		s.out = append(s.out, Reply{Request: r, Result: Ended, State: e.state})
		return
	}
	_, ranBefore := s.abandonedAfterStart[b.ID]
	elapsed := s.updatePatience(now, &b)
	if reason, retryAfter := s.checkAdmission(now, b); reason != "" {
		s.refuse(r, b.ID, reason, retryAfter, ranBefore)
		return
	}
	s.counters.Accepted++
	j = newJob(now, b)
	j.sentAt = now - elapsed
	j.ranBefore = ranBefore
	j.submitters = []Request{r}
	s.jobs[b.ID] = j
	s.enqueue(j)
}

// refuse answers that a job is not taken. Of one that ran here before, it cannot
// be said that it has not run.
func (s *Scheduler) refuse(r Request, id batch.JobID, reason string, retryAfter clock.Millis, ranBefore bool) {
	s.counters.Refused++
	result := NotStored
	if ranBefore {
		result = Unknown
	}
	s.out = append(s.out,
		Reply{Request: r, Result: result, RetryAfter: retryAfter},
		Decision{Summary: "job refused", Job: id, Reason: reason, Value: int64(retryAfter)})
}

// CallerDisconnected takes that the caller of a request is gone. A best-effort job without a
// caller is given up.
func (s *Scheduler) CallerDisconnected(now clock.Millis, r Request, id batch.JobID) {
	j := s.jobs[id]
	if j == nil || !j.BestEffort {
		return
	}
	if j.resubmitted != nil {
		j.resubmitted.requests = removeRequest(j.resubmitted.requests, r)
		if len(j.resubmitted.requests) == 0 {
			j.resubmitted = nil
		}
	}
	j.submitters = removeRequest(j.submitters, r)
	if len(j.submitters) == 0 && !j.cancelled {
		s.abandon(now, j, "caller left", 0)
	}
}

func removeRequest(requests []Request, r Request) []Request {
	var out []Request
	for _, other := range requests {
		if other != r {
			out = append(out, other)
		}
	}
	return out
}

// abandon gives up a best-effort job: its callers get their answer and what
// runs is stopped. Where orders are on their way, the sidecars first tell
// whether they started anything.
func (s *Scheduler) abandon(now clock.Millis, j *job, reason string, retryAfter clock.Millis) {
	s.out = append(s.out, Decision{Summary: "job given up", Job: j.ID, Reason: reason, Value: int64(now - j.acceptedAt)})
	s.counters.Refused++
	j.refusedRequests = j.submitters
	j.replyBy, j.retryAfter = now+startConfirmationTimeout, retryAfter
	if j.hasRun() || !j.hasBoundTask() {
		s.replyRefused(j)
	}
	s.closeBestEffort(now, j)
}

// startConfirmationTimeout bounds the wait for sidecars to tell whether they started a run
// of a job that is given up: some round trips between failure domains.
const startConfirmationTimeout = 30 * clock.Millis(1)

// replyRefused answers the callers of a job that is given up. A job without a
// start is not stored and never runs; of another one nothing can be said.
func (s *Scheduler) replyRefused(j *job) {
	result := NotStored
	if j.ranBefore || j.mayHaveRun() {
		result = Unknown
	}
	for _, r := range j.refusedRequests {
		s.out = append(s.out, Reply{Request: r, Result: result, RetryAfter: j.retryAfter})
	}
	j.refusedRequests = nil
}

// mayHaveRun reports whether a run of one of the job's tasks may have started.
func (j *job) mayHaveRun() bool { return j.hasBoundTask() || j.hasRun() }

// hasRun reports whether a run of one of the job's tasks has started, or is over
// without word from its sidecar.
func (j *job) hasRun() bool {
	for i := range j.tasks {
		if j.tasks[i].ran {
			return true
		}
	}
	return false
}

// closeBestEffort stops what runs of a best-effort job whose callers have their answer.
func (s *Scheduler) closeBestEffort(now clock.Millis, j *job) {
	j.submitters = nil
	j.cancelled = true
	s.dequeue(j)
	s.stopRuns(j)
	s.advanceBestEffort(now, j)
}

// advanceBestEffort decides what a best-effort job does next.
func (s *Scheduler) advanceBestEffort(now clock.Millis, j *job) {
	switch {
	case j.cancelled:
		if !j.hasBoundTask() {
			s.replyRefused(j)
			s.removeBestEffort(now, j)
		}
	case j.allTasksDone():
		s.counters.Completed++
		s.finishBestEffort(now, j, batch.Complete)
	case j.hasFailed():
		s.counters.FailedJobs++
		s.finishBestEffort(now, j, batch.Failed)
	}
}

func (j *job) hasBoundTask() bool {
	for i := range j.tasks {
		if j.tasks[i].state == taskBound {
			return true
		}
	}
	return false
}

// finishBestEffort answers the callers of a best-effort job that has ended.
func (s *Scheduler) finishBestEffort(now clock.Millis, j *job, state batch.State) {
	for _, r := range j.submitters {
		s.out = append(s.out, Reply{Request: r, Result: Ended, State: state})
	}
	s.out = append(s.out, Decision{Summary: JobEnded, Job: j.ID, Reason: string(state), Value: int64(now - j.acceptedAt)})
	s.ended[j.ID] = endedJob{state: state, at: now, bestEffort: true}
	s.endedOrder = append(s.endedOrder, j.ID)
	s.closeBestEffort(now, j)
}

// removeBestEffort forgets a best-effort job without runs, and begins anew if it was
// submitted again meanwhile.
func (s *Scheduler) removeBestEffort(now clock.Millis, j *job) {
	s.removeJob(j)
	if _, ended := s.ended[j.ID]; !ended && (j.ranBefore || j.hasRun()) {
		s.abandonedAfterStart[j.ID] = now
	}
	if j.resubmitted == nil {
		return
	}
	for _, r := range j.resubmitted.requests {
		s.submitBestEffort(now, r, j.resubmitted.job)
	}
	if n := s.jobs[j.ID]; n != nil {
		// The workers refuse attempts that are not higher than the former ones.
		for i := range j.tasks {
			n.baseAttempt = max(n.baseAttempt, j.tasks[i].attempt)
		}
	}
}

// expireBestEffort gives up best-effort jobs whose end would come too late.
func (s *Scheduler) expireBestEffort(now clock.Millis) {
	if now < s.expiryDueAt {
		return
	}
	s.expiryDueAt = now + expiryInterval
	for _, j := range s.jobs {
		switch {
		case !j.BestEffort:
		case j.cancelled:
			if now >= j.replyBy {
				s.replyRefused(j)
			}
		case now >= j.Deadline:
			s.abandon(now, j, "deadline", minRetryAfter)
		case j.pendingTasks == 0:
		case now+j.longestDeclaredRemaining()/2 > j.Deadline:
			// Declared times are up to twice too long.
			s.abandon(now, j, "too late to start", minRetryAfter)
		case !j.mayHaveRun() && s.isStarved(now, j):
			s.abandon(now, j, "overload", s.retryAfterBacklog(j.Job))
		}
	}
}

// isStarved reports whether a late job will not start because others that can
// still be in time take the room for long.
func (s *Scheduler) isStarved(now clock.Millis, j *job) bool {
	return j.stage != inTime && s.pool(j.Service).isOverloaded(now)
}

// expiryInterval is the resolution of deadlines.
const expiryInterval = 20 * clock.Millis(1)

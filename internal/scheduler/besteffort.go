package scheduler

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// resubmission is a best-effort job that starts once the previous runs of the
// same id have ended.
type resubmission struct {
	job      batch.Job
	requests []Request
	// receivedAt is when the newest of the requests was received.
	receivedAt clock.Millis
}

// submitBestEffort accepts or refuses a job that is held in this entry's memory
// only; its caller waits for the end. A second request with the same id joins the
// job unless it has been abandoned.
func (s *Scheduler) submitBestEffort(now clock.Millis, r Request, b batch.Job) {
	j := s.jobs[b.ID]
	switch {
	case j != nil && !j.cancelled:
		j.submitters = append(j.submitters, r)
		j.callerSeenAt = now
		j.Deadline = max(j.Deadline, b.Deadline)
		return
	case j != nil:
		if j.resubmitted == nil {
			j.resubmitted = &resubmission{job: b}
		}
		j.resubmitted.requests = append(j.resubmitted.requests, r)
		j.resubmitted.receivedAt = now
		return
	}
	if e, ok := s.ended[b.ID]; ok {
		s.pendingCommands = append(s.pendingCommands, Reply{Request: r, Result: Ended, State: e.state})
		return
	}
	abandoned, ranBefore := s.abandonedAfterStart[b.ID]
	elapsed := s.updatePatience(now, &b)
	if reason, retryAfter := s.checkAdmission(now, b); reason != "" {
		s.refuse(r, b, reason, retryAfter, ranBefore)
		return
	}
	s.counters.Accepted++
	j = newJob(now, b)
	j.sentAt = now - elapsed
	j.ranBefore = ranBefore
	j.baseAttempt = abandoned.attempt
	j.submitters = []Request{r}
	j.callerSeenAt = now
	s.jobs[b.ID] = j
	s.beginLeaseRound(now, j)
	s.enqueue(j)
	s.logAccepted(now, j)
	if j.restoreCrashes(abandoned) {
		s.addSuspects(now, j)
		s.advance(now, j)
	}
}

// refuse replies that a job is not accepted. The result is Unknown if an earlier
// submission of the job ran here.
func (s *Scheduler) refuse(r Request, b batch.Job, reason string, retryAfter clock.Millis, ranBefore bool) {
	s.counters.Refused++
	result := NotStored
	if ranBefore {
		result = Unknown
	}
	s.pendingCommands = append(s.pendingCommands,
		Reply{Request: r, Result: result, RetryAfter: retryAfter},
		Decision{Summary: JobRefused, Job: b.ID, Route: b.Route, Reason: reason, Value: int64(retryAfter), Details: s.refusalInputs(b.Service, reason), FreeShare: s.freeShare(b.Service)})
}

// CallerDisconnected handles the disconnection of a request's caller. A
// best-effort job without a caller is abandoned.
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

// abandon stops the runs of a best-effort job and refuses its callers. While
// start orders are in flight, the reply waits for the sidecars to report whether
// a run started.
func (s *Scheduler) abandon(now clock.Millis, j *job, reason string, retryAfter clock.Millis) {
	s.pendingCommands = append(s.pendingCommands, Decision{Summary: JobGivenUp, Job: j.ID, Route: j.Route, Reason: reason, Value: int64(now - j.acceptedAt), Details: s.givenUpInputs(j, reason), FreeShare: s.freeShare(j.Service)})
	s.counters.Refused++
	j.refusedRequests = j.submitters
	j.replyBy, j.retryAfter = now+startConfirmationTimeout, retryAfter
	if j.hasRun() || !j.hasBoundTask() {
		s.replyRefused(j)
	}
	s.closeBestEffort(now, j)
}

// startConfirmationTimeout bounds the wait for sidecars to report whether a run
// of an abandoned job started: a few round trips between failure domains.
const startConfirmationTimeout = 30 * clock.Millis(1)

// replyRefused replies to the callers of an abandoned job. The result is
// NotStored if no run can have started, else Unknown.
func (s *Scheduler) replyRefused(j *job) {
	result := NotStored
	if j.ranBefore || j.mayHaveRun() {
		result = Unknown
	}
	for _, r := range j.refusedRequests {
		s.pendingCommands = append(s.pendingCommands, Reply{Request: r, Result: result, RetryAfter: j.retryAfter})
	}
	j.refusedRequests = nil
}

// mayHaveRun reports whether a run of one of the job's tasks may have started.
func (j *job) mayHaveRun() bool { return j.hasBoundTask() || j.hasRun() }

// hasRun reports whether a run of one of the job's tasks has started, or was
// abandoned without a report from its sidecar.
func (j *job) hasRun() bool {
	for i := range j.tasks {
		if j.tasks[i].ran {
			return true
		}
	}
	return false
}

// closeBestEffort stops the remaining runs of a best-effort job that has ended or
// been abandoned.
func (s *Scheduler) closeBestEffort(now clock.Millis, j *job) {
	j.submitters = nil
	j.cancelled = true
	s.dequeue(j)
	s.stopRuns(j)
	s.advanceBestEffort(now, j)
}

// advanceBestEffort ends a best-effort job that is complete or failed, and
// removes a cancelled one that has no bound task.
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

// finishBestEffort records the end of a best-effort job and replies to its
// callers.
func (s *Scheduler) finishBestEffort(now clock.Millis, j *job, state batch.State) {
	for _, r := range j.submitters {
		s.pendingCommands = append(s.pendingCommands, Reply{Request: r, Result: Ended, State: state})
	}
	s.pendingCommands = append(s.pendingCommands, Decision{Summary: JobEnded, Job: j.ID, Reason: string(state), Value: int64(now - j.acceptedAt)})
	s.ended[j.ID] = endedJob{state: state, at: now, bestEffort: true}
	s.endedOrder = append(s.endedOrder, j.ID)
	s.closeBestEffort(now, j)
}

// removeBestEffort removes a best-effort job without bound tasks and submits it
// anew if a resubmission is pending.
func (s *Scheduler) removeBestEffort(now clock.Millis, j *job) {
	s.removeJob(j)
	s.closeJobLease(now, j)
	if _, ended := s.ended[j.ID]; !ended && (j.ranBefore || j.hasRun()) {
		a := abandonedJob{at: now, attempt: j.baseAttempt}
		for i := range j.tasks {
			a.attempt = max(a.attempt, j.tasks[i].attempt, j.tasks[i].attemptFloor)
		}
		a.crashedAttempts = j.crashedAttempts()
		s.abandonedAfterStart[j.ID] = a
	}
	if j.resubmitted == nil {
		return
	}
	for _, r := range j.resubmitted.requests {
		s.submitBestEffort(now, r, j.resubmitted.job)
	}
	if n := s.jobs[j.ID]; n != nil {
		n.callerSeenAt = j.resubmitted.receivedAt
		// Workers refuse attempts that are not higher than the previous ones.
		for i := range j.tasks {
			n.baseAttempt = max(n.baseAttempt, j.tasks[i].attempt, j.tasks[i].attemptFloor)
		}
	}
}

// expireBestEffort abandons best-effort jobs that cannot end by their deadline or
// have no prospect of capacity.
func (s *Scheduler) expireBestEffort(now clock.Millis) {
	if now < s.expiryDueAt {
		return
	}
	s.expiryDueAt = now + expiryInterval
	for _, j := range s.jobs {
		if j.BestEffort {
			s.updateJobLease(now, j)
		}
		if j.BestEffort && !j.cancelled {
			s.checkCallers(now, j)
		}
		switch {
		case !j.BestEffort:
		case j.cancelled:
			if now >= j.replyBy {
				s.replyRefused(j)
			}
		case now >= j.Deadline:
			s.abandon(now, j, "deadline", minRetryAfter)
		case j.pendingTasks == 0 || j.isHeldElsewhere():
		case now+j.longestDeclaredRemaining()/2 > j.Deadline:
			// Declared run times are up to twice too long.
			s.abandon(now, j, "too late to start", minRetryAfter)
		case !j.mayHaveRun() && s.isStarved(now, j):
			s.abandon(now, j, reasonOverload, s.retryAfterBacklog(j.Job))
		}
	}
}

// isStarved reports whether a late job will not start because, under overload,
// capacity goes to jobs that can meet their objective.
func (s *Scheduler) isStarved(now clock.Millis, j *job) bool {
	return j.stage != inTime && s.pool(j.Service).isOverloaded(now)
}

// expiryInterval is the interval between checks of deadlines.
const expiryInterval = 20 * clock.Millis(1)

package dispatch

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// applyResults applies the task outcomes reported by a sidecar.
func (c *Core) applyResults(s *sidecar, m *wire.Results) {
	p := c.partitionOf(m.GetService())
	if p.mode == idle {
		return
	}
	id := JobID{Service: m.GetService(), Team: m.GetTeam(), Key: m.GetKey()}
	j := p.jobs.Get(id)
	if j == nil {
		// The outcomes of a compacted job have already been applied.
		if p.answered.Get(id) == nil {
			c.applyKnownResults(p, id, s, m)
		}
		return
	}
	j.messageCount++
	for _, r := range m.GetTasks() {
		if int(r.GetIndex()) < len(j.tasks) {
			c.applyResult(j, int(r.GetIndex()), s, r)
		}
	}
	c.continueJob(j)
}

// continueJob compacts a job if it is answered and no task is bound, or
// enqueues its pending tasks.
func (c *Core) continueJob(j *job) {
	c.compactAnswered(j)
	if j.answer == nil && j.state == jobRunning {
		c.enqueuePending(j)
	}
}

// applyKnownResults records outcomes of a job that no caller has resubmitted.
func (c *Core) applyKnownResults(p *partition, id JobID, s *sidecar, m *wire.Results) {
	k := p.known.Get(id)
	for _, r := range m.GetTasks() {
		if r.GetOutcome() == wire.Outcome_OUTCOME_RUNNING || r.GetOutcome() == wire.Outcome_OUTCOME_QUEUED {
			continue
		}
		c.placement.RecordOutcome(c.now, id, s.id, indexOf(r.GetIndex()), outcomeOf(r.GetOutcome()), clock.Millis(r.GetRunMs()))
		if k != nil {
			k.mergeTask(s.id, &wire.KnownTask{Index: r.GetIndex(), Outcome: r.GetOutcome()})
		}
	}
}

func outcomeOf(o wire.Outcome) placement.Outcome {
	switch o {
	case wire.Outcome_OUTCOME_DONE, wire.Outcome_OUTCOME_RESULT_DROPPED:
		return outcomeSucceeded
	case wire.Outcome_OUTCOME_NOT_STARTED:
		return outcomeNotStarted
	}
	return outcomeFailed
}

// applyResult applies the outcome of one task.
func (c *Core) applyResult(j *job, i int, s *sidecar, r *wire.TaskResult) {
	t := &j.tasks[i]
	if t.state != taskBound || t.sidecar != s.id {
		return
	}
	o := r.GetOutcome()
	if o == wire.Outcome_OUTCOME_NOT_STARTED && !t.adopted && r.GetAttempt() != t.attempt {
		// The outcome belongs to an earlier binding of the task to this
		// sidecar.
		return
	}
	if o == wire.Outcome_OUTCOME_RUNNING || o == wire.Outcome_OUTCOME_QUEUED || o == wire.Outcome_OUTCOME_UNSPECIFIED {
		return
	}
	run := clock.Millis(r.GetRunMs())
	c.unbind(j, i, t, outcomeOf(o), run)
	if o == wire.Outcome_OUTCOME_NOT_STARTED {
		c.retryTask(j, t)
		return
	}
	t.state = taskEnded
	j.open--
	j.totalRun += run
	j.longestRun = max(j.longestRun, run)
	if j.answer != nil {
		return
	}
	switch o {
	case wire.Outcome_OUTCOME_DONE:
		t.result = r.GetResult()
		if j.open == 0 {
			c.complete(j)
		}
	case wire.Outcome_OUTCOME_ERROR:
		c.fail(j, wire.Ran_RAN_FAILED, CodeTaskFailed, "a backend server reported a failure: "+r.GetMessage())
	case wire.Outcome_OUTCOME_RESULT_DROPPED:
		c.fail(j, wire.Ran_RAN_FAILED, CodeResultDropped, "the result of a task is no longer held")
	default:
		c.fail(j, wire.Ran_RAN_UNKNOWN, CodeOutcomeUnknown, "whether a task ran cannot be told: "+r.GetMessage())
	}
}

// retryTask returns a task that a worker did not start to pending, within the
// retry budget of the service. The caller enqueues pending tasks.
func (c *Core) retryTask(j *job, t *task) {
	if j.answer != nil {
		t.state = taskEnded
		j.open--
		return
	}
	t.state = taskPending
	t.adopted = false
	if c.admission.AllowRetry(c.now, j.id.Service) {
		c.counters.Requeued++
		return
	}
	c.fail(j, wire.Ran_RAN_FAILED, CodeRetryBudgetExhausted, "a worker refused a task and the retry budget of the service is used up")
}

// rejectionReceived handles the rejection of a message by a sidecar. That
// message started none of the tasks it named.
func (c *Core) rejectionReceived(s *sidecar, m *wire.Rejected) {
	if m.GetPartition() >= ownership.Partitions {
		return
	}
	p := &c.partitions[m.GetPartition()]
	if p.mode == idle {
		return
	}
	if ownership.Epoch(m.GetCurrentEpoch()) > p.epoch {
		c.stepDown(p)
		return
	}
	if m.GetReason() == wire.Rejected_REASON_STALE_EPOCH {
		c.handleStaleRejection(p, s, m)
		return
	}
	if ownership.Epoch(m.GetEpoch()) == p.epoch {
		c.handleCurrentRejection(p, s, m)
	}
}

// handleStaleRejection handles the rejection of a message whose epoch is below
// the sidecar's.
func (c *Core) handleStaleRejection(p *partition, s *sidecar, m *wire.Rejected) {
	c.markForResend(p, s, m)
	if ownership.Epoch(m.GetEpoch()) == p.epoch {
		// The sidecar should know this epoch. It is fenced again after a
		// delay, so that a fault cannot make the two sides repeat this in a
		// tight loop.
		delete(s.fencedEpochs, p.id)
		s.refenceAt = c.now + notReadyBackoff
	}
}

// handleCurrentRejection handles the rejection of a message with the current
// epoch: the job fails or its tasks are requeued.
func (c *Core) handleCurrentRejection(p *partition, s *sidecar, m *wire.Rejected) {
	if m.GetReason() == wire.Rejected_REASON_NOT_READY {
		s.blockedUntil = c.now + notReadyBackoff
		c.updateWorker(s)
		c.reassignClaims(s)
	}
	j := p.jobs.Get(JobID{Service: m.GetService(), Team: m.GetTeam(), Key: m.GetKey()})
	if j == nil {
		return
	}
	switch m.GetReason() {
	case wire.Rejected_REASON_EXPIRED, wire.Rejected_REASON_CANCELLED, wire.Rejected_REASON_KEY_CONFLICT, wire.Rejected_REASON_MALFORMED:
		c.failRejected(j, s, m)
	default:
		c.retryRejected(j, s, m)
	}
}

// retryRejected requeues the tasks of a rejected dispatch. A task that has
// been sent again on a newer session may have started there and stays bound.
func (c *Core) retryRejected(j *job, s *sidecar, m *wire.Rejected) {
	for _, i := range m.GetIndexes() {
		if int(i) >= len(j.tasks) {
			continue
		}
		t := &j.tasks[i]
		if t.state == taskBound && t.sidecar == s.id && t.sentSession == s.session {
			c.unbind(j, int(i), t, outcomeNotStarted, 0)
			c.retryTask(j, t)
		}
	}
	c.continueJob(j)
}

// markForResend marks tasks whose dispatch carried a superseded epoch of this
// entry. The rejection does not show that they did not start: an earlier copy
// may have been accepted. They are sent again with the same attempt after the
// sidecar has acknowledged the fence at the current epoch. A rejected Fetch or
// Cancel names no tasks; it is repeated for all tasks of the job on that
// sidecar.
func (c *Core) markForResend(p *partition, s *sidecar, m *wire.Rejected) {
	j := p.jobs.Get(JobID{Service: m.GetService(), Team: m.GetTeam(), Key: m.GetKey()})
	if j == nil {
		return
	}
	for _, i := range m.GetIndexes() {
		if int(i) < len(j.tasks) && j.tasks[i].state == taskBound && j.tasks[i].sidecar == s.id {
			j.tasks[i].sentSession = 0
		}
	}
	if len(m.GetIndexes()) > 0 {
		return
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskBound && t.sidecar == s.id && (t.adopted || j.answer != nil) {
			t.sentSession = 0
		}
	}
}

// failRejected ends a job that a sidecar has rejected permanently.
func (c *Core) failRejected(j *job, s *sidecar, m *wire.Rejected) {
	for _, i := range m.GetIndexes() {
		if int(i) >= len(j.tasks) {
			continue
		}
		if t := &j.tasks[i]; t.state == taskBound && t.sidecar == s.id {
			c.unbind(j, int(i), t, outcomeNotStarted, 0)
			t.state = taskEnded
			j.open--
		}
	}
	code, message := CodeExpired, "the job's expires-at passed before it finished"
	switch m.GetReason() {
	case wire.Rejected_REASON_CANCELLED:
		code, message = CodeCancelled, "the job was cancelled"
	case wire.Rejected_REASON_KEY_CONFLICT:
		code, message = CodeKeyConflict, "another job was submitted under this key"
	case wire.Rejected_REASON_MALFORMED:
		code, message = CodeTaskFailed, "a sidecar refused a message of this job as malformed"
	}
	c.fail(j, wire.Ran_RAN_UNKNOWN, code, message)
	c.compactAnswered(j)
}

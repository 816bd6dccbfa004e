package dispatch

import (
	"github.com/teaseltide/teaseltide/internal/wire"
)

// complete answers a job whose tasks have all returned a result.
func (c *Core) complete(j *job) {
	a := &wire.Answer{Ran: wire.Ran_RAN_COMPLETE, Results: make([][]byte, len(j.tasks))}
	for i := range j.tasks {
		a.Results[i] = j.tasks[i].result
		j.tasks[i].result = nil
	}
	c.answer(j, a)
}

// fail answers a job that cannot complete. RAN_FAILED and RAN_UNKNOWN become
// RAN_NOT_RUN if no task has been sent and none was adopted.
func (c *Core) fail(j *job, ran wire.Ran, code, message string) {
	if j.answer != nil {
		return
	}
	if j.state == jobWithdrawing {
		c.endWithdrawal(j, wire.Ran_RAN_UNKNOWN)
		return
	}
	if code == CodeCancelled && j.mayWithdraw() {
		c.beginWithdrawal(j)
		return
	}
	if !j.started && !j.resumed {
		ran = j.notRun()
	}
	c.placement.RemoveQueued(j.id)
	c.cancelBound(j)
	c.answer(j, &wire.Answer{Ran: ran, Code: code, Message: message})
}

// notRun returns RAN_NOT_RUN if that is safe for a job of which no task has
// been sent. If several requests wait for a job with a caller's key, one of
// them may miss the answer because this entry dies, and would then start the
// job at the next owner although another was told that it did not run. A
// cancelled job is withdrawn instead.
func (j *job) notRun() wire.Ran {
	if j.ref.GetCallerKey() && len(j.waiters) > 1 {
		return wire.Ran_RAN_UNKNOWN
	}
	return wire.Ran_RAN_NOT_RUN
}

// answer records the answer and delivers it to every waiting request. A job
// that did not run is dropped, so that a resubmission may run.
func (c *Core) answer(j *job, a *wire.Answer) {
	p := c.partitionOf(j.id.Service)
	a.Service = j.id.Service
	a.Key = j.id.Key
	a.ElapsedMs = int64(c.now - j.acceptedAt)
	a.WorkMs = int64(j.totalRun)
	a.LongestMs = int64(j.longestRun)
	a.Messages = j.messageCount
	j.recordDecision(c.now, "answered", a.GetCode())
	j.state = jobAnswered
	j.answer = a
	p.openJobs--
	if j.admitted {
		c.admission.Release(j.id.Team, j.id.Service, len(j.tasks))
	}
	j.spec = nil
	// The withdrawal has already been confirmed by the holders at this epoch.
	confirm := j.ref.GetCallerKey() && !j.ref.GetWithdrawn()
	for _, w := range j.waiters {
		c.deliverConfirmed(p, j.id, w, confirm, a)
	}
	j.waiters = nil
	if a.GetRan() == wire.Ran_RAN_NOT_RUN && a.GetCode() != CodeCancelled {
		c.dropJob(p, j)
		return
	}
	c.compactAnswered(j)
}

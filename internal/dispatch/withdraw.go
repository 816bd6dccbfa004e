package dispatch

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"github.com/teaseltide/teaseltide/internal/wire"
)

// mayWithdraw reports whether a cancelled job can be withdrawn: it has a
// caller's key, so that other requests can ask for it, and no owner can have
// sent a task of it.
func (j *job) mayWithdraw() bool {
	return j.ref.GetCallerKey() && !j.started && !j.resumed
}

// beginWithdrawal records at two sidecars that a cancelled job has not started
// and never will. The waiting requests get not-run when both have confirmed:
// each later owner learns of the withdrawal from one of them, even if some of
// the answers are lost.
//
// The withdrawal carries the current epoch. It replaces the decisions of
// former owners, which this owner knows from its fence.
func (c *Core) beginWithdrawal(j *job) {
	p := c.partitionOf(j.id.Service)
	queued := j.state == jobClaiming && j.group == nil
	c.placement.RemoveQueued(j.id)
	c.cancelBound(j)
	// Confirmations of the claim without the withdrawal do not count.
	j.unlink()
	j.setDecision(true, uint64(p.epoch))
	j.state = jobWithdrawing
	j.recordDecision(c.now, "withdrawing", "waits until two sidecars have noted that the job will not start")
	j.recheckAt, j.graceAt = 0, 0
	j.deadlineAt = c.now + confirmTimeout
	c.updateTimer(j)
	if !queued {
		p.unsentClaims = append(p.unsentClaims, j.id)
	}
}

// endWithdrawal answers a job whose withdrawal was recorded, or was not
// recorded in time.
func (c *Core) endWithdrawal(j *job, ran wire.Ran) {
	c.answer(j, withdrawnAnswer(ran))
}

func withdrawnAnswer(ran wire.Ran) *wire.Answer {
	return &wire.Answer{Ran: ran, Code: CodeCancelled, Message: "the job was cancelled"}
}

// resumeWithdrawn gives a resubmission of a job that a former owner withdrew
// the same outcome. That owner may have recorded the withdrawal at one sidecar
// only, so it is recorded again first.
func (c *Core) resumeWithdrawn(j *job) {
	if len(j.sentTo) > 0 || j.ref.GetDeparted() {
		j.setDecision(false, j.ref.GetDecidedEpoch())
		c.fail(j, wire.Ran_RAN_UNKNOWN, CodeCancelled, "the job was cancelled")
		return
	}
	c.beginWithdrawal(j)
}

// withdrawalConfirmed handles the confirmation of a claim by all its holders.
func (c *Core) withdrawalConfirmed(p *partition, id JobID) {
	if j := p.jobs.Get(id); j != nil {
		if j.state == jobWithdrawing {
			c.endWithdrawal(j, wire.Ran_RAN_NOT_RUN)
		}
		return
	}
	a := p.answered.Get(id)
	if a == nil || !a.withdrawn || a.sentTo != "" {
		return
	}
	// The job was answered as unknown before the confirmations arrived.
	recorded := a.answer()
	if recorded.GetRan() == wire.Ran_RAN_UNKNOWN {
		recorded.Ran = wire.Ran_RAN_NOT_RUN
		a.encodedAnswer = encodeAnswer(recorded, recorded.GetDecisions())
	}
}

// answerWithdrawalUnknown answers the requests that wait for a withdrawal when
// this entry has lost the partition, or another entry has served it in
// between.
func (c *Core) answerWithdrawalUnknown(j *job) {
	a := withdrawnAnswer(wire.Ran_RAN_UNKNOWN)
	a.Service, a.Key = j.id.Service, j.id.Key
	for _, w := range j.waiters {
		c.deliver(w, a)
	}
	j.waiters = nil
}

// abortWithdrawal ends the withdrawal of a job of which another owner has
// started tasks. The claim then yields to that owner's decision.
func (c *Core) abortWithdrawal(j *job, s *sidecar, tasks []*wire.KnownTask) {
	for _, t := range tasks {
		j.addSentTo(s.id, t.GetOutcome())
	}
	j.setDecision(false, 0)
	c.endWithdrawal(j, wire.Ran_RAN_UNKNOWN)
}

// clearUnconfirmedWithdrawal clears the withdrawal of an answered job that is
// not known to be recorded at two sidecars: another owner may not have learned
// of it.
func (a *answeredJob) clearUnconfirmedWithdrawal() {
	if a.withdrawn && a.answer().GetRan() != wire.Ran_RAN_NOT_RUN {
		a.withdrawn = false
		a.decidedEpoch = 0
	}
}

// setDecision sets the withdrawn mark of a claim and the epoch of the
// decision.
func (cl *claim) setDecision(withdrawn bool, epoch uint64) {
	cl.ref = proto.CloneOf(cl.ref)
	cl.ref.Withdrawn = withdrawn
	cl.ref.DecidedEpoch = epoch
}

// mergeDecision merges the decision on a job that a sidecar reported, and
// reports whether the claim has changed.
func (cl *claim) mergeDecision(ref *wire.JobRef) bool {
	later := ref.GetDecidedEpoch() > cl.ref.GetDecidedEpoch()
	marked := ref.GetDecidedEpoch() == cl.ref.GetDecidedEpoch() && ref.GetWithdrawn() && !cl.ref.GetWithdrawn()
	if !later && !marked {
		return false
	}
	departed := cl.ref.GetDeparted()
	cl.ref = proto.CloneOf(ref)
	cl.ref.Departed = departed || ref.GetDeparted()
	return true
}

// mergeResumedDecision does the same for a resumed job while sidecars are
// missing. Once its tasks can start, all of them have replied.
func (j *job) mergeResumedDecision(ref *wire.JobRef) bool {
	if !j.resumed || j.state != jobClaiming && j.state != jobRecovering {
		return false
	}
	return bytes.Equal(j.ref.GetBodyHash(), ref.GetBodyHash()) && j.mergeDecision(ref)
}

// matchesRef reports whether a sidecar confirmed the claim in its current
// form. The confirmation of an earlier form can arrive after a mark was set.
func (cl *claim) matchesRef(ref *wire.JobRef) bool {
	if cl.ref == nil {
		return cl.withdrawn == ref.GetWithdrawn() && cl.departed == ref.GetDeparted() && cl.decidedEpoch == ref.GetDecidedEpoch()
	}
	return cl.ref.GetWithdrawn() == ref.GetWithdrawn() && cl.ref.GetDeparted() == ref.GetDeparted() &&
		cl.ref.GetDecidedEpoch() == ref.GetDecidedEpoch()
}

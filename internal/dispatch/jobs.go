package dispatch

import (
	"bytes"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Codes of the core's answers, in addition to those of package admission.
const (
	CodeKeyConflict          = "key-conflict"
	CodeClaimsIncomplete     = "claims-incomplete"
	CodeClaimsUnavailable    = "claims-unavailable"
	CodeWorkerLost           = "worker-lost"
	CodeTaskFailed           = "task-failed"
	CodeOutcomeUnknown       = "outcome-unknown"
	CodeResultDropped        = "result-dropped"
	CodeTasksUnaccounted     = "tasks-unaccounted"
	CodeRetryBudgetExhausted = "retry-budget-exhausted"
	CodeDeadlineExceeded     = "deadline-exceeded"
	CodeCancelled            = "cancelled"
	CodeExpired              = "expired"
	CodeUnknownJob           = "unknown-job"
	CodeNotOwner             = "not-owner"
	CodeNoOwner              = "no-owner"
	CodeDraining             = "draining"
)

// maxDecisions bounds the decisions recorded for each job.
const maxDecisions = 16

// jobState is the lifecycle state of a job.
type jobState int

const (
	// jobClaiming waits until two sidecars hold the claim.
	jobClaiming jobState = iota
	// jobRecovering waits for the replies of sidecars that may have started
	// tasks of the job.
	jobRecovering
	// jobRunning has all its tasks queued, bound or ended.
	jobRunning
	// jobWithdrawing was cancelled before its first start and waits until two
	// sidecars hold the withdrawal.
	jobWithdrawing
	// jobAnswered has an answer and tasks that are still bound. When these
	// have ended, an answeredJob replaces the job.
	jobAnswered
)

func (s jobState) String() string {
	return [...]string{"claiming", "recovering", "running", "withdrawing", "answered"}[s]
}

// taskState is the lifecycle state of a task.
type taskState int

const (
	// taskPending has not been enqueued in placement.
	taskPending taskState = iota
	// taskQueued waits in placement for a worker.
	taskQueued
	// taskBound is bound to a sidecar.
	taskBound
	// taskEnded has a result, or its job has failed.
	taskEnded
)

type task struct {
	state   taskState
	sidecar ownership.Incarnation
	// sent is true once the dispatch has been handed to a session; before that
	// the task has provably not started.
	sent bool
	// sentAt is when the dispatch was first sent, 0 for an adopted task.
	sentAt clock.Millis
	// attempt numbers the bindings of the task. The owner's epoch is its upper
	// part, so that it increases from one owner to the next.
	attempt uint64
	// sentSession is the session on which the dispatch was last sent, 0 if it
	// has to be sent again.
	sentSession int
	// adopted is true if a former owner dispatched the task.
	adopted bool
	result  []byte
}

// job is an open job of a partition that this entry serves, or an answered one
// with bound tasks.
type job struct {
	claim
	spec  *wire.Job
	state jobState
	tasks []task
	// open counts the tasks that have not ended.
	open int
	// sentTo holds the sidecars that may have started tasks of the job.
	sentTo []ownership.Incarnation
	// bound counts the tasks that are bound to a sidecar.
	bound int
	// admitted is true if the job counts against its team's quota.
	admitted bool
	// resumed is true if a former owner may have started tasks of the job.
	resumed bool
	// started is true once a task has been sent to a sidecar.
	started    bool
	acceptedAt clock.Millis
	deadlineAt clock.Millis
	// lastLoad is the load of the partition at the last recheck, nil before
	// the first.
	lastLoad *load
	// recheckAt is when the job is rechecked and graceAt when its grace period
	// for missing sidecars ends, 0 for never.
	recheckAt, graceAt clock.Millis
	timer              jobTimer
	waiters            []waiter
	answer             *wire.Answer
	decisions          []*wire.Decision
	messageCount       uint32
	totalRun           clock.Millis
	longestRun         clock.Millis
}

// waiter is a request that waits for the answer of a job: from a caller of
// this entry if peer is empty, else forwarded by another entry.
type waiter struct {
	peer    ownership.Incarnation
	request uint64
}

// submission is a job to be accepted into a partition.
type submission struct {
	waiter       waiter
	spec         *wire.Job
	resubmission bool
}

func jobIDOf(spec *wire.Job) JobID {
	return JobID{Service: spec.GetService(), Team: spec.GetTeam(), Key: spec.GetKey()}
}

func indexOf(i uint32) placement.TaskIndex {
	return placement.TaskIndex(i)
}

func (j *job) recordDecision(now clock.Millis, step, detail string) {
	if len(j.decisions) < maxDecisions {
		j.decisions = append(j.decisions, &wire.Decision{AtMs: int64(now), Step: step, Detail: detail})
	}
}

// accept adds a job to a partition that this entry serves or is fencing, or
// joins the job with the same key.
func (c *Core) accept(s submission) {
	p := c.partitionOf(s.spec.GetService())
	id := jobIDOf(s.spec)
	if j := p.jobs.Get(id); j != nil {
		c.join(j, s)
		return
	}
	if a := p.answered.Get(id); a != nil {
		c.deliverRecorded(a, s)
		return
	}
	if s.spec.GetExpiresAtMs() > 0 && c.now > clock.Millis(s.spec.GetExpiresAtMs()) {
		c.refuse(s.waiter, id, wire.Ran_RAN_UNKNOWN, CodeExpired, "the job's expires-at has passed, so an earlier submission cannot be ruled out")
		return
	}
	if p.mode != serving {
		p.pendingSubmissions = append(p.pendingSubmissions, s)
		return
	}
	if k := p.known.Get(id); k != nil {
		c.resume(p, k, s)
		return
	}
	c.acceptNew(p, s)
}

// deliverRecorded delivers the recorded answer to a resubmission.
func (c *Core) deliverRecorded(a *answeredJob, s submission) {
	if !a.hashMatches(s.spec.GetBodyHash()) {
		c.refuse(s.waiter, a.id, wire.Ran_RAN_NOT_RUN, CodeKeyConflict, "another job was submitted under this key")
		return
	}
	c.deliver(s.waiter, a.callerAnswer())
}

// join adds a request to an open job, or to an answered one with bound tasks.
func (c *Core) join(j *job, s submission) {
	if !j.hashMatches(s.spec.GetBodyHash()) {
		c.refuse(s.waiter, j.id, wire.Ran_RAN_NOT_RUN, CodeKeyConflict, "another job was submitted under this key")
		return
	}
	if j.answer != nil {
		c.deliver(s.waiter, j.answer)
		return
	}
	j.recordDecision(c.now, "joined", "a resubmission waits for the same answer")
	j.waiters = append(j.waiters, s.waiter)
}

// acceptNew accepts a job that no sidecar has reported.
func (c *Core) acceptNew(p *partition, s submission) {
	id := jobIDOf(s.spec)
	keyed := s.spec.GetCallerKey()
	if keyed && p.claimsIncomplete {
		c.refuse(s.waiter, id, wire.Ran_RAN_UNKNOWN, CodeClaimsIncomplete, "workers of two or more failure domains have not yet told what they ran under this key")
		return
	}
	p.load.offered += int64(len(s.spec.GetTasks()))
	if r := c.admitJob(s.spec); r != nil {
		ran := wire.Ran_RAN_NOT_RUN
		if s.resubmission && !c.allSidecarsAcked(p) {
			ran = wire.Ran_RAN_UNKNOWN
		}
		c.deliverConfirmed(p, id, s.waiter, keyed || s.resubmission, refusal(id, ran, string(r.Code), r.Message))
		return
	}
	j := c.newJob(p, s)
	j.admitted = true
	j.recheckAt = c.now + recheckInterval
	c.updateTimer(j)
	j.recordDecision(c.now, "accepted", "")
	j.resumed = s.resubmission && !keyed
	// Another owner may have run a resubmitted job after this entry's fence.
	// Claims confirmed at the current epoch show that none has completed a
	// later fence.
	if keyed || s.resubmission {
		j.state = jobClaiming
		p.unsentClaims = append(p.unsentClaims, id)
		return
	}
	c.release(p, j)
}

// newJob adds a job with all tasks pending.
func (c *Core) newJob(p *partition, s submission) *job {
	spec := s.spec
	j := &job{
		spec:       spec,
		tasks:      make([]task, len(spec.GetTasks())),
		open:       len(spec.GetTasks()),
		acceptedAt: c.now,
		deadlineAt: c.admission.Deadline(c.now, spec.GetService(), clock.Millis(spec.GetDeadlineAtMs())),
		waiters:    []waiter{s.waiter},
	}
	expires := clock.Millis(spec.GetExpiresAtMs())
	if expires == 0 {
		expires = c.now + c.cfg.Retention
	}
	j.id = jobIDOf(spec)
	j.ref = &wire.JobRef{
		Key:          spec.GetKey(),
		Team:         spec.GetTeam(),
		Service:      spec.GetService(),
		BodyHash:     spec.GetBodyHash(),
		ExpiresAtMs:  int64(expires),
		TaskCount:    uint32(len(spec.GetTasks())),
		CallerKey:    spec.GetCallerKey(),
		DecidedEpoch: uint64(c.partitionOf(spec.GetService()).epoch),
	}
	p.jobs.Put(j.id, j)
	p.openJobs++
	c.updateTimer(j)
	return j
}

// resume accepts a resubmitted job that sidecars reported from a former owner.
func (c *Core) resume(p *partition, k *knownJob, s submission) {
	id := jobIDOf(s.spec)
	hash := k.ref.GetBodyHash()
	if len(hash) > 0 && !bytes.Equal(hash, s.spec.GetBodyHash()) {
		c.refuse(s.waiter, id, wire.Ran_RAN_NOT_RUN, CodeKeyConflict, "another job was submitted under this key")
		return
	}
	if k.ref.GetWithdrawn() && p.claimsIncomplete {
		c.refuse(s.waiter, id, wire.Ran_RAN_UNKNOWN, CodeClaimsIncomplete, "workers of two or more failure domains have not yet told what they ran under this key")
		return
	}
	j := c.newJob(p, s)
	k.transferTo(&j.claim)
	j.resumed = true
	if len(hash) > 0 {
		j.ref = k.ref
		c.updateTimer(j)
	} else {
		// The holders do not know the body hash yet. A decision of a former
		// owner that has not been reported yet must take precedence.
		j.unlink()
		j.setDecision(false, 0)
		j.ref.Departed = k.ref.GetDeparted()
	}
	j.recordDecision(c.now, "resumed", "tasks started under a former owner are known")
	p.known.Delete(id)
	c.adoptKnown(p, j, k)
	if j.answer != nil || j.state == jobWithdrawing {
		return
	}
	if !j.isConfirmed() {
		j.state = jobClaiming
		p.unsentClaims = append(p.unsentClaims, id)
		return
	}
	c.release(p, j)
}

// adoptKnown applies what sidecars reported of a resumed job's tasks. The job
// is then answered if one of the reports ended it, and withdrawing if a former
// owner withdrew it.
func (c *Core) adoptKnown(p *partition, j *job, k *knownJob) {
	for i := range j.tasks {
		if t, ok := k.tasks[uint32(i)]; ok {
			j.addSentTo(t.sidecar, t.outcome)
		}
	}
	if j.ref.GetWithdrawn() {
		c.resumeWithdrawn(j)
		return
	}
	if k.cancelled {
		c.fail(j, wire.Ran_RAN_UNKNOWN, CodeCancelled, "the job was cancelled")
		return
	}
	for i := range j.tasks {
		if t, ok := k.tasks[uint32(i)]; ok && j.answer == nil {
			c.adoptTask(p, j, t.sidecar, &wire.KnownTask{Index: uint32(i), Outcome: t.outcome})
		}
	}
}

// addSentTo records a sidecar that may have started a task of the job, even if
// the job is answered: when the sidecar leaves, the claim must carry this to
// the next owner.
func (j *job) addSentTo(id ownership.Incarnation, outcome wire.Outcome) {
	if outcome != wire.Outcome_OUTCOME_NOT_STARTED && !containsID(j.sentTo, id) {
		j.sentTo = append(j.sentTo, id)
	}
}

// release enqueues the pending tasks once it is certain that no sidecar has
// started them.
func (c *Core) release(p *partition, j *job) {
	if j.resumed && !c.allSidecarsAcked(p) {
		c.beginRecovery(p, j)
		return
	}
	c.releasePending(j)
}

// releasePending enqueues the pending tasks. If a sidecar that may have
// started them has left, the job fails instead.
func (c *Core) releasePending(j *job) {
	if j.resumed && j.ref.GetWithdrawn() {
		c.resumeWithdrawn(j)
		return
	}
	if j.resumed && j.ref.GetDeparted() && j.hasPendingTasks() {
		c.fail(j, wire.Ran_RAN_UNKNOWN, CodeTasksUnaccounted, "a worker that may have run tasks of this job has left")
		return
	}
	j.state = jobRunning
	c.enqueuePending(j)
}

func (j *job) hasPendingTasks() bool {
	for i := range j.tasks {
		if j.tasks[i].state == taskPending {
			return true
		}
	}
	return false
}

func (c *Core) beginRecovery(p *partition, j *job) {
	j.state = jobRecovering
	j.recordDecision(c.now, "recovering", "waits for all sidecars to tell what they started")
	p.recovering = append(p.recovering, j.id)
	j.graceAt = c.now + c.cfg.FenceGrace
	c.updateTimer(j)
}

// releaseRecovering releases the jobs that waited for the replies of all
// sidecars.
func (c *Core) releaseRecovering(p *partition) {
	ids := p.recovering
	p.recovering = nil
	for _, id := range ids {
		if j := p.jobs.Get(id); j != nil && j.state == jobRecovering {
			c.releasePending(j)
		}
	}
}

// fireTimers handles deadlines, expiries, rechecks and the end of grace
// periods.
func (c *Core) fireTimers() {
	for j := c.timers.due(c.now); j != nil; j = c.timers.due(c.now) {
		c.fireTimer(j)
		if j.timer.set {
			c.updateTimer(j)
		}
	}
	for id, ok := c.knownTimers.popDue(c.now); ok; id, ok = c.knownTimers.popDue(c.now) {
		p := c.partitionOf(id.Service)
		if k := p.known.Get(id); k != nil && c.now >= k.expiresAt()+c.cfg.ClockSkew {
			p.dropKnown(k)
		}
	}
	for i := range c.partitions {
		p := &c.partitions[i]
		for a := p.answered.expire(c.now); a != nil; a = p.answered.expire(c.now) {
			a.unlink()
			c.releaseResults(a)
		}
	}
}

// fireTimer handles the earliest due timer of a job.
func (c *Core) fireTimer(j *job) {
	expiry := j.expiresAt() + c.cfg.ClockSkew
	open := j.answer == nil
	switch {
	case open && c.now >= j.deadlineAt && j.deadlineAt <= expiry && j.state == jobClaiming:
		c.fail(j, wire.Ran_RAN_FAILED, CodeClaimsUnavailable, "no workers in two failure domains could note the job before its deadline")
	case open && c.now >= j.deadlineAt && j.deadlineAt <= expiry:
		c.fail(j, wire.Ran_RAN_FAILED, CodeDeadlineExceeded, "the deadline passed before all tasks had finished")
	case c.now >= expiry:
		c.expire(j)
	case j.recheckAt > 0 && c.now >= j.recheckAt:
		j.recheckAt = 0
		c.recheck(j)
	case j.graceAt > 0 && c.now >= j.graceAt:
		j.graceAt = 0
		if j.state == jobRecovering {
			c.fail(j, wire.Ran_RAN_UNKNOWN, CodeTasksUnaccounted, "a worker that may have run tasks of this job cannot be reached")
		}
	}
}

// expire drops a job whose key has expired. If the job was compacted, its
// answeredJob expires in the same tick.
func (c *Core) expire(j *job) {
	if j.answer == nil {
		c.fail(j, wire.Ran_RAN_FAILED, CodeExpired, "the job's expires-at passed before it finished")
	}
	c.unbindAll(j)
	c.dropJob(c.partitionOf(j.id.Service), j)
}

// dropKnown removes a known job and its claim.
func (p *partition) dropKnown(k *knownJob) {
	k.unlink()
	p.known.Delete(k.id)
}

// dropJob removes a job and its claim.
func (c *Core) dropJob(p *partition, j *job) {
	j.unlink()
	c.removeJob(p, j)
}

// removeJob removes a job and its timer but keeps its claim.
func (c *Core) removeJob(p *partition, j *job) {
	c.timers.remove(j)
	if p.jobs.Get(j.id) == j {
		p.jobs.Delete(j.id)
	}
}

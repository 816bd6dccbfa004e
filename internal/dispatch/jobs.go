package dispatch

import (
	"bytes"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/placement"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Codes that the core puts into answers, next to those of package admission.
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

// maxDecisions bounds the history kept for each job.
const maxDecisions = 16

// jobState says how far a job is.
type jobState int

const (
	// jobClaiming waits until two sidecars hold the claim.
	jobClaiming jobState = iota
	// jobRecovering waits for the replies of sidecars that may have started
	// its tasks.
	jobRecovering
	// jobRunning has all its tasks queued, bound or ended.
	jobRunning
	// jobWithdrawing was cancelled before its first start and waits until two
	// sidecars hold the mark that it will not start.
	jobWithdrawing
	// jobAnswered has an answer and tasks that are still bound. When these have
	// ended, a compact row replaces the job.
	jobAnswered
)

func (s jobState) String() string {
	return [...]string{"claiming", "recovering", "running", "withdrawing", "answered"}[s]
}

// taskState says how far a task is.
type taskState int

const (
	// taskPending is not yet given to placement.
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
	// sent is true once a session has taken the dispatch; until then the task
	// has provably not started.
	sent bool
	// sentAt is when the dispatch was first sent, 0 for an adopted task.
	sentAt clock.Millis
	// attempt numbers the bindings of the task. The owner's epoch is its upper
	// part, so that it grows from one owner to the next.
	attempt uint64
	// sentSession is the session on which the dispatch was last sent, 0 if it
	// has to be sent again.
	sentSession int
	// adopted is true if a former owner dispatched the task.
	adopted bool
	result  []byte
}

// job is a job of a partition that this entry serves.
type job struct {
	claim
	spec  *wire.Job
	state jobState
	tasks []task
	// open counts the tasks that have not ended.
	open int
	// sentTo holds the sidecars that tasks of the job have been sent to.
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
	// lastLoad is the load of the partition at the last recheck, nil before the
	// first.
	lastLoad *load
	// recheckAt and graceAt are when the job is checked again and when it no
	// longer waits for missing sidecars, 0 for never.
	recheckAt, graceAt clock.Millis
	timer              jobTimer
	waiters            []waiter
	answer             *wire.Answer
	decisions          []*wire.Decision
	messageCount       uint32
	totalRun           clock.Millis
	longestRun         clock.Millis
}

// waiter is a request that gets the answer of a job: of a caller of this entry
// if peer is empty, else one forwarded by another entry.
type waiter struct {
	peer    ownership.Incarnation
	request uint64
}

// submission is a job on its way into a partition.
type submission struct {
	waiter       waiter
	spec         *wire.Job
	resubmission bool
}

func jobIDOf(spec *wire.Job) JobID {
	return JobID{Service: spec.GetService(), Team: spec.GetTeam(), Key: spec.GetKey()}
}

func indexOf(i uint32) placement.Index {
	return placement.Index(i)
}

func (j *job) recordDecision(now clock.Millis, step, detail string) {
	if len(j.decisions) < maxDecisions {
		j.decisions = append(j.decisions, &wire.Decision{AtMs: int64(now), Step: step, Detail: detail})
	}
}

// accept takes a job into a partition that this entry serves or is taking
// over, or lets it join the job with the same key.
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

// deliverRecorded gives a request the recorded answer.
func (c *Core) deliverRecorded(a *answeredJob, s submission) {
	if !a.hashMatches(s.spec.GetBodyHash()) {
		c.refuse(s.waiter, a.id, wire.Ran_RAN_NOT_RUN, CodeKeyConflict, "another job was submitted under this key")
		return
	}
	c.deliver(s.waiter, a.callerAnswer())
}

// join adds a request to a job that is running, or answered with tasks that are
// still bound.
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

// acceptNew accepts a job of which nothing is known.
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
	// Another owner may have run a resubmitted job after the fence of this one.
	// Claims at the present epoch show that none has completed a later fence.
	if keyed || s.resubmission {
		j.state = jobClaiming
		p.unsentClaims = append(p.unsentClaims, id)
		return
	}
	c.release(p, j)
}

// newJob adds a job with all tasks held.
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

// resume accepts a resubmitted job that sidecars know from a former owner.
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
		// The holders do not know the body yet. A decision of a former owner
		// that is still to be heard of must hold.
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

// adoptKnown gives a resumed job what sidecars reported of its tasks. The job has
// an answer afterwards if one of them ended it, and is withdrawing if a former
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

// addSentTo notes a sidecar that may have started a task of the job, also if the
// job has an answer: when the sidecar leaves, the claim must tell the next
// owner.
func (j *job) addSentTo(id ownership.Incarnation, outcome wire.Outcome) {
	if outcome != wire.Outcome_OUTCOME_NOT_STARTED && !containsID(j.sentTo, id) {
		j.sentTo = append(j.sentTo, id)
	}
}

// release gives the held tasks to placement, once it is certain that no
// sidecar has started them.
func (c *Core) release(p *partition, j *job) {
	if j.resumed && !c.allSidecarsAcked(p) {
		c.beginRecovery(p, j)
		return
	}
	c.releasePending(j)
}

// releasePending gives the held tasks to placement. If a sidecar has left that may
// have started them, the job fails instead.
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

// releaseRecovering releases the jobs that waited for all sidecars.
func (c *Core) releaseRecovering(p *partition) {
	ids := p.recovering
	p.recovering = nil
	for _, id := range ids {
		if j := p.jobs.Get(id); j != nil && j.state == jobRecovering {
			c.releasePending(j)
		}
	}
}

// fireTimers handles deadlines, expiries and the end of the grace for missing
// sidecars.
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

// fireTimer handles the earliest timer of a job that is due.
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

// expire drops a job whose key is no longer accepted. If it gets a compact row,
// that expires at once.
func (c *Core) expire(j *job) {
	if j.answer == nil {
		c.fail(j, wire.Ran_RAN_FAILED, CodeExpired, "the job's expires-at passed before it finished")
	}
	c.unbindAll(j)
	c.dropJob(c.partitionOf(j.id.Service), j)
}

// dropKnown forgets a known job.
func (p *partition) dropKnown(k *knownJob) {
	k.unlink()
	p.known.Delete(k.id)
}

// dropJob forgets a job.
func (c *Core) dropJob(p *partition, j *job) {
	j.unlink()
	c.removeJob(p, j)
}

// removeJob removes the row of a job and its timer.
func (c *Core) removeJob(p *partition, j *job) {
	c.timers.remove(j)
	if p.jobs.Get(j.id) == j {
		p.jobs.Delete(j.id)
	}
}

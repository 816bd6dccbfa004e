package gate

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// JobID identifies a job.
type JobID struct {
	Service string
	Team    string
	Key     string
}

// Job returns the job of a task.
func (t TaskID) Job() JobID {
	return JobID{Service: t.Service, Team: t.Team, Key: t.Key}
}

// job is a job known from a claim, a dispatch or a cancellation.
type job struct {
	id        JobID
	partition ownership.Partition
	ref       jobRef
	// row and nextSameKey belong to jobTable: the index of the job in rows and
	// the next job with the same key.
	row         int
	nextSameKey *job
	// hasRef is false while only a cancellation is known; ref then has no body
	// hash.
	hasRef    bool
	tasks     taskList
	cancelled bool
	// cancelledTasks holds the indexes of tasks that were cancelled
	// individually.
	cancelledTasks map[uint32]bool
	expiresAt      clock.Millis
	dirty          bool
	// lastSentAt is the time at which results were last sent.
	lastSentAt clock.Millis
}

// jobRef holds the fields of a wire.JobRef other than the job's id.
type jobRef struct {
	bodyHash     string
	expiresAtMs  int64
	taskCount    uint32
	callerKey    bool
	departed     bool
	withdrawn    bool
	decidedEpoch ownership.Epoch
}

func jobRefOf(r *wire.JobRef) jobRef {
	return jobRef{
		bodyHash:     string(r.GetBodyHash()),
		expiresAtMs:  r.GetExpiresAtMs(),
		taskCount:    r.GetTaskCount(),
		callerKey:    r.GetCallerKey(),
		departed:     r.GetDeparted(),
		withdrawn:    r.GetWithdrawn(),
		decidedEpoch: ownership.Epoch(r.GetDecidedEpoch()),
	}
}

// merge combines two descriptions of a job. A later decision replaces an
// earlier one; a withdrawal at the same decision is kept.
func (r jobRef) merge(next jobRef) jobRef {
	merged := r
	if next.decidedEpoch > r.decidedEpoch || next.departed {
		merged = next
	}
	merged.departed = r.departed || next.departed
	merged.decidedEpoch = max(r.decidedEpoch, next.decidedEpoch)
	merged.withdrawn = r.withdrawn && r.decidedEpoch == merged.decidedEpoch || next.withdrawn && next.decidedEpoch == merged.decidedEpoch
	return merged
}

// toJobRef returns the description of the job received from the owner.
func (j *job) toJobRef() *wire.JobRef {
	return &wire.JobRef{
		Key:          j.id.Key,
		Team:         j.id.Team,
		Service:      j.id.Service,
		BodyHash:     []byte(j.ref.bodyHash),
		ExpiresAtMs:  j.ref.expiresAtMs,
		TaskCount:    j.ref.taskCount,
		CallerKey:    j.ref.callerKey,
		Departed:     j.ref.departed,
		Withdrawn:    j.ref.withdrawn,
		DecidedEpoch: uint64(j.ref.decidedEpoch),
	}
}

// task is a task that the sidecar has accepted. A sidecar retains the tasks of
// ten minutes, so fields that only a queued task needs are kept in input.
type task struct {
	index uint32
	// outcome is QUEUED or RUNNING, or how the task ended.
	outcome       wire.Outcome
	stopRequested bool
	// needsReport is true if the outcome is to be sent to the owner.
	needsReport bool
	// declaredMs is the declared run time. It must outlive input, and here it
	// fits into the padding.
	declaredMs uint32
	// input is nil after the task has started or ended.
	input   *input
	attempt uint64
	result  []byte
	message string
	runTime clock.Millis
	sentAt  clock.Millis
}

// input holds what is needed to start a task.
type input struct {
	payload     []byte
	deadlineAt  clock.Millis
	traceparent string
}

func jobIDOf(r *wire.JobRef) JobID {
	return JobID{Service: r.GetService(), Team: r.GetTeam(), Key: r.GetKey()}
}

func (g *Gate) addJob(now clock.Millis, ref *wire.JobRef) *job {
	id := JobID{Service: g.intern(ref.GetService()), Team: g.intern(ref.GetTeam()), Key: ref.GetKey()}
	j := &job{
		id:        id,
		partition: ownership.PartitionOf(id.Service),
		ref:       jobRefOf(ref),
		expiresAt: expiry(now, ref),
	}
	g.jobs.Add(j)
	if g.jobs.Len() == 1 {
		g.sweepAt = now + sweepInterval
	}
	return j
}

// intern returns the shared copy of a service or team name, so that jobs do not
// retain the copies decoded from each message.
func (g *Gate) intern(name string) string {
	if known, ok := g.interned[name]; ok {
		return known
	}
	g.interned[name] = name
	return name
}

// ensureJob returns the job that ref names, adds it if it is unknown and merges
// ref into its description.
func (g *Gate) ensureJob(now clock.Millis, ref *wire.JobRef) *job {
	j := g.jobs.Get(jobIDOf(ref))
	if j == nil {
		j = g.addJob(now, ref)
	}
	if !j.hasRef {
		j.hasRef = true
		j.ref = jobRefOf(ref)
		j.expiresAt = max(j.expiresAt, expiry(now, ref))
	}
	if ref.GetDeparted() || ref.GetWithdrawn() || ownership.Epoch(ref.GetDecidedEpoch()) > j.ref.decidedEpoch {
		j.ref = j.ref.merge(jobRefOf(ref))
	}
	return j
}

// checkJob returns why a job may not be claimed or given further tasks, or
// accepted.
func (g *Gate) checkJob(now clock.Millis, ref *wire.JobRef) wire.Rejected_Reason {
	j := g.jobs.Get(jobIDOf(ref))
	if j != nil && j.hasRef && j.ref.bodyHash != string(ref.GetBodyHash()) {
		return wire.Rejected_REASON_KEY_CONFLICT
	}
	if expiry(now, ref)+g.cfg.ClockSkew <= now {
		return wire.Rejected_REASON_EXPIRED
	}
	return accepted
}

func expiry(now clock.Millis, ref *wire.JobRef) clock.Millis {
	if ref.GetExpiresAtMs() == 0 {
		return now + defaultRetention
	}
	return clock.Millis(ref.GetExpiresAtMs())
}

// findJob returns the job that a Cancel or Fetch names, or nil. Without a team
// it returns the only job with this service and key, or nil if there are several.
func (g *Gate) findJob(id JobID) *job {
	if j := g.jobs.Get(id); j != nil || id.Team != "" {
		return j
	}
	var found *job
	for j := range g.jobs.All() {
		if j.id.Service != id.Service || j.id.Key != id.Key {
			continue
		}
		if found != nil {
			return nil
		}
		found = j
	}
	return found
}

func (g *Gate) findTask(id TaskID) (*job, *task) {
	j := g.jobs.Get(id.Job())
	if j == nil {
		return nil, nil
	}
	return j, j.tasks.Get(id.Index)
}

// markReport marks the outcome of a task to be sent in the next tick.
func (g *Gate) markReport(j *job, t *task) {
	t.needsReport = true
	g.markDirty(j)
}

func (g *Gate) markDirty(j *job) {
	if j.dirty {
		return
	}
	j.dirty = true
	g.dirty = append(g.dirty, j.id)
}

// withdrawalForbids reports whether a withdrawal forbids a dispatch of the job.
// It does not if an owner accepted the job as a new one at a later epoch: that
// owner knows that the withdrawal was reported to no caller.
func (j *job) withdrawalForbids(ref *wire.JobRef) bool {
	return j.ref.withdrawn && ownership.Epoch(ref.GetDecidedEpoch()) <= j.ref.decidedEpoch
}

func (j *job) isCancelled(index uint32) bool {
	return j.cancelled || j.cancelledTasks[index]
}

// hasActiveTask reports whether a task of the job is queued or running.
func (j *job) hasActiveTask() bool {
	for _, t := range j.tasks.All() {
		if !ended(t.outcome) {
			return true
		}
	}
	return false
}

func ended(o wire.Outcome) bool {
	return o != wire.Outcome_OUTCOME_QUEUED && o != wire.Outcome_OUTCOME_RUNNING
}

func (j *job) toKnownJob() *wire.KnownJob {
	k := &wire.KnownJob{Job: j.toJobRef(), Cancelled: j.cancelled}
	for i, t := range j.tasks.All() {
		k.Tasks = append(k.Tasks, &wire.KnownTask{Index: i, Outcome: t.outcome})
	}
	return k
}

// sweep deletes the expired jobs that have no queued or running task.
func (g *Gate) sweep(now clock.Millis) {
	if now < g.sweepAt {
		return
	}
	g.sweepAt = now + sweepInterval
	before := g.jobs.Len()
	for j := range g.jobs.All() {
		if now < j.expiresAt+g.cfg.ClockSkew || j.hasActiveTask() {
			continue
		}
		for _, t := range j.tasks.All() {
			g.retainedBytes -= t.size()
		}
		g.jobs.Delete(j)
	}
	if g.jobs.Len() < before {
		g.retained = slices.DeleteFunc(g.retained, g.isForgotten)
	}
}

func (g *Gate) isForgotten(h retainedTask) bool {
	return g.jobs.Get(h.job.id) != h.job
}

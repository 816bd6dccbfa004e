package scheduler

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// job is a job that has not ended.
type job struct {
	batch.Job
	acceptedAt clock.Millis
	// sentAt is when the caller first sent the job, as far as known.
	sentAt   clock.Millis
	revision int64
	// nonce is that of the open record, nextNonce that of the write in flight.
	nonce     string
	nextNonce string
	inFlight  inFlightWrite
	// confirmedAt is when a write or a listing last showed that the record is open, 0
	// for a job that was taken over.
	confirmedAt clock.Millis
	// recovering is true until the sidecars have listed their runs of a job that was
	// taken over.
	recovering bool
	// cancelled is true once a job is cancelled, or a best-effort job has ended or
	// been abandoned.
	cancelled bool
	// cancelledByPeer is true for a job that another entry has cancelled in the store
	// before the result of the new-job write was known.
	cancelledByPeer bool
	finalState      batch.State
	tasks           []task
	// firstTask is the index in tasks of each step's first task.
	firstTask []int
	// remaining counts the tasks of each step that are not done.
	remaining []int
	// pendingTasks counts the placeable tasks of a queued job.
	pendingTasks int
	// waitingSince is when the job last became queued or a task of it was bound.
	waitingSince clock.Millis
	// classes holds the placement class of each step, searchAt the time of the next
	// search for a worker for its tasks; both are nil before the job was queued.
	classes  []*placementClass
	searchAt []clock.Millis
	started  bool
	queued   bool
	// stage is the job's stage when the queue was last updated.
	stage stage
	// ranBefore is true for a best-effort job of which an earlier submission ran.
	ranBefore bool
	// finishing is true for a late job with a run that may have started.
	finishing bool
	// baseAttempt is below all attempts of this owner, so that attempts grow across
	// owners. That of a stored job is in its record, or follows from the owner there.
	// baseInWrite is the one in the newest write.
	baseAttempt, baseInWrite batch.Attempt
	// unstoredEnds are the ends of runs that are not in the store yet.
	unstoredEnds []unstoredEnd
	// endsInWrite is the number of unstoredEnds that the write in flight covers.
	endsInWrite   int
	unstoredSince clock.Millis
	submitters    []Request
	// callerSeenAt is when a caller of a best-effort job was last known to be
	// connected, callerCheckedAt when that was last asked for.
	callerSeenAt, callerCheckedAt clock.Millis
	// refusedRequests are the requests for an abandoned job that await their reply,
	// which is due by replyBy.
	refusedRequests     []Request
	replyBy, retryAfter clock.Millis
	// resubmitted is a resubmission that waits for the previous runs to stop.
	resubmitted *resubmission
	cancellers  []Request
	// lease is that of a best-effort job.
	lease jobLease
}

func newJob(now clock.Millis, b batch.Job) *job {
	j := &job{Job: b, acceptedAt: now, sentAt: now}
	for i, step := range b.Steps {
		j.firstTask = append(j.firstTask, len(j.tasks))
		j.remaining = append(j.remaining, step.Count)
		for index := range step.Count {
			j.tasks = append(j.tasks, task{step: i, index: index})
		}
	}
	return j
}

// dueAt returns the time of the job's objective.
func (j *job) dueAt() clock.Millis { return j.sentAt + j.Objective }

func (j *job) findTask(id batch.TaskID) *task {
	if id.Occurrence != 0 || int(id.Step) >= len(j.Steps) || int(id.Index) >= j.Steps[id.Step].Count {
		return nil
	}
	return &j.tasks[j.firstTask[id.Step]+int(id.Index)]
}

func (j *job) runID(t *task) batch.RunID {
	return batch.RunID{
		TaskID:  batch.TaskID{Job: j.ID, Step: uint32(t.step), Index: uint32(t.index)},
		Attempt: t.attempt,
	}
}

// isPlaceable reports whether a task is pending and its turn has come. A stored task that
// has used up its permitted failures must not start: its job ends once the write in flight
// is over.
func (j *job) isPlaceable(t *task) bool {
	return t.state == taskPending && j.stepReady(t.step) && (j.BestEffort || !j.isExhausted(t))
}

// isExhausted reports whether as many runs of a task have failed as its job permits, or of
// a best-effort job have crashed their workers.
func (j *job) isExhausted(t *task) bool {
	return t.failures >= j.MaxFailures || j.BestEffort && t.crashCount >= maxCrashes
}

// stepReady reports whether all steps that a step depends on are done.
func (j *job) stepReady(step int) bool {
	for _, dependency := range j.Steps[step].DependsOn {
		if j.remaining[dependency] > 0 {
			return false
		}
	}
	return true
}

// Submit handles a caller's job. A second request with the same id refers to the
// same job.
func (s *Scheduler) Submit(now clock.Millis, r Request, b batch.Job) {
	if b.BestEffort {
		s.submitBestEffort(now, r, b)
		return
	}
	if j := s.jobs[b.ID]; j != nil {
		if j.inFlight == newJobWrite {
			j.submitters = append(j.submitters, r)
			return
		}
		s.reply(r, Stored)
		return
	}
	if _, ok := s.ended[b.ID]; ok {
		s.reply(r, Stored)
		return
	}
	if reason, retryAfter := s.checkAdmission(now, b); reason != "" {
		s.refuse(r, b, reason, retryAfter, false)
		return
	}
	j := newJob(now, b)
	j.submitters = []Request{r}
	j.inFlight = newJobWrite
	s.jobs[b.ID] = j
	s.stored++
	s.pendingCommands = append(s.pendingCommands, Save{Kind: SaveNew, ID: b.ID, Job: s.storedRecord(j)})
}

func (s *Scheduler) reply(r Request, result Result) {
	s.pendingCommands = append(s.pendingCommands, Reply{Request: r, Result: result})
}

// Status returns the state of a job, and whether this entry knows it.
func (s *Scheduler) Status(id batch.JobID) (batch.State, bool) {
	if e, ok := s.ended[id]; ok {
		return e.state, true
	}
	j := s.jobs[id]
	switch {
	case j == nil || j.inFlight == newJobWrite:
		return batch.Absent, false
	case j.started:
		return batch.Active, true
	}
	return batch.Queued, true
}

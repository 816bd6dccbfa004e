package scheduler

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// inFlightWrite is the write of a job's record that is in flight.
type inFlightWrite int

const (
	noWrite inFlightWrite = iota
	newJobWrite
	progressWrite
	endWrite
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
	started      bool
	queued       bool
	// stage is the job's stage when the queue was last updated.
	stage stage
	// ranBefore is true for a best-effort job of which an earlier submission ran.
	ranBefore bool
	// finishing is true for a late job with a run that may have started.
	finishing bool
	// baseAttempt is added to the number of each attempt, so that attempts grow
	// across owners.
	baseAttempt batch.Attempt
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

type unstoredEnd struct {
	node Address
	run  batch.RunID
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

// isPlaceable reports whether a task is pending and may start now. A stored task that has
// used up its permitted failures must not: its job ends once the write in flight is over.
func (j *job) isPlaceable(t *task) bool {
	return t.state == taskPending && j.stepReady(t.step) && (j.BestEffort || !t.hasUnstoredCrash() && !j.isExhausted(t))
}

// isExhausted reports whether as many runs of a task have failed, or crashed their
// workers, as its job permits.
func (j *job) isExhausted(t *task) bool {
	return t.failures >= j.MaxFailures || len(t.crashedAttempts) >= maxCrashes
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

// nextNonce returns a nonce that is unique among the writes of all entries.
func (s *Scheduler) nextNonce() string {
	s.nonce++
	return string(s.settings.Self) + "/" + strconv.FormatUint(s.nonce, 36)
}

// SaveResult is the result of a write.
type SaveResult int

// Results of writes.
const (
	// SaveDone means that the store has the record.
	SaveDone SaveResult = iota
	// SaveRefused means that the record is not in the store and never will be.
	SaveRefused
	// SaveConflict means that another entry has written the job's record.
	SaveConflict
)

// HandleSaveResult handles the result of a write.
func (s *Scheduler) HandleSaveResult(now clock.Millis, id batch.JobID, kind SaveKind, result SaveResult, revision int64) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.inFlight = noWrite
	if result == SaveDone {
		j.revision = revision
		j.nonce = j.nextNonce
		j.confirmedAt = now
		s.acknowledgeStoredEnds(j)
		j.markCrashesStored()
	}
	switch kind {
	case SaveNew:
		s.handleNewJobSaved(now, j, result)
	case SaveProgress:
		if result == SaveConflict {
			s.relinquish(j, "another entry changed its record")
			return
		}
	case SaveEnd:
		s.handleEndSaved(now, j, result)
		return
	}
	s.advance(now, j)
	if kind == SaveProgress && result == SaveDone && j.inFlight == noWrite {
		s.dequeue(j)
		s.enqueue(j)
		s.saveCrashes(j)
	}
}

func (s *Scheduler) handleNewJobSaved(now clock.Millis, j *job, result SaveResult) {
	answer := Stored
	if result == SaveRefused {
		answer = NotStored
	}
	for _, r := range j.submitters {
		s.pendingCommands = append(s.pendingCommands, Reply{Request: r, Result: answer, RetryAfter: storeRetryAfter})
	}
	j.submitters = nil
	switch result {
	case SaveDone:
		s.counters.Accepted++
		s.enqueue(j)
		s.logAccepted(j.acceptedAt, j)
		if j.cancelledByPeer {
			s.jobCancelledByPeer(now, j.ID)
		}
	case SaveRefused:
		s.counters.Refused++
		s.pendingCommands = append(s.pendingCommands, Decision{Summary: JobRefused, Job: j.ID, Route: j.Route, Reason: "store", Value: int64(storeRetryAfter)})
		s.removeJob(j)
	case SaveConflict:
		// The caller's earlier request reached another entry. If this one succeeded that
		// entry during the write, it did not recover the job.
		s.removeJob(j)
		if s.listings.isSuccessor {
			s.requestListing()
		}
	}
}

// storeRetryAfter is the Retry-After while the store accepts no jobs: outages
// last for seconds.
const storeRetryAfter = 2 * clock.Second

func (s *Scheduler) handleEndSaved(now clock.Millis, j *job, result SaveResult) {
	if result == SaveConflict {
		s.relinquish(j, "another entry changed its record")
		return
	}
	s.recordEnd(now, j)
}

// recordEnd removes a job whose end is in the store.
func (s *Scheduler) recordEnd(now clock.Millis, j *job) {
	switch j.finalState {
	case batch.Complete:
		s.counters.Completed++
	case batch.Failed:
		s.counters.FailedJobs++
	case batch.Cancelled:
		s.counters.CancelledJobs++
	}
	s.pendingCommands = append(s.pendingCommands, Decision{Summary: JobEnded, Job: j.ID, Reason: string(j.finalState), Value: int64(now - j.acceptedAt)})
	s.ended[j.ID] = endedJob{state: j.finalState, at: now}
	s.endedOrder = append(s.endedOrder, j.ID)
	s.releaseJobRuns(j)
	s.removeJob(j)
}

// relinquish removes a job that another entry has taken over, ended or cancelled.
func (s *Scheduler) relinquish(j *job, reason string) {
	s.pendingCommands = append(s.pendingCommands, Decision{Summary: "job dropped", Job: j.ID, Reason: reason})
	s.releaseJobRuns(j)
	s.removeJob(j)
}

// removeJob removes a job and replies to its cancellers.
func (s *Scheduler) removeJob(j *job) {
	for _, r := range j.cancellers {
		result := NotHeld
		if _, ok := s.ended[j.ID]; ok {
			result = CancelStored
		}
		s.reply(r, result)
	}
	j.cancellers = nil
	s.dequeue(j)
	delete(s.jobs, j.ID)
	if !j.BestEffort {
		s.stored--
	}
}

// Cancel handles the cancellation of a job by a caller.
func (s *Scheduler) Cancel(now clock.Millis, r Request, id batch.JobID) {
	j := s.jobs[id]
	if j == nil {
		if _, ok := s.ended[id]; ok {
			s.reply(r, CancelStored)
			return
		}
		s.reply(r, NotHeld)
		return
	}
	j.cancellers = append(j.cancellers, r)
	if !j.cancelled {
		j.cancelled = true
		s.dequeue(j)
		s.stopRuns(j)
	}
	s.advance(now, j)
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

// PendingJobs returns the number of accepted stored jobs of a route without a
// started task, at all entries.
func (s *Scheduler) PendingJobs(route batch.Route) int64 {
	n := s.ownPendingJobs()[string(route)]
	for _, p := range s.peerPending {
		n += p.counts[route]
	}
	return n
}

func (s *Scheduler) ownPendingJobs() map[string]int64 {
	counts := make(map[string]int64)
	for _, j := range s.jobs {
		if !j.BestEffort && !j.started && j.inFlight != newJobWrite && !j.cancelled {
			counts[string(j.Route)]++
		}
	}
	return counts
}

// HandleEntryNote handles a note of another entry: cancelled jobs and the numbers
// of its pending jobs.
func (s *Scheduler) HandleEntryNote(now clock.Millis, from ownership.Incarnation, n *wire.EntryNote) {
	for _, id := range n.GetCancelled() {
		s.jobCancelledByPeer(now, batch.JobID(id))
	}
	s.recordQueuedWork(now, from, n)
	if (len(n.GetCancelled()) > 0 || n.GetQueuedWorkSet()) && n.Pending == nil {
		return
	}
	counts := make(map[batch.Route]int64, len(n.GetPending()))
	for route, count := range n.GetPending() {
		counts[batch.Route(route)] = count
	}
	s.peerPending[from] = peerPending{counts: counts}
}

// peerPending holds the numbers of another entry's pending jobs.
type peerPending struct {
	counts map[batch.Route]int64
	// dropAt is when the counts of an entry without a session are dropped, 0 with one.
	dropAt clock.Millis
}

const (
	// lostPendingRetention is how long the pending jobs of a lost entry count unless
	// another entry takes over: as long as callers may wait for a takeover.
	lostPendingRetention = 14 * clock.Second
	// takenOverPendingRetention is the same once a successor is known, which then counts
	// them as its own and tells the others every 500 ms.
	takenOverPendingRetention = 3 * clock.Second
)

// EntryDisconnected handles the end of the session with another entry. Its stored jobs
// remain pending until they are taken over.
func (s *Scheduler) EntryDisconnected(id ownership.Incarnation) {
	s.dropPendingBy(id, s.now+lostPendingRetention)
	delete(s.queuedWork.peers, id)
	s.stopRunsOfLostOwner(id)
	s.disruptedAt = s.now
}

// dropPendingBy drops the numbers of another entry's pending jobs at a time, if they are
// not dropped before.
func (s *Scheduler) dropPendingBy(id ownership.Incarnation, at clock.Millis) {
	p, ok := s.peerPending[id]
	if !ok {
		return
	}
	if p.dropAt == 0 || at < p.dropAt {
		p.dropAt = at
	}
	s.peerPending[id] = p
}

// advance writes the end of a stored job that is cancelled, failed or complete,
// unless a write is in flight.
func (s *Scheduler) advance(now clock.Millis, j *job) {
	if s.jobs[j.ID] != j || j.inFlight != noWrite || j.recovering {
		return
	}
	if j.BestEffort {
		s.advanceBestEffort(now, j)
		return
	}
	switch {
	case j.cancelled:
		s.saveEnd(now, j, batch.Cancelled)
	case j.hasFailed():
		s.dequeue(j)
		s.stopRuns(j)
		s.saveEnd(now, j, batch.Failed)
	case j.allTasksDone():
		s.saveEnd(now, j, batch.Complete)
	}
}

func (j *job) allTasksDone() bool {
	for _, left := range j.remaining {
		if left > 0 {
			return false
		}
	}
	return true
}

func (j *job) hasFailed() bool {
	for i := range j.tasks {
		if j.isExhausted(&j.tasks[i]) {
			return true
		}
	}
	return false
}

func (s *Scheduler) saveEnd(now clock.Millis, j *job, state batch.State) {
	j.finalState = state
	j.inFlight = endWrite
	j.endsInWrite = len(j.unstoredEnds)
	s.pendingCommands = append(s.pendingCommands, Save{Kind: SaveEnd, ID: j.ID, Revision: j.revision, Nonce: j.nonce, End: &wire.StoredEnd{
		State: endState(state), EndedAtMs: int64(now), Nonce: s.nextNonce(),
	}})
}

func endState(s batch.State) wire.StoredEnd_State {
	switch s {
	case batch.Complete:
		return wire.StoredEnd_STATE_COMPLETE
	case batch.Failed:
		return wire.StoredEnd_STATE_FAILED
	}
	return wire.StoredEnd_STATE_CANCELLED
}

// progressDelay is how long the end of a run waits for the end of its job before
// the job's progress is written, so that the worker's list of ends stays short.
const progressDelay = 1500 * clock.Millis(1)

// saveProgress writes the progress of a job with an unstored crash, or with an end
// that has been unstored for progressDelay.
func (s *Scheduler) saveProgress(now clock.Millis, j *job) {
	if len(j.unstoredEnds) > 0 && now-j.unstoredSince >= progressDelay {
		s.writeProgress(j)
		return
	}
	s.saveCrashes(j)
}

// writeProgress writes the progress of a job, unless a write is in flight.
func (s *Scheduler) writeProgress(j *job) {
	if j.inFlight != noWrite || j.recovering || s.jobs[j.ID] != j {
		return
	}
	j.inFlight = progressWrite
	j.endsInWrite = len(j.unstoredEnds)
	s.pendingCommands = append(s.pendingCommands, Save{Kind: SaveProgress, ID: j.ID, Revision: j.revision, Nonce: j.nonce, Job: s.storedRecord(j)})
}

// acknowledgeStoredEnds acknowledges the ends that are now in the store to their
// sidecars.
func (s *Scheduler) acknowledgeStoredEnds(j *job) {
	for _, u := range j.unstoredEnds[:j.endsInWrite] {
		if n := s.nodes[u.node]; n != nil && n.connected {
			n.orders().Stored = append(n.orders().Stored, u.run.Wire())
		}
	}
	j.unstoredEnds = slices.Clone(j.unstoredEnds[j.endsInWrite:])
	j.endsInWrite = 0
}

// storedRecord returns the store record of an open job, with a new nonce.
func (s *Scheduler) storedRecord(j *job) *wire.StoredJob {
	j.nextNonce = s.nextNonce()
	r := &wire.StoredJob{
		Owner: string(s.settings.Self), Nonce: j.nextNonce, Route: string(j.Route), Service: j.Service, Spec: j.Spec,
		Priority: int32(j.Priority), MaxFailures: int32(j.MaxFailures), AcceptedAtMs: int64(j.acceptedAt), ObjectiveMs: int64(j.Objective),
	}
	for _, step := range j.Steps {
		stored := &wire.StoredStep{
			Count: uint32(step.Count), Cpu: step.Required.CPU, MemoryMb: step.Required.MemoryMB, Accelerators: step.Required.Accelerators,
			EstimatedMs: int64(step.EstimatedRunTime), Label: step.RequiredLabel, Rack: step.DataRack, MaxPerWorker: uint32(step.MaxPerWorker),
		}
		for _, after := range step.DependsOn {
			stored.After = append(stored.After, uint32(after))
		}
		r.Steps = append(r.Steps, stored)
	}
	if j.revision == 0 {
		return r
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		t.crashesInWrite = len(t.crashedAttempts)
		r.Tasks = append(r.Tasks, &wire.StoredTask{
			Done: t.state == taskDone, Failures: int32(t.failures),
			FailedAttempts: storedAttempts(t.failedAttempts), CrashedAttempts: storedAttempts(t.crashedAttempts),
		})
	}
	return r
}

// storedAttempts returns attempts in the form of the store record.
func storedAttempts(attempts []batch.Attempt) []int64 {
	var stored []int64
	for _, a := range attempts {
		stored = append(stored, int64(a))
	}
	return stored
}

// enqueue counts a job's pending tasks that may start and inserts it into the
// queue if there are any.
func (s *Scheduler) enqueue(j *job) {
	j.pendingTasks = 0
	for i := range j.tasks {
		if j.isPlaceable(&j.tasks[i]) {
			j.pendingTasks++
		}
	}
	if j.pendingTasks == 0 || j.queued || j.recovering || j.cancelled {
		return
	}
	j.queued = true
	at, _ := slices.BinarySearchFunc(s.queue, j, compareJobs)
	s.queue = slices.Insert(s.queue, at, j)
}

// dequeue removes a job from the queue.
func (s *Scheduler) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	if at, ok := slices.BinarySearchFunc(s.queue, j, compareJobs); ok {
		s.queue = slices.Delete(s.queue, at, at+1)
	}
}

// compareJobs orders the queue by stage, priority and the time of the objective.
func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.stage, b.stage), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.dueAt(), b.dueAt()), cmp.Compare(a.ID, b.ID))
}

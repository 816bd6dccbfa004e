package scheduler

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// taskState is the state of a task at its owner.
type taskState int

const (
	taskPending taskState = iota
	// taskBound means that a run was ordered and its end is not known.
	taskBound
	taskDone
)

// task is one task of a job.
type task struct {
	step, index int
	state       taskState
	attempt     batch.Attempt
	// attemptFloor is the highest attempt of any run of the task, also of those that
	// another entry ordered. Workers refuse starts that are not above it.
	attemptFloor batch.Attempt
	node         Address
	boundAt      clock.Millis
	// notBefore is the time of the next search for a worker.
	notBefore clock.Millis
	// refusals is the number of consecutive starts that did not lead to a run.
	refusals int
	// refusedBy holds the workers whose refusals exceeded freeRefusals since the last run.
	refusedBy []Address
	// sequence is that of the orders with the start, 0 for an adopted run.
	sequence int64
	failures int
	// ran is true once a run has started, or was abandoned without a report from its
	// sidecar.
	ran bool
	// otherRuns are active runs of a best-effort task beside the one that it is bound
	// to, as far as known: of another entry, or abandoned by this one.
	otherRuns []otherRun
	// failedAttempts holds the attempts whose failure has been counted.
	failedAttempts []batch.Attempt
	crashes
	// failedWorkers holds the workers on which the task failed.
	failedWorkers []Address
}

// otherRun is a run of a task that the task is not bound to.
type otherRun struct {
	node    Address
	attempt batch.Attempt
}

// removeOtherRun removes a run that has ended.
func (t *task) removeOtherRun(n *node, id batch.RunID) {
	t.otherRuns = slices.DeleteFunc(t.otherRuns, func(o otherRun) bool { return o == otherRun{n.address, id.Attempt} })
}

// isBoundTo reports whether a run on a worker is the task's current one. The attempt
// alone does not identify a run: two entries that hold a best-effort job one after the
// other may order the same attempt from two workers.
func (t *task) isBoundTo(n *node, id batch.RunID) bool {
	return t.state == taskBound && t.attempt == id.Attempt && t.node == n.address
}

// recordAttempt makes later attempts of the task higher than this one.
func (t *task) recordAttempt(a batch.Attempt) {
	t.attemptFloor = max(t.attemptFloor, a)
	if t.state != taskBound {
		t.attempt = max(t.attempt, a)
	}
}

// boundTask is a task with its job.
type boundTask struct {
	job  *job
	task *task
}

// bind binds a pending task to a worker and orders its start.
func (s *Scheduler) bind(now clock.Millis, j *job, t *task, n *node) {
	t.state = taskBound
	t.attempt = s.nextAttempt(j, t)
	t.node = n.address
	t.boundAt = now
	j.waitingSince = now
	t.sequence = n.sequence + 1
	j.pendingTasks--
	step := &j.Steps[t.step]
	n.runs[j.runID(t).TaskID] = boundTask{j, t}
	s.logOrdered(now, j, t, n)
	n.unacknowledgedStarts = append(n.unacknowledgedStarts, unacknowledgedStart{sequence: t.sequence, required: step.Required})
	n.free = n.free.Sub(step.Required)
	s.pool(j.Service).free -= n.throughput(step.Required.CPU)
	n.orders().Starts = append(n.orders().Starts, s.startOrder(j, t, j.Spec))
	s.counters.Starts++
}

// attemptsPerEntry is the distance of two attempts of one entry for a task of a
// best-effort job; each entry uses its own residue. 2^20 makes it unlikely that two of
// 200 entries share one, and leaves 2^33 starts below the 2^53 that JSON readers keep
// exactly.
const attemptsPerEntry = 1 << 20

// nextAttempt returns the attempt of the task's next run. A worker lists its runs by
// attempt only, so two entries that hold a best-effort job one after the other must not
// use the same ones. Stored jobs have one owner at a time, which attemptsPerOwner
// separates.
func (s *Scheduler) nextAttempt(j *job, t *task) batch.Attempt {
	last := max(t.attempt, t.attemptFloor, j.baseAttempt)
	if !j.BestEffort {
		return last + 1
	}
	next := last - last%attemptsPerEntry + s.attemptResidue
	if next <= last {
		next += attemptsPerEntry
	}
	return next
}

func attemptResidue(self ownership.Incarnation) batch.Attempt {
	return 1 + batch.Attempt(xxhash.Sum64String(string(self))%(attemptsPerEntry-1))
}

func (s *Scheduler) startOrder(j *job, t *task, spec string) *wire.TaskStart {
	step := &j.Steps[t.step]
	return &wire.TaskStart{
		Run: j.runID(t).Wire(), Spec: spec, Cpu: step.Required.CPU, MemoryMb: step.Required.MemoryMB, Accelerators: step.Required.Accelerators,
		Priority: int32(j.Priority), MaxPerWorker: uint32(step.MaxPerWorker), BestEffort: j.BestEffort, EstimatedMs: int64(step.EstimatedRunTime),
		Kind: string(j.Route),
	}
}

// unbind returns a task to pending and enqueues its job if that may continue.
func (s *Scheduler) unbind(j *job, t *task) {
	if n := s.nodes[t.node]; n != nil {
		delete(n.runs, j.runID(t).TaskID)
	}
	t.attemptFloor = max(t.attemptFloor, t.attempt)
	t.state = taskPending
	t.node = ""
	for len(t.otherRuns) > 0 {
		other := t.otherRuns[0]
		t.otherRuns = t.otherRuns[1:]
		if n := s.nodes[other.node]; n != nil {
			s.bindToRun(s.now, n, j, t, other.attempt)
			return
		}
	}
	if !j.recovering && !j.cancelled && j.inFlight != endWrite && j.stepReady(t.step) {
		s.dequeue(j)
		s.enqueue(j)
	}
}

// bindToRun binds a pending task to a run that was not ordered for it. The sidecar
// reports its end, or that there is no such run.
func (s *Scheduler) bindToRun(now clock.Millis, n *node, j *job, t *task, a batch.Attempt) {
	t.state = taskBound
	t.attempt = a
	t.node = n.address
	t.boundAt = now
	t.sequence = 0
	id := j.runID(t)
	n.runs[id.TaskID] = boundTask{j, t}
	n.orders().Adopts = append(n.orders().Adopts, s.adoptOrder(j, t, id))
	if j.cancelled {
		n.orders().Stops = append(n.orders().Stops, id.Wire())
	}
}

func (s *Scheduler) adoptOrder(j *job, t *task, id batch.RunID) *wire.TaskStart {
	order := s.startOrder(j, t, "")
	order.Run = id.Wire()
	return order
}

// observeRun records an active run of a best-effort task that the task is not bound
// to. The task must not start elsewhere until its end is reported: a pending task is
// bound to it, a bound one is once its own run is over. A run beside one on another
// worker is stopped.
func (s *Scheduler) observeRun(now clock.Millis, n *node, j *job, t *task, id batch.RunID) {
	if t.state == taskPending {
		if j.queued && j.stepReady(t.step) {
			j.pendingTasks--
		}
		t.attemptFloor = max(t.attemptFloor, t.attempt, id.Attempt)
		s.bindToRun(now, n, j, t, id.Attempt)
		return
	}
	t.recordAttempt(id.Attempt)
	if other := (otherRun{n.address, id.Attempt}); !slices.Contains(t.otherRuns, other) {
		t.otherRuns = append(t.otherRuns, other)
	}
	n.orders().Adopts = append(n.orders().Adopts, s.adoptOrder(j, t, id))
	if t.node != n.address || j.cancelled {
		n.orders().Stops = append(n.orders().Stops, id.Wire())
	}
}

// handleEvent handles a sidecar's event about a run.
func (s *Scheduler) handleEvent(now clock.Millis, n *node, e *wire.TaskEvent) {
	id := batch.RunIDFromWire(e.GetRun())
	j := s.jobs[id.Job]
	if j == nil || j.inFlight == newJobWrite {
		s.handleUnknownJob(n, id, e)
		return
	}
	t := j.findTask(id.TaskID)
	if t == nil {
		n.releaseRun(id)
		return
	}
	if e.GetState() != wire.TaskEvent_STATE_QUEUED && e.GetState() != wire.TaskEvent_STATE_NOT_STARTED {
		t.ran = true
		t.refusals, t.refusedBy = 0, nil
	}
	if e.GetState() != wire.TaskEvent_STATE_QUEUED && e.GetState() != wire.TaskEvent_STATE_RUNNING {
		t.removeOtherRun(n, id)
		if e.GetUnclaimed() && !j.BestEffort {
			// The worker's lease is renewed for the end only once it has an owner.
			n.orders().Adopts = append(n.orders().Adopts, s.adoptOrder(j, t, id))
		}
	}
	switch e.GetState() {
	case wire.TaskEvent_STATE_QUEUED, wire.TaskEvent_STATE_RUNNING:
		s.handleActive(now, n, j, t, e)
	case wire.TaskEvent_STATE_DONE:
		s.handleDone(now, n, j, t, id, e)
	case wire.TaskEvent_STATE_FAILED:
		s.handleFailed(now, n, j, t, id)
	case wire.TaskEvent_STATE_STOPPED, wire.TaskEvent_STATE_LOST, wire.TaskEvent_STATE_STALLED:
		s.handleLost(now, n, j, t, id, e)
	case wire.TaskEvent_STATE_NOT_STARTED:
		// The task would be refused again until its attempt is higher.
		t.recordAttempt(batch.Attempt(e.GetHighestAttempt()))
		if t.isBoundTo(n, id) {
			s.counters.NotStarted++
			if n.evacuated {
				s.counters.StartsEvacuated++
			}
			if !j.BestEffort {
				t.delayAfterRefusal(now, n)
			}
			s.unbind(j, t)
			s.advance(now, j)
		}
	}
}

// handleUnclaimed handles a run that no entry has claimed. A run of a stored job of this
// entry is adopted: it may have ended, and the sidecar then reports its state. Its end
// must not be acknowledged before it is in the store.
func (s *Scheduler) handleUnclaimed(now clock.Millis, n *node, id batch.RunID) {
	if s.adoptRun(n, id) {
		return
	}
	s.handleEvent(now, n, &wire.TaskEvent{Run: id.Wire(), State: wire.TaskEvent_STATE_RUNNING})
}

// adoptRun adopts a run of a stored job that this entry holds. The sidecar then reports its
// state.
func (s *Scheduler) adoptRun(n *node, id batch.RunID) bool {
	j := s.jobs[id.Job]
	if j == nil || j.BestEffort || j.inFlight == newJobWrite {
		return false
	}
	t := j.findTask(id.TaskID)
	if t == nil {
		return false
	}
	n.orders().Adopts = append(n.orders().Adopts, s.adoptOrder(j, t, id))
	return true
}

// handleUnknownJob handles an event of a run whose job this entry does not hold:
// it releases the run or looks its job up in the store.
func (s *Scheduler) handleUnknownJob(n *node, id batch.RunID, e *wire.TaskEvent) {
	if e.GetState() == wire.TaskEvent_STATE_NOT_STARTED {
		return
	}
	if _, ok := s.ended[id.Job]; ok || e.GetBestEffort() {
		if e.GetWorkerCrashed() {
			s.recordCrashOfAbandoned(id)
		}
		n.releaseRun(id)
		return
	}
	if e.GetUnclaimed() && !n.handlingInventory && e.GetState() != wire.TaskEvent_STATE_RUNNING {
		// The sidecar tells all entries of the end and asks one to look the job up.
		return
	}
	n.pendingLookups = append(n.pendingLookups, id)
}

// ReleaseRuns releases runs at a sidecar whose jobs are not open any more.
func (s *Scheduler) ReleaseRuns(sidecar Address, runs []batch.RunID) {
	if n := s.nodes[sidecar]; n != nil && n.connected {
		for _, id := range runs {
			n.releaseRun(id)
		}
	}
}

// handleActive handles a run that is queued or running at a sidecar. One that the sidecar
// found on its worker is adopted: its end is reported to its owner.
func (s *Scheduler) handleActive(now clock.Millis, n *node, j *job, t *task, e *wire.TaskEvent) {
	id := batch.RunIDFromWire(e.GetRun())
	if e.GetState() == wire.TaskEvent_STATE_RUNNING {
		j.started = true
	}
	switch {
	case t.isBoundTo(n, id):
	case j.BestEffort && t.state != taskDone:
		s.observeRun(now, n, j, t, id)
		return
	case t.state == taskDone || t.attempt > id.Attempt || t.state == taskBound:
		// The run was abandoned before. It is not released: its end "done" must not be
		// acknowledged before the worker's lease has lapsed.
		n.orders().Stops = append(n.orders().Stops, id.Wire())
		return
	default:
		if j.queued && j.isPlaceable(t) {
			j.pendingTasks--
		}
		t.state = taskBound
		t.attempt = id.Attempt
		t.node = n.address
		t.boundAt = now
		t.sequence = 0
		n.runs[id.TaskID] = boundTask{j, t}
	}
	if n.handlingInventory || e.GetUnclaimed() {
		n.orders().Adopts = append(n.orders().Adopts, s.adoptOrder(j, t, id))
	}
	if j.cancelled {
		n.orders().Stops = append(n.orders().Stops, id.Wire())
	}
}

// handleDone handles the successful end of a run.
func (s *Scheduler) handleDone(now clock.Millis, n *node, j *job, t *task, id batch.RunID, e *wire.TaskEvent) {
	switch {
	case t.state == taskDone && t.attempt == id.Attempt:
		s.recordUnstoredEnd(now, n, j, id)
		return
	case !j.BestEffort && t.supersedes(n, id) && (t.state != taskPending || !e.GetLapsed()):
		s.handleSupersededDone(n, j, id, e.GetLapsed())
		return
	case j.BestEffort && t.state == taskDone:
		n.releaseRun(id)
		return
	case j.BestEffort && t.state == taskBound && !t.isBoundTo(n, id):
		t.recordAttempt(id.Attempt)
		n.releaseRun(id)
		return
	}
	if t.state == taskBound {
		if took := clock.Millis(e.GetRunMs()); n.countsForSpeed(now, took) {
			step := &j.Steps[t.step]
			n.observeRunTime(now, clock.Millis(float64(step.EstimatedRunTime)*n.rackFactor(step)), took)
		}
		n.recordSuccess()
		if owner := s.nodes[t.node]; owner != nil {
			delete(owner.runs, id.TaskID)
		}
	} else if j.queued && j.isPlaceable(t) {
		j.pendingTasks--
	}
	t.state = taskDone
	t.attempt = id.Attempt
	j.started = true
	j.remaining[t.step]--
	s.recordUnstoredEnd(now, n, j, id)
	if j.remaining[t.step] == 0 && !j.allTasksDone() && !j.recovering && !j.cancelled {
		s.dequeue(j)
		s.enqueue(j)
	}
	s.advance(now, j)
}

// recordUnstoredEnd records an end that is acknowledged once it is in the store;
// ends of best-effort jobs are acknowledged at once.
func (s *Scheduler) recordUnstoredEnd(now clock.Millis, n *node, j *job, id batch.RunID) {
	if j.BestEffort {
		n.orders().Stored = append(n.orders().Stored, id.Wire())
		return
	}
	u := unstoredEnd{node: n.address, run: id}
	if slices.Contains(j.unstoredEnds, u) {
		return
	}
	if len(j.unstoredEnds) == 0 {
		j.unstoredSince = now
	}
	j.unstoredEnds = append(j.unstoredEnds, u)
}

// handleFailed handles a failed run.
func (s *Scheduler) handleFailed(now clock.Millis, n *node, j *job, t *task, id batch.RunID) {
	if !slices.Contains(t.failedAttempts, id.Attempt) && t.state != taskDone {
		t.failedAttempts = append(t.failedAttempts, id.Attempt)
		t.failures++
		s.counters.Failures++
		s.pendingCommands = append(s.pendingCommands, Decision{Summary: "run failed", Job: j.ID, Run: id, Sidecar: n.address, Value: int64(t.failures)})
		s.recordFailure(now, n, t)
		s.delayAfterFailure(now, n, j, t)
	}
	s.recordUnstoredEnd(now, n, j, id)
	if t.isBoundTo(n, id) {
		s.unbind(j, t)
	}
	t.recordAttempt(id.Attempt)
	s.advance(now, j)
}

// handleLost handles a run that ended without a result.
func (s *Scheduler) handleLost(now clock.Millis, n *node, j *job, t *task, id batch.RunID, e *wire.TaskEvent) {
	if e.GetWorkerCrashed() {
		s.recordCrash(n, j, t, id)
	}
	if e.GetWorkerCrashed() && t.hasUnstoredCrash() {
		s.recordUnstoredEnd(now, n, j, id)
		defer s.saveCrashes(j)
	} else {
		n.orders().Stored = append(n.orders().Stored, id.Wire())
	}
	if !t.isBoundTo(n, id) {
		t.recordAttempt(id.Attempt)
		if e.GetWorkerCrashed() {
			s.advance(now, j)
		}
		return
	}
	s.counters.Lost++
	if e.GetState() == wire.TaskEvent_STATE_STALLED {
		s.counters.Stalled++
		s.recordFailure(now, n, t)
	}
	s.pendingCommands = append(s.pendingCommands, Decision{Summary: "run lost", Job: j.ID, Run: id, Sidecar: n.address})
	s.unbind(j, t)
	s.advance(now, j)
}

// stopRuns orders all runs of a job to stop.
func (s *Scheduler) stopRuns(j *job) {
	s.forEachBoundTask(j, func(n *node, t *task) {
		n.orders().Stops = append(n.orders().Stops, j.runID(t).Wire())
	})
	for i := range j.tasks {
		for _, other := range j.tasks[i].otherRuns {
			if n := s.nodes[other.node]; n != nil {
				id := j.runID(&j.tasks[i])
				id.Attempt = other.attempt
				n.orders().Stops = append(n.orders().Stops, id.Wire())
			}
		}
	}
}

// releaseJobRuns releases the runs of a job that is not open any more.
func (s *Scheduler) releaseJobRuns(j *job) {
	s.forEachBoundTask(j, func(n *node, t *task) {
		n.releaseRun(j.runID(t))
		delete(n.runs, j.runID(t).TaskID)
	})
	for _, u := range j.unstoredEnds {
		if n := s.nodes[u.node]; n != nil {
			n.releaseRun(u.run)
		}
	}
}

func (s *Scheduler) forEachBoundTask(j *job, visit func(*node, *task)) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskBound {
			continue
		}
		if n := s.nodes[t.node]; n != nil {
			visit(n, t)
		}
	}
}

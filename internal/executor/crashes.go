package executor

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// WorkerTimedOut handles listings that have timed out for some time. Unlike one that
// refuses calls, such a worker may run on, so only its next incarnation shows that it
// has crashed.
func (x *Executor) WorkerTimedOut(now clock.Millis) {
	x.timedOut = true
	x.WorkerUnreachable(now)
}

// crashRefusalTime is how long a worker refuses connections before it counts as crashed
// although no new incarnation has appeared: that takes seconds, in which the task would
// start on further workers. It spans several listings.
const crashRefusalTime = 400 * clock.Millis(1)

// attributeRefusals attributes a crash to a run that is about to be lost, if the worker
// has refused connections for crashRefusalTime.
func (x *Executor) attributeRefusals(now clock.Millis, r *run) {
	if x.refusedSince != 0 && now-x.refusedSince >= crashRefusalTime && !x.timedOut && x.hasCrashed() && r.workerIncarnation == x.worker.Incarnation {
		r.workerCrashed = true
		r.crashedAt = now
	}
}

// resetOutage forgets the calls that the worker did not answer.
func (x *Executor) resetOutage() {
	x.timedOut = false
	x.refusedSince = 0
	x.silentSince = 0
	x.lostRuns = nil
}

// hasCrashed reports whether the worker has crashed if it has ended. One that drained
// or whose lease lapsed may have ended for that reason. One that was silent before may
// have been cut off, but it ended while its runs were active, and a task whose crashes
// are silent would otherwise start without limit.
func (x *Executor) hasCrashed() bool {
	return x.worker.Incarnation != 0 && !x.worker.Draining && !x.draining && !x.leaseLapsed
}

// attributeCrash attributes the crash of the worker to the runs that this sidecar
// started on it. Those that are still active are reported when a listing shows that
// they are lost. Runs that were reported as lost before are reported again.
func (x *Executor) attributeCrash(now clock.Millis) {
	for _, r := range x.runs {
		isActive := r.phase == starting || r.phase == unanswered || r.phase == running
		if isActive && r.workerIncarnation == x.worker.Incarnation {
			r.workerCrashed = true
			r.crashedAt = now
		}
	}
	for _, r := range x.lostRuns {
		if r.workerIncarnation == x.worker.Incarnation {
			r.workerCrashed = true
			r.crashedAt = now
			x.crashedRuns[r.id] = r
			x.addEventToAll(r, wire.TaskEvent_STATE_LOST)
		}
	}
}

// confirmCrash handles an entry's confirmation that it has recorded the end of a run.
func (x *Executor) confirmCrash(from ownership.Incarnation, id batch.RunID) {
	if r := x.crashedRuns[id]; r != nil && x.mayOrder(from, r) {
		delete(x.crashedRuns, id)
	}
}

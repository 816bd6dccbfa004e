package executor

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// recordRejected records a start without an answer that a listing under a higher token
// has resolved as not started. Its entry may start the task elsewhere. The token voids the
// call only at the incarnation of the worker that has seen it: a call names the worker's
// id, which the next incarnation shares, and that one may execute it before its first
// listing.
func (x *Executor) recordRejected(r *run) { x.rejected[r.id] = r }

// stopLateStart stops a run that the worker lists although its start was resolved as not
// started. It returns false for any other run.
func (x *Executor) stopLateStart(now clock.Millis, id batch.RunID) bool {
	r := x.rejected[id]
	if r == nil || now-r.startedAt >= lateStartTimeout {
		return false
	}
	delete(x.rejected, id)
	r.owner, _ = x.successors.CurrentOwner(r.owner)
	r.phase = running
	r.acceptedAt, r.lastProgressAt = now, now
	r.workerIncarnation = x.worker.Incarnation
	x.runs[id.TaskID] = r
	x.reserve(r)
	x.stop(now, r, StopLateStart)
	return true
}

// sweepRejected forgets the starts that no worker executes any more.
func (x *Executor) sweepRejected(now clock.Millis) {
	for id, r := range x.rejected {
		if now-r.startedAt >= lateStartTimeout {
			delete(x.rejected, id)
		}
	}
}

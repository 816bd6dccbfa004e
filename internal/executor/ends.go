package executor

import (
	"math"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// handleListedEnd ends a run that the worker lists as ended.
func (x *Executor) handleListedEnd(now clock.Millis, le ListedEnd) {
	if le.Sequence <= x.cursor {
		return
	}
	r := x.runs[le.Run.TaskID]
	if r == nil || r.id.Attempt < le.Run.Attempt {
		if r != nil {
			x.discard(r)
		}
		r = x.addDiscovered(now, le.Run)
		r.lapsed = x.backlog.lapsed || x.lostByLapse(le.Run)
	}
	if r.id.Attempt > le.Run.Attempt {
		x.recordSuperseded(le.Sequence, le.Run, le.End, x.backlog.lapsed)
		return
	}
	if r.phase == ended {
		return
	}
	r.endSequence = le.Sequence
	x.logResolved(now, r, StartExecuted)
	r.workerCrashed = false
	x.endRun(now, r, le.End)
}

// endRun records the end of a run and queues an event for its owner.
func (x *Executor) endRun(now clock.Millis, r *run, end batch.Outcome) {
	x.releaseCapacity(r)
	r.phase = ended
	r.end = end
	r.runTime = now - r.startedAt
	r.workerCrashed = r.workerCrashed && end == batch.OutcomeLost
	if r.workerCrashed {
		x.crashedRuns[r.id] = r
	}
	x.commands = append(x.commands, RunEnded{Run: r.id, Entry: r.owner, Outcome: end, RunTime: r.runTime, Stopped: r.stopping})
	x.addEventToAll(r, endState(r))
}

// endState returns the state under which the end of a run is reported.
func endState(r *run) wire.TaskEvent_State {
	switch {
	case r.end == batch.OutcomeDone:
		return wire.TaskEvent_STATE_DONE
	case r.end == batch.OutcomeFailed:
		return wire.TaskEvent_STATE_FAILED
	case r.end == batch.OutcomeStopped && r.stalled:
		return wire.TaskEvent_STATE_STALLED
	case r.end == batch.OutcomeStopped:
		return wire.TaskEvent_STATE_STOPPED
	}
	return wire.TaskEvent_STATE_LOST
}

// advanceCursor advances the cursor over the ends that may be acknowledged, up to
// the first that may not, and removes their runs.
func (x *Executor) advanceCursor() {
	blocked := int64(math.MaxInt64)
	for sequence, e := range x.superseded {
		if !e.mayAcknowledge() {
			blocked = min(blocked, sequence)
		}
	}
	for _, r := range x.runs {
		if r.phase == ended && (!r.acknowledgeable || r.isWithheld()) {
			blocked = min(blocked, r.endSequence)
		}
	}
	for id, r := range x.runs {
		if r.phase == ended && r.endSequence < blocked {
			x.cursor = max(x.cursor, r.endSequence)
			delete(x.runs, id)
		}
	}
	for sequence := range x.superseded {
		if sequence < blocked {
			x.cursor = max(x.cursor, sequence)
			delete(x.superseded, sequence)
		}
	}
}

package executor

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// checkProgress stops stalled runs.
func (x *Executor) checkProgress(now clock.Millis) {
	for _, r := range x.runs {
		if r.phase == running && !r.stopping && now-r.lastProgressAt >= max(minStallTime, clock.Millis(stallFraction*float64(r.estimatedTime))) {
			r.stalled = true
			x.stop(now, r, StopNoProgress)
		}
	}
}

// stop asks the worker to stop a run, unless it was asked before.
func (x *Executor) stop(now clock.Millis, r *run, reason StopReason) {
	if !r.stopping {
		r.stopReason = reason
		x.sendStop(now, r)
	}
}

func (x *Executor) sendStop(now clock.Millis, r *run) {
	r.stopping = true
	r.stopSentAt = now
	x.commands = append(x.commands, StopRun{Run: r.id, Token: x.token, Entry: r.owner, Reason: r.stopReason})
}

// stopByOrder stops a run that its entry gave up.
func (x *Executor) stopByOrder(now clock.Millis, r *run, reason StopReason) {
	if r.stopOrderedAt == 0 {
		r.stopOrderedAt = now
	}
	x.stop(now, r, reason)
}

// repeatStops repeats the stops that had no effect so far.
func (x *Executor) repeatStops(now clock.Millis) {
	for _, r := range x.runs {
		if r.stopping && r.phase != ended && now-r.stopSentAt >= stopRetryInterval {
			x.sendStop(now, r)
		}
	}
}

// StopFenced handles the worker's refusal of a stop because of its token. The stop
// is repeated with the next tick.
func (x *Executor) StopFenced(id batch.RunID, token int64) {
	x.TokenRefused(token)
	if r := x.findRun(id); r != nil {
		r.stopSentAt = 0
	}
}

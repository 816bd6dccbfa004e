package executor

import (
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// knownProgress is the progress in percent from which the time left is projected from
	// it; below, the rounding to whole percents matters too much.
	knownProgress = 5
	// shortestPart is the part of the declared run time that a run without known progress
	// takes at least: declared times are up to 40% too long.
	shortestPart = 0.7
	// departureMargin and departureTolerance, a part of the time left, are by how much a run
	// must miss the end of its worker before it is stopped: the time of the next listing,
	// and the error of the projection.
	departureMargin    = 50 * clock.Millis(1)
	departureTolerance = 0.1
)

// lifecycle is what the worker has announced about its warm-up and its end.
type lifecycle struct {
	// warmAt is when the worker will have warmed up.
	warmAt clock.Millis
	// leavesAt is the earliest time at which the draining worker ends, 0 if unknown.
	leavesAt clock.Millis
}

// LifecycleAnnounced reports that the worker has announced a warm-up or its end, or no
// longer does. It asks for no action.
type LifecycleAnnounced struct{ WarmupLeft, Remaining clock.Millis }

func (LifecycleAnnounced) command() {}

// updateLifecycle handles the announcements in a report of the worker.
func (x *Executor) updateLifecycle(now clock.Millis, w *Worker) {
	next := lifecycle{}
	if w.WarmupLeft > 0 {
		next.warmAt = now + w.WarmupLeft
	}
	if w.Draining && w.Remaining > 0 {
		next.leavesAt = now + w.Remaining
	}
	if (x.lifecycle.warmAt == 0) != (next.warmAt == 0) || (x.lifecycle.leavesAt == 0) != (next.leavesAt == 0) {
		x.loadVersion++
		x.commands = append(x.commands, LifecycleAnnounced{WarmupLeft: w.WarmupLeft, Remaining: w.Remaining})
	}
	x.lifecycle = next
}

// isCold reports whether the worker is still warming up.
func (x *Executor) isCold(now clock.Millis) bool { return now < x.lifecycle.warmAt }

// addLifecycle adds the announcements to a load report.
func (x *Executor) addLifecycle(now clock.Millis, load *wire.WorkerLoad) {
	load.WarmupLeftMs = int64(max(0, x.lifecycle.warmAt-now))
	if x.lifecycle.leavesAt != 0 {
		// The worker may stay for longer than announced.
		load.RemainingMs = int64(max(1, x.lifecycle.leavesAt-now))
	}
}

// stopBeforeDeparture stops the runs that cannot end before the draining worker does. They
// would be lost then; their entries start them elsewhere once their ends are listed. Once
// the announced time is over the runs are left alone: the worker stays for longer.
func (x *Executor) stopBeforeDeparture(now clock.Millis) {
	left := x.lifecycle.leavesAt - now
	if x.lifecycle.leavesAt == 0 || left <= 0 {
		return
	}
	for _, r := range x.runs {
		if r.phase != running || r.stopping || r.discoveredAt != 0 {
			continue
		}
		needed := x.shortestTimeLeft(now, r)
		if needed > left+departureMargin+clock.Millis(departureTolerance*float64(needed)) {
			x.stop(now, r, StopWorkerLeaves)
		}
	}
}

// shortestTimeLeft returns how long a run takes at least from now on: as its progress
// projects, without it by its declared time and the kind's usual ratio on this worker.
func (x *Executor) shortestTimeLeft(now clock.Millis, r *run) clock.Millis {
	if r.percent >= knownProgress {
		// The progress is that of the last listing in which it changed.
		elapsed := r.lastProgressAt - r.startedAt
		return elapsed*clock.Millis(100-r.percent)/clock.Millis(r.percent) - (now - r.lastProgressAt)
	}
	declared := float64(r.estimatedTime) * x.observations.learner.UsualRatio(r.kind)
	return clock.Millis(shortestPart*declared) - (now - r.startedAt)
}

package executor

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// StartResult is the outcome of a call that starts a run.
type StartResult int

// Results of a start.
const (
	// StartAccepted means that the worker has the run.
	StartAccepted StartResult = iota
	// StartRefused means that the worker doesn't have the run and will never
	// accept this attempt.
	StartRefused
	// StartFenced means that the worker refused the start because it has seen a
	// higher token.
	StartFenced
	// StartUnknown means that the call got no answer.
	StartUnknown
)

// reportSilence is the time without a report with a higher sequence after which
// one with a lower sequence is used. Workers report every 1.5 s, so the higher
// sequence was not the worker's.
const reportSilence = 8 * clock.Second

// WorkerReported handles the worker's report about itself.
func (x *Executor) WorkerReported(now clock.Millis, w Worker) {
	// A delayed report may arrive after one of a later incarnation.
	if w.Incarnation < x.worker.Incarnation || w.Incarnation != 0 && w.Incarnation == x.disprovedIncarnation {
		return
	}
	isDelayed := w.Incarnation == x.worker.Incarnation && w.ID == x.worker.ID && w.Sequence <= x.worker.Sequence
	if isDelayed && now-x.reportedAt < reportSilence {
		return
	}
	x.reportedAt = now
	if x.worker.Incarnation != 0 && w.Incarnation != x.worker.Incarnation || x.worker.ID != "" && w.ID != x.worker.ID {
		x.displacedWorker = x.worker
		x.replaceWorker(now, w)
	} else if w.Incarnation != x.worker.Incarnation {
		x.workerSince = now
	}
	if !slices.Equal(w.Labels, x.worker.Labels) || w.Capacity != x.worker.Capacity || w.Draining != x.worker.Draining || w.ID != x.worker.ID {
		x.loadVersion++
		x.commands = append(x.commands, PersistWorker{Worker: w})
	}
	x.worker = w
	x.updateLifecycle(now, &w)
}

// WorkerRestored handles the description of the worker that an earlier sidecar
// stored. It is used as long as the worker lists the same incarnation, so that
// tasks can start before the worker's next report.
func (x *Executor) WorkerRestored(w Worker) {
	if x.worker.ID != "" {
		return
	}
	if w.Incarnation == x.worker.Incarnation && w.Incarnation != 0 {
		x.worker = w
		x.loadVersion++
		return
	}
	x.restoredWorker = w
}

// replaceWorker handles a new incarnation of the worker. Active runs are kept until
// the next listing shows which are lost, since some may have been started on the
// new incarnation.
func (x *Executor) replaceWorker(now clock.Millis, w Worker) {
	if w.Incarnation != x.worker.Incarnation && x.hasCrashed() {
		x.attributeCrash(now)
	}
	x.resetOutage()
	x.leaseLapsed = false
	for id, r := range x.runs {
		if r.phase == ended {
			delete(x.runs, id)
		}
	}
	x.runsListed = false
	x.resetBacklog()
	x.cursor = 0
	clear(x.superseded)
	x.leaseUntil = 0
	x.inheritedLease = now + x.maxLease
	x.openRenewals = nil
	x.leaseExpiredBy = 0
	x.lifecycle = lifecycle{}
	if x.worker.Incarnation != 0 {
		// Calls to the previous incarnation may still be executed by this one, which
		// has seen no token. After a listing under a higher one they have no effect.
		x.token++
		x.replaced = true
		x.commands = append(x.commands, ListNow{})
	}
	if w.Incarnation == x.disprovedIncarnation {
		x.disprovedIncarnation = 0
	}
	x.worker = w
	x.workerSince = now
	x.reportedAt = now
	x.loadVersion++
	x.commands = append(x.commands, WorkerReplaced{Worker: w, Runs: x.ActiveRuns()})
}

// WorkerUnreachable handles a listing without an answer. Nothing is started before
// the next listing, since the worker may have been replaced. Once its lease has
// expired, its runs are lost, but for starts that may still take effect.
func (x *Executor) WorkerUnreachable(now clock.Millis) {
	if x.runsListed {
		x.runsListed = false
		x.pauseReading()
		x.loadVersion++
	}
	if x.silentSince == 0 {
		x.silentSince = now
	}
	if lease := x.latestLease(); lease == 0 || now < lease+expiryMargin {
		return
	}
	for _, r := range x.runs {
		isStart := r.phase == starting || r.phase == unanswered
		// The lease does not void an unanswered start: the worker may start again under
		// the same ID, with a clock by which the lease is not over and without the token
		// that rejects the start. A later listing resolves it.
		if r.phase == running || isStart && now-r.startedAt >= lateStartTimeout {
			x.logResolved(now, r, StartUnresolved)
			x.attributeRefusals(now, r)
			x.endRun(now, r, batch.OutcomeLost)
			x.recordLapse(r.id)
			r.acknowledgeable = true
			if !r.workerCrashed {
				x.lostRuns = append(x.lostRuns, r)
			}
		}
	}
	// Ends that the worker lists after its return no longer count.
	if x.leaseExpiredBy == 0 {
		x.leaseExpiredBy = now
	}
}

// TokenRefused handles the worker's refusal of a token that is lower than one of an
// earlier sidecar.
func (x *Executor) TokenRefused(token int64) {
	if token == x.token {
		x.token += tokenStep
	}
}

// tokenStep skips the tokens that an earlier sidecar may have used since its
// start: a sidecar raises its token by one for each unanswered start.
const tokenStep = 1 << 20

// StartAnswered handles the result of a start, also StartUnknown.
func (x *Executor) StartAnswered(now clock.Millis, id batch.RunID, token int64, result StartResult) {
	r := x.runs[id.TaskID]
	if r == nil || r.id != id || r.phase != starting || r.token != token {
		return
	}
	switch result {
	case StartAccepted:
		r.phase = running
		r.acceptedAt = now
		r.lastProgressAt = now
		x.addEvent(r, wire.TaskEvent_STATE_RUNNING)
		if r.stopping {
			x.sendStop(now, r)
		}
	case StartRefused, StartFenced:
		x.release(r)
		x.returnTask(r)
		if result == StartFenced {
			x.TokenRefused(token)
		}
	case StartUnknown:
		// Once the worker has seen a higher token, a call with a lower one has no
		// effect however late it arrives, so the next listing resolves this run.
		r.phase = unanswered
		if x.token == token {
			x.token++
			x.commands = append(x.commands, ListNow{})
		}
	}
}

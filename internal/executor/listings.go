package executor

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Listing is the worker's list of its active runs and unacknowledged ends.
type Listing struct {
	// Token is the fencing token of the call.
	Token int64
	// RequestedAt is the RequestedAt of the ListRequest.
	RequestedAt clock.Millis
	// Incarnation is that of the worker, 0 if it gave none.
	Incarnation int64
	Running     []ListedRun
	Ended       []ListedEnd
}

// ListedRun is an active run with its progress in percent.
type ListedRun struct {
	Run     batch.RunID
	Percent int
}

// ListedEnd is a run that has ended and whose end is not acknowledged. Sequence is
// the worker's number of the end.
type ListedEnd struct {
	Sequence int64
	Run      batch.RunID
	End      batch.Outcome
}

// ListRequest is a call that lists the worker's runs, renews its lease and
// acknowledges ends.
type ListRequest struct {
	// Number distinguishes the requests of one Executor.
	Number      int64
	RequestedAt clock.Millis
	Token       int64
	// Cursor acknowledges the ends with sequences up to it.
	Cursor int64
	// LeaseUntil is the new end of the worker's lease, 0 for no change.
	LeaseUntil clock.Millis
}

// ListRequest returns the next call that lists the worker's runs. The renewal of the
// lease counts as sent, unless ListingNotSent revokes it.
func (x *Executor) ListRequest(now clock.Millis) ListRequest {
	cursor := x.cursor
	if !x.runsListed {
		// A new incarnation of the worker restarts the numbers of its ends and
		// would discard ends that this sidecar has not seen.
		cursor = 0
	}
	x.lastListRequest++
	if x.inheritedLease == 0 {
		x.inheritedLease = now + x.maxLease
	}
	x.markLapsed(now)
	until := x.nextLease(now, nil)
	if x.silentSince != 0 && now-x.silentSince >= maxSilence {
		until = 0
	}
	x.closeRenewals(func(r renewal) bool { return r.until <= now })
	if until != 0 {
		x.openRenewals = append(x.openRenewals, renewal{x.lastListRequest, until})
	}
	return ListRequest{Number: x.lastListRequest, RequestedAt: now, Token: x.token, Cursor: cursor, LeaseUntil: until}
}

// ListingNotSent handles a listing that certainly had no effect on the worker, such
// as one whose connection was refused: it did not renew the lease. While no other
// lease is known the renewal counts nevertheless, since an earlier sidecar may have
// sent one.
func (x *Executor) ListingNotSent(request ListRequest) {
	if x.refusedSince == 0 {
		x.refusedSince = request.RequestedAt
	}
	isRequested := func(r renewal) bool { return r.number == request.Number }
	if x.leaseUntil == 0 {
		x.closeRenewals(isRequested)
		return
	}
	x.openRenewals = slices.DeleteFunc(x.openRenewals, isRequested)
}

// followListedWorker replaces the worker if a listing shows another incarnation. It
// returns false for a listing that an earlier incarnation may have answered.
func (x *Executor) followListedWorker(now clock.Millis, l Listing) bool {
	if l.Incarnation == 0 || l.Incarnation == x.worker.Incarnation {
		return true
	}
	if l.Incarnation < x.worker.Incarnation {
		if l.RequestedAt <= x.workerSince {
			return false
		}
		// The worker contradicts the report of the higher incarnation, which another
		// writer may have sent.
		x.disprovedIncarnation = x.worker.Incarnation
	}
	// The capacity is unknown until the report of the new incarnation.
	replacement := Worker{Incarnation: l.Incarnation}
	if x.restoredWorker.Incarnation == l.Incarnation {
		replacement = x.restoredWorker
	}
	if x.displacedWorker.Incarnation == l.Incarnation {
		replacement = x.displacedWorker
		x.commands = append(x.commands, PersistWorker{Worker: replacement})
	}
	x.replaceWorker(now, replacement)
	return true
}

// RunsListed handles a listing. It resolves an unanswered start only if it was
// requested under a higher token than the start.
func (x *Executor) RunsListed(now clock.Millis, l Listing) {
	// Listings on different connections may arrive out of order.
	if l.RequestedAt < x.lastListRequestedAt {
		return
	}
	x.lastListRequestedAt = l.RequestedAt
	if !x.followListedWorker(now, l) {
		return
	}
	x.resetOutage()
	present := make(map[batch.RunID]bool, len(l.Running)+len(l.Ended))
	hadSuperseded := x.supersededActive
	x.supersededActive = false
	for _, lr := range l.Running {
		present[lr.Run] = true
		x.handleListedRun(now, lr)
	}
	if x.supersededActive != hadSuperseded {
		x.loadVersion++
	}
	for _, le := range l.Ended {
		present[le.Run] = true
		x.handleListedEnd(now, le)
	}
	isFull := len(l.Ended) >= x.backlog.listLimit
	for _, r := range x.runs {
		if present[r.id] || isFull {
			continue
		}
		switch {
		case r.phase == unanswered && l.Token > r.token && r.workerIncarnation != x.worker.Incarnation:
			// It may have run on the earlier incarnation, whose runs are no longer listed.
			x.logResolved(now, r, StartUnresolved)
			x.endRun(now, r, batch.OutcomeLost)
			r.acknowledgeable = true
		case r.phase == unanswered && l.Token > r.token:
			x.logResolved(now, r, StartRejected)
			x.recordRejected(r)
			x.release(r)
			x.returnTask(r)
		case r.phase == running && r.acceptedAt < l.RequestedAt:
			// The worker knows neither the run nor its end.
			x.endRun(now, r, batch.OutcomeLost)
			r.acknowledgeable = true
		}
	}
	x.runsListed = x.runsListed || l.Token == x.token
	if x.runsListed {
		x.recordListedEnds(isFull)
	}
	x.hasListed = x.hasListed || x.runsListed && x.backlog.read
	if x.runsListed && x.replaced {
		// Earlier calls may have renewed the lease up to now, with an end by the clock
		// of the previous incarnation.
		x.replaced = false
		x.leaseUntil = max(x.leaseUntil, now+x.maxLease)
	}
	if x.leaseExpiredBy != 0 && now >= x.leaseExpiredBy && len(l.Running) == 0 {
		x.leaseExpired(now)
	}
}

// handleListedRun updates or adds a run that the worker lists as active.
func (x *Executor) handleListedRun(now clock.Millis, lr ListedRun) {
	r := x.runs[lr.Run.TaskID]
	if r == nil || r.id.Attempt < lr.Run.Attempt {
		if r != nil {
			x.discard(r)
		}
		if !x.stopLateStart(now, lr.Run) {
			x.addEventToAll(x.addDiscovered(now, lr.Run), wire.TaskEvent_STATE_RUNNING)
		}
		return
	}
	if r.id.Attempt > lr.Run.Attempt {
		// A start of an earlier attempt was executed late.
		x.supersededActive = true
		x.commands = append(x.commands, StopRun{Run: lr.Run, Token: x.token, Entry: r.owner, Reason: StopSuperseded})
		return
	}
	if r.phase == unanswered || r.phase == starting {
		x.logResolved(now, r, StartExecuted)
		r.phase = running
		r.acceptedAt = now
		x.addEvent(r, wire.TaskEvent_STATE_RUNNING)
	}
	if r.workerCrashed {
		r.workerIncarnation = x.worker.Incarnation
		r.workerCrashed = false
	}
	if lr.Percent != r.percent {
		r.percent = lr.Percent
		r.lastProgressAt = now
	}
}

// addDiscovered adds a run that an earlier sidecar of the worker started. Nothing
// else is started until the owner's adoption gives its resources or the run ends.
func (x *Executor) addDiscovered(now clock.Millis, id batch.RunID) *run {
	r := &run{id: id, phase: running, startedAt: now, lastProgressAt: now, discoveredAt: now, orderedAt: now}
	x.runs[id.TaskID] = r
	x.unsizedRuns++
	x.loadVersion++
	x.recordAttempt(id, now)
	return r
}

// discard removes a run that a later attempt of the task has replaced.
func (x *Executor) discard(r *run) {
	x.releaseCapacity(r)
	delete(x.runs, r.id.TaskID)
	if r.phase == ended && r.endSequence != 0 {
		x.recordSuperseded(r.endSequence, r.id, r.end, r.lapsed || r.acknowledgeable)
	}
	if r.bestEffort && r.phase != ended {
		x.addEventToAll(r, wire.TaskEvent_STATE_LOST)
	}
}

// releaseCapacity frees the capacity that an active run occupies.
func (x *Executor) releaseCapacity(r *run) {
	if r.phase != starting && r.phase != unanswered && r.phase != running {
		return
	}
	if r.sizeKnown || r.owner != "" {
		x.release(r)
		return
	}
	x.unsizedRuns--
	x.loadVersion++
}

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

// renewal is the renewal of the worker's lease by the ListRequest with this number.
type renewal struct {
	number int64
	until  clock.Millis
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

// closeRenewals makes the open renewals for which over is true count for good.
func (x *Executor) closeRenewals(over func(renewal) bool) {
	x.openRenewals = slices.DeleteFunc(x.openRenewals, func(r renewal) bool {
		if !over(r) {
			return false
		}
		x.leaseUntil = max(x.leaseUntil, r.until)
		return true
	})
}

// latestLease returns the latest end of the lease that a call may have requested from
// the worker, 0 for none.
func (x *Executor) latestLease() clock.Millis {
	until := x.leaseUntil
	for _, r := range x.openRenewals {
		until = max(until, r.until)
	}
	return until
}

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
	x.cursor = 0
	x.leaseUntil = 0
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
	for _, lr := range l.Running {
		present[lr.Run] = true
		x.handleListedRun(now, lr)
	}
	for _, le := range l.Ended {
		present[le.Run] = true
		x.handleListedEnd(now, le)
	}
	isFull := len(l.Ended) >= maxListedEnds
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
			x.release(r)
			x.returnTask(r)
		case r.phase == running && r.acceptedAt < l.RequestedAt:
			// The worker knows neither the run nor its end.
			x.endRun(now, r, batch.OutcomeLost)
			r.acknowledgeable = true
		}
	}
	x.runsListed = x.runsListed || l.Token == x.token
	x.hasListed = x.hasListed || x.runsListed
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

// maxListedEnds is the greatest number of ends in one listing. A full listing may
// omit ends, so it tells nothing about the runs missing from it.
const maxListedEnds = 500

// leaseExpired handles the expiry of the worker's lease. An end whose owner's grant
// has expired no longer counts, so it is acknowledged and left out of the
// inventories that all entries get next.
func (x *Executor) leaseExpired(now clock.Millis) {
	x.leaseExpiredBy = 0
	x.leaseLapsed = false
	x.leaseUntil = 0
	x.openRenewals = nil
	for _, r := range x.runs {
		if e := x.entries[r.owner]; r.phase == ended && (e == nil || now >= e.storedGrantedFrom+GrantDuration) {
			r.acknowledgeable = true
			r.void = true
		}
	}
	for _, e := range x.entries {
		e.inventoryDue = true
	}
	x.loadVersion++
}

// handleListedRun updates or adds a run that the worker lists as active.
func (x *Executor) handleListedRun(now clock.Millis, lr ListedRun) {
	r := x.runs[lr.Run.TaskID]
	if r == nil || r.id.Attempt < lr.Run.Attempt {
		if r != nil {
			x.discard(r)
		}
		x.addDiscovered(now, lr.Run, running)
		return
	}
	if r.id.Attempt > lr.Run.Attempt {
		// A start of an earlier attempt was executed late.
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
		r = x.addDiscovered(now, le.Run, running)
	}
	if r.id.Attempt > le.Run.Attempt || r.phase == ended {
		return
	}
	r.endSequence = le.Sequence
	x.logResolved(now, r, StartExecuted)
	r.workerCrashed = false
	x.endRun(now, r, le.End)
}

// addDiscovered adds a run that an earlier sidecar of the worker started. Nothing
// else is started until the owner's adoption gives its resources or the run ends.
func (x *Executor) addDiscovered(now clock.Millis, id batch.RunID, p phase) *run {
	r := &run{id: id, phase: p, startedAt: now, lastProgressAt: now, discoveredAt: now, orderedAt: now}
	x.runs[id.TaskID] = r
	x.unsizedRuns++
	x.loadVersion++
	x.attempts[id.TaskID] = attempt{number: id.Attempt, at: now}
	for _, e := range x.entries {
		e.events = append(e.events, &wire.TaskEvent{Run: id.Wire(), State: wire.TaskEvent_STATE_RUNNING})
		e.urgent = true
	}
	return r
}

// discard removes a run that a later attempt of the task has replaced.
func (x *Executor) discard(r *run) {
	x.releaseCapacity(r)
	delete(x.runs, r.id.TaskID)
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

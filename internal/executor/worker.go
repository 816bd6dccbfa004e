package executor

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// StartResult is the worker's answer to a start.
type StartResult int

// Results of a start.
const (
	// StartAccepted means that the run is there.
	StartAccepted StartResult = iota
	// StartRefused means that the run is not there and never will be with this
	// attempt.
	StartRefused
	// StartFenced means that the worker has seen a higher token.
	StartFenced
	// StartUnknown means that no answer came.
	StartUnknown
)

// Listing is what a worker lists of its runs.
type Listing struct {
	// Token is the fencing token of the call.
	Token int64
	// RequestedAt is when the call was decided on.
	RequestedAt clock.Millis
	Incarnation int64
	Running     []ListedRun
	Ended       []ListedEnd
}

// ListedRun is a run that is at work.
type ListedRun struct {
	Run     batch.RunID
	Percent int
}

// ListedEnd is a run that ended and is not acknowledged.
type ListedEnd struct {
	Sequence int64
	Run      batch.RunID
	End      batch.End
}

// ListRequest is the next call that lists the worker's runs and renews its
// lease.
type ListRequest struct {
	RequestedAt clock.Millis
	Token       int64
	Cursor      int64
	// LeaseUntil is when the worker's lease ends; 0 leaves it as it is.
	LeaseUntil clock.Millis
}

// ListRequest returns the next call that lists the worker's runs.
func (x *Executor) ListRequest(now clock.Millis) ListRequest {
	cursor := x.cursor
	if !x.runsListed {
		// A new life of the worker numbers its ends anew and would forget ends
		// that this sidecar has not seen.
		cursor = 0
	}
	return ListRequest{RequestedAt: now, Token: x.token, Cursor: cursor, LeaseUntil: x.renewLease(now)}
}

// WorkerReported takes what the worker says of itself.
func (x *Executor) WorkerReported(now clock.Millis, w Worker) {
	// A report that was delayed may come after that of a later life.
	if w.Incarnation < x.worker.Incarnation || w.Incarnation == x.worker.Incarnation && w.ID == x.worker.ID && w.Sequence <= x.worker.Sequence {
		return
	}
	if x.worker.Incarnation != 0 && w.Incarnation != x.worker.Incarnation || x.worker.ID != "" && w.ID != x.worker.ID {
		x.replaceWorker(w)
	}
	if !slices.Equal(w.Labels, x.worker.Labels) || w.Capacity != x.worker.Capacity || w.Draining != x.worker.Draining || w.ID != x.worker.ID {
		x.loadVersion++
		x.commands = append(x.commands, PersistWorker{Worker: w})
	}
	x.worker = w
}

// WorkerRestored takes what an earlier sidecar heard from the worker. It holds while
// the worker lists the same life, so that tasks start before its next report.
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

// replaceWorker takes that the worker was replaced. Its next listing tells which runs
// are over: some may have been started after the change.
func (x *Executor) replaceWorker(w Worker) {
	for id, r := range x.runs {
		if r.phase == ended {
			delete(x.runs, id)
		}
	}
	x.runsListed = false
	x.cursor = 0
	x.leaseUntil = 0
	x.leaseExpiredBy = 0
	x.worker = w
	x.loadVersion++
	x.commands = append(x.commands, WorkerReplaced{Worker: w, Runs: x.ActiveRuns()})
}

// WorkerUnreachable takes that a listing got no answer. Nothing is started before the
// next one, since the worker may have been replaced. When its lease has lapsed,
// nothing runs there any more.
func (x *Executor) WorkerUnreachable(now clock.Millis) {
	if x.runsListed {
		x.runsListed = false
		x.loadVersion++
	}
	if x.leaseUntil == 0 || now < x.leaseUntil+expiryMargin {
		return
	}
	for _, r := range x.runs {
		if r.phase == running || r.phase == starting || r.phase == unanswered {
			x.endRun(now, r, batch.Lost)
			r.acknowledgeable = true
		}
	}
	// What the worker lists when it is back no longer counts.
	if x.leaseExpiredBy == 0 {
		x.leaseExpiredBy = now
	}
}

// TokenRefused takes that the worker refused the token, because an earlier sidecar
// used a higher one.
func (x *Executor) TokenRefused(token int64) {
	if token == x.token {
		x.token += tokenStep
	}
}

// tokenStep skips the tokens that an earlier sidecar may have used since its
// start: it raises its token by one for each start without an answer.
const tokenStep = 1 << 20

// StartAnswered takes the result of a start.
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
			x.commands = append(x.commands, StopRun{Run: r.id, Token: x.token})
		}
	case StartRefused, StartFenced:
		x.release(r)
		x.returnTask(r)
		if result == StartFenced {
			x.TokenRefused(token)
		}
	case StartUnknown:
		// Orders below a higher token do nothing, however late they are
		// carried out, so the next listing settles this run.
		r.phase = unanswered
		if x.token == token {
			x.token++
			x.commands = append(x.commands, ListNow{})
		}
	}
}

// RunsListed takes a listing. One that was asked for under an older token than the
// present one does not settle the starts without an answer.
func (x *Executor) RunsListed(now clock.Millis, l Listing) {
	// Listings on different connections may overtake each other.
	if l.RequestedAt < x.lastListRequestedAt {
		return
	}
	x.lastListRequestedAt = l.RequestedAt
	if l.Incarnation != 0 && l.Incarnation != x.worker.Incarnation {
		if l.Incarnation < x.worker.Incarnation {
			return
		}
		// The report that tells the new worker's capacity is still to come.
		replacement := Worker{Incarnation: l.Incarnation}
		if x.restoredWorker.Incarnation == l.Incarnation {
			replacement = x.restoredWorker
		}
		x.replaceWorker(replacement)
	}
	present := make(map[batch.TaskID]bool, len(l.Running)+len(l.Ended))
	for _, lr := range l.Running {
		present[lr.Run.TaskID] = true
		x.handleListedRun(now, lr)
	}
	for _, le := range l.Ended {
		present[le.Run.TaskID] = true
		x.handleListedEnd(now, le)
	}
	for id, r := range x.runs {
		if present[id] {
			continue
		}
		switch {
		case r.phase == unanswered && l.Token > r.token:
			x.release(r)
			x.returnTask(r)
		case r.phase == running && r.acceptedAt < l.RequestedAt && len(l.Ended) < maxListedEnds:
			// The worker knows neither the run nor its end.
			x.endRun(now, r, batch.Lost)
			r.acknowledgeable = true
		}
	}
	x.runsListed = x.runsListed || l.Token == x.token
	if x.leaseExpiredBy != 0 && now >= x.leaseExpiredBy && len(l.Running) == 0 {
		x.leaseExpired(now)
	}
}

// maxListedEnds is the number of ends that a worker lists at once.
const maxListedEnds = 500

// leaseExpired takes that the worker's lease has leaseExpired. What the worker lists then no
// longer counts as ended for an entry that was silent, so it is acknowledged and
// left out of the inventories that all entries get now.
func (x *Executor) leaseExpired(now clock.Millis) {
	x.leaseExpiredBy = 0
	x.leaseUntil = 0
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
		return
	}
	if r.phase == unanswered || r.phase == starting {
		r.phase = running
		r.acceptedAt = now
		x.addEvent(r, wire.TaskEvent_STATE_RUNNING)
	}
	if lr.Percent != r.percent {
		r.percent = lr.Percent
		r.lastProgressAt = now
	}
}

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
	x.endRun(now, r, le.End)
}

// addDiscovered adds a run that an earlier sidecar of the worker started. Its entry
// tells what it needs; until then nothing else is started.
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

// discard forgets a run that a later attempt of the task has replaced.
func (x *Executor) discard(r *run) {
	x.releaseCapacity(r)
	delete(x.runs, r.id.TaskID)
}

// releaseCapacity frees the room of a run.
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

// endRun notes the end of a run and tells its entry.
func (x *Executor) endRun(now clock.Millis, r *run, end batch.End) {
	x.releaseCapacity(r)
	r.phase = ended
	r.end = end
	r.runTime = now - r.startedAt
	x.addEvent(r, endState(r))
}

func endState(r *run) wire.TaskEvent_State {
	switch {
	case r.end == batch.Done:
		return wire.TaskEvent_STATE_DONE
	case r.end == batch.Failure:
		return wire.TaskEvent_STATE_FAILED
	case r.end == batch.Stopped && r.stalled:
		return wire.TaskEvent_STATE_STALLED
	case r.end == batch.Stopped:
		return wire.TaskEvent_STATE_STOPPED
	}
	return wire.TaskEvent_STATE_LOST
}

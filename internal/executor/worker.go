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
	// AskedAt is when the call was decided on.
	AskedAt clock.Millis
	Born    int64
	Running []ListedRun
	Ended   []ListedEnd
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
	End      batch.Outcome
}

// HoldRequest is the next call that lists the worker's runs and renews its
// lease.
type HoldRequest struct {
	At     clock.Millis
	Token  int64
	Cursor int64
	// Until is when the worker's lease ends; 0 leaves it as it is.
	Until clock.Millis
}

// HoldRequest returns the next call that lists the worker's runs.
func (x *Executor) HoldRequest(now clock.Millis) HoldRequest {
	cursor := x.cursor
	if !x.listed {
		// A new life of the worker numbers its ends anew and would forget ends
		// that this sidecar has not seen.
		cursor = 0
	}
	return HoldRequest{At: now, Token: x.token, Cursor: cursor, Until: x.hold(now)}
}

// WorkerReported takes what the worker says of itself.
func (x *Executor) WorkerReported(now clock.Millis, w Worker) {
	// A report that was delayed may come after that of a later life.
	if w.Born < x.worker.Born || w.Born == x.worker.Born && w.ID == x.worker.ID && w.Sequence <= x.worker.Sequence {
		return
	}
	if x.worker.Born != 0 && w.Born != x.worker.Born || x.worker.ID != "" && w.ID != x.worker.ID {
		x.reborn(w)
	}
	if !slices.Equal(w.Labels, x.worker.Labels) || w.Capacity != x.worker.Capacity || w.Draining != x.worker.Draining || w.ID != x.worker.ID {
		x.loadSerial++
		x.out = append(x.out, Remember{Worker: w})
	}
	x.worker = w
}

// Remembered takes what an earlier sidecar heard from the worker. It holds while
// the worker lists the same life, so that tasks start before its next report.
func (x *Executor) Remembered(w Worker) {
	if x.worker.ID != "" {
		return
	}
	if w.Born == x.worker.Born && w.Born != 0 {
		x.worker = w
		x.loadSerial++
		return
	}
	x.remembered = w
}

// reborn takes that the worker was replaced. Its next listing tells which runs
// are over: some may have been started after the change.
func (x *Executor) reborn(w Worker) {
	for id, r := range x.runs {
		if r.phase == ended {
			delete(x.runs, id)
		}
	}
	x.listed = false
	x.cursor = 0
	x.heldTill = 0
	x.lapseUntil = 0
	x.worker = w
	x.loadSerial++
	x.out = append(x.out, Reborn{Worker: w, Runs: x.Runs()})
}

// Unreachable takes that a listing got no answer. Nothing is started before the
// next one, since the worker may have been replaced. When its lease has lapsed,
// nothing runs there any more.
func (x *Executor) Unreachable(now clock.Millis) {
	if x.listed {
		x.listed = false
		x.loadSerial++
	}
	if x.heldTill == 0 || now < x.heldTill+lapseMargin {
		return
	}
	for _, r := range x.runs {
		if r.phase == running || r.phase == ordered || r.phase == unsure {
			x.finish(now, r, batch.OutcomeLost)
			r.stored = true
		}
	}
	// What the worker lists when it is back no longer counts.
	if x.lapseUntil == 0 {
		x.lapseUntil = now
	}
}

// Fenced takes that the worker refused the token, because an earlier sidecar
// used a higher one.
func (x *Executor) Fenced(token int64) {
	if token == x.token {
		x.token += tokenStep
	}
}

// tokenStep skips the tokens that an earlier sidecar may have used since its
// start: it raises its token by one for each start without an answer.
const tokenStep = 1 << 20

// Started takes the result of a start.
func (x *Executor) Started(now clock.Millis, id batch.RunID, token int64, result StartResult) {
	r := x.runs[id.TaskID]
	if r == nil || r.id != id || r.phase != ordered || r.token != token {
		return
	}
	switch result {
	case StartAccepted:
		r.phase = running
		r.acceptedAt = now
		r.progressAt = now
		x.tell(r, wire.TaskEvent_STATE_RUNNING)
		if r.stopping {
			x.out = append(x.out, StopRun{Run: r.id, Token: x.token})
		}
	case StartRefused, StartFenced:
		x.release(r)
		x.notStarted(r)
		if result == StartFenced {
			x.Fenced(token)
		}
	case StartUnknown:
		// Orders below a higher token do nothing, however late they are
		// carried out, so the next listing settles this run.
		r.phase = unsure
		if x.token == token {
			x.token++
			x.out = append(x.out, ListNow{})
		}
	}
}

// Listed takes a listing. One that was asked for under an older token than the
// present one does not settle the starts without an answer.
func (x *Executor) Listed(now clock.Millis, l Listing) {
	// Listings on different connections may overtake each other.
	if l.AskedAt < x.askedAt {
		return
	}
	x.askedAt = l.AskedAt
	if l.Born != 0 && l.Born != x.worker.Born {
		if l.Born < x.worker.Born {
			return
		}
		// The report that tells the new worker's capacity is still to come.
		life := Worker{Born: l.Born}
		if x.remembered.Born == l.Born {
			life = x.remembered
		}
		x.reborn(life)
	}
	present := make(map[batch.TaskID]bool, len(l.Running)+len(l.Ended))
	for _, lr := range l.Running {
		present[lr.Run.TaskID] = true
		x.listedRunning(now, lr)
	}
	for _, le := range l.Ended {
		present[le.Run.TaskID] = true
		x.listedEnd(now, le)
	}
	for id, r := range x.runs {
		if present[id] {
			continue
		}
		switch {
		case r.phase == unsure && l.Token > r.token:
			x.release(r)
			x.notStarted(r)
		case r.phase == running && r.acceptedAt < l.AskedAt && len(l.Ended) < maxListedEnds:
			// The worker knows neither the run nor its end.
			x.finish(now, r, batch.OutcomeLost)
			r.stored = true
		}
	}
	x.listed = x.listed || l.Token == x.token
	if x.lapseUntil != 0 && now >= x.lapseUntil && len(l.Running) == 0 {
		x.lapsed(now)
	}
}

// maxListedEnds is the number of ends that a worker lists at once.
const maxListedEnds = 500

// lapsed takes that the worker's lease has lapsed. What the worker lists then no
// longer counts as ended for an entry that was silent, so it is acknowledged and
// left out of the inventories that all entries get now.
func (x *Executor) lapsed(now clock.Millis) {
	x.lapseUntil = 0
	x.heldTill = 0
	for _, r := range x.runs {
		if e := x.entries[r.owner]; r.phase == ended && (e == nil || now >= e.storedFrom+GrantTime) {
			r.stored = true
			r.void = true
		}
	}
	for _, e := range x.entries {
		e.inventory = true
	}
	x.loadSerial++
}

func (x *Executor) listedRunning(now clock.Millis, lr ListedRun) {
	r := x.runs[lr.Run.TaskID]
	if r == nil || r.id.Attempt < lr.Run.Attempt {
		if r != nil {
			x.drop(r)
		}
		x.found(now, lr.Run, running)
		return
	}
	if r.id.Attempt > lr.Run.Attempt {
		return
	}
	if r.phase == unsure || r.phase == ordered {
		r.phase = running
		r.acceptedAt = now
		x.tell(r, wire.TaskEvent_STATE_RUNNING)
	}
	if lr.Percent != r.percent {
		r.percent = lr.Percent
		r.progressAt = now
	}
}

func (x *Executor) listedEnd(now clock.Millis, le ListedEnd) {
	if le.Sequence <= x.cursor {
		return
	}
	r := x.runs[le.Run.TaskID]
	if r == nil || r.id.Attempt < le.Run.Attempt {
		if r != nil {
			x.drop(r)
		}
		r = x.found(now, le.Run, running)
	}
	if r.id.Attempt > le.Run.Attempt || r.phase == ended {
		return
	}
	r.sequence = le.Sequence
	x.finish(now, r, le.End)
}

// found adds a run that an earlier sidecar of the worker started. Its entry
// tells what it needs; until then nothing else is started.
func (x *Executor) found(now clock.Millis, id batch.RunID, p phase) *run {
	r := &run{id: id, phase: p, startedAt: now, progressAt: now, foundAt: now, orderedAt: now}
	x.runs[id.TaskID] = r
	x.unsized++
	x.loadSerial++
	x.attempts[id.TaskID] = attempt{number: id.Attempt, at: now}
	for _, e := range x.entries {
		e.events = append(e.events, &wire.TaskEvent{Run: id.Wire(), State: wire.TaskEvent_STATE_RUNNING})
		e.urgent = true
	}
	return r
}

// drop forgets a run that a later attempt of the task has replaced.
func (x *Executor) drop(r *run) {
	x.vacate(r)
	delete(x.runs, r.id.TaskID)
}

// vacate frees the room of a run.
func (x *Executor) vacate(r *run) {
	if r.phase != ordered && r.phase != unsure && r.phase != running {
		return
	}
	if r.sized || r.owner != "" {
		x.release(r)
		return
	}
	x.unsized--
	x.loadSerial++
}

// finish notes the end of a run and tells its entry.
func (x *Executor) finish(now clock.Millis, r *run, end batch.Outcome) {
	x.vacate(r)
	r.phase = ended
	r.end = end
	r.runTime = now - r.startedAt
	x.tell(r, endState(r))
}

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

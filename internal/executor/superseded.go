package executor

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// supersededEnd is the end of a run that a later attempt of its task has replaced here.
type supersededEnd struct {
	run    batch.RunID
	counts bool
	// lapsed is true if the worker's lease has lapsed since the end.
	lapsed bool
}

// recordSuperseded records the end of a superseded run, so that the cursor advances
// over it. One that would count, because the run ended by itself, is acknowledged only
// after the worker's lease has lapsed: no entry takes note of it.
func (x *Executor) recordSuperseded(sequence int64, id batch.RunID, end batch.Outcome, lapsed bool) {
	if _, ok := x.superseded[sequence]; !ok {
		x.superseded[sequence] = supersededEnd{run: id, counts: countsOnceAcknowledged(end), lapsed: lapsed || x.lostByLapse(id)}
	}
}

// mayAcknowledge reports whether the cursor may advance over the end.
func (e supersededEnd) mayAcknowledge() bool { return e.lapsed || !e.counts }

// attempt is the highest attempt of a task that was ordered here.
type attempt struct {
	number batch.Attempt
	at     clock.Millis
	// lapsed is the highest one that was lost because the worker's lease lapsed.
	lapsed batch.Attempt
}

// recordAttempt records the highest attempt of a task and when it was ordered.
func (x *Executor) recordAttempt(id batch.RunID, at clock.Millis) {
	x.attempts[id.TaskID] = attempt{number: id.Attempt, at: at, lapsed: x.attempts[id.TaskID].lapsed}
}

// recordLapse records that a run was lost because the worker's lease lapsed. Its end may
// be listed later.
func (x *Executor) recordLapse(id batch.RunID) {
	a := x.attempts[id.TaskID]
	a.lapsed = max(a.lapsed, id.Attempt)
	x.attempts[id.TaskID] = a
}

// lostByLapse reports whether the worker's lease had lapsed when this run, or a later one
// of the task, was lost.
func (x *Executor) lostByLapse(id batch.RunID) bool {
	return id.Attempt <= x.attempts[id.TaskID].lapsed
}

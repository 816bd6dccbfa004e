package executor

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/interference"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// phase is the state of a run as this sidecar knows it.
type phase int

const (
	// queued means that the next tick starts the task or returns it to its entry.
	queued phase = iota
	// starting means that the call to the worker that starts the run is in flight.
	starting
	// unanswered means that the start got no answer and may still take effect; a
	// listing under a higher token resolves it.
	unanswered
	running
	// ended means that the worker has listed the end or that the run is lost.
	ended
)

// run is one attempt of a task.
type run struct {
	id        batch.RunID
	owner     ownership.Incarnation
	resources batch.Resources
	// sizeKnown is false for a run that was discovered on the worker until an entry
	// gives its resources.
	sizeKnown     bool
	spec          string
	priority      int
	maxPerWorker  int
	estimatedTime clock.Millis
	kind          interference.Kind
	// observed is true once the learner of interference knows the run.
	observed bool
	// cold is true if the run started before the worker had warmed up.
	cold       bool
	phase      phase
	stopping   bool
	stopReason StopReason
	// stopSentAt is when the worker was last asked to stop the run.
	stopSentAt clock.Millis
	// stopOrderedAt is when an entry ordered the stop, 0 for a run that is not
	// stopped or that this sidecar stopped.
	stopOrderedAt clock.Millis
	// token is the fencing token of the start, workerIncarnation the worker's that it
	// was sent to.
	token             int64
	workerIncarnation int64
	orderedAt         clock.Millis
	startedAt         clock.Millis
	// acceptedAt is when this sidecar learned that the worker accepted the start.
	acceptedAt clock.Millis
	end        batch.Outcome
	// workerCrashed is true if the worker crashed while the run may have been active.
	workerCrashed bool
	crashedAt     clock.Millis
	// stalled is true if this sidecar stopped the run for lack of progress.
	stalled bool
	// endSequence is the worker's number of the end.
	endSequence    int64
	runTime        clock.Millis
	percent        int
	lastProgressAt clock.Millis
	// acknowledgeable is true if the end may be acknowledged to the worker.
	acknowledgeable bool
	// void is true for an end that doesn't count because the worker's lease expired
	// before it was acknowledged.
	void bool
	// lapsed is true for an end after which the worker's lease has lapsed, voided for one
	// that must not count because its entry had given up the run.
	lapsed, voided bool
	// discoveredAt is when a run without a known owner was discovered on the
	// worker.
	discoveredAt clock.Millis
	bestEffort   bool
	// watchers are entries that hold the job of another entry's run and wait for its
	// end.
	watchers []ownership.Incarnation
	// expiresBy bounds the grant of a best-effort run of a deposed entry, 0 for no
	// bound.
	expiresBy clock.Millis
	// highestAttempt is that of the task, if the order had no higher one.
	highestAttempt batch.Attempt
	// reportedTo is when each entry was last told that the run is unclaimed.
	reportedTo map[ownership.Incarnation]clock.Millis
}

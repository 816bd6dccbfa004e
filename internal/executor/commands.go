package executor

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Command is an action that the sidecar process has to carry out.
type Command interface{ command() }

// StartRun calls the worker to start a run; the result is passed to
// StartAnswered.
type StartRun struct {
	Run   batch.RunID
	Spec  string
	Token int64
	// LeaseUntil is the new end of the worker's lease, 0 for no change.
	LeaseUntil clock.Millis
}

// StopRun calls the worker to stop a run. The end of the run appears in a later
// listing.
type StopRun struct {
	Run   batch.RunID
	Token int64
}

// Report sends a report to an entry.
type Report struct {
	Entry  ownership.Incarnation
	Report *wire.TaskReport
}

// LeaseExpiring reports that the worker's lease is no longer renewed, because the
// grant of an entry that owns a run here has expired.
type LeaseExpiring struct {
	Entry ownership.Incarnation
	Run   batch.RunID
	// GrantEndedAt is when the entry's grant expired.
	GrantEndedAt clock.Millis
}

// WorkerReplaced reports that a new incarnation has replaced the worker.
type WorkerReplaced struct {
	Worker Worker
	// Runs is the number of runs that may be lost.
	Runs int
}

// PersistWorker stores the worker's description for the next incarnation of the
// sidecar.
type PersistWorker struct {
	Worker Worker
}

// ListNow requests an immediate listing, in parallel to the one that waits for
// an end, to resolve an unanswered start.
type ListNow struct{}

func (PersistWorker) command()  {}
func (ListNow) command()        {}
func (StartRun) command()       {}
func (StopRun) command()        {}
func (Report) command()         {}
func (LeaseExpiring) command()  {}
func (WorkerReplaced) command() {}

package executor

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Command is something that the process has to do.
type Command interface{ command() }

// StartRun calls the worker to start a run; its result is given to Started.
type StartRun struct {
	Run   batch.RunID
	Spec  string
	Token int64
	// LeaseUntil is when the worker's lease ends, 0 for no change.
	LeaseUntil clock.Millis
}

// StopRun calls the worker to stop a run. The worker lists the end.
type StopRun struct {
	Run   batch.RunID
	Token int64
}

// Report sends a report to an entry.
type Report struct {
	Entry  ownership.Incarnation
	Report *wire.TaskReport
}

// LeaseExpiring tells that the worker's lease is left to lapse because an entry with
// runs here has been silent.
type LeaseExpiring struct {
	Entry ownership.Incarnation
	Run   batch.RunID
	// GrantEndedAt is the end of the entry's grant.
	GrantEndedAt clock.Millis
}

// WorkerReplaced tells that the worker was replaced.
type WorkerReplaced struct {
	Worker Worker
	// Runs is the number of runs that may be lost.
	Runs int
}

// PersistWorker keeps what the worker said of itself for the next sidecar.
type PersistWorker struct {
	Worker Worker
}

// ListNow asks for a listing beside the one that waits for an end, because a
// start without an answer has to be settled.
type ListNow struct{}

func (PersistWorker) command()  {}
func (ListNow) command()        {}
func (StartRun) command()       {}
func (StopRun) command()        {}
func (Report) command()         {}
func (LeaseExpiring) command()  {}
func (WorkerReplaced) command() {}

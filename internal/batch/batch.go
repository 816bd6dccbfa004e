// Package batch holds the types of stored jobs that entries and sidecars share:
// jobs of steps of tasks, the runs of those tasks and what a run needs of a
// worker.
package batch

import (
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

type (
	// JobID is the id that the caller chose for a job.
	JobID string
	// Attempt numbers the runs of a task; it grows with each start.
	Attempt int64
	// Route names the queue that a job was submitted to.
	Route string
)

// TaskID names a task of a job.
type TaskID struct {
	Job        JobID
	Occurrence uint32
	Step       uint32
	Index      uint32
}

// RunID names one run of a task.
type RunID struct {
	TaskID
	Attempt Attempt
}

// Wire converts the id for a message.
func (r RunID) Wire() *wire.TaskRun {
	return &wire.TaskRun{
		Job: string(r.Job), Occurrence: r.Occurrence, Step: r.Step, Index: r.Index, Attempt: int64(r.Attempt),
	}
}

// RunIDFromWire converts the id of a message.
func RunIDFromWire(r *wire.TaskRun) RunID {
	return RunID{
		TaskID: TaskID{
			Job: JobID(r.GetJob()), Occurrence: r.GetOccurrence(), Step: r.GetStep(), Index: r.GetIndex(),
		},
		Attempt: Attempt(r.GetAttempt()),
	}
}

// Resources is what a task needs of a worker or what a worker has. CPU is in
// thousandths of a core, memory in MB.
type Resources struct {
	CPU          int64
	MemoryMB     int64
	Accelerators int64
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Covers reports whether a task of the given size fits into r.
func (r Resources) Covers(o Resources) bool {
	return o.CPU <= r.CPU && o.MemoryMB <= r.MemoryMB && o.Accelerators <= r.Accelerators
}

// Step is a group of equal tasks of a job.
type Step struct {
	Count    int
	Required Resources
	// EstimatedRunTime is the run time that the caller declares, a first guess.
	EstimatedRunTime clock.Millis
	// DependsOn lists earlier steps whose tasks must all be done first.
	DependsOn []int
	// RequiredLabel, if not empty, is one that the worker must have.
	RequiredLabel string
	// DataRack, if not empty, is where the data lies; tasks run slower elsewhere.
	DataRack string
	// MaxPerWorker bounds the tasks of the step on one worker; 0 for no bound.
	MaxPerWorker int
}

// Job is a submitted job.
type Job struct {
	ID      JobID
	Route   Route
	Service string
	// Spec is handed to the worker with each task.
	Spec string
	// Priority of the route; 0 is the most urgent.
	Priority int
	// MaxFailures is the number of failed runs of one task that fail the job.
	MaxFailures int
	// Objective is the response time that the route aims at.
	Objective clock.Millis
	Steps     []Step
	// BestEffort is true for a job that only the entry holds: its caller waits
	// for the end and submits it again if the entry is lost.
	BestEffort bool
	// Deadline is when the caller of a best-effort job stops waiting.
	Deadline clock.Millis
}

// State is the state of a job as callers see it.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Active    State = "active"
	Complete  State = "complete"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	// Absent means that there is no such job.
	Absent State = "absent"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == Complete || s == Failed || s == Cancelled }

// Outcome is how a run ended at its worker.
type Outcome string

// Ends of a run.
const (
	OutcomeDone   Outcome = "done"
	OutcomeFailed Outcome = "failed"
	// OutcomeStopped means that the run was stopped on an order.
	OutcomeStopped Outcome = "stopped"
	// OutcomeLost means that the run was killed with its worker or its lease.
	OutcomeLost Outcome = "lost"
)

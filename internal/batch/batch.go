// Package batch defines the types of batch jobs that entries and sidecars share:
// jobs, their steps and tasks, the runs of tasks and the resources that a run
// requires of a worker.
package batch

import (
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

type (
	// JobID is the id that the caller chose for a job.
	JobID string
	// Attempt numbers the runs of a task; it increases with each start.
	Attempt int64
	// Route names the queue that a job was submitted to.
	Route string
)

// MaxTasks bounds the tasks of a job, which an entry holds in memory one by one.
const MaxTasks = 100_000

// TaskID identifies a task of a job.
type TaskID struct {
	Job        JobID
	Occurrence uint32
	Step       uint32
	Index      uint32
}

// RunID identifies one run of a task.
type RunID struct {
	TaskID
	Attempt Attempt
}

// Wire returns the id as a wire message.
func (r RunID) Wire() *wire.TaskRun {
	return &wire.TaskRun{
		Job: string(r.Job), Occurrence: r.Occurrence, Step: r.Step, Index: r.Index, Attempt: int64(r.Attempt),
	}
}

// RunIDFromWire returns the id in a wire message.
func RunIDFromWire(r *wire.TaskRun) RunID {
	return RunID{
		TaskID: TaskID{
			Job: JobID(r.GetJob()), Occurrence: r.GetOccurrence(), Step: r.GetStep(), Index: r.GetIndex(),
		},
		Attempt: Attempt(r.GetAttempt()),
	}
}

// Resources is what a task requires of a worker or what a worker has. CPU is in
// millicores, memory in MB.
type Resources struct {
	CPU          int64
	MemoryMB     int64
	Accelerators int64
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference of r and o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Covers reports whether r is at least o in each resource.
func (r Resources) Covers(o Resources) bool {
	return o.CPU <= r.CPU && o.MemoryMB <= r.MemoryMB && o.Accelerators <= r.Accelerators
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count    int
	Required Resources
	// EstimatedRunTime is a task's run time as declared by the caller, an initial
	// estimate.
	EstimatedRunTime clock.Millis
	// DependsOn lists the indexes of earlier steps whose tasks must all be done
	// before this step's tasks may start.
	DependsOn []int
	// RequiredLabel, if not empty, is a label that the worker must have.
	RequiredLabel string
	// DataRack, if not empty, is the rack of the data; tasks run slower elsewhere.
	DataRack string
	// MaxPerWorker bounds the tasks of the step on one worker; 0 means no bound.
	MaxPerWorker int
}

// Job is a submitted job.
type Job struct {
	ID      JobID
	Route   Route
	Service string
	// Spec is passed to the worker with each task.
	Spec string
	// Priority is that of the route; 0 is the most urgent.
	Priority int
	// MaxFailures is the number of failed runs of one task after which the job
	// fails.
	MaxFailures int
	// Objective is the response time that the route aims for.
	Objective clock.Millis
	Steps     []Step
	// BestEffort is true for a job that only the entry holds: its caller waits for
	// the end and submits it again if the entry is lost.
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

// Outcomes of a run.
const (
	OutcomeDone   Outcome = "done"
	OutcomeFailed Outcome = "failed"
	// OutcomeStopped means that the run was stopped by an order.
	OutcomeStopped Outcome = "stopped"
	// OutcomeLost means that the run was killed with its worker or because its lease
	// expired.
	OutcomeLost Outcome = "lost"
)

// Package placement decides which task runs on which worker and in which
// order. It learns the speed of each worker from observed run times, orders
// jobs and tasks, shares slots among teams and takes workers out of service
// that fail what they start. It does no I/O and takes the time as an argument.
package placement

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/runtimes"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

type (
	// WorkerID names a worker by the incarnation of its sidecar.
	WorkerID = ownership.Incarnation
	// JobID names a job within an entry.
	JobID struct{ Service, Team, Key string }
	// TaskIndex is the position of a task in its job.
	TaskIndex uint32
)

// Resources is what a task needs of a worker, or what a worker has.
type Resources struct {
	MemoryMiB    int64
	CPUs         int
	Accelerators int
}

// Worker is a worker that can be given tasks.
type Worker struct {
	ID       WorkerID
	Name     string
	Domain   ownership.Domain
	Rack     string
	Services []string
	Slots    int
	Capacity Resources
}

// Task is one task of a job that waits for a worker.
type Task struct {
	Index TaskIndex
	// Declared run time; 0 if not declared.
	Declared  clock.Millis
	Resources Resources
}

// Binding assigns tasks of one job to one worker.
type Binding struct {
	Job    JobID
	Worker WorkerID
	Tasks  []BoundTask
}

// BoundTask is a task with the run time expected on its worker.
type BoundTask struct {
	Index    TaskIndex
	Expected clock.Millis
}

// Outcome is how a bound task ended, as far as placement is concerned.
type Outcome int

// Outcomes of bound tasks.
const (
	// Succeeded means that the backend server returned a result.
	Succeeded Outcome = iota
	// Failed means that the backend server ran the task and failed it, or
	// that its outcome is unknown.
	Failed
	// NotStarted means that the worker did not start the task.
	NotStarted
)

// Policy is what a planner offers to the core of an entry. The baselines of
// the benchmark implement it as well.
type Policy interface {
	// SetWorker adds a worker or updates it. Learned speeds are kept by
	// worker name.
	SetWorker(now clock.Millis, w Worker)
	// RemoveWorker forgets a worker. The caller calls Finished or Requeue for
	// its bound tasks.
	RemoveWorker(id WorkerID)
	// SetShares sets the weights of the teams; a team without one has 1.
	SetShares(shares map[string]int)
	// SetPrefetch sets, by service, the number of tasks bound to a worker
	// beyond its free slots; a service without one keeps the policy's default.
	SetPrefetch(prefetch map[string]int)
	// Enqueue adds tasks of a job. arrived orders jobs for ageing.
	Enqueue(now clock.Millis, job JobID, tasks []Task)
	// RemoveQueued forgets the queued tasks of a job and returns their indexes.
	RemoveQueued(job JobID) []TaskIndex
	// RecordBound records that a task runs on a worker without a decision of this
	// planner, for tasks found at a takeover.
	RecordBound(now clock.Millis, job JobID, worker WorkerID, index TaskIndex)
	// RecordOutcome records the end of a bound task and frees its slot. run is the
	// observed run time, 0 if not known.
	RecordOutcome(now clock.Millis, job JobID, worker WorkerID, index TaskIndex, outcome Outcome, run clock.Millis)
	// Restore adopts what a worker, by its name, has run under other owners,
	// unless this planner has seen more of its runs. It is for an owner that
	// begins to serve; tasks that are already queued keep their estimates.
	Restore(service, worker string, runs runtimes.Summary)
	// Plan binds queued tasks to workers.
	Plan(now clock.Millis) []Binding
	// Fits tells whether some worker of the service, busy or not, can hold a
	// task of this size.
	Fits(service string, size Resources) bool
	// WorkerCount returns the number of workers that serve a service.
	WorkerCount(service string) int
	// Estimate returns the expected time from now until a job with these
	// tasks would be finished if it were enqueued.
	Estimate(now clock.Millis, service string, tasks []Task) clock.Millis
	// Workers describes the workers for status output, in stable order.
	Workers(now clock.Millis) []WorkerStatus
}

// WorkerStatus describes a worker for status output.
type WorkerStatus struct {
	Worker
	// Busy is the number of bound tasks.
	Busy int
	// Slowdown is the learned run time relative to the service's mean; 1 is
	// average, 2 takes twice as long.
	Slowdown float64
	// Ejected is true if the worker gets only probes.
	Ejected bool
	// Reason explains an ejection.
	Reason string
	// Starts and Failures count since the worker was added.
	Starts, Failures int64
}

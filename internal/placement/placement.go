// Package placement decides which task runs on which worker and in which
// order. It learns the speed of each worker from observed run times, orders
// jobs and tasks, shares slots among teams and ejects workers whose tasks fail
// much more often than those of their peers. It does no I/O and takes the time as
// an argument.
package placement

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/runtimes"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

type (
	// WorkerID identifies a worker by the incarnation of its sidecar.
	WorkerID = ownership.Incarnation
	// JobID identifies a job within an entry.
	JobID struct{ Service, Team, Key string }
	// TaskIndex is the position of a task in its job.
	TaskIndex uint32
)

// Resources are the resources that a task needs or that a worker has.
type Resources struct {
	MemoryMiB    int64
	CPUs         int
	Accelerators int
}

// Worker describes a worker to which tasks can be bound.
type Worker struct {
	ID       WorkerID
	Name     string
	Domain   ownership.Domain
	Rack     string
	Services []string
	Slots    int
	Capacity Resources
}

// Task is a task to enqueue.
type Task struct {
	Index TaskIndex
	// Declared is the run time declared by the caller; 0 if not declared.
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

// Outcome is how a bound task ended, in the distinctions that placement needs.
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

// Policy is a placement policy as used by the core of an entry. Planner and the
// baselines of the benchmark implement it.
type Policy interface {
	// SetWorker adds a worker or updates it. Learned speeds are kept by
	// worker name.
	SetWorker(now clock.Millis, w Worker)
	// RemoveWorker removes a worker. Its bound tasks stay bound until the caller
	// calls RecordOutcome for each.
	RemoveWorker(id WorkerID)
	// SetShares sets the weights of the teams; a team without a weight has 1.
	SetShares(shares map[string]int)
	// SetPrefetch sets, by service, the number of tasks bound to a worker
	// beyond its free slots; a service not in the map keeps its number,
	// which is the policy's default at first.
	SetPrefetch(prefetch map[string]int)
	// Enqueue adds tasks of a job. The first call for a job sets its time of
	// arrival.
	Enqueue(now clock.Millis, job JobID, tasks []Task)
	// RemoveQueued removes the queued tasks of a job and returns their indexes.
	RemoveQueued(job JobID) []TaskIndex
	// RecordBound records that a task, such as one found at a takeover, is bound
	// to a worker without a decision of this planner.
	RecordBound(now clock.Millis, job JobID, worker WorkerID, index TaskIndex)
	// RecordOutcome records the end of a bound task and frees its slot. run is the
	// observed run time, 0 if not known.
	RecordOutcome(now clock.Millis, job JobID, worker WorkerID, index TaskIndex, outcome Outcome, run clock.Millis)
	// Restore adds the summary of a worker's run times under other owners, by
	// worker name, unless this planner has observed more of its runs. It is for
	// an owner that begins to serve; queued tasks keep their estimates.
	Restore(service, worker string, runs runtimes.Summary)
	// Plan binds queued tasks to workers.
	Plan(now clock.Millis) []Binding
	// Fits reports whether some worker of the service, busy or not, has the
	// total capacity for a task that needs these resources.
	Fits(service string, needed Resources) bool
	// WorkerCount returns the number of workers that serve a service.
	WorkerCount(service string) int
	// Estimate returns the expected time in which a job with these tasks would
	// finish if it were enqueued now.
	Estimate(now clock.Millis, service string, tasks []Task) clock.Millis
	// Workers returns the status of all workers, in stable order.
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
	// Ejected is true if the worker is given no tasks but probes.
	Ejected bool
	// Reason explains an ejection.
	Reason string
	// Starts and Failures count bound and failed tasks since the worker was added.
	Starts, Failures int64
}

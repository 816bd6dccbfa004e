// Package operator parses the services text, in which the operators define the
// services, their dependencies, the teams that may use them and the limits. It
// reports every fault with file, line, column and reason.
package operator

import "github.com/teaseltide/teaseltide/pkg/clock"

// Text is a valid services text.
type Text struct {
	Teams    []Team
	Services []Service
}

// Team is a group of callers that shares a quota.
type Team struct {
	Name string
	// Share is the team's weight under contention; at least 1.
	Share int
	// MaxQueuedTasks bounds the tasks that are queued or running.
	MaxQueuedTasks int
}

// Service is a kind of task that backend servers run.
type Service struct {
	Name string
	// DependsOn names the services that this one requires to answer.
	DependsOn []string
	// Teams names the teams that may submit jobs; empty means all.
	Teams []string
	// NotRepeatable is the default for jobs that do not set it.
	NotRepeatable bool
	// MaxTasksPerJob bounds the tasks of one job.
	MaxTasksPerJob int
	// MaxPayload bounds the payload of one task in bytes.
	MaxPayload int
	// DefaultDeadline applies to jobs without one; MaxDeadline bounds all.
	DefaultDeadline clock.Millis
	MaxDeadline     clock.Millis
	// RetryBudgetPercent bounds reassignments of tasks, in percent of starts.
	RetryBudgetPercent int
	// Prefetch is the number of tasks assigned to a worker beyond its free slots.
	// It reduces messages and increases response times; 0 assigns as late as
	// possible.
	Prefetch int
	// Task is the default size of a task.
	Task TaskSize
}

// TaskSize holds the resources that one task requires.
type TaskSize struct {
	MemoryMiB    int64
	CPUs         int
	Accelerators int
}

// Team returns the team with the name, or nil.
func (t *Text) Team(name string) *Team {
	for i := range t.Teams {
		if t.Teams[i].Name == name {
			return &t.Teams[i]
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
func (t *Text) Service(name string) *Service {
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i]
		}
	}
	return nil
}

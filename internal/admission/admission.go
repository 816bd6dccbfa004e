// Package admission decides whether a job is accepted: quotas of teams,
// bounds of queues, deadlines, limits of services and retry budgets. It does
// no I/O and takes the time as an argument.
package admission

import (
	"github.com/teaseltide/teaseltide/pkg/clock"
	"github.com/teaseltide/teaseltide/pkg/operator"
)

// Code is a kebab-case reason for a refusal. It is part of the public API.
type Code string

// Reasons for refusals. All of them mean that the job did not run.
const (
	UnknownService        Code = "unknown-service"
	UnknownTeam           Code = "unknown-team"
	TeamNotAllowed        Code = "team-not-allowed"
	TooManyTasks          Code = "too-many-tasks"
	PayloadTooLarge       Code = "payload-too-large"
	KeyRequired           Code = "key-required"
	ExpiryRequired        Code = "expiry-required"
	Expired               Code = "expired"
	ExpiryTooFar          Code = "expiry-too-far"
	NoWorker              Code = "no-worker"
	NoWorkerFits          Code = "no-worker-fits"
	DependencyUnavailable Code = "dependency-unavailable"
	DeadlineTooSoon       Code = "deadline-too-soon"
	OverQuota             Code = "over-quota"
	QueueFull             Code = "queue-full"
	NoServicesText        Code = "no-services-text"
)

// Refusal says why a job is not accepted.
type Refusal struct {
	Code    Code
	Message string
}

// Request is what admission needs to know of a job.
type Request struct {
	Service, Team string
	Tasks         int
	// LargestPayload in bytes.
	LargestPayload int
	HasKey         bool
	NotRepeatable  bool
	// DeadlineAt is 0 if the caller gave none; Admit does not change it.
	DeadlineAt clock.Millis
	ExpiresAt  clock.Millis
	// Fits is false if some task fits no worker of the service.
	Fits bool
	// ServingWorkers returns the number of serving workers of a service. If it
	// is nil, workers are not checked.
	ServingWorkers func(service string) int
	// Estimate is the expected time until the job would be finished.
	Estimate clock.Millis
}

// Policy is what the core of an entry uses.
type Policy interface {
	// SetText adopts the limits of a services text.
	SetText(text *operator.Text)
	// Admit returns nil and counts the job's tasks as queued for its team, or
	// returns the reason for a refusal.
	Admit(now clock.Millis, r *Request) *Refusal
	// Release takes ended or cancelled tasks from the counts of a team and a
	// service. The sum over a job's life equals its number of tasks.
	Release(team, service string, tasks int)
	// AllowRetry takes one reassignment of a task from the service's retry
	// budget and reports whether there was one left.
	AllowRetry(now clock.Millis, service string) bool
	// Deadline returns the absolute deadline of a job: the caller's, or the
	// service's default, at most the service's maximum.
	Deadline(now clock.Millis, service string, asked clock.Millis) clock.Millis
}

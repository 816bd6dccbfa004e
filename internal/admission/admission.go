// Package admission is the admission control of an entry. It enforces team
// quotas, the queue bound, deadlines, service limits and retry budgets. It does
// no I/O and takes the time as an argument.
package admission

import (
	"github.com/teaseltide/teaseltide/pkg/clock"
	"github.com/teaseltide/teaseltide/pkg/operator"
)

// Code is the kebab-case reason code of a refusal. It is part of the public API.
type Code string

// Refusal codes. All of them mean that the job did not run.
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

// Refusal is the reason why a job is not accepted.
type Refusal struct {
	Code    Code
	Message string
}

// Request describes a job to Admit.
type Request struct {
	Service, Team string
	Tasks         int
	// LargestPayload is the size of the job's largest payload in bytes.
	LargestPayload int
	// HasKey is true if the caller has set an idempotency key.
	HasKey        bool
	NotRepeatable bool
	// DeadlineAt is 0 if the caller has set none. Admit does not change it.
	DeadlineAt clock.Millis
	ExpiresAt  clock.Millis
	// Fits is false if a task is larger than every worker of the service.
	Fits bool
	// ServingWorkers returns the number of serving workers of a service. If it
	// is nil, workers are not checked.
	ServingWorkers func(service string) int
	// Estimate is the expected time until the job is finished.
	Estimate clock.Millis
}

// Policy is the admission policy used by the core of an entry.
type Policy interface {
	// SetText applies the limits of a services text.
	SetText(text *operator.Text)
	// Admit accepts a job, counts its tasks as queued for its team and returns
	// nil, or returns why the job is refused.
	Admit(now clock.Millis, r *Request) *Refusal
	// Release subtracts ended or cancelled tasks from the counts of a team and
	// a service. Over a job's lifetime they add up to its number of tasks.
	Release(team, service string, tasks int)
	// AllowRetry spends one reassignment of a task from the service's retry
	// budget and reports whether the budget allowed it.
	AllowRetry(now clock.Millis, service string) bool
	// Deadline returns the absolute deadline of a job: the requested one, or
	// the service's default if it is 0, at most the service's maximum.
	Deadline(now clock.Millis, service string, requested clock.Millis) clock.Millis
}

package admission

import (
	"fmt"
	"math"
	"slices"

	"github.com/teaseltide/teaseltide/pkg/clock"
	"github.com/teaseltide/teaseltide/pkg/operator"
)

// maxExpiry is how far in the future a job's expiry may be. Sidecars retain its
// results that long.
const maxExpiry = 10 * clock.Minute

// Config holds the parameters of a Controller. The zero value selects the
// defaults.
type Config struct {
	// MaxQueued bounds the queued or running tasks of all teams. Default
	// 200,000: five seconds at the design's peak rate of 37,000 starts/s.
	MaxQueued int
	// DeadlineFraction is the largest fraction of the time until the deadline
	// that the estimate may take. Estimates err, and shorter jobs that arrive
	// later run first, so a job that barely fits would often miss its deadline.
	// Default 0.7.
	DeadlineFraction float64
	// RetryBurst is the number of reassignments that a service may make in a
	// burst. Default 50.
	RetryBurst int
}

// Defaults of Config.
const (
	defaultMaxQueued        = 200_000
	defaultDeadlineFraction = 0.7
	defaultRetryBurst       = 50
)

// Controller implements Policy. It is not safe for concurrent use.
type Controller struct {
	config       Config
	text         *operator.Text
	teams        map[string]*operator.Team
	services     map[string]*service
	queuedByTeam map[string]int
	totalQueued  int
}

// service is a service of the services text with its retry budget.
type service struct {
	*operator.Service
	// dependencies lists all services that this one depends on, directly or
	// transitively.
	dependencies []string
	budget       retryBudget
}

var _ Policy = (*Controller)(nil)

// New returns a Controller that refuses every job until SetText is called.
func New(cfg Config) *Controller {
	if cfg.MaxQueued == 0 {
		cfg.MaxQueued = defaultMaxQueued
	}
	if cfg.DeadlineFraction == 0 {
		cfg.DeadlineFraction = defaultDeadlineFraction
	}
	if cfg.RetryBurst == 0 {
		cfg.RetryBurst = defaultRetryBurst
	}
	return &Controller{
		config:       cfg,
		services:     make(map[string]*service),
		queuedByTeam: make(map[string]int),
	}
}

// SetText implements Policy. It keeps the counts of queued tasks and the retry
// budgets of services that remain in the text.
func (c *Controller) SetText(text *operator.Text) {
	c.text = text
	c.teams = make(map[string]*operator.Team, len(text.Teams))
	for i := range text.Teams {
		c.teams[text.Teams[i].Name] = &text.Teams[i]
	}
	old := c.services
	c.services = make(map[string]*service, len(text.Services))
	for i := range text.Services {
		s := &service{
			Service:      &text.Services[i],
			dependencies: transitiveDependencies(text, text.Services[i].Name),
			budget:       newRetryBudget(c.config.RetryBurst),
		}
		if o := old[s.Name]; o != nil {
			s.budget = o.budget
		}
		s.budget.percent = s.RetryBudgetPercent
		c.services[s.Name] = s
	}
}

// transitiveDependencies returns the names of all services that name depends on,
// without name itself.
func transitiveDependencies(text *operator.Text, name string) []string {
	var found []string
	next := []string{name}
	for len(next) > 0 {
		s := text.Service(next[0])
		next = next[1:]
		if s == nil {
			continue
		}
		for _, d := range s.DependsOn {
			if d != name && !slices.Contains(found, d) {
				found = append(found, d)
				next = append(next, d)
			}
		}
	}
	return found
}

// Admit implements Policy.
func (c *Controller) Admit(now clock.Millis, r *Request) *Refusal {
	if c.text == nil {
		return refuse(NoServicesText, "no services text has been applied yet")
	}
	s := c.services[r.Service]
	if s == nil {
		return refuse(UnknownService, "service %q is not in the services text", r.Service)
	}
	team := c.teams[r.Team]
	if team == nil {
		return refuse(UnknownTeam, "team %q is not in the services text", r.Team)
	}
	if refusal := s.checkRequest(now, r); refusal != nil {
		return refusal
	}
	if refusal := s.checkWorkers(r); refusal != nil {
		return refusal
	}
	if refusal := c.checkLoad(now, s, team, r); refusal != nil {
		return refusal
	}
	c.queuedByTeam[r.Team] += r.Tasks
	c.totalQueued += r.Tasks
	s.budget.credit(r.Tasks)
	return nil
}

// checkRequest checks the request against the limits of the service, without
// regard to load and workers.
func (s *service) checkRequest(now clock.Millis, r *Request) *Refusal {
	switch {
	case len(s.Teams) > 0 && !slices.Contains(s.Teams, r.Team):
		return refuse(TeamNotAllowed, "team %q may not submit jobs to service %q", r.Team, r.Service)
	case s.MaxTasksPerJob > 0 && r.Tasks > s.MaxTasksPerJob:
		return refuse(TooManyTasks, "the job has %d tasks, service %q allows %d", r.Tasks, r.Service, s.MaxTasksPerJob)
	case s.MaxPayload > 0 && r.LargestPayload > s.MaxPayload:
		return refuse(PayloadTooLarge, "a payload has %d bytes, service %q allows %d", r.LargestPayload, r.Service, s.MaxPayload)
	case r.NotRepeatable && !r.HasKey:
		return refuse(KeyRequired, "a job that is not repeatable needs an idempotency key")
	case r.NotRepeatable && r.ExpiresAt == 0:
		return refuse(ExpiryRequired, "a job that is not repeatable needs expires-at-ms")
	case r.ExpiresAt != 0 && r.ExpiresAt <= now:
		return refuse(Expired, "expires-at-ms was %d ms ago", now-r.ExpiresAt)
	case r.ExpiresAt > now+maxExpiry:
		return refuse(ExpiryTooFar, "expires-at-ms is %d ms ahead, at most %d are allowed", r.ExpiresAt-now, maxExpiry)
	default:
		return nil
	}
}

// checkWorkers checks that the service and its dependencies have workers and
// that every task fits one.
func (s *service) checkWorkers(r *Request) *Refusal {
	if r.ServingWorkers != nil {
		if r.ServingWorkers(r.Service) == 0 {
			return refuse(NoWorker, "no worker serves service %q", r.Service)
		}
		for _, d := range s.dependencies {
			if r.ServingWorkers(d) == 0 {
				return refuse(DependencyUnavailable, "no worker serves service %q, which service %q depends on", d, r.Service)
			}
		}
	}
	if !r.Fits {
		return refuse(NoWorkerFits, "a task is larger than every worker of service %q", r.Service)
	}
	return nil
}

// checkLoad checks the deadline, the team's quota and the queue bound.
func (c *Controller) checkLoad(now clock.Millis, s *service, team *operator.Team, r *Request) *Refusal {
	deadline := s.deadline(now, r.DeadlineAt)
	remaining := deadline - now
	if float64(r.Estimate) > float64(remaining)*c.config.DeadlineFraction {
		return refuse(DeadlineTooSoon, "the job is expected to take %d ms and its deadline is in %d ms", r.Estimate, remaining)
	}
	queued := c.queuedByTeam[team.Name]
	if team.MaxQueuedTasks > 0 && queued+r.Tasks > team.MaxQueuedTasks {
		return refuse(OverQuota, "team %q has %d tasks queued or running, %d more exceed its limit of %d", team.Name, queued, r.Tasks, team.MaxQueuedTasks)
	}
	if c.totalQueued+r.Tasks > c.config.MaxQueued {
		return refuse(QueueFull, "%d tasks are queued or running, %d more exceed the limit of %d", c.totalQueued, r.Tasks, c.config.MaxQueued)
	}
	return nil
}

// Release implements Policy.
func (c *Controller) Release(team, _ string, tasks int) {
	c.queuedByTeam[team] = max(c.queuedByTeam[team]-tasks, 0)
	if c.queuedByTeam[team] == 0 {
		delete(c.queuedByTeam, team)
	}
	c.totalQueued = max(c.totalQueued-tasks, 0)
}

// AllowRetry implements Policy.
func (c *Controller) AllowRetry(_ clock.Millis, name string) bool {
	s := c.services[name]
	return s != nil && s.budget.take()
}

// Deadline implements Policy.
func (c *Controller) Deadline(now clock.Millis, name string, requested clock.Millis) clock.Millis {
	s := c.services[name]
	if s == nil {
		return requested
	}
	return s.deadline(now, requested)
}

// deadline implements Controller.Deadline. It returns math.MaxInt64 if neither
// the caller nor the service sets a deadline.
func (s *service) deadline(now, requested clock.Millis) clock.Millis {
	if requested == 0 && s.DefaultDeadline > 0 {
		requested = now + s.DefaultDeadline
	}
	if requested == 0 {
		requested = math.MaxInt64
	}
	if s.MaxDeadline > 0 {
		requested = min(requested, now+s.MaxDeadline)
	}
	return requested
}

func refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...)}
}

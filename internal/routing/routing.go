// Package routing holds the configuration of the queues of batch jobs: the route
// of a request, and the priority and the objective of its jobs.
package routing

import (
	"strings"
	"sync/atomic"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Route is the configuration of a queue.
type Route struct {
	Name    batch.Route
	Host    string
	Prefix  string
	Service string
	// Priority of the route's jobs; 0 is the most urgent.
	Priority int
	// MaxFailures is the number of failed runs of a task after which its job fails.
	MaxFailures int
	// The objective of a job is SlackFactor times the run time of its longest chain
	// of steps, plus TargetLatency.
	SlackFactor   float64
	TargetLatency clock.Millis
	// RequiresAdvice is true if a service of the platform selects the workers that
	// may run a job's steps; such jobs are not supported.
	RequiresAdvice bool
}

// Objective returns the response time that the route aims for with a job of these
// steps.
func (r *Route) Objective(steps []batch.Step) clock.Millis {
	ends := make([]clock.Millis, len(steps))
	var longest clock.Millis
	for i, step := range steps {
		for _, dependency := range step.DependsOn {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] += step.EstimatedRunTime
		longest = max(longest, ends[i])
	}
	return clock.Millis(r.SlackFactor*float64(longest)) + r.TargetLatency
}

// Table is one version of the configuration.
type Table struct {
	Version int64
	Routes  []Route
	// Source is the text that the table was decoded from.
	Source []byte
}

// Match returns the route of a request: of the routes of its host, the one with
// the longest prefix of its path.
func (t *Table) Match(host, path string) (*Route, bool) {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	var best *Route
	for i := range t.Routes {
		r := &t.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// ActiveTable holds the active version of the configuration, which only
// increases. It is safe for concurrent use.
type ActiveTable struct {
	table atomic.Pointer[Table]
}

// Current returns the active version, nil if there is none.
func (a *ActiveTable) Current() *Table { return a.table.Load() }

// Adopt activates a version if it is newer and reports whether it did.
func (a *ActiveTable) Adopt(t *Table) bool {
	for {
		old := a.table.Load()
		if old != nil && t.Version <= old.Version {
			return false
		}
		if a.table.CompareAndSwap(old, t) {
			return true
		}
	}
}

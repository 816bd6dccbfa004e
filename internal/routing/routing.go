// Package routing holds the configuration of the queues of stored jobs: which
// route a request belongs to, and how urgent and how patient its jobs are.
package routing

import (
	"strings"
	"sync/atomic"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Route is a queue.
type Route struct {
	Name    batch.Route
	Host    string
	Prefix  string
	Service string
	// Priority of the route's jobs; 0 is the most urgent.
	Priority int
	// MaxFailures is the number of failed runs of a task that fail its job.
	MaxFailures int
	// SlackFactor is the multiple of the longest chain of work that a job may take,
	// Target what it may take beyond that.
	SlackFactor   float64
	TargetLatency clock.Millis
	// RequiresAdvice is true if only some workers may run a job's steps, which a
	// service of the platform names; such jobs are not supported.
	RequiresAdvice bool
}

// Objective returns the response time that the route aims at for a job with
// these steps.
func (r *Route) Objective(steps []batch.Step) clock.Millis {
	ends := make([]clock.Millis, len(steps))
	var longest clock.Millis
	for i, step := range steps {
		for _, before := range step.DependsOn {
			ends[i] = max(ends[i], ends[before])
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

// Match returns the route of a request: the one of its host with the longest
// prefix of its path.
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

// ActiveTable holds the version in force. It never goes back to an older one.
type ActiveTable struct {
	table atomic.Pointer[Table]
}

// Current returns the version in force, nil without one.
func (h *ActiveTable) Current() *Table { return h.table.Load() }

// Adopt puts a version in force if it is newer and reports whether it was.
func (h *ActiveTable) Adopt(t *Table) bool {
	for {
		old := h.table.Load()
		if old != nil && t.Version <= old.Version {
			return false
		}
		if h.table.CompareAndSwap(old, t) {
			return true
		}
	}
}

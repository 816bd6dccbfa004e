package dispatch

import (
	"github.com/teaseltide/teaseltide/internal/admission"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// recheckInterval is the time between checks of a job that has not
	// started. During overload shorter jobs pass it, and a refusal that comes
	// only at the deadline is late. A refusal takes two checks and should come
	// within 1 s.
	recheckInterval clock.Millis = 200
	// recheckMargin is the factor by which the time left must exceed the
	// estimate of a waiting job during overload. Without it, jobs in a burst
	// of 10 times the capacity were refused only after 2 s, because the
	// estimate does not include the jobs that pass them later.
	recheckMargin = 2
)

// load counts tasks of a partition since the entry started: those of new jobs,
// accepted or not, and those sent to a sidecar. Only differences are used.
type load struct {
	offered, started int64
}

// recheck refuses a job of which nothing has been sent if it is no longer
// expected to meet its deadline.
func (c *Core) recheck(j *job) {
	if j.started || j.resumed {
		return
	}
	if j.state == jobRunning && !c.expectedOnTime(j) {
		c.fail(j, wire.Ran_RAN_FAILED, string(admission.DeadlineTooSoon), "shorter jobs went first, and the job can no longer be finished by its deadline")
		return
	}
	j.recheckAt = c.now + recheckInterval
}

// expectedOnTime reports whether a waiting job is expected to meet its
// deadline, with a margin while more tasks arrive than start. The first check
// only records the load: many jobs that arrive at once cause the same queue as
// the beginning of a burst, but nothing passes them later.
func (c *Core) expectedOnTime(j *job) bool {
	now := c.partitionOf(j.id.Service).load
	margin := clock.Millis(1)
	if j.lastLoad != nil && now.offered-j.lastLoad.offered > now.started-j.lastLoad.started {
		margin = recheckMargin
	}
	j.lastLoad = &now
	estimate := c.placement.Estimate(c.now, j.id.Service, c.placementTasks(j.spec, nil))
	return margin*estimate <= j.deadlineAt-c.now
}

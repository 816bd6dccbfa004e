package dispatch

import (
	"github.com/teaseltide/teaseltide/internal/admission"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// recheckInterval is when a job that has not started is checked again. In an
	// overload shorter jobs pass it, and a refusal that comes only at the
	// deadline is late. A refusal takes two checks and is to come within 1 s.
	recheckInterval clock.Millis = 200
	// recheckMargin is the part of the time left, as its inverse, within which
	// a waiting job must be expected to finish in an overload. Without a margin,
	// jobs in a burst of 10 times the capacity were refused only after 2 s,
	// because the jobs that pass them later are not in the estimate.
	recheckMargin = 2
)

// load counts tasks of a partition since the start of the entry: those of new
// jobs, accepted or not, and those that have been sent to a sidecar. Only
// differences are used.
type load struct {
	offered, started int64
}

// recheck refuses a job of which nothing has been sent if it can no longer be
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

// expectedOnTime tells whether a waiting job is expected to meet its deadline, with a
// margin while more tasks arrive than start. The first check only notes the
// load: many jobs that arrive at once make the same queue as the beginning of a
// burst, but nothing passes them later.
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

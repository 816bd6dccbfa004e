package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// unresolvedRun is a run of a stored job that this entry does not hold, although the job
// was open when it was looked up or the look-up failed. Its end must not stay
// unacknowledged once the job has ended: the ends behind it at its worker would too.
type unresolvedRun struct {
	run   batch.RunID
	since clock.Millis
}

// RecordUnresolvedRuns records runs at a sidecar whose jobs the store had as open, or of
// which a look-up failed.
func (s *Scheduler) RecordUnresolvedRuns(now clock.Millis, sidecar Address, runs []batch.RunID) {
	if n := s.nodes[sidecar]; n != nil && n.connected {
		for _, id := range runs {
			n.unresolved = append(n.unresolved, unresolvedRun{id, now})
		}
	}
}

// hasUnresolvedRuns reports whether a listing is needed to resolve runs.
func (s *Scheduler) hasUnresolvedRuns() bool {
	return slices.ContainsFunc(s.nodeList, func(n *node) bool { return len(n.unresolved) > 0 })
}

// resolveRuns releases the unresolved runs whose jobs have ended, and keeps those whose
// jobs are yet to be taken over by this entry or may be newer than the listing. Other
// jobs have an owner that gets their runs.
func (s *Scheduler) resolveRuns(open OpenJobs, listed map[batch.JobID]bool) {
	if !s.hasUnresolvedRuns() {
		return
	}
	awaited := make(map[batch.JobID]bool)
	for _, o := range open.Jobs {
		current, _ := s.successors.CurrentOwner(ownership.Incarnation(o.Record.GetOwner()))
		j := s.jobs[o.ID]
		awaited[o.ID] = current == s.settings.Self && (j == nil || j.inFlight == newJobWrite)
	}
	for _, n := range s.nodeList {
		n.unresolved = slices.DeleteFunc(n.unresolved, func(u unresolvedRun) bool {
			if u.since > open.ReadAt || awaited[u.run.Job] {
				return false
			}
			if !listed[u.run.Job] {
				n.releaseRun(u.run)
			}
			return true
		})
	}
}

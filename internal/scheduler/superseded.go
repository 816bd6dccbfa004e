package scheduler

import "github.com/teaseltide/teaseltide/internal/batch"

// supersedes reports whether the task was given to another run after this one, or is done
// by another.
func (t *task) supersedes(n *node, id batch.RunID) bool {
	return t.state == taskDone || t.attempt > id.Attempt || t.state == taskBound && !t.isBoundTo(n, id)
}

// handleSupersededDone handles the end "done" of a superseded run of a stored job. Another
// run may have started after it, so it must not count: it is acknowledged only if the
// worker's lease has lapsed since. Otherwise the sidecar lets the lease lapse and reports
// the end again. The ends behind it would wait for good if it were ignored.
func (s *Scheduler) handleSupersededDone(n *node, j *job, id batch.RunID, lapsed bool) {
	summary := "end of superseded run passed over"
	if lapsed {
		n.releaseRun(id)
	} else {
		summary = "end of superseded run voided"
		n.orders().Voids = append(n.orders().Voids, id.Wire())
	}
	s.pendingCommands = append(s.pendingCommands, Decision{Summary: summary, Job: j.ID, Run: id, Sidecar: n.address})
}

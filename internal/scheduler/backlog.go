package scheduler

import "slices"

// holdsUpEnds reports whether a sidecar may be able to list further ends of its worker only
// once an end of the job is in the store. That holds for a job that is taken over, too: the
// takeover waits for an inventory, and the sidecar has none before.
func (s *Scheduler) holdsUpEnds(j *job) bool {
	return slices.ContainsFunc(j.unstoredEnds, func(u unstoredEnd) bool {
		n := s.nodes[u.node]
		return n != nil && n.hasMoreEnds
	})
}

// isAwaitingEnds reports whether a takeover waits for a sidecar that reads the ends of its
// worker. They may be of jobs that are taken over, so silence does not end the takeover.
func (s *Scheduler) isAwaitingEnds(t *takeover) bool {
	for a := range t.awaitingInventory {
		if n := s.nodes[a]; n != nil && n.readingEnds {
			return true
		}
	}
	return false
}

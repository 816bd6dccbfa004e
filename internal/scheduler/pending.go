package scheduler

import (
	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// PendingJobs returns the number of accepted stored jobs of a route without a
// started task, at all entries.
func (s *Scheduler) PendingJobs(route batch.Route) int64 {
	n := s.ownPendingJobs()[string(route)]
	for _, p := range s.peerPending {
		n += p.counts[route]
	}
	return n
}

func (s *Scheduler) ownPendingJobs() map[string]int64 {
	counts := make(map[string]int64)
	for _, j := range s.jobs {
		if !j.BestEffort && !j.started && j.inFlight != newJobWrite && !j.cancelled {
			counts[string(j.Route)]++
		}
	}
	return counts
}

// HandleEntryNote handles a note of another entry: cancelled jobs and the numbers
// of its pending jobs.
func (s *Scheduler) HandleEntryNote(now clock.Millis, from ownership.Incarnation, n *wire.EntryNote) {
	for _, id := range n.GetCancelled() {
		s.jobCancelledByPeer(now, batch.JobID(id))
	}
	s.recordQueuedWork(now, from, n)
	if (len(n.GetCancelled()) > 0 || n.GetEvacuations() != nil || n.GetQueuedWorkSet()) && n.Pending == nil {
		return
	}
	counts := make(map[batch.Route]int64, len(n.GetPending()))
	for route, count := range n.GetPending() {
		counts[batch.Route(route)] = count
	}
	s.peerPending[from] = peerPending{counts: counts}
}

// peerPending holds the numbers of another entry's pending jobs.
type peerPending struct {
	counts map[batch.Route]int64
	// dropAt is when the counts of an entry without a session are dropped, 0 with one.
	dropAt clock.Millis
}

const (
	// lostPendingRetention is how long the pending jobs of a lost entry count unless
	// another entry takes over: as long as callers may wait for a takeover.
	lostPendingRetention = 14 * clock.Second
	// takenOverPendingRetention is the same once a successor is known, which then counts
	// them as its own and tells the others every 500 ms.
	takenOverPendingRetention = 3 * clock.Second
)

// EntryDisconnected handles the end of the session with another entry. Its stored jobs
// remain pending until they are taken over.
func (s *Scheduler) EntryDisconnected(id ownership.Incarnation) {
	s.dropPendingBy(id, s.now+lostPendingRetention)
	delete(s.queuedWork.peers, id)
	s.stopRunsOfLostOwner(id)
	s.disruptedAt = s.now
}

// dropPendingBy drops the numbers of another entry's pending jobs at a time, if they are
// not dropped before.
func (s *Scheduler) dropPendingBy(id ownership.Incarnation, at clock.Millis) {
	p, ok := s.peerPending[id]
	if !ok {
		return
	}
	if p.dropAt == 0 || at < p.dropAt {
		p.dropAt = at
	}
	s.peerPending[id] = p
}

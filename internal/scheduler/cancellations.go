package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// cancellationNoteDuration is how long the other entries are told of a cancellation
// of a job that this entry doesn't hold. Sessions between entries begin or are replaced
// within seconds, and an owner that was paused for more than StoreContactTimeout, 8 s
// on the users' platform, orders no starts of stored jobs.
const cancellationNoteDuration = 10 * clock.Second

// ownerResponseTime is how long the owner of a cancelled job has to stop its runs before
// this entry tells the sidecars to: several round trips. The session with an owner that is
// lost without a sign lasts up to 20 s, its queued runs may start for 4 s, and no run of a
// cancelled job may start later than 3 s after the acknowledgement.
const ownerResponseTime = 300 * clock.Millis(1)

// notedCancellation is a job of another entry that is cancelled in the store.
type notedCancellation struct {
	id    batch.JobID
	since clock.Millis
	until clock.Millis
	// owner is the entry in the record that was cancelled, "" if it is not known.
	owner ownership.Incarnation
	// ordered is true once the sidecars have been told to stop the job's runs.
	ordered bool
}

// RecordCancelledElsewhere records that the store has a job as cancelled that this entry
// did not hold, and tells the other entries, of which one may own the job. This entry may
// have taken it over meanwhile. The sidecars are told as well, at once if there is no session
// with the owner and after ownerResponseTime otherwise: nobody takes over an entry without
// open jobs, so its runs would go on for as long as its grants last.
func (s *Scheduler) RecordCancelledElsewhere(now clock.Millis, id batch.JobID, owner ownership.Incarnation, isOwnerLost bool) {
	s.jobCancelledByPeer(now, id)
	i := slices.IndexFunc(s.notedCancellations, func(c notedCancellation) bool { return c.id == id })
	if i < 0 {
		i = len(s.notedCancellations)
		s.notedCancellations = append(s.notedCancellations, notedCancellation{id: id, since: now, until: now + cancellationNoteDuration, owner: owner})
		s.sendCancellations([]string{string(id)})
	}
	if isOwnerLost {
		s.stopRunsOfCancelled(&s.notedCancellations[i])
	}
}

// stopRunsOfCancelled tells all sidecars once to stop the runs of a cancelled job.
func (s *Scheduler) stopRunsOfCancelled(c *notedCancellation) {
	if c.ordered {
		return
	}
	c.ordered = true
	for _, n := range s.nodeList {
		if n.connected {
			n.orders().CancelledJobs = append(n.orders().CancelledJobs, string(c.id))
		}
	}
}

// stopRunsOfLostOwner does so for the recently cancelled jobs of an entry that is lost.
func (s *Scheduler) stopRunsOfLostOwner(owner ownership.Incarnation) {
	for i := range s.notedCancellations {
		if c := &s.notedCancellations[i]; c.owner == owner {
			s.stopRunsOfCancelled(c)
		}
	}
}

// EntryConnected handles the start of a session with another entry, which may have
// missed earlier notes.
func (s *Scheduler) EntryConnected(now clock.Millis, id ownership.Incarnation) {
	s.queuedWork.peers[id] = peerWork{}
	s.repeatCancellations(now)
}

// repeatCancellations sends the recent cancellations to the other entries again.
func (s *Scheduler) repeatCancellations(now clock.Millis) {
	s.notedCancellations = slices.DeleteFunc(s.notedCancellations, func(c notedCancellation) bool { return now >= c.until })
	var ids []string
	for i := range s.notedCancellations {
		c := &s.notedCancellations[i]
		ids = append(ids, string(c.id))
		if now-c.since >= ownerResponseTime {
			s.stopRunsOfCancelled(c)
		}
	}
	if len(ids) > 0 {
		s.sendCancellations(ids)
	}
}

func (s *Scheduler) sendCancellations(ids []string) {
	s.pendingCommands = append(s.pendingCommands, BroadcastNote{Note: &wire.EntryNote{Cancelled: ids}})
}

// jobCancelledByPeer handles the cancellation of a stored job in the store by another
// entry.
func (s *Scheduler) jobCancelledByPeer(now clock.Millis, id batch.JobID) {
	j := s.jobs[id]
	if j == nil || j.BestEffort {
		return
	}
	if j.inFlight == newJobWrite {
		// The submitters are answered with the result of the write.
		j.cancelledByPeer = true
		return
	}
	j.finalState = batch.Cancelled
	s.recordEnd(now, j)
}

package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// cancellationNoteDuration is how long the other entries are told of a cancellation
// of a job that this entry doesn't hold. Sessions between entries begin or are replaced
// within seconds, and an owner that was paused for more than StoreContactTimeout, 8 s
// on the users' platform, orders no starts of stored jobs.
const cancellationNoteDuration = 10 * clock.Second

// notedCancellation is a job of another entry that is cancelled in the store.
type notedCancellation struct {
	id    batch.JobID
	until clock.Millis
}

// RecordCancelledElsewhere records that the store has a job as cancelled that this entry
// did not hold, and tells the other entries, of which one may own the job. This entry may
// have taken it over meanwhile.
func (s *Scheduler) RecordCancelledElsewhere(now clock.Millis, id batch.JobID) {
	s.jobCancelledByPeer(now, id)
	if slices.ContainsFunc(s.notedCancellations, func(c notedCancellation) bool { return c.id == id }) {
		return
	}
	s.notedCancellations = append(s.notedCancellations, notedCancellation{id, now + cancellationNoteDuration})
	s.sendCancellations([]string{string(id)})
}

// EntryConnected handles the start of a session with another entry, which may have
// missed earlier notes.
func (s *Scheduler) EntryConnected(now clock.Millis) { s.repeatCancellations(now) }

// repeatCancellations sends the recent cancellations to the other entries again.
func (s *Scheduler) repeatCancellations(now clock.Millis) {
	s.notedCancellations = slices.DeleteFunc(s.notedCancellations, func(c notedCancellation) bool { return now >= c.until })
	var ids []string
	for _, c := range s.notedCancellations {
		ids = append(ids, string(c.id))
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

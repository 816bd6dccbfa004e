package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// minListingInterval is the shortest time between two listings of the open jobs that
// events request, so that many of them cost one.
const minListingInterval = 500 * clock.Millis(1)

// ListOpenJobs lists the open jobs in the store for Reconcile. If that fails,
// HandleListingFailure is called instead.
type ListOpenJobs struct{}

func (ListOpenJobs) command() {}

// listings is the state of the requests for listings of the open jobs.
type listings struct {
	due         bool
	requestedAt clock.Millis
	// isSuccessor is true once this entry has succeeded another.
	isSuccessor bool
	// recoveries is the number of Recover commands for each entry whose jobs have not
	// been passed to RecoverJobs yet.
	recoveries map[ownership.Incarnation]int
}

// requestListing requests a listing of the open jobs, which is made once
// minListingInterval has passed since the last one and the store takes calls.
func (s *Scheduler) requestListing() { s.listings.due = true }

func (s *Scheduler) listIfDue(now clock.Millis) {
	if !s.listings.due || s.storeFailing || now-s.listings.requestedAt < minListingInterval {
		return
	}
	s.listings.due = false
	s.listings.requestedAt = now
	s.pendingCommands = append(s.pendingCommands, ListOpenJobs{})
}

// HandleListingFailure handles the failure of a listing of the open jobs.
func (s *Scheduler) HandleListingFailure(now clock.Millis) {
	s.listings.requestedAt = now
	s.requestListing()
}

// Reconcile compares the open jobs in the store with those that this entry holds and
// repairs the differences. It marks owners that are not registered as missing, and
// recovers jobs that are this entry's as a successor although it does not hold them. It
// is idempotent.
//
// A record that this entry wrote itself is not recovered: a write is repeated until its
// outcome is known, so the job is held, or the listing is older than its end.
func (s *Scheduler) Reconcile(now clock.Millis, open []OpenJob) {
	var unheld []ownership.Incarnation
	for _, o := range open {
		owner := ownership.Incarnation(o.Record.GetOwner())
		current, _ := s.successors.CurrentOwner(owner)
		if current != s.settings.Self {
			s.noteMissing(now, current)
			continue
		}
		if owner != current && !s.knows(o.ID) && !slices.Contains(unheld, owner) {
			unheld = append(unheld, owner)
		}
	}
	for _, owner := range unheld {
		if s.listings.recoveries[owner] == 0 {
			s.recover(owner)
		}
	}
}

// knows reports whether this entry holds a job or has ended it.
func (s *Scheduler) knows(id batch.JobID) bool {
	_, ended := s.ended[id]
	return ended || s.jobs[id] != nil
}

// recover requests the jobs of a deposed entry.
func (s *Scheduler) recover(entry ownership.Incarnation) {
	if s.listings.recoveries == nil {
		s.listings.recoveries = make(map[ownership.Incarnation]int)
	}
	s.listings.isSuccessor = true
	s.listings.recoveries[entry]++
	s.pendingCommands = append(s.pendingCommands, Recover{Entry: entry})
}

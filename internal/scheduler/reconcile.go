package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// minListingInterval is the shortest time between two listings of the open jobs that
	// events request, so that many of them cost one.
	minListingInterval = 500 * clock.Millis(1)
	// confirmationInterval is the longest time for which an entry relies on a stored job
	// being open without a write or a listing that shows it. With a listing that takes a
	// second it is well within the 3 s after which the users permit no start of a
	// cancelled job. Shorter jobs need no listing.
	confirmationInterval = 1 * clock.Second
)

// ListOpenJobs lists the open jobs in the store for Reconcile. If that fails,
// HandleListingFailure is called instead.
type ListOpenJobs struct{}

func (ListOpenJobs) command() {}

// OpenJobs is a listing of the open jobs in the store.
type OpenJobs struct {
	// Revision is that of the store at the beginning of the listing. Jobs that were
	// stored later may be missing from it.
	Revision int64
	// ReadAt is when the listing began.
	ReadAt clock.Millis
	Jobs   []OpenJob
	// Malformed holds the open jobs whose records cannot be read.
	Malformed []batch.JobID
}

// listings is the state of the requests for listings of the open jobs.
type listings struct {
	due         bool
	inFlight    bool
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
	if !s.listings.due || s.listings.inFlight || s.storeFailing || now-s.listings.requestedAt < minListingInterval {
		return
	}
	s.listings.due = false
	s.listings.inFlight = true
	s.listings.requestedAt = now
	s.pendingCommands = append(s.pendingCommands, ListOpenJobs{})
}

// HandleListingFailure handles the failure of a listing of the open jobs.
func (s *Scheduler) HandleListingFailure(now clock.Millis) {
	s.listings.inFlight = false
	s.listings.requestedAt = now
	s.requestListing()
}

// Reconcile compares the open jobs in the store with those that this entry holds and
// repairs the differences. It marks owners that are not registered as missing, recovers
// jobs that are this entry's as a successor although it does not hold them, and drops
// those that another entry has ended. It is idempotent.
//
// A record that this entry wrote itself is not recovered: a write is repeated until its
// outcome is known, so the job is held, or the listing is older than its end.
func (s *Scheduler) Reconcile(now clock.Millis, open OpenJobs) {
	s.listings.inFlight = false
	listed := make(map[batch.JobID]bool, len(open.Jobs)+len(open.Malformed))
	for _, id := range open.Malformed {
		listed[id] = true
	}
	var unheld []ownership.Incarnation
	owners := make(map[ownership.Incarnation]bool)
	for _, o := range open.Jobs {
		listed[o.ID] = true
		owner := ownership.Incarnation(o.Record.GetOwner())
		owners[owner] = true
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
	for entry, p := range s.peerPending {
		if p.dropAt != 0 && !owners[entry] {
			delete(s.peerPending, entry)
		}
	}
	s.resolveRuns(open, listed)
	for id, j := range s.jobs {
		switch {
		case j.BestEffort:
		case listed[id]:
			j.confirmedAt = now
		case j.isOpenAsKnown() && j.revision <= open.Revision:
			s.relinquish(j, "not open in the store")
		}
	}
}

// isOpenAsKnown reports whether the job's record is open unless another entry has ended
// the job: neither its first nor its last write is in flight.
func (j *job) isOpenAsKnown() bool { return j.inFlight == noWrite || j.inFlight == progressWrite }

// needsConfirmation reports whether another entry may have ended a stored job more than
// confirmationInterval ago.
func (j *job) needsConfirmation(now clock.Millis) bool {
	return !j.BestEffort && j.isOpenAsKnown() && now-j.confirmedAt >= confirmationInterval
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

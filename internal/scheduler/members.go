package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// deposeAfter is how long an entry must have been missing from the store before
	// it is deposed. The live entries' delays are staggered by deposeStagger, so
	// that usually one entry does it.
	deposeAfter   = 100 * clock.Millis(1)
	deposeStagger = 500 * clock.Millis(1)
	// deposeRetryInterval is the wait before another attempt.
	deposeRetryInterval = 2 * clock.Second
	// storeReturnGracePeriod is how long entries may take to register again after a
	// store outage in which their leases may have expired.
	storeReturnGracePeriod = 2500 * clock.Millis(1)
)

// Depose marks a missing entry as deposed in the store. Its jobs are recovered once
// ApplyFences gets the mark.
type Depose struct {
	Entry ownership.Incarnation
}

func (Depose) command() {}

// membership is what an entry knows of the other entries.
type membership struct {
	live []ownership.Incarnation
	// missingSince holds the entries to be deposed and since when each has been
	// missing.
	missingSince map[ownership.Incarnation]clock.Millis
	lastDeposeAt map[ownership.Incarnation]clock.Millis
	// storeRecoveredAt is when the store last became available again.
	storeRecoveredAt clock.Millis
}

// SetEntries sets the registered entries, including this one.
func (s *Scheduler) SetEntries(live []ownership.Incarnation) {
	for _, id := range s.live {
		if id != s.settings.Self && !slices.Contains(live, id) {
			// Most entries hold no stored jobs and need no successor.
			s.requestListing()
			break
		}
	}
	s.live = slices.Clone(live)
	slices.Sort(s.live)
	s.entryCount = max(1, len(live))
}

// noteMissing marks the owner of an open job as missing if it is not registered.
func (s *Scheduler) noteMissing(now clock.Millis, id ownership.Incarnation) {
	if id == s.settings.Self || slices.Contains(s.live, id) {
		return
	}
	if s.missingSince == nil {
		s.missingSince = make(map[ownership.Incarnation]clock.Millis)
		s.lastDeposeAt = make(map[ownership.Incarnation]clock.Millis)
	}
	if _, ok := s.missingSince[id]; !ok {
		s.missingSince[id] = now
	}
}

// CurrentOwner returns the entry that now owns the jobs of an entry, and the
// number of owners before it.
func (s *Scheduler) CurrentOwner(id ownership.Incarnation) (ownership.Incarnation, int) {
	return s.successors.CurrentOwner(id)
}

// deposeMissing deposes entries that have been missing for long enough.
func (s *Scheduler) deposeMissing(now clock.Millis) {
	rank := slices.Index(s.live, s.settings.Self)
	if len(s.missingSince) == 0 || rank < 0 || s.storeFailing || now-s.storeRecoveredAt < storeReturnGracePeriod || !s.mayOrderStored(now) {
		return
	}
	for id, since := range s.missingSince {
		switch {
		case slices.Contains(s.live, id) || s.successors[id] != "":
			delete(s.missingSince, id)
			delete(s.lastDeposeAt, id)
		case now-since >= deposeAfter+clock.Millis(rank)*deposeStagger && now-s.lastDeposeAt[id] >= deposeRetryInterval:
			s.lastDeposeAt[id] = now
			s.pendingCommands = append(s.pendingCommands, Depose{Entry: id})
		}
	}
}

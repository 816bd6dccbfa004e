package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

const (
	// deposeAfter is how long an entry must have been missing from the store
	// before it is deposed; each further entry waits deposeStep longer, so that
	// usually one does it.
	deposeAfter = 100 * clock.Millis(1)
	deposeStep  = 500 * clock.Millis(1)
	// deposeAgain is the wait before another attempt.
	deposeAgain = 2 * clock.Second
	// returnTime is how long entries may take to register again after the store
	// was away, where their leases may have lapsed.
	returnTime = 2500 * clock.Millis(1)
)

// Depose marks a missing entry as deposed and reads its jobs for Recovered.
type Depose struct {
	Entry ownership.Incarnation
}

// ScanOwners reads the owners of open jobs for Owners, because an entry is gone.
// Most entries hold no stored jobs, and nobody has to take over from those.
type ScanOwners struct{}

func (Depose) command()     {}
func (ScanOwners) command() {}

// members is what an entry knows of the others.
type members struct {
	live []ownership.Incarnation
	// missing holds the entries that are to be deposed and since when.
	missing map[ownership.Incarnation]clock.Millis
	tried   map[ownership.Incarnation]clock.Millis
	// storeBackAt is when the store last began to answer again.
	storeBackAt clock.Millis
}

// Entries takes the registered entries, with this one.
func (s *Scheduler) Entries(live []ownership.Incarnation) {
	for _, id := range s.live {
		if id != s.settings.Self && !slices.Contains(live, id) {
			s.out = append(s.out, ScanOwners{})
			break
		}
	}
	s.live = slices.Clone(live)
	slices.Sort(s.live)
	s.peers = max(1, len(live))
}

// Owners takes the owners of open jobs as read from the store.
func (s *Scheduler) Owners(now clock.Millis, owners []ownership.Incarnation) {
	for _, id := range owners {
		heir, _ := s.successors.CurrentOwner(id)
		s.miss(now, heir)
	}
}

func (s *Scheduler) miss(now clock.Millis, id ownership.Incarnation) {
	if id == s.settings.Self || slices.Contains(s.live, id) {
		return
	}
	if s.missing == nil {
		s.missing = make(map[ownership.Incarnation]clock.Millis)
		s.tried = make(map[ownership.Incarnation]clock.Millis)
	}
	if _, ok := s.missing[id]; !ok {
		s.missing[id] = now
	}
}

// Heir returns the entry that now owns the jobs of an entry, and how many owners
// they had before it.
func (s *Scheduler) Heir(id ownership.Incarnation) (ownership.Incarnation, int) {
	return s.successors.CurrentOwner(id)
}

// checkMembers deposes entries that have been missing for long enough.
func (s *Scheduler) checkMembers(now clock.Millis) {
	rank := slices.Index(s.live, s.settings.Self)
	if len(s.missing) == 0 || rank < 0 || s.storeFailing || now-s.storeBackAt < returnTime || !s.mayOrder(now) {
		return
	}
	for id, since := range s.missing {
		switch {
		case slices.Contains(s.live, id) || s.successors[id] != "":
			delete(s.missing, id)
			delete(s.tried, id)
		case now-since >= deposeAfter+clock.Millis(rank)*deposeStep && now-s.tried[id] >= deposeAgain:
			s.tried[id] = now
			s.out = append(s.out, Depose{Entry: id})
		}
	}
}

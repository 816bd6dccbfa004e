package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// takeover is the recovery of the jobs of a deposed entry.
type takeover struct {
	deposed ownership.Incarnation
	jobs    []batch.JobID
	// owners holds the deposed entry and all others that owned one of the jobs. The
	// jobs may be those of several entries that were deposed at one time.
	owners []ownership.Incarnation
	// awaitingInventory holds the sidecars that have not listed their runs since
	// they fenced all owners; fenced holds those that each has fenced.
	awaitingInventory map[Address]bool
	fenced            map[Address][]ownership.Incarnation
	// awaitsSilence is true if a sidecar with an unknown address may run tasks. Its
	// inventory cannot be attributed to it, so the takeover lasts until silentUntil.
	awaitsSilence bool
	// silentUntil is when a silent sidecar can no longer run anything for the
	// deposed entry.
	silentUntil clock.Millis
	begunAt     clock.Millis
}

// OpenJob is an open job as read from the store.
type OpenJob struct {
	ID       batch.JobID
	Revision int64
	Record   *wire.StoredJob
	// PreviousOwners is the number of owners from the one in the record up to this entry,
	// without it.
	PreviousOwners int
}

// Recover reads the open jobs of a deposed entry and the sidecars that may run their
// tasks for RecoverJobs.
type Recover struct {
	Entry ownership.Incarnation
}

func (Recover) command() {}

// ApplyFences sets the deposed entries with their successors, sends new fences to the
// sidecars and begins the takeovers that fall to this entry. The marks in the store
// decide that, because the answer to a write of a mark may be lost.
func (s *Scheduler) ApplyFences(fences map[ownership.Incarnation]ownership.Incarnation) {
	var added []ownership.Incarnation
	for deposed, successor := range fences {
		if s.successors[deposed] == successor {
			continue
		}
		s.successors[deposed] = successor
		added = append(added, deposed)
		if successor != s.settings.Self {
			s.dropPendingBy(deposed, s.now+takenOverPendingRetention)
		}
		for _, n := range s.nodeList {
			if n.connected {
				n.orders().Fences = append(n.orders().Fences, &wire.FenceEntry{Deposed: string(deposed), Successor: string(successor)})
			}
		}
	}
	slices.Sort(added)
	for _, deposed := range added {
		// The mark of a predecessor may be written late, after its successor has been
		// deposed in turn.
		if owner, _ := s.successors.CurrentOwner(deposed); owner == s.settings.Self {
			s.recover(deposed)
		}
	}
}

// RecoverJobs begins the takeover of the jobs of an entry that this one has
// deposed, as read from the store. sidecars are those that may run their tasks,
// unreadable is the number of further ones with unknown addresses.
func (s *Scheduler) RecoverJobs(now clock.Millis, deposed ownership.Incarnation, jobs []OpenJob, sidecars []Address, unreadable int) {
	s.counters.Takeovers++
	if s.listings.recoveries[deposed] > 0 {
		s.listings.recoveries[deposed]--
	}
	t := &takeover{
		deposed: deposed, owners: []ownership.Incarnation{deposed},
		awaitingInventory: make(map[Address]bool), fenced: make(map[Address][]ownership.Incarnation),
		awaitsSilence: unreadable > 0,
		begunAt:       now, silentUntil: now + s.settings.StoreContactTimeout + s.settings.GrantDuration,
	}
	for _, a := range sidecars {
		t.awaitingInventory[a] = true
	}
	for _, o := range jobs {
		// An earlier takeover may have ended the job after these records were read. A
		// job whose first write is in flight here comes again with the listing that the
		// conflict of this write requests.
		if s.knows(o.ID) {
			continue
		}
		j := jobFromRecord(o)
		s.addSuspects(now, j)
		s.jobs[o.ID] = j
		s.stored++
		t.jobs = append(t.jobs, o.ID)
		s.addOwners(t, ownership.Incarnation(o.Record.GetOwner()))
	}
	delete(s.peerPending, deposed)
	for _, n := range s.nodeList {
		if n.connected {
			t.awaitingInventory[n.address] = true
			for _, owner := range t.owners {
				n.orders().Fences = append(n.orders().Fences, &wire.FenceEntry{Deposed: string(owner), Successor: string(s.successors[owner])})
			}
		}
	}
	s.takeovers = append(s.takeovers, t)
	s.pendingCommands = append(s.pendingCommands, Decision{Summary: "takeover began", Reason: string(deposed), Value: int64(len(t.jobs))})
}

// addOwners adds the owner in the record of a job and its successors before this entry.
func (s *Scheduler) addOwners(t *takeover, owner ownership.Incarnation) {
	for range len(s.successors) {
		if owner == s.settings.Self || owner == "" {
			return
		}
		if !slices.Contains(t.owners, owner) {
			t.owners = append(t.owners, owner)
		}
		owner = s.successors[owner]
	}
}

// recordFenced records the fences that a sidecar has applied.
func (s *Scheduler) recordFenced(now clock.Millis, n *node, r *wire.TaskReport) {
	for _, t := range s.takeovers {
		for _, owner := range t.owners {
			if slices.Contains(r.GetFenced(), string(owner)) && !slices.Contains(t.fenced[n.address], owner) {
				t.fenced[n.address] = append(t.fenced[n.address], owner)
			}
		}
		if len(t.fenced[n.address]) == len(t.owners) && r.GetInventory() {
			delete(t.awaitingInventory, n.address)
		}
	}
	s.completeTakeovers(now)
}

// completeTakeovers ends the takeovers for which all sidecars have listed their
// runs or can run nothing any more.
func (s *Scheduler) completeTakeovers(now clock.Millis) {
	s.takeovers = slices.DeleteFunc(s.takeovers, func(t *takeover) bool {
		if (t.awaitsSilence || len(t.awaitingInventory) > 0) && now < t.silentUntil || s.isAwaitingEnds(t) {
			return false
		}
		for _, id := range t.jobs {
			if j := s.jobs[id]; j != nil {
				j.recovering = false
				s.enqueue(j)
				s.advance(now, j)
				s.saveCrashes(j)
			}
		}
		s.pendingCommands = append(s.pendingCommands, Decision{Summary: "takeover complete", Reason: string(t.deposed), Value: int64(now - t.begunAt)})
		return true
	})
}

// Recovering reports whether a takeover is in progress.
func (s *Scheduler) Recovering() bool { return len(s.takeovers) > 0 }

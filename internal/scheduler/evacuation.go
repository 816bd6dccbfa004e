package scheduler

import (
	"github.com/teaseltide/teaseltide/internal/evacuation"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// evacuationState is the state of a worker's evacuation.
type evacuationState struct {
	// evacuated is true if the worker's failure domain is in the entry's set or its
	// sidecar reports that it is evacuated. The worker gets no starts and its capacity
	// does not count; its active runs continue.
	evacuated bool
	// evacuationPeer tracks which set the sidecar has.
	evacuationPeer evacuation.Peer
}

// SetEvacuations sets the newest set of evacuated failure domains.
func (s *Scheduler) SetEvacuations(set *evacuation.Set) {
	s.evacuations = set
	for _, n := range s.nodeList {
		s.updateEvacuated(n)
	}
}

// updateEvacuated updates whether a worker is evacuated. The selected subsets have to
// replace it then.
func (s *Scheduler) updateEvacuated(n *node) {
	evacuated := s.evacuations.Contains(n.domain) || n.load.GetEvacuated()
	if evacuated != n.evacuated {
		n.evacuated = evacuated
		s.subsetUpdate.due = true
	}
}

// beginEvacuationSession resets the state with the beginning of a session.
func (n *node) beginEvacuationSession(set *evacuation.Set) {
	n.evacuationState = evacuationState{evacuated: set.Contains(n.domain)}
}

// handleReportedEvacuations handles what a report says about evacuations.
func (s *Scheduler) handleReportedEvacuations(n *node, r *wire.TaskReport) {
	n.evacuationPeer.Note(evacuation.FromWire(r.GetEvacuations()))
	s.updateEvacuated(n)
}

// addEvacuations adds the set to orders if the sidecar needs it.
func (s *Scheduler) addEvacuations(n *node, orders *wire.TaskOrders) {
	if n.evacuationPeer.Due(s.evacuations) {
		orders.Evacuations = s.evacuations.Wire()
		n.evacuationPeer.Note(s.evacuations)
	}
}

// isReady reports whether the worker takes new tasks, apart from its free capacity. The
// entry may know of an evacuation before the sidecar, and the reverse.
func (n *node) isReady() bool { return n.load.GetReady() && !n.evacuated }

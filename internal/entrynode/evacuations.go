package entrynode

import (
	"go.uber.org/zap"

	"github.com/teaseltide/teaseltide/internal/evacuation"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// evacuations exchanges the set of evacuated failure domains with other processes. It
// belongs to the control thread.
type evacuations struct {
	// applied is the set that the core has.
	applied *evacuation.Set
	// peers tracks which set each entry with a session has.
	peers map[ownership.Incarnation]*evacuation.Peer
	// announcementDue is true if an entry may need the set.
	announcementDue bool
}

// adoptEvacuations merges a set that another process sent into that of this process.
func (p *Process) adoptEvacuations(now clock.Millis, from ownership.Incarnation, m *wire.EvacuationSet) {
	if p.deps.Evacuations == nil || m == nil {
		return
	}
	set := evacuation.FromWire(m)
	p.deps.Evacuations.Adopt(now, set, string(from))
	if peer := p.evacuations.peers[from]; peer != nil {
		peer.Note(set)
		p.evacuations.announcementDue = true
	}
	p.applyEvacuations()
}

// beginEvacuationSession begins the exchange with an entry.
func (p *Process) beginEvacuationSession(entry ownership.Incarnation) {
	p.evacuations.peers[entry] = &evacuation.Peer{}
	p.evacuations.announcementDue = true
}

// applyEvacuations passes the newest set to the core, which sends it to the sidecars, and
// sends it to the entries that need it.
func (p *Process) applyEvacuations() {
	if p.deps.Evacuations == nil {
		return
	}
	if set := p.deps.Evacuations.Current(); set != p.evacuations.applied {
		p.evacuations.applied = set
		p.evacuations.announcementDue = true
		p.core.SetEvacuations(set)
	}
	if !p.evacuations.announcementDue {
		return
	}
	p.evacuations.announcementDue = false
	for id, peer := range p.evacuations.peers {
		if peer.Due(p.evacuations.applied) {
			peer.Note(p.evacuations.applied)
			p.sendNote(id, &wire.EntryNote{Evacuations: p.evacuations.applied.Wire()})
		}
	}
}

// sendNote sends a note to one entry.
func (p *Process) sendNote(entry ownership.Incarnation, n *wire.EntryNote) {
	s := p.entrySessions[entry]
	if s == nil {
		return
	}
	if err := s.Send(wire.Wrap(n)); err != nil {
		p.deps.Log.Warn("session closed, frame not queued", entryPeer.field(), zap.String("peer", string(entry)), zap.Error(err))
		s.Close()
	}
}

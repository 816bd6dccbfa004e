package sidecarnode

import (
	"github.com/teaseltide/teaseltide/internal/evacuation"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// adoptEvacuations merges the set of an entry into that of this process, before the starts
// of the same orders are handled.
func (p *Process) adoptEvacuations(now clock.Millis, from ownership.Incarnation, m *wire.EvacuationSet) {
	if p.deps.Evacuations == nil || m == nil {
		return
	}
	p.deps.Evacuations.Adopt(now, evacuation.FromWire(m), string(from))
	p.applyEvacuations()
}

// applyEvacuations passes the newest set to the core.
func (p *Process) applyEvacuations() {
	if p.deps.Evacuations != nil {
		p.core.SetEvacuations(p.deps.Evacuations.Current())
	}
}

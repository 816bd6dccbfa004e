package executor

import (
	"github.com/teaseltide/teaseltide/internal/evacuation"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
)

// evacuations is what a sidecar knows of the evacuated failure domains.
type evacuations struct {
	// required is true if nothing may be started before a set is known.
	required bool
	// domain is the failure domain of the worker.
	domain ownership.Domain
	set    *evacuation.Set
}

// RequireEvacuations makes the sidecar follow the evacuations: it starts nothing before
// it has a set, and nothing while its own failure domain is evacuated.
func (x *Executor) RequireEvacuations(domain ownership.Domain) {
	x.evacuations.required = true
	x.evacuations.domain = domain
	x.loadVersion++
}

// SetEvacuations sets the newest set of evacuated failure domains. Active runs continue;
// the next tick returns the queued ones to their entries.
func (x *Executor) SetEvacuations(set *evacuation.Set) {
	if !x.evacuations.required {
		return
	}
	before, first := x.isEvacuated(), x.evacuations.set == nil
	x.evacuations.set = set
	if first || before != x.isEvacuated() {
		x.loadVersion++
	}
}

// isEvacuated reports whether the worker's failure domain is evacuated.
func (x *Executor) isEvacuated() bool { return x.evacuations.set.Contains(x.evacuations.domain) }

// permitStarts reports whether starts are permitted as far as evacuations are concerned.
func (e *evacuations) permitStarts() bool {
	return !e.required || e.set != nil && !e.set.Contains(e.domain)
}

// isSetDue reports whether the next report to an entry includes the set. The entry sends
// its own with the first orders of a session, which then need no answer with the same.
func (x *Executor) isSetDue(e *entry) bool {
	return (e.received > 0 || !e.inventoryDue) && e.evacuations.Due(x.evacuations.set)
}

// addEvacuations adds the set to a report if it is due.
func (x *Executor) addEvacuations(e *entry, report *wire.TaskReport) {
	if x.isSetDue(e) {
		report.Evacuations = x.evacuations.set.Wire()
		e.evacuations.Note(x.evacuations.set)
	}
}

package executor

import (
	"github.com/teaseltide/teaseltide/internal/evacuation"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// evacuations is what a sidecar knows of the evacuated failure domains.
type evacuations struct {
	// required is true if nothing may be started before a set is known.
	required bool
	// domain is the failure domain of the worker.
	domain ownership.Domain
	set    *evacuation.Set
	// knownSince is when the first set was known, 0 before.
	knownSince clock.Millis
	// waiting is true while another process may still tell the state of the domain.
	waiting bool
}

// undeterminedWait is how long a new sidecar waits for another process to tell the state of
// its failure domain, if the value in the store is not readable. Entries of the slowest VMs
// need 0.6 s until they have opened their sessions, and an entry that has restarted too has
// to be told first.
const undeterminedWait = 2 * clock.Second

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
	return !e.required || e.set != nil && !e.waiting && !e.set.Contains(e.domain)
}

// updateEvacuations updates whether starts wait for the state of the own domain.
func (x *Executor) updateEvacuations(now clock.Millis) {
	e := &x.evacuations
	if e.set == nil {
		return
	}
	if e.knownSince == 0 {
		e.knownSince = now
	}
	if waiting := e.set.IsUndetermined(e.domain) && now < e.knownSince+undeterminedWait; waiting != e.waiting {
		e.waiting = waiting
		x.loadVersion++
	}
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

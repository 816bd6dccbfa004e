package executor

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// unclaimed lists the runs that no entry has claimed. The first list is for the one entry
// that looks up their jobs in the store; the second is for the others, one of which may
// hold a job without having adopted the run. Each entry gets a run every
// unclaimedDelay.
func (x *Executor) unclaimed(now clock.Millis, id ownership.Incarnation) (toLookUp, toAdopt []*wire.TaskRun) {
	isResolver := x.resolver() == id
	for _, r := range x.runs {
		delay := unclaimedDelay
		if r.phase == ended && r.reportedTo[id] == 0 {
			// Before unclaimedEndTimeout, so that ends of jobs that are over stop no run.
			delay = ClaimTimeout
		}
		if r.owner != "" || r.acknowledgeable || r.isWithheld() || now-max(r.discoveredAt, r.reportedTo[id]) < delay {
			continue
		}
		if r.reportedTo == nil {
			r.reportedTo = make(map[ownership.Incarnation]clock.Millis)
		}
		r.reportedTo[id] = now
		if isResolver {
			toLookUp = append(toLookUp, r.id.Wire())
		} else {
			toAdopt = append(toAdopt, r.id.Wire())
		}
	}
	return toLookUp, toAdopt
}

// resolver returns the connected entry with the lowest name, which looks up the
// jobs of unclaimed runs.
func (x *Executor) resolver() ownership.Incarnation {
	var lowest ownership.Incarnation
	for id, e := range x.entries {
		if e.connected && !e.deposed && (lowest == "" || id < lowest) {
			lowest = id
		}
	}
	return lowest
}

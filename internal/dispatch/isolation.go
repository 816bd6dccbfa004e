package dispatch

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// isolationPeriod is how long an isolated entry stays without a lease if it
// gets no session outside its domain. When every domain is partitioned from
// every other, all entries give up their leases; without a pause each would
// interpret the missing leases of the others as their failure and register at
// once.
const isolationPeriod clock.Millis = 10_000

// isolation tracks whether this entry is isolated from all other failure
// domains while entries there are alive. Such an owner cannot start jobs with
// a caller's key, because claims need two domains, and callers of other
// entries cannot reach it. Its lease would keep the others from replacing it.
type isolation struct {
	// hadOutsideSession is true once a session outside the own domain has
	// existed. An entry that has just started is not isolated for lack of
	// sessions.
	hadOutsideSession bool
	// reevaluateAt is when the isolation is evaluated again without a new
	// session, 0 while the entry is not isolated.
	reevaluateAt clock.Millis
	// evaluate requests an evaluation in this tick.
	evaluate bool
}

// checkIsolation reports a change of the isolation to the process.
func (c *Core) checkIsolation() {
	state := &c.isolation
	if !state.evaluate && (state.reevaluateAt == 0 || c.now < state.reevaluateAt) {
		return
	}
	state.evaluate = false
	outside := c.hasOutsideSession()
	state.hadOutsideSession = state.hadOutsideSession || outside
	wasIsolated := state.reevaluateAt > 0
	switch {
	case wasIsolated && c.now < state.reevaluateAt && !outside:
		return
	case state.hadOutsideSession && !outside && c.othersCanServe():
		state.reevaluateAt = c.now + isolationPeriod
	default:
		state.reevaluateAt = 0
	}
	if isolated := state.reevaluateAt > 0; isolated != wasIsolated {
		c.emit(IsolationChanged{Isolated: isolated})
	}
}

// hasOutsideSession reports whether there is a session with a process in
// another failure domain.
func (c *Core) hasOutsideSession() bool {
	for _, p := range c.peers.All() {
		if p.connected && p.domain != c.cfg.Domain {
			return true
		}
	}
	for _, s := range c.sidecars.All() {
		if s.connected && s.domain != c.cfg.Domain {
			return true
		}
	}
	return false
}

// othersCanServe reports whether entries of other domains hold leases and
// could start jobs with a caller's key, which takes sidecars in two domains.
func (c *Core) othersCanServe() bool {
	if !c.storeUp {
		return false
	}
	alive := false
	for _, m := range c.membership.leaseHolders {
		alive = alive || m.Domain != c.cfg.Domain
	}
	domains := make(map[ownership.Domain]struct{})
	for _, s := range c.sidecars.All() {
		if s.registered && s.domain != c.cfg.Domain {
			domains[s.domain] = struct{}{}
		}
	}
	return alive && len(domains) > 1
}

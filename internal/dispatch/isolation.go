package dispatch

import (
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// isolationTime is how long an entry that gave up its lease stays without one
// if it gets no session outside its domain. When every domain is cut off from
// every other one, all entries give up their leases; without a pause each would
// take the missing leases of the others for their end and register at once.
const isolationTime clock.Millis = 10_000

// isolation tells whether this entry is cut off from all other failure domains
// while others there are alive. Such an owner can start no job with a caller's
// key, because its claims need two domains, and the callers of other entries
// cannot reach it. Its lease would keep the others from replacing it.
type isolation struct {
	// met is true once a session outside the own domain has existed. An entry
	// that has just started is not isolated because it has no session yet.
	met bool
	// until is when the state is judged anew without a new session, 0 while
	// the entry is not isolated.
	until clock.Millis
	// check asks for a new judgement in this tick.
	check bool
}

// checkIsolation tells the process when this entry becomes isolated or is no
// longer.
func (c *Core) checkIsolation() {
	i := &c.isolation
	if !i.check && (i.until == 0 || c.now < i.until) {
		return
	}
	i.check = false
	reaches := c.reachesOutside()
	i.met = i.met || reaches
	was := i.until > 0
	switch {
	case was && c.now < i.until && !reaches:
		return
	case i.met && !reaches && c.othersServe():
		i.until = c.now + isolationTime
	default:
		i.until = 0
	}
	if is := i.until > 0; is != was {
		c.emit(IsolationChanged{Isolated: is})
	}
}

// reachesOutside tells whether there is a session with a process of another
// failure domain.
func (c *Core) reachesOutside() bool {
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

// othersServe tells whether entries of other domains are alive, by their leases,
// and could start jobs with a caller's key: that takes sidecars in two domains.
func (c *Core) othersServe() bool {
	if !c.storeUp {
		return false
	}
	alive := false
	for _, m := range c.membership.leased {
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

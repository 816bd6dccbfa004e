package dispatch

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/ownership"
)

// claimGroup holds the claims of a partition that share the same holders. New
// claims get the same holders as long as these are usable, so a partition has
// few groups, and the loss of a sidecar touches only the claims that it holds.
type claimGroup struct {
	holders []ownership.Incarnation
	// unconfirmed holds the claims that some holder has not confirmed.
	unconfirmed, confirmed claimList
}

// claimList is a linked list of claims in insertion order.
type claimList struct {
	first, last *claim
}

func (l *claimList) push(cl *claim) {
	cl.prev = l.last
	if l.last == nil {
		l.first = cl
	} else {
		l.last.next = cl
	}
	l.last = cl
}

func (l *claimList) remove(cl *claim) {
	if cl.prev == nil {
		l.first = cl.next
	} else {
		cl.prev.next = cl.next
	}
	if cl.next == nil {
		l.last = cl.prev
	} else {
		cl.next.prev = cl.prev
	}
	cl.prev, cl.next = nil, nil
}

func (l *claimList) appendIDs(ids []JobID) []JobID {
	for cl := l.first; cl != nil; cl = cl.next {
		ids = append(ids, cl.id)
	}
	return ids
}

// groupFor returns the group with these holders. When it adds one, it drops
// groups without claims.
func (p *partition) groupFor(holders []ownership.Incarnation) *claimGroup {
	for _, g := range p.claimGroups {
		if slices.Equal(g.holders, holders) {
			return g
		}
	}
	p.claimGroups = slices.DeleteFunc(p.claimGroups, (*claimGroup).empty)
	g := &claimGroup{holders: holders}
	p.claimGroups = append(p.claimGroups, g)
	return g
}

// groupsHeldBy returns the groups that have a sidecar among their holders.
func (p *partition) groupsHeldBy(id ownership.Incarnation) []*claimGroup {
	var at []*claimGroup
	for _, g := range p.claimGroups {
		if g.heldBy(id) {
			at = append(at, g)
		}
	}
	return at
}

func (g *claimGroup) empty() bool {
	return g.unconfirmed.first == nil && g.confirmed.first == nil
}

func (g *claimGroup) heldBy(id ownership.Incarnation) bool {
	return containsID(g.holders, id)
}

// listFor returns the list of the group that contains a claim.
func (g *claimGroup) listFor(cl *claim) *claimList {
	if cl.isConfirmed() {
		return &g.confirmed
	}
	return &g.unconfirmed
}

// add adds a claim that no holder has confirmed.
func (g *claimGroup) add(cl *claim) {
	cl.group = g
	cl.ackBits = 0
	g.unconfirmed.push(cl)
}

// unlink removes a claim from its group and drops its confirmations.
func (cl *claim) unlink() {
	if cl.group == nil {
		return
	}
	cl.group.listFor(cl).remove(cl)
	cl.group = nil
	cl.ackBits = 0
}

// transferTo replaces the claim in its group by another one of the same job
// and keeps the confirmations.
func (cl *claim) transferTo(other *claim) {
	g, acked := cl.group, cl.ackBits
	cl.unlink()
	if g == nil {
		return
	}
	other.group, other.ackBits = g, acked
	g.listFor(other).push(other)
}

// ack records that a sidecar has confirmed the claim.
func (cl *claim) ack(id ownership.Incarnation) {
	g := cl.group
	if g == nil || !g.heldBy(id) || cl.ackedBy(id) {
		return
	}
	g.listFor(cl).remove(cl)
	cl.ackBits |= 1 << slices.Index(g.holders, id)
	g.listFor(cl).push(cl)
}

// ackedBy reports whether a holder has confirmed the claim.
func (cl *claim) ackedBy(id ownership.Incarnation) bool {
	i := slices.Index(cl.holders(), id)
	return i >= 0 && cl.ackBits&(1<<i) != 0
}

// isConfirmed reports whether all holders have confirmed the claim.
func (cl *claim) isConfirmed() bool {
	return cl.group != nil && cl.ackBits == 1<<len(cl.group.holders)-1
}

func (cl *claim) holders() []ownership.Incarnation {
	if cl.group == nil {
		return nil
	}
	return cl.group.holders
}

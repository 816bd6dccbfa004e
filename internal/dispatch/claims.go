package dispatch

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// claimTarget groups the claims of one tick.
type claimTarget struct {
	sidecar   ownership.Incarnation
	partition ownership.Partition
}

// claim is what sidecars hold of a job with a caller's key, and which of them.
type claim struct {
	id JobID
	// ref describes the job to sidecars. It is nil in the compact row of an
	// answered job, which has the fields below instead.
	ref         *wire.JobRef
	bodyHash    string
	expiresAtMs int64
	taskCount   uint32
	callerKey   bool
	departed    bool
	withdrawn   bool
	// ackBits has a bit for each holder that has confirmed the claim.
	ackBits uint8
	// decidedEpoch is the epoch of the last decision on the job.
	decidedEpoch uint64
	// group has the sidecars that have been asked to hold the claim; nil for none.
	group      *claimGroup
	prev, next *claim
}

// compact returns the claim without the message that describes the job and
// without holders.
func (cl *claim) compact() claim {
	ref := cl.ref
	return claim{
		id:           cl.id,
		bodyHash:     string(ref.GetBodyHash()),
		expiresAtMs:  ref.GetExpiresAtMs(),
		taskCount:    ref.GetTaskCount(),
		callerKey:    ref.GetCallerKey(),
		departed:     ref.GetDeparted(),
		withdrawn:    ref.GetWithdrawn(),
		decidedEpoch: ref.GetDecidedEpoch(),
	}
}

// jobRef returns the description of the job for sidecars.
func (cl *claim) jobRef() *wire.JobRef {
	if cl.ref != nil {
		return cl.ref
	}
	return &wire.JobRef{
		Key:          cl.id.Key,
		Team:         cl.id.Team,
		Service:      cl.id.Service,
		BodyHash:     []byte(cl.bodyHash),
		ExpiresAtMs:  cl.expiresAtMs,
		TaskCount:    cl.taskCount,
		CallerKey:    cl.callerKey,
		Departed:     cl.departed,
		Withdrawn:    cl.withdrawn,
		DecidedEpoch: cl.decidedEpoch,
	}
}

// hashMatches tells whether the job was submitted with this body.
func (cl *claim) hashMatches(hash []byte) bool {
	if cl.ref != nil {
		return bytes.Equal(cl.ref.GetBodyHash(), hash)
	}
	return cl.bodyHash == string(hash)
}

func (cl *claim) expiresAt() clock.Millis {
	if cl.ref != nil {
		return clock.Millis(cl.ref.GetExpiresAtMs())
	}
	return clock.Millis(cl.expiresAtMs)
}

// sendClaims sends the claims of the jobs that need them.
func (c *Core) sendClaims() {
	for i := range c.partitions {
		p := &c.partitions[i]
		if p.mode != serving || len(p.unsentClaims) == 0 {
			continue
		}
		holders := c.chooseHolders(p)
		if holders == nil {
			continue
		}
		claiming := p.unsentClaims
		p.unsentClaims = nil
		for _, id := range claiming {
			if cl := p.claimOf(id); cl != nil {
				c.assignClaim(p, cl, holders)
			}
		}
	}
}

// claimOf returns the claimOf of a job that is held or known, or nil.
func (p *partition) claimOf(id JobID) *claim {
	if j := p.jobs.Get(id); j != nil {
		return &j.claim
	}
	if a := p.answered.Get(id); a != nil {
		return &a.claim
	}
	if k := p.known.Get(id); k != nil {
		return &k.claim
	}
	return nil
}

func (c *Core) assignClaim(p *partition, cl *claim, holders []ownership.Incarnation) {
	cl.unlink()
	p.groupFor(holders).add(cl)
	ref := cl.jobRef()
	for _, id := range holders {
		c.addClaim(p, id, ref)
	}
}

// addClaim adds a job to the Claim that the sidecar gets in this tick.
func (c *Core) addClaim(p *partition, id ownership.Incarnation, ref *wire.JobRef) {
	m := c.claimMessage(p, id)
	m.Jobs = append(m.Jobs, ref)
	c.counters.Claims++
}

// chooseHolders returns the sidecars that hold the claims of a partition. The
// same ones serve as long as they are there, so that the claims of a tick
// travel in few messages. It returns nil if there are not enough.
func (c *Core) chooseHolders(p *partition) []ownership.Incarnation {
	if !c.holdersUsable(p) {
		p.holders = c.selectHolders(p)
	}
	return p.holders
}

// holdersUsable tells whether the holders chosen last are two that can go on, in
// different failure domains unless there is only one.
func (c *Core) holdersUsable(p *partition) bool {
	if len(p.holders) < 2 {
		return false
	}
	first, second := c.sidecars.Get(p.holders[0]), c.sidecars.Get(p.holders[1])
	return first != nil && second != nil && c.mayHoldTogether(first, second) && c.canHold(p, first) && c.canHold(p, second)
}

// mayHoldTogether tells whether two sidecars may hold a claim together.
func (c *Core) mayHoldTogether(a, b *sidecar) bool {
	return c.cfg.SingleDomain || a.domain != b.domain
}

// selectHolders returns nil if no two sidecars can hold claims. That the
// registered sidecars are in one failure domain does not allow claims there: a
// new owner may miss that domain when others have registered.
func (c *Core) selectHolders(p *partition) []ownership.Incarnation {
	var first, second *sidecar
	for _, s := range c.sidecars.All() {
		if c.canHold(p, s) && (first == nil || holderWeight(p, s) > holderWeight(p, first)) {
			first = s
		}
	}
	if first == nil {
		return nil
	}
	for _, s := range c.sidecars.All() {
		if s == first || !c.canHold(p, s) || !c.mayHoldTogether(s, first) {
			continue
		}
		if second == nil || holderWeight(p, s) > holderWeight(p, second) {
			second = s
		}
	}
	if second != nil {
		return []ownership.Incarnation{first.id, second.id}
	}
	if c.cfg.SingleDomain && c.sidecars.Len() == 1 {
		return []ownership.Incarnation{first.id}
	}
	return nil
}

func (c *Core) canHold(p *partition, s *sidecar) bool {
	return s.connected && s.state.GetReady() && !s.state.GetLeaving() && s.fencedEpochs[p.id] == p.epoch && c.now >= s.blockedUntil && !s.claimsOverdue
}

func holderWeight(p *partition, s *sidecar) uint64 {
	return xxhash.Sum64String(string(rune(p.id)) + string(s.id))
}

func (c *Core) claimAck(s *sidecar, m *wire.ClaimAck) {
	if m.GetPartition() >= ownership.Partitions {
		return
	}
	p := &c.partitions[m.GetPartition()]
	if p.mode == idle || ownership.Epoch(m.GetEpoch()) != p.epoch {
		return
	}
	c.confirmationReceived(p, s, m.GetConfirm())
	for _, ref := range m.GetJobs() {
		id := JobID{Service: ref.GetService(), Team: ref.GetTeam(), Key: ref.GetKey()}
		cl := p.claimOf(id)
		if cl == nil || !cl.matchesRef(ref) {
			continue
		}
		cl.ack(s.id)
		if !cl.isConfirmed() {
			continue
		}
		if j := p.jobs.Get(id); j != nil && j.state == jobClaiming {
			c.release(p, j)
			continue
		}
		c.withdrawalConfirmed(p, id)
	}
}

// needed tells whether sidecars must hold the claim: a caller can submit the job
// again, or a sidecar has left that may have started tasks of it.
func (cl *claim) needed() bool {
	if cl.ref != nil {
		return cl.ref.GetCallerKey() || cl.ref.GetDeparted()
	}
	return cl.callerKey || cl.departed
}

// markDepartures claims again the jobs whose tasks a leaving sidecar may have
// started, with a mark. Its own memory of them is gone with it; without the
// mark, the next owner would take the tasks for never started.
func (c *Core) markDepartures(s *sidecar) {
	for i := range c.partitions {
		p := &c.partitions[i]
		for id, j := range p.jobs.All() {
			if containsID(j.sentTo, s.id) && j.markDeparted() {
				p.unsentClaims = append(p.unsentClaims, id)
			}
		}
		for a := range p.answered.All() {
			if a.mayHaveStartedOn(s) && a.markDeparted() {
				p.unsentClaims = append(p.unsentClaims, a.id)
			}
		}
		for id, k := range p.known.All() {
			if k.mayHaveStartedOn(s.id) && k.markDeparted() {
				p.unsentClaims = append(p.unsentClaims, id)
			}
		}
	}
}

// markDeparted marks a claim and reports whether it was not marked before.
func (cl *claim) markDeparted() bool {
	if cl.ref == nil {
		marked := !cl.departed
		cl.departed = true
		return marked
	}
	if cl.ref.GetDeparted() {
		return false
	}
	cl.ref = proto.CloneOf(cl.ref)
	cl.ref.Departed = true
	return true
}

func (k *knownJob) mayHaveStartedOn(id ownership.Incarnation) bool {
	for _, t := range k.tasks {
		if t.sidecar == id && t.outcome != wire.Outcome_OUTCOME_NOT_STARTED {
			return true
		}
	}
	return false
}

// reassignClaims claims again the jobs whose claims a sidecar holds that is lost
// or leaves.
func (c *Core) reassignClaims(s *sidecar) {
	for i := range c.partitions {
		p := &c.partitions[i]
		for _, g := range p.groupsHeldBy(s.id) {
			p.unsentClaims = g.confirmed.appendIDs(g.unconfirmed.appendIDs(p.unsentClaims))
		}
	}
}

// reassignUnconfirmed claims elsewhere the jobs that wait for a sidecar whose session
// ended or which does not reply. Waiting until it counts as lost would delay their
// start by 3 s, and a withdrawal waits for 2 s only.
func (c *Core) reassignUnconfirmed(s *sidecar) {
	for i := range c.partitions {
		p := &c.partitions[i]
		for _, g := range p.groupsHeldBy(s.id) {
			for cl := g.unconfirmed.first; cl != nil; cl = cl.next {
				if j := p.jobs.Get(cl.id); j != nil && (j.state == jobClaiming || j.state == jobWithdrawing) {
					p.unsentClaims = append(p.unsentClaims, cl.id)
				}
			}
		}
	}
}

// claimsDependOn tells whether some claim depends on a sidecar: it is a holder,
// or the copy of a claim at another one is not confirmed. A claim that is
// needed and in no group is among those to be sent.
func (c *Core) claimsDependOn(id ownership.Incarnation) bool {
	for i := range c.partitions {
		p := &c.partitions[i]
		if len(p.unsentClaims) > 0 {
			return true
		}
		for _, g := range p.claimGroups {
			if g.unconfirmed.first != nil || g.confirmed.first != nil && g.heldBy(id) {
				return true
			}
		}
	}
	return false
}

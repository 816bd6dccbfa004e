package dispatch

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// claimTarget is the key by which the claims of a tick are batched.
type claimTarget struct {
	sidecar   ownership.Incarnation
	partition ownership.Partition
}

// claim is what sidecars record of a job for later owners, and the sidecars
// that hold this record.
type claim struct {
	id JobID
	// ref describes the job to sidecars. It is nil for an answeredJob, which
	// has the fields below instead.
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
	// group has the sidecars asked to hold the claim, nil for none.
	group      *claimGroup
	prev, next *claim
}

// compact returns the claim without its JobRef message and without holders.
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

// jobRef returns the description of the job that is sent to sidecars.
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

// hashMatches reports whether the job was submitted with this body hash.
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

// sendClaims assigns and sends the unsent claims of each partition.
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

// claimOf returns the claim of an open, answered or known job, or nil.
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

// assignClaim asks holders to hold a claim, in place of its former holders.
func (c *Core) assignClaim(p *partition, cl *claim, holders []ownership.Incarnation) {
	cl.unlink()
	p.groupFor(holders).add(cl)
	ref := cl.jobRef()
	for _, id := range holders {
		c.addClaim(p, id, ref)
	}
}

// addClaim adds a job to the Claim message that the sidecar gets in this tick.
func (c *Core) addClaim(p *partition, id ownership.Incarnation, ref *wire.JobRef) {
	m := c.claimMessage(p, id)
	m.Jobs = append(m.Jobs, ref)
	c.counters.Claims++
}

// chooseHolders returns the sidecars that hold the claims of a partition, nil
// if there are not enough. The same ones are used as long as they are usable,
// so that the claims of a tick need few messages.
func (c *Core) chooseHolders(p *partition) []ownership.Incarnation {
	if !c.holdersUsable(p) {
		p.holders = c.selectHolders(p)
	}
	return p.holders
}

// holdersUsable reports whether the last selected holders are two that can
// still hold claims, in different failure domains unless there is only one.
func (c *Core) holdersUsable(p *partition) bool {
	if len(p.holders) < 2 {
		return false
	}
	first, second := c.sidecars.Get(p.holders[0]), c.sidecars.Get(p.holders[1])
	return first != nil && second != nil && c.mayHoldTogether(first, second) && c.canHold(p, first) && c.canHold(p, second)
}

// mayHoldTogether reports whether two sidecars may hold the same claim.
func (c *Core) mayHoldTogether(a, b *sidecar) bool {
	return c.cfg.SingleDomain || a.domain != b.domain
}

// selectHolders returns nil if no two sidecars can hold claims. If all
// registered sidecars happen to be in one failure domain, claims are still not
// placed there: a new owner may not reach that domain when others have
// registered.
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

// needed reports whether sidecars must hold the claim: a caller can resubmit
// the job, or a sidecar that may have started tasks of it has left.
func (cl *claim) needed() bool {
	if cl.ref != nil {
		return cl.ref.GetCallerKey() || cl.ref.GetDeparted()
	}
	return cl.callerKey || cl.departed
}

// markDepartures marks the claims of jobs whose tasks a leaving sidecar may
// have started as departed and sends them again. The sidecar's own record of
// them is lost; without the mark, the next owner would assume that the tasks
// never started.
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

// markDeparted sets the departed mark and reports whether it was not set
// before.
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

// reassignClaims sends the claims held by a lost or leaving sidecar to other
// holders.
func (c *Core) reassignClaims(s *sidecar) {
	for i := range c.partitions {
		p := &c.partitions[i]
		for _, g := range p.groupsHeldBy(s.id) {
			p.unsentClaims = g.confirmed.appendIDs(g.unconfirmed.appendIDs(p.unsentClaims))
		}
	}
}

// reassignUnconfirmed sends to other holders the claims of jobs that wait for
// a sidecar whose session ended or which does not reply. Waiting until the
// sidecar counts as lost would delay the start of these jobs by 3 s, and a
// withdrawal waits for 2 s only.
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

// claimsDependOn reports whether some claim depends on a sidecar: it is a
// holder, or the claim is not yet confirmed by its other holders. A needed
// claim without a group is among the unsent ones.
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

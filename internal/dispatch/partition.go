package dispatch

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/table"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// mode is what this entry does with a partition.
type mode int

const (
	// idle means that another entry owns the partition, or nobody.
	idle mode = iota
	// fencing means that this entry has a new epoch and waits for replies.
	fencing
	// serving means that jobs are accepted.
	serving
)

func (m mode) String() string {
	return [...]string{"idle", "fencing", "serving"}[m]
}

// hint is an ownership that another entry announced.
type hint struct {
	owner ownership.Incarnation
	epoch ownership.Epoch
}

// partition is this entry's view of one partition and the jobs in it.
type partition struct {
	id       ownership.Partition
	assigned ownership.Assignment
	// assignedRevision is the record revision at which assigned last changed.
	assignedRevision int64
	hint             hint

	mode mode
	// epoch is the highest epoch that this entry has used.
	epoch ownership.Epoch
	// used holds all epochs that this entry has used since it last became
	// the owner.
	used []ownership.Epoch
	// acked holds the sidecars that have replied to the fence at epoch.
	acked map[ownership.Incarnation]struct{}
	// foreign is true if a reply named an epoch that this entry did not use.
	foreign  bool
	fencedAt clock.Millis
	// kept is true if this entry held the partition before this fence.
	kept bool
	// incomplete is true while claims may exist that no reply has shown.
	incomplete bool
	// takenAt is when this entry last took the partition without the store.
	takenAt clock.Millis

	// jobs holds the open jobs, and answered ones with tasks that are bound.
	jobs     *table.Table[JobID, job]
	answered answeredJobs
	// known holds jobs that sidecars reported and no caller has resubmitted.
	known *table.Table[JobID, knownJob]
	// pending holds submissions that arrived during the fence.
	pending []submission
	// recovering holds jobs that wait for every sidecar's reply.
	recovering []JobID
	// claiming holds jobs whose claims are to be sent.
	claiming []JobID
	confirms confirmations
	// holders are the sidecars chosen last to hold claims.
	holders []ownership.Incarnation
	// groups holds the claims by their holders.
	groups []*claimGroup
	// active counts the jobs without an answer.
	active int
	load   load
}

func (p *partition) init(id ownership.Partition) {
	p.id = id
	p.clear()
}

// clear forgets the jobs, which have another owner now.
func (p *partition) clear() {
	p.mode = idle
	p.used = nil
	p.acked = make(map[ownership.Incarnation]struct{})
	p.foreign = false
	p.incomplete = false
	p.jobs = table.New[JobID, job]()
	p.answered = newAnsweredJobs()
	p.known = table.New[JobID, knownJob]()
	p.pending = nil
	p.recovering = nil
	p.claiming = nil
	p.confirms = confirmations{}
	p.holders = nil
	p.groups = nil
	p.active = 0
}

// followRecord starts a fence for each partition that the record gives to this
// entry at a new epoch. The registrations must have been listed after the
// record was known: a sidecar that is missing from that list reads the record
// after it has registered, and so learns the new epoch by itself.
func (c *Core) followRecord() {
	needList := false
	for i := range c.partitions {
		p := &c.partitions[i]
		a := p.assigned
		if a.Owner != c.cfg.Self && a.Successor != c.cfg.Self {
			continue
		}
		if c.membership.listed < p.assignedRevision {
			needList = true
			continue
		}
		if a.Owner == c.cfg.Self && a.Epoch > p.epoch {
			c.beginFence(p, a.Epoch)
		}
	}
	if needList && c.now >= c.membership.listAfter {
		c.membership.listAfter = c.now + listRetryAfter
		c.emit(ListRegistrations{RecordRevision: c.membership.record.Revision})
	}
}

// takeOver starts a fence, at the epoch reserved for the successor, for each
// partition whose owner is suspected to be dead.
func (c *Core) takeOver() {
	if c.draining {
		return
	}
	for i := range c.partitions {
		p := &c.partitions[i]
		a := p.assigned
		if a.Successor != c.cfg.Self || p.mode != idle || a.Epoch+1 <= p.epoch {
			continue
		}
		if c.membership.listed < p.assignedRevision || p.hint.epoch > a.Epoch {
			continue
		}
		if p.takenAt > 0 && c.now < p.takenAt+takeoverInterval {
			continue
		}
		if c.suspected(a.Owner) {
			p.takenAt = c.now
			c.beginFence(p, a.Epoch+1)
		}
	}
}

func (c *Core) beginFence(p *partition, epoch ownership.Epoch) {
	c.counters.Takeovers++
	p.kept = p.mode != idle
	p.mode = fencing
	p.epoch = epoch
	p.used = append(p.used, epoch)
	p.acked = make(map[ownership.Incarnation]struct{})
	p.foreign = false
	p.fencedAt = c.now
	c.ownedChanged = true
	for id, s := range c.sidecars.All() {
		if s.connected {
			c.fence(id, p)
		}
	}
}

// fence adds a partition to the Fence that the sidecar gets in this tick.
func (c *Core) fence(id ownership.Incarnation, p *partition) {
	m := c.fences.Get(id)
	if m == nil {
		m = &wire.Fence{}
		c.fences.Put(id, m)
	}
	m.Partitions = append(m.Partitions, &wire.PartitionEpoch{Partition: uint32(p.id), Epoch: uint64(p.epoch)})
}

func (c *Core) fenceAck(s *sidecar, m *wire.FenceAck) {
	if m.GetPartition() >= ownership.Partitions {
		return
	}
	p := &c.partitions[m.GetPartition()]
	if p.mode == idle || ownership.Epoch(m.GetEpoch()) != p.epoch {
		return
	}
	previous := ownership.Epoch(m.GetPreviousEpoch())
	if !slices.Contains(p.used, previous) {
		p.foreign = true
	}
	// Requests for results that the reply leads to go out at once.
	s.fenced[p.id] = p.epoch
	for _, k := range m.GetJobs() {
		c.mergeKnown(p, s, k)
	}
	if m.GetMore() {
		return
	}
	p.acked[s.id] = struct{}{}
	if !p.kept {
		c.learnRunTimes(s, m)
	}
	// Until the fence is complete, a sidecar that has not replied may report a
	// task that is bound elsewhere here.
	if p.mode == serving {
		c.resend(p, s)
	}
	if s.state.GetLeaving() {
		// What the reply shows has to be claimed elsewhere before it leaves.
		s.leaveAcked = 0
		c.noteDeparture(s)
		c.moveClaims(s)
	}
}

// completeFences moves partitions from fencing to serving, and clears the mark
// of incomplete claims when late replies have arrived.
func (c *Core) completeFences() {
	for i := range c.partitions {
		p := &c.partitions[i]
		if p.mode == fencing {
			c.completeFence(p)
		}
		if p.mode == serving && p.incomplete && c.claimsKnown(p) {
			p.incomplete = false
		}
		if p.mode == serving && len(p.recovering) > 0 && c.allAcked(p) {
			c.releaseRecovering(p)
		}
	}
}

func (c *Core) completeFence(p *partition) {
	known := c.claimsKnown(p)
	if !known && c.now < p.fencedAt+c.cfg.FenceGrace {
		return
	}
	if !known && p.kept {
		// The sidecars that would show another owner's work may be the missing
		// ones, so the kept jobs must not go on.
		c.refusePending(p)
		return
	}
	if p.kept && p.foreign {
		c.startOver(p)
		return
	}
	p.mode = serving
	p.incomplete = !known
	c.servedVersion++
	// Tasks that were bound during the fence have not been sent yet.
	for _, s := range c.sidecars.All() {
		if s.connected && s.fenced[p.id] == p.epoch {
			c.resend(p, s)
		}
	}
	pending := p.pending
	p.pending = nil
	for _, s := range pending {
		c.accept(s)
	}
}

// refusePending answers the submissions that wait for a fence which cannot be
// completed.
func (c *Core) refusePending(p *partition) {
	pending := p.pending
	p.pending = nil
	for _, s := range pending {
		ran := wire.Ran_RAN_UNKNOWN
		if !s.spec.GetCallerKey() && !s.resubmission {
			ran = wire.Ran_RAN_NOT_RUN
		}
		c.refuse(s.waiter, jobIDOf(s.spec), ran, CodeClaimsIncomplete, "workers of two or more failure domains cannot be reached")
	}
}

// startOver treats the open jobs that this entry held before the fence as those
// of another owner, because another one has served the partition in between and
// may have started tasks that are bound elsewhere here. The requests that wait
// for them are submitted again when the sidecars have told what they know.
func (c *Core) startOver(p *partition) {
	for id, j := range p.jobs.All() {
		if j.answer != nil {
			continue
		}
		if j.state == jobWithdrawing {
			c.dropWithdrawal(j)
		}
		c.place.RemoveQueued(id)
		c.releaseSlots(j)
		if j.admitted {
			c.admit.Release(id.Team, id.Service, len(j.tasks))
		}
		for _, w := range j.waiters {
			p.pending = append(p.pending, submission{waiter: w, spec: j.spec, resubmission: true})
		}
		p.active--
		c.dropJob(p, j)
	}
	for a := range p.answered.All() {
		a.refute()
	}
	p.recovering = nil
	// The claims of answered jobs stay to be sent.
	p.claiming = slices.DeleteFunc(p.claiming, func(id JobID) bool {
		return p.jobs.Get(id) == nil && p.answered.Get(id) == nil
	})
	for id, k := range p.known.All() {
		if k.needed() {
			p.claiming = append(p.claiming, id)
		}
	}
	c.beginFence(p, p.epoch)
	p.kept = false
}

// claimsKnown tells whether the replies show every claim: claims are held in
// two failure domains, so the sidecars of one domain may be missing. None may be
// missing if the installation has, or the registered sidecars are in, one only.
func (c *Core) claimsKnown(p *partition) bool {
	domains := make(map[ownership.Domain]struct{})
	missing := make(map[ownership.Domain]struct{})
	for id, s := range c.sidecars.All() {
		domains[s.domain] = struct{}{}
		if _, ok := p.acked[id]; !ok {
			missing[s.domain] = struct{}{}
		}
	}
	return len(missing) == 0 || len(missing) == 1 && len(domains) > 1 && !c.cfg.SingleDomain
}

func (c *Core) allAcked(p *partition) bool {
	for id := range c.sidecars.All() {
		if _, ok := p.acked[id]; !ok {
			return false
		}
	}
	return true
}

// stepDown gives up a partition because a higher epoch exists. Requests of
// local callers go to the new owner; those of other entries are sent back.
func (c *Core) stepDown(p *partition) {
	c.counters.StepDowns++
	c.ownedChanged = true
	c.dropConfirmations(p)
	jobs, pending := p.jobs, p.pending
	for id, j := range jobs.All() {
		c.place.RemoveQueued(id)
		c.releaseSlots(j)
		c.timers.remove(j)
		if j.state == jobWithdrawing {
			c.dropWithdrawal(j)
		}
		for _, w := range j.waiters {
			c.sendBack(w)
		}
	}
	for a := range p.answered.All() {
		c.forgetResults(a)
	}
	p.clear()
	for _, s := range pending {
		c.sendBack(s.waiter)
	}
}

// releaseSlots tells placement that the bound tasks of a job are no longer
// this entry's concern.
func (c *Core) releaseSlots(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskBound {
			c.unbind(j, i, t, outcomeNotStarted, 0)
		}
	}
}

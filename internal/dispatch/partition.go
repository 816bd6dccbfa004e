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

// announcement is an ownership that another entry announced.
type announcement struct {
	owner ownership.Incarnation
	epoch ownership.Epoch
}

// partition is this entry's view of one partition and the jobs in it.
type partition struct {
	id       ownership.Partition
	assigned ownership.Assignment
	// assignedRevision is the record revision at which assigned last changed.
	assignedRevision int64
	announced        announcement

	mode mode
	// epoch is the highest epoch that this entry has used.
	epoch ownership.Epoch
	// usedEpochs holds all epochs that this entry has usedEpochs since it last became
	// the owner.
	usedEpochs []ownership.Epoch
	// fenceAckedBy holds the sidecars that have replied to the fence at epoch.
	fenceAckedBy map[ownership.Incarnation]struct{}
	// foreignEpochSeen is true if a reply named an epoch that this entry did not use.
	foreignEpochSeen bool
	fenceStartedAt   clock.Millis
	// alreadyOwned is true if this entry held the partition before this fence.
	alreadyOwned bool
	// claimsIncomplete is true while claims may exist that no reply has shown.
	claimsIncomplete bool
	// lastTakeoverAt is when this entry last took the partition without the store.
	lastTakeoverAt clock.Millis

	// jobs holds the open jobs, and answered ones with tasks that are bound.
	jobs     *table.Table[JobID, job]
	answered answeredJobs
	// known holds jobs that sidecars reported and no caller has resubmitted.
	known *table.Table[JobID, knownJob]
	// pendingSubmissions holds submissions that arrived during the fence.
	pendingSubmissions []submission
	// recovering holds jobs that wait for every sidecar's reply.
	recovering []JobID
	// unsentClaims holds jobs whose claims are to be sent.
	unsentClaims  []JobID
	confirmations confirmations
	// holders are the sidecars chosen last to hold claims.
	holders []ownership.Incarnation
	// claimGroups holds the claims by their holders.
	claimGroups []*claimGroup
	// openJobs counts the jobs without an answer.
	openJobs int
	load     load
}

func (p *partition) init(id ownership.Partition) {
	p.id = id
	p.clear()
}

// clear forgets the jobs, which have another owner now.
func (p *partition) clear() {
	p.mode = idle
	p.usedEpochs = nil
	p.fenceAckedBy = make(map[ownership.Incarnation]struct{})
	p.foreignEpochSeen = false
	p.claimsIncomplete = false
	p.jobs = table.New[JobID, job]()
	p.answered = newAnsweredJobs()
	p.known = table.New[JobID, knownJob]()
	p.pendingSubmissions = nil
	p.recovering = nil
	p.unsentClaims = nil
	p.confirmations = confirmations{}
	p.holders = nil
	p.claimGroups = nil
	p.openJobs = 0
}

// fenceAssigned starts a fence for each partition that the record gives to this
// entry at a new epoch. The registrations must have been listed after the
// record was known: a sidecar that is missing from that list reads the record
// after it has registered, and so learns the new epoch by itself.
func (c *Core) fenceAssigned() {
	needList := false
	for i := range c.partitions {
		p := &c.partitions[i]
		a := p.assigned
		if a.Owner != c.cfg.Self && a.Successor != c.cfg.Self {
			continue
		}
		if c.membership.listedRecordRevision < p.assignedRevision {
			needList = true
			continue
		}
		if a.Owner == c.cfg.Self && a.Epoch > p.epoch {
			c.beginFence(p, a.Epoch)
		}
	}
	if needList && c.now >= c.membership.nextListAt {
		c.membership.nextListAt = c.now + listRetryDelay
		c.emit(ListRegistrations{RecordRevision: c.membership.record.Revision})
	}
}

// takeOverSuspected starts a fence, at the epoch reserved for the successor, for each
// partition whose owner is suspected to be dead.
func (c *Core) takeOverSuspected() {
	if c.draining {
		return
	}
	for i := range c.partitions {
		p := &c.partitions[i]
		a := p.assigned
		if a.Successor != c.cfg.Self || p.mode != idle || a.Epoch+1 <= p.epoch {
			continue
		}
		if c.membership.listedRecordRevision < p.assignedRevision || p.announced.epoch > a.Epoch {
			continue
		}
		if p.lastTakeoverAt > 0 && c.now < p.lastTakeoverAt+minTakeoverInterval {
			continue
		}
		if c.suspected(a.Owner) {
			p.lastTakeoverAt = c.now
			c.beginFence(p, a.Epoch+1)
		}
	}
}

func (c *Core) beginFence(p *partition, epoch ownership.Epoch) {
	c.counters.Takeovers++
	p.alreadyOwned = p.mode != idle
	p.mode = fencing
	p.epoch = epoch
	p.usedEpochs = append(p.usedEpochs, epoch)
	p.fenceAckedBy = make(map[ownership.Incarnation]struct{})
	p.foreignEpochSeen = false
	p.fenceStartedAt = c.now
	c.ownedChanged = true
	for id, s := range c.sidecars.All() {
		if s.connected {
			c.addFence(id, p)
		}
	}
}

// addFence adds a partition to the Fence that the sidecar gets in this tick.
func (c *Core) addFence(id ownership.Incarnation, p *partition) {
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
	if !slices.Contains(p.usedEpochs, previous) {
		p.foreignEpochSeen = true
	}
	// Requests for results that the reply leads to go out at once.
	s.fencedEpochs[p.id] = p.epoch
	for _, k := range m.GetJobs() {
		c.mergeKnown(p, s, k)
	}
	if m.GetMore() {
		return
	}
	p.fenceAckedBy[s.id] = struct{}{}
	if !p.alreadyOwned {
		c.restoreRunTimes(s, m)
	}
	// Until the fence is complete, a sidecar that has not replied may report a
	// task that is bound elsewhere here.
	if p.mode == serving {
		c.resendMissed(p, s)
	}
	if s.state.GetLeaving() {
		// What the reply shows has to be claimed elsewhere before it leaves.
		s.leaveAckedVersion = 0
		c.markDepartures(s)
		c.reassignClaims(s)
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
		if p.mode == serving && p.claimsIncomplete && c.claimsComplete(p) {
			p.claimsIncomplete = false
		}
		if p.mode == serving && len(p.recovering) > 0 && c.allSidecarsAcked(p) {
			c.releaseRecovering(p)
		}
	}
}

func (c *Core) completeFence(p *partition) {
	known := c.claimsComplete(p)
	if !known && c.now < p.fenceStartedAt+c.cfg.FenceGrace {
		return
	}
	if !known && p.alreadyOwned {
		// The sidecars that would show another owner's work may be the missing
		// ones, so the kept jobs must not go on.
		c.refusePendingSubmissions(p)
		return
	}
	if p.alreadyOwned && p.foreignEpochSeen {
		c.restartRecovery(p)
		return
	}
	p.mode = serving
	p.claimsIncomplete = !known
	c.servedVersion++
	// Tasks that were bound during the fence have not been sent yet.
	for _, s := range c.sidecars.All() {
		if s.connected && s.fencedEpochs[p.id] == p.epoch {
			c.resendMissed(p, s)
		}
	}
	pending := p.pendingSubmissions
	p.pendingSubmissions = nil
	for _, s := range pending {
		c.accept(s)
	}
}

// refusePendingSubmissions answers the submissions that wait for a fence which cannot be
// completed.
func (c *Core) refusePendingSubmissions(p *partition) {
	pending := p.pendingSubmissions
	p.pendingSubmissions = nil
	for _, s := range pending {
		ran := wire.Ran_RAN_UNKNOWN
		if !s.spec.GetCallerKey() && !s.resubmission {
			ran = wire.Ran_RAN_NOT_RUN
		}
		c.refuse(s.waiter, jobIDOf(s.spec), ran, CodeClaimsIncomplete, "workers of two or more failure domains cannot be reached")
	}
}

// restartRecovery treats the open jobs that this entry held before the fence as those
// of another owner, because another one has served the partition in between and
// may have started tasks that are bound elsewhere here. The requests that wait
// for them are submitted again when the sidecars have told what they know.
func (c *Core) restartRecovery(p *partition) {
	for id, j := range p.jobs.All() {
		if j.answer != nil {
			continue
		}
		if j.state == jobWithdrawing {
			c.answerWithdrawalUnknown(j)
		}
		c.placement.Remove(id)
		c.unbindAll(j)
		if j.admitted {
			c.admission.Release(id.Team, id.Service, len(j.tasks))
		}
		for _, w := range j.waiters {
			p.pendingSubmissions = append(p.pendingSubmissions, submission{waiter: w, spec: j.spec, resubmission: true})
		}
		p.openJobs--
		c.dropJob(p, j)
	}
	for a := range p.answered.All() {
		a.clearUnconfirmedWithdrawal()
	}
	p.recovering = nil
	// The claims of answered jobs stay to be sent.
	p.unsentClaims = slices.DeleteFunc(p.unsentClaims, func(id JobID) bool {
		return p.jobs.Get(id) == nil && p.answered.Get(id) == nil
	})
	for id, k := range p.known.All() {
		if k.needed() {
			p.unsentClaims = append(p.unsentClaims, id)
		}
	}
	c.beginFence(p, p.epoch)
	p.alreadyOwned = false
}

// claimsComplete tells whether the replies show every claim: claims are held in
// two failure domains, so the sidecars of one domain may be missing. None may be
// missing if the installation has, or the registered sidecars are in, one only.
func (c *Core) claimsComplete(p *partition) bool {
	domains := make(map[ownership.Domain]struct{})
	missing := make(map[ownership.Domain]struct{})
	for id, s := range c.sidecars.All() {
		domains[s.domain] = struct{}{}
		if _, ok := p.fenceAckedBy[id]; !ok {
			missing[s.domain] = struct{}{}
		}
	}
	return len(missing) == 0 || len(missing) == 1 && len(domains) > 1 && !c.cfg.SingleDomain
}

func (c *Core) allSidecarsAcked(p *partition) bool {
	for id := range c.sidecars.All() {
		if _, ok := p.fenceAckedBy[id]; !ok {
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
	c.returnUnconfirmed(p)
	jobs, pending := p.jobs, p.pendingSubmissions
	for id, j := range jobs.All() {
		c.placement.Remove(id)
		c.unbindAll(j)
		c.timers.remove(j)
		if j.state == jobWithdrawing {
			c.answerWithdrawalUnknown(j)
		}
		for _, w := range j.waiters {
			c.returnRequest(w)
		}
	}
	for a := range p.answered.All() {
		c.releaseResults(a)
	}
	p.clear()
	for _, s := range pending {
		c.returnRequest(s.waiter)
	}
}

// unbindAll tells placement that the bound tasks of a job are no longer
// this entry's concern.
func (c *Core) unbindAll(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskBound {
			c.unbind(j, i, t, outcomeNotStarted, 0)
		}
	}
}

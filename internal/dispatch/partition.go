package dispatch

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/table"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// mode is the role of this entry for a partition.
type mode int

const (
	// idle means that another entry owns the partition, or none does.
	idle mode = iota
	// fencing means that this entry has a new epoch and waits for the
	// sidecars' replies.
	fencing
	// serving means that this entry accepts jobs.
	serving
)

func (m mode) String() string {
	return [...]string{"idle", "fencing", "serving"}[m]
}

// announcement is an ownership announced by another entry.
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
	// usedEpochs holds all epochs that this entry has used since it last
	// became the owner.
	usedEpochs []ownership.Epoch
	// fenceAckedBy holds the sidecars that have acknowledged the fence at
	// epoch.
	fenceAckedBy map[ownership.Incarnation]struct{}
	// foreignEpochSeen is true if an acknowledgement named a previous epoch
	// that this entry did not use.
	foreignEpochSeen bool
	fenceStartedAt   clock.Millis
	// alreadyOwned is true if this entry owned the partition before the
	// current fence.
	alreadyOwned bool
	// claimsIncomplete is true while claims may exist that no sidecar has
	// reported.
	claimsIncomplete bool
	// lastTakeoverAt is when this entry last took over the partition without
	// the store.
	lastTakeoverAt clock.Millis

	// jobs holds the open jobs, and the answered ones that still have bound
	// tasks.
	jobs     *table.Table[JobID, job]
	answered answeredJobs
	// known holds jobs that sidecars reported and no caller has resubmitted.
	known *table.Table[JobID, knownJob]
	// pendingSubmissions holds submissions received during the fence.
	pendingSubmissions []submission
	// recovering holds jobs that wait for the reply of every sidecar.
	recovering []JobID
	// unsentClaims holds jobs whose claims have to be sent.
	unsentClaims  []JobID
	confirmations confirmations
	// holders are the sidecars last selected to hold claims.
	holders []ownership.Incarnation
	// claimGroups holds the claims grouped by their holders.
	claimGroups []*claimGroup
	// openJobs counts the jobs without an answer.
	openJobs int
	load     load
}

func (p *partition) init(id ownership.Partition) {
	p.id = id
	p.clear()
}

// clear drops the state of all jobs, which have another owner now.
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

// fenceAssigned starts a fence for each partition that the record assigns to
// this entry at a new epoch. The registrations must have been listed after the
// record was known: a sidecar missing from that list reads the record after it
// has registered, and so learns the new epoch from the store.
func (c *Core) fenceAssigned() {
	listStale := false
	for i := range c.partitions {
		p := &c.partitions[i]
		a := p.assigned
		if a.Owner != c.cfg.Self && a.Successor != c.cfg.Self {
			continue
		}
		if c.membership.listedRecordRevision < p.assignedRevision {
			listStale = true
			continue
		}
		if a.Owner == c.cfg.Self && a.Epoch > p.epoch {
			c.beginFence(p, a.Epoch)
		}
	}
	if listStale && c.now >= c.membership.nextListAt {
		c.membership.nextListAt = c.now + listRetryDelay
		c.emit(ListRegistrations{RecordRevision: c.membership.record.Revision})
	}
}

// takeOverSuspected starts a fence, at the epoch reserved for the successor,
// for each partition whose owner is suspected to be dead.
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

// addFence adds a partition to the Fence message that the sidecar gets in this
// tick.
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
	// Fetches triggered by this acknowledgement must not wait for it to be
	// complete.
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
	// task that is bound to another sidecar here.
	if p.mode == serving {
		c.resendMissed(p, s)
	}
	if s.state.GetLeaving() {
		// The reported jobs must be claimed by other sidecars before this one
		// leaves.
		s.leaveAckedVersion = 0
		c.markDepartures(s)
		c.reassignClaims(s)
	}
}

// completeFences moves partitions from fencing to serving, and clears
// claimsIncomplete when late replies have arrived.
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
		// The missing sidecars may be those that know what another owner
		// started, so the open jobs must not continue.
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
	// Tasks bound during the fence have not been sent yet.
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

// refusePendingSubmissions answers the submissions that wait for a fence that
// cannot be completed.
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

// restartRecovery treats the open jobs of this entry as those of a former
// owner, because another entry has served the partition in between and may
// have started tasks that are bound to other sidecars here. The waiting
// requests are resubmitted once the sidecars have reported what they know.
func (c *Core) restartRecovery(p *partition) {
	for id, j := range p.jobs.All() {
		if j.answer != nil {
			continue
		}
		if j.state == jobWithdrawing {
			c.answerWithdrawalUnknown(j)
		}
		c.placement.RemoveQueued(id)
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
	// The claims of answered jobs still have to be sent.
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

// claimsComplete reports whether the acknowledgements cover every claim.
// Claims are held in two failure domains, so the sidecars of one domain may be
// missing. None may be missing if the installation has, or the known sidecars
// are in, a single domain.
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

// stepDown relinquishes a partition because a higher epoch exists. Requests of
// local callers are rerouted to the new owner; those of other entries are
// returned to them.
func (c *Core) stepDown(p *partition) {
	c.counters.StepDowns++
	c.ownedChanged = true
	c.returnUnconfirmed(p)
	jobs, pending := p.jobs, p.pendingSubmissions
	for id, j := range jobs.All() {
		c.placement.RemoveQueued(id)
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

// unbindAll removes the bound tasks of a job from placement.
func (c *Core) unbindAll(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskBound {
			c.unbind(j, i, t, outcomeNotStarted, 0)
		}
	}
}

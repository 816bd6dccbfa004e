package scheduler

import (
	"slices"

	"github.com/teaseltide/teaseltide/internal/batch"
	"github.com/teaseltide/teaseltide/internal/ownership"
	"github.com/teaseltide/teaseltide/internal/wire"
	"github.com/teaseltide/teaseltide/pkg/clock"
)

// Address is the address on which a sidecar listens. It identifies the sidecar's
// VM across restarts of the process.
type Address string

const (
	// slownessWeight is the weight of a new run in a worker's learned slowness, an
	// exponential average over about the last ten runs.
	slownessWeight = 0.1
	// maxSlowness bounds the observed slowness, because a single run can be far from
	// its estimate.
	maxSlowness = 20.0
	// minSlowness bounds the weight of a fast worker in the throughput of all.
	minSlowness = 0.4
	// usualSlownessWeight is the weight of a new run in a worker's usual slowness, an
	// average over about the last hundred runs.
	usualSlownessWeight = 0.01
	// slownessValidity is how long the slowness of a worker without runs is kept;
	// after it, the difference to the usual one decays with slownessDecayTime.
	slownessValidity  = 1 * clock.Second
	slownessDecayTime = 4 * clock.Second
	// minObservedRunTime is the declared run time below which a run is not used to
	// learn slowness: the calls around a shorter run take too large a part.
	minObservedRunTime = 20 * clock.Millis(1)
	// defaultRemoteFactor is the factor by which a task is expected to take longer
	// outside the rack of its data if the settings give none.
	defaultRemoteFactor = 1.5
)

// node is a sidecar with its worker.
type node struct {
	address     Address
	incarnation ownership.Incarnation
	connected   bool
	// hasInventory is true once the sidecar has listed its runs in this session.
	hasInventory bool
	// hasMoreEnds is true while the worker may have ends that it cannot list before earlier
	// ones are acknowledged.
	hasMoreEnds bool
	// readingEnds is true while the sidecar has listed some of its runs and reads the ends
	// of the others.
	readingEnds bool
	// handlingInventory is true while the events of an inventory are handled.
	handlingInventory bool
	load              *wire.WorkerLoad
	capacity          batch.Resources
	// free is the worker's free capacity, as far as this entry knows.
	free                 batch.Resources
	runs                 map[batch.TaskID]boundTask
	unacknowledgedStarts []unacknowledgedStart
	sequence             int64
	// reportSentAt is the time of the newest report by the sidecar's clock,
	// reportReceivedAt its arrival by the entry's clock.
	reportSentAt     int64
	reportReceivedAt clock.Millis
	// grantedReportAt is the arrival of the report that the newest grant refers to;
	// the grant counts from an earlier moment, the sending of that report.
	// grantedFrom is the report's time by the sidecar's clock.
	grantedReportAt clock.Millis
	grantedFrom     int64
	// storedGrantedReportAt is grantedReportAt of the newest grant for stored jobs.
	storedGrantedReportAt clock.Millis
	pendingOrders         *wire.TaskOrders
	// offered is true if capacity is reserved for this entry until its next orders.
	offered bool
	// reservedUntil is until when the free capacity is reserved for another entry.
	reservedUntil clock.Millis
	// sentDemand is the urgency last sent to the sidecar, sentDemandAt the time of
	// its last change.
	sentDemand     int32
	sentDemandAt   clock.Millis
	pendingLookups []batch.RunID
	unresolved     []unresolvedRun
	// lastService and lastServiceCPU are the service and the CPU of the worker when
	// it last took tasks, at lastServiceAt.
	lastService    string
	lastServiceCPU int64
	lastServiceAt  clock.Millis
	domain         ownership.Domain
	// rank orders the workers for the selection of the subset.
	rank uint64
	// outsideSubset is true if the worker is not in the entry's subset;
	// outsideSubsetSent is the value last sent to its sidecar.
	outsideSubset, outsideSubsetSent bool
	// inDemandSample is true for a worker outside the subset that is sent demand.
	inDemandSample bool
	// slowness is the learned ratio of run times to their estimates, usualSlowness
	// the same over a longer time.
	slowness, usualSlowness float64
	observedRuns            int
	observedAt              clock.Millis
	// remoteFactor is that of Settings.
	remoteFactor float64
	// grantsJobLeases is true if the sidecar answers lease requests.
	grantsJobLeases bool
	leases          pendingLeases
	// pool is the one of poolService, which the worker served last.
	pool        *pool
	poolService string
	evacuationState
	health
	warmup
}

// unacknowledgedStart is a start that the sidecar's reported load does not
// include yet.
type unacknowledgedStart struct {
	sequence int64
	required batch.Resources
}

func newNode(address Address, remoteFactor float64) *node {
	return &node{address: address, runs: make(map[batch.TaskID]boundTask), slowness: 1, usualSlowness: 1, remoteFactor: remoteFactor}
}

// orders returns the orders that the next flush sends.
func (n *node) orders() *wire.TaskOrders {
	if n.pendingOrders == nil {
		n.pendingOrders = &wire.TaskOrders{}
	}
	return n.pendingOrders
}

func (n *node) releaseRun(id batch.RunID) {
	n.orders().Releases = append(n.orders().Releases, id.Wire())
}

// observeRunTime updates the slowness with a run's estimated and actual time.
func (n *node) observeRunTime(now, estimated, took clock.Millis) {
	if estimated < minObservedRunTime || took <= 0 {
		return
	}
	ratio := min(float64(took)/float64(estimated), maxSlowness)
	n.observedRuns++
	n.observedAt = now
	first := 1 / float64(n.observedRuns+1)
	n.slowness += (ratio - n.slowness) * max(slownessWeight, first)
	n.usualSlowness += (ratio - n.usualSlowness) * max(usualSlownessWeight, first)
}

// forgetSlowness moves the slowness of a worker without runs towards its usual one.
// A worker that was slow for a while gets no tasks, so that its recovery would not
// be observed.
func (n *node) forgetSlowness(now clock.Millis) {
	if len(n.runs) == 0 && n.slowness > n.usualSlowness && now-n.observedAt >= slownessValidity {
		n.slowness -= (n.slowness - n.usualSlowness) * float64(slownessInterval) / float64(slownessDecayTime)
	}
}

// throughput returns the declared work in millicores times ms that a CPU share of
// the worker, in millicores, does in a ms.
func (n *node) throughput(cpu int64) float64 {
	return float64(cpu) / max(n.currentSlowness(), minSlowness)
}

// SidecarConnected handles a new session with the sidecar at an address in a
// failure domain.
func (s *Scheduler) SidecarConnected(address Address, domain ownership.Domain, id ownership.Incarnation) {
	n := s.nodes[address]
	if n == nil {
		n = newNode(address, s.settings.RemoteFactor)
		n.rank = rendezvousHash(s.settings.Self, address)
		s.nodes[address] = n
		s.nodeList = append(s.nodeList, n)
	}
	if n.incarnation != id {
		delete(s.sessions, n.incarnation)
		s.witnesses.disconnect(n.incarnation)
	}
	n.incarnation = id
	n.domain = domain
	n.outsideSubsetSent = false
	n.connected = true
	s.subsetUpdate.due = true
	n.hasInventory = false
	n.hasMoreEnds, n.readingEnds = false, false
	n.sequence = 0
	n.reportSentAt = 0
	n.unacknowledgedStarts = nil
	n.load = nil
	n.leases = pendingLeases{}
	n.beginEvacuationSession(s.evacuations)
	s.witnesses.find(id).node = n
	n.pendingOrders = nil
	n.unresolved = nil
	n.offered = false
	n.sentDemand = 0
	for _, b := range n.runs {
		b.task.sequence = 0
	}
	s.sessions[id] = n
	for _, c := range s.notedCancellations {
		if c.ordered {
			n.orders().CancelledJobs = append(n.orders().CancelledJobs, string(c.id))
		}
	}
	for deposed, successor := range s.successors {
		n.orders().Fences = append(n.orders().Fences, &wire.FenceEntry{Deposed: string(deposed), Successor: string(successor)})
	}
}

// SidecarDisconnected handles the end of a session with a sidecar.
func (s *Scheduler) SidecarDisconnected(id ownership.Incarnation) {
	n := s.sessions[id]
	if n == nil {
		return
	}
	delete(s.sessions, id)
	s.witnesses.disconnect(id)
	s.subsetUpdate.due = true
	n.connected = false
	n.hasInventory = false
	n.hasMoreEnds, n.readingEnds = false, false
	n.pendingOrders = nil
}

// HandleReport handles a report of a sidecar.
func (s *Scheduler) HandleReport(now clock.Millis, from ownership.Incarnation, r *wire.TaskReport) {
	s.now = now
	n := s.sessions[from]
	if n == nil {
		return
	}
	n.reportSentAt = r.GetSentAt()
	n.reportReceivedAt = now
	n.offered = n.offered || r.GetOffer()
	n.reservedUntil = 0
	if r.GetHeld() {
		n.reservedUntil = now + s.settings.OfferDuration
	}
	s.updateLoad(n, r)
	s.handleReportedEvacuations(n, r)
	n.hasMoreEnds = r.GetHasMoreEnds()
	n.readingEnds = r.GetHasMoreEnds() && (n.readingEnds || r.GetPartialInventory())
	switch {
	case r.GetInventory():
		s.handleInventory(now, n, r)
	case r.GetPartialInventory():
		s.handleListedRuns(now, n, r)
	default:
		for _, e := range r.GetEvents() {
			s.handleEvent(now, n, e)
		}
	}
	for _, id := range r.GetUnclaimed() {
		s.handleUnclaimed(now, n, batch.RunIDFromWire(id))
	}
	for _, id := range r.GetUnclaimedElsewhere() {
		s.adoptRun(n, batch.RunIDFromWire(id))
	}
	s.recordFenced(now, n, r)
	if len(n.pendingLookups) > 0 {
		s.pendingCommands = append(s.pendingCommands, Lookup{Sidecar: from, Runs: n.pendingLookups})
		n.pendingLookups = nil
	}
}

// updateLoad sets a worker's load, less the starts in flight to it.
func (s *Scheduler) updateLoad(n *node, r *wire.TaskReport) {
	if n.load == nil {
		// Jobs that were accepted before may await their leases.
		s.witnesses.updateDueAt, s.expiryDueAt = 0, 0
	}
	n.load = r.GetLoad()
	n.grantsJobLeases = r.GetGrantsJobLeases()
	n.updateWarmup(s.now, clock.Millis(n.load.GetWarmupLeftMs()))
	n.capacity = batch.Resources{CPU: n.load.GetCpu(), MemoryMB: n.load.GetMemoryMb(), Accelerators: n.load.GetAccelerators()}
	n.free = batch.Resources{CPU: n.load.GetFreeCpu(), MemoryMB: n.load.GetFreeMemoryMb(), Accelerators: n.load.GetFreeAccelerators()}
	n.unacknowledgedStarts = slices.DeleteFunc(n.unacknowledgedStarts, func(u unacknowledgedStart) bool { return u.sequence <= r.GetReceived() })
	for _, u := range n.unacknowledgedStarts {
		n.free = n.free.Sub(u.required)
	}
}

// handleInventory handles the list of all runs that a sidecar holds for this
// entry. A run that is not listed has not started there and will not, unless its
// start is in flight.
func (s *Scheduler) handleInventory(now clock.Millis, n *node, r *wire.TaskReport) {
	listed := s.handleListedRuns(now, n, r)
	for _, b := range n.runs {
		if !listed[b.job.runID(b.task)] && b.task.sequence <= r.GetReceived() {
			s.abandonRun(b, n, "not in the inventory")
		}
	}
	n.hasInventory = true
}

// handleListedRuns handles the runs of an inventory, which may be partial, and returns
// them. Nothing is known of a run that a partial one lacks.
func (s *Scheduler) handleListedRuns(now clock.Millis, n *node, r *wire.TaskReport) map[batch.RunID]bool {
	listed := make(map[batch.RunID]bool, len(r.GetEvents()))
	n.handlingInventory = true
	for _, e := range r.GetEvents() {
		listed[batch.RunIDFromWire(e.GetRun())] = true
		s.handleEvent(now, n, e)
	}
	n.handlingInventory = false
	return listed
}

// abandonRun returns a bound task to pending whose run has certainly ended.
func (s *Scheduler) abandonRun(b boundTask, n *node, reason string) {
	s.counters.Lost++
	b.task.ran = true
	s.pendingCommands = append(s.pendingCommands, Decision{Summary: "run given up", Job: b.job.ID, Run: b.job.runID(b.task), Sidecar: n.address, Reason: reason})
	s.unbind(b.job, b.task)
	s.advance(s.now, b.job)
}

// expireGrants abandons the runs whose grant has expired: their worker can no
// longer run them.
func (s *Scheduler) expireGrants(now clock.Millis) {
	for _, n := range s.nodeList {
		if len(n.runs) == 0 || now-n.storedGrantedReportAt < s.settings.BestEffortGrantDuration {
			continue
		}
		for _, b := range n.runs {
			from, grant := n.storedGrantedReportAt, s.settings.GrantDuration
			if b.job.BestEffort {
				from, grant = n.grantedReportAt, s.settings.BestEffortGrantDuration
			}
			if now-max(from, b.task.boundAt) >= grant {
				s.abandonRun(b, n, "sidecar silent")
			}
		}
	}
}

// grantInterval is the longest time that a report waits for its grant.
const grantInterval = 80 * clock.Millis(1)

// needsGrant reports whether a sidecar may hold runs of this entry or ends of
// stored jobs, which it drops without a grant.
func (s *Scheduler) needsGrant(n *node) bool {
	return len(n.runs) > 0 || s.stored > 0
}

// flushOrders sends the pending orders, with a grant for the newest report.
func (s *Scheduler) flushOrders(now clock.Millis) {
	storedWithheld := !s.mayOrderStored(now)
	if len(s.queue) > 0 {
		s.sampleDemand(now)
	}
	s.updateDemandJobs(now)
	for _, n := range s.nodeList {
		if !n.connected {
			n.pendingOrders = nil
			continue
		}
		unmet := s.demandFor(now, n)
		updateDue := n.evacuationPeer.Due(s.evacuations) || n.outsideSubset != n.outsideSubsetSent ||
			n.mayGrant() && n.reportSentAt != n.grantedFrom && n.reportSentAt != 0 && (n.offered || s.needsGrant(n) && now-n.grantedReportAt >= grantInterval)
		demandRaised := unmet.urgency != 0 && (n.sentDemand == 0 || unmet.urgency < n.sentDemand) && now-n.sentDemandAt >= demandInterval
		if n.pendingOrders == nil && !updateDue && !demandRaised {
			continue
		}
		orders := n.orders()
		n.pendingOrders = nil
		n.sequence++
		orders.Sequence = n.sequence
		if n.mayGrant() {
			orders.GrantedFrom = n.reportSentAt
		}
		orders.StoredWithheld = storedWithheld
		orders.Demand, orders.DemandCpu, orders.DemandDueMs = unmet.urgency, unmet.cpu, int64(unmet.due)
		orders.Loose = n.outsideSubset
		orders.JobLeaseReleases = n.leases.takeReleases()
		n.outsideSubsetSent = n.outsideSubset
		s.addEvacuations(n, orders)
		if n.sentDemand != unmet.urgency {
			n.sentDemand, n.sentDemandAt = unmet.urgency, now
		}
		n.offered = false
		n.recordGrant(storedWithheld)
		s.pendingCommands = append(s.pendingCommands, SendOrders{Sidecar: n.incarnation, Orders: orders})
	}
}

// mayGrant reports whether the sidecar has the runs that this entry had there, or reads
// their ends from its worker. Its reports tell at once if it no longer does.
func (n *node) mayGrant() bool { return n.hasInventory || n.readingEnds }

// recordGrant records that orders with a grant are sent. Without an inventory there is
// none: a sidecar that has restarted knows no runs while its worker is away, and the
// runs that this entry had there would be kept for ever.
func (n *node) recordGrant(storedWithheld bool) {
	if !n.mayGrant() {
		return
	}
	n.grantedFrom = n.reportSentAt
	n.grantedReportAt = n.reportReceivedAt
	if !storedWithheld {
		n.storedGrantedReportAt = n.reportReceivedAt
	}
}
